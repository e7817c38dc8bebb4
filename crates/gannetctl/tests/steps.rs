//! Output of `steps`.

mod common;

use std::fs;
use std::process::Output;

use common::{LogFiles, stderr_text, stdout_text};

const KEEPER: &str = r#"
{"box":"keep-1","event":"version named","part":"config","t":99.0,"level":"info","model":"m0","weight_version":3}
{"box":"keep-2","event":"version named","part":"config","t":99.5,"level":"info","model":"m0","weight_version":3}
{"box":"keep-1","event":"step timings","part":"jobs","t":107.0,"level":"info","job":"j1","shard":0,"model":"m0","step":4,"min_version":3,"wanted":2,"carried":8,"first_run_ms":500,"wanted_ms":6000,"read_ms":6400,"ended_ms":7000,"item":"i9","target":"e7","runs":2,"waited_ms":1500,"ran_ms":4000,"scored_ms":300,"old_ms":1200,"loading_ms":0,"resting_ms":0,"full_ms":400,"no_route_ms":0}
{"box":"keep-1","event":"step timings","part":"jobs","t":120.0,"level":"info","job":"j2","shard":0,"model":"m1","step":1,"min_version":2,"wanted":2,"carried":0,"first_run_ms":4000,"wanted_ms":-1,"read_ms":-1,"ended_ms":12000,"item":"","target":"","runs":0,"waited_ms":0,"ran_ms":0,"scored_ms":0,"old_ms":9000,"loading_ms":100,"resting_ms":0,"full_ms":0,"no_route_ms":0}
"#;

const ENTRY: &str = r#"{"box":"entry-1","event":"job submitted","items":2,"job":"j1","outcome":"not served","part":"entry","shard":0,"t":99.9,"level":"info"}
{"box":"entry-1","event":"job submitted","items":2,"job":"j1","outcome":"accepted","part":"entry","shard":0,"t":100.1,"level":"info"}
"#;

fn steps(name: &str, flags: &[&str]) -> Output {
    let logs = LogFiles::write(&format!("steps-{name}"), &[KEEPER, ENTRY]);
    logs.run(&[&["steps"], flags].concat())
}

#[test]
fn table_shows_time_breakdown_of_the_last_item() {
    let shown = stdout_text(&steps("table", &[]));
    let expected = "\
MODEL  STEP  TAKEN AT  NAMED  FIRST RUN  WANTED  READ  ENDED  LAST ITEM  RUNS  WAITED  RAN   SCORED  WAITED FOR
m0     4     100.00    -1.00  0.50       6.00    6.40  7.00   i9         2     1.50    4.00  0.30    runs 4.0 s
m1     1     108.00    -      4.00       -       -     12.00             0     0.00    0.00  0.00    not whole; engine of an older version 9.0 s
";
    assert_eq!(shown, expected);
}

#[test]
fn json_output_has_all_times() {
    let shown = stdout_text(&steps("json", &["--output", "json", "--model", "m0"]));
    let shown: serde_json::Value = serde_json::from_str(&shown).expect("the output is JSON");
    assert_eq!(shown.as_array().map(Vec::len), Some(1));
    let step = &shown[0];
    assert_eq!(step["asked_at"], 100.1, "the attempt that was accepted");
    assert_eq!(step["named_at"], 99.0, "the first box that logged it");
    assert_eq!(step["carried"], 8);
    assert_eq!(step["last"]["target"], "e7");
    let listing = step["last"]["listing_s"].as_f64().expect("listing_s is a number");
    assert!((listing - 0.2).abs() < 1e-9, "6 s less waiting, running and scoring: {listing}");
    assert_eq!(step["holds"][0]["why"], "engine of an older version");
    assert_eq!(step["holds"].as_array().map(Vec::len), Some(2), "only nonzero times are listed");
}

#[test]
fn chart_has_a_bar_for_each_part_of_a_step() {
    let picture = std::env::temp_dir().join(format!("gannetway-steps-{}.svg", std::process::id()));
    let output = steps("picture", &["--picture", picture.to_str().expect("the path is UTF-8")]);
    assert!(output.status.success(), "{}", stderr_text(&output));
    let drawn = fs::read_to_string(&picture).expect("the chart was written");
    fs::remove_file(&picture).expect("the chart can be removed");
    let count = |color: &str| drawn.matches(&format!("fill=\"{color}\"")).count();
    assert_eq!(count("#AAAAAA"), 2, "bars before the first run");
    assert_eq!(count("#4678BE"), 1, "bars until the wanted items were listed");
    assert_eq!(count("#FF0000"), 1, "bars of incomplete steps");
    assert!(drawn.contains("m0 4") && drawn.contains("m1 1"));
}

#[test]
fn logs_without_steps_are_bad_input() {
    let output = steps("none", &["--model", "m9"]);
    assert_eq!(output.status.code(), Some(2));
    let error = stderr_text(&output);
    assert!(error.contains("specify the logs of storage boxes"), "{error}");
}
