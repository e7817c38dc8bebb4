//! Output of `explain` for requests, items and work.

mod common;

use std::process::Output;

use common::{LogFiles, stderr_text, stdout_text};

const KEEPER: &str = r#"
   5.1 keep-1 {"box":"keep-1","event":"job recorded","items":2,"job":"j1","min_version":3,"outcome":"accepted","part":"jobs","shard":0,"t":100.5,"level":"info"}
not a log line
{"box":"keep-1","event":"run ended","from_event":0,"events":5,"item":"i1","job":"j1","outcome":"slow engine","part":"jobs","t":102.25,"level":"info","target":"e1"}
{"box":"keep-1","event":"run ended","from_event":0,"events":5,"item":"i2","job":"j1","outcome":"silent","part":"jobs","t":102.5,"level":"info","target":"e2"}
{"box":"keep-1","event":"not serving","epoch":"1.a.keep-1","part":"shard","shard":0,"t":103,"level":"info","why":"copy lost"}
{"box":"keep-1","event":"not serving","epoch":"1.a.keep-1","part":"shard","shard":7,"t":103,"level":"info","why":"asked"}
{"box":"keep-1","event":"not serving","epoch":"0.a.keep-1","part":"shard","shard":0,"t":50,"level":"info","why":"asked"}
"#;

const ENTRY: &str = r#"{"box":"entry-1","event":"job submitted","items":2,"job":"j1","outcome":"accepted","part":"entry","shard":0,"t":100.6,"level":"info"}
{"box":"entry-1","event":"try ended","left_ms":900,"outcome":"silent","part":"targets","request":"r1","t":101,"level":"info","target":"d1","took_ms":450}
{"box":"entry-1","event":"request ended","config":3,"outcome":"not run","part":"entry","request":"r1","route":"plain","t":101.25,"level":"info","took_ms":700}
{"box":"entry-1","config":4,"customer":"c1","event":"no target in the allowed regions","level":"info","outcome":"evacuated","part":"targets","regions":"durgapur","request":"r7","route":"plain","service":"desk","t":104}
{"box":"entry-1","event":"request ended","config":4,"outcome":"not run","part":"entry","request":"r7","route":"plain","t":104,"level":"info","took_ms":0}
{"box":"entry-1","event":"admission refused","level":"info","outcome":"queue full","part":"targets","request":"r8","t":105}
{"box":"entry-1","event":"try ended","level":"info","outcome":"silent","part":"targets","request":"r8","t":105.5}
{"box":"entry-1","event":"request ended","outcome":"unknown","part":"entry","request":"r8","t":106,"level":"info"}
"#;

fn explain(name: &str, flags: &[&str], id: &str) -> Output {
    let logs = LogFiles::write(&format!("explain-{name}"), &[KEEPER, ENTRY]);
    logs.run(&[flags, &["explain", id]].concat())
}

#[test]
fn request_id_shows_its_attempts_and_outcome() {
    let shown = stdout_text(&explain("request", &[], "r1"));
    let expected = "\
AFTER S  BOX      EVENT          FIELDS
0.000    entry-1  try ended      left_ms=900 outcome=silent request=r1 target=d1 took_ms=450
0.250    entry-1  request ended  config=3 outcome=not run request=r1 route=plain took_ms=700

decided by entry-1: request ended (config=3 outcome=not run request=r1 route=plain took_ms=700)
";
    assert_eq!(shown, expected);
}

/// Guards against an explanation that stops at the refusal and does not name its cause.
#[test]
fn request_refused_for_its_regions_is_decided_by_that_line() {
    let shown = stdout_text(&explain("regions", &[], "r7"));
    let decided = shown.lines().last().unwrap_or_default();
    assert!(decided.contains("no target in the allowed regions"), "{shown}");
    assert!(decided.contains("regions=durgapur") && decided.contains("evacuated"), "{shown}");
    // A request that was refused and served later was decided by its end.
    let shown = stdout_text(&explain("regions", &[], "r8"));
    assert!(shown.lines().last().unwrap_or_default().contains("request ended"), "{shown}");
}

#[test]
fn item_id_also_shows_its_job_and_shard() {
    let shown = stdout_text(&explain("item", &[], "i1"));
    let events: Vec<&str> = shown.lines().skip(1).take(4).collect();
    assert_eq!(events.len(), 4, "{shown}");
    assert!(events[0].contains("keep-1   job recorded"), "{shown}");
    assert!(events[1].contains("entry-1  job submitted"), "{shown}");
    assert!(events[2].contains("outcome=slow engine"), "{shown}");
    assert!(events[3].contains("why=copy lost"), "{shown}");
    assert!(!shown.contains("i2") && !shown.contains("shard=7") && !shown.contains("0.a.keep-1"));
    assert!(shown.contains("decided by keep-1: run ended"), "{shown}");
}

#[test]
fn json_output_has_the_same_lines() {
    let shown = stdout_text(&explain("json", &["--output", "json"], "r1"));
    let shown: serde_json::Value = serde_json::from_str(&shown).expect("the output is JSON");
    assert_eq!(shown["deciding"]["fields"]["outcome"], "not run");
    assert_eq!(shown["lines"].as_array().map(Vec::len), Some(2));
    assert_eq!(shown["read"][0]["lines"], 6);
}

#[test]
fn unknown_id_reports_the_files_read() {
    let output = explain("none", &[], "r2");
    assert_eq!(output.status.code(), Some(2));
    let error = stderr_text(&output);
    assert!(error.contains("no line mentions r2"), "{error}");
    assert!(error.contains("6 lines, from 50.000 to 103.000"), "{error}");
    let output =
        LogFiles::write("explain-missing", &[]).run(&["explain", "r1", "no-such-file.log"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr_text(&output).contains("specify log files of boxes"));
}

const POISON_WORK: &str = r#"{"box":"entry-1","event":"try ended","outcome":"broken","part":"targets","request":"r7","t":7,"level":"info","target":"d1","work":"w1"}
{"box":"entry-1","event":"target probed","ends":1,"outcome":"ended","part":"targets","t":7.5,"level":"info","target":"d1@5","work":"w1"}
{"box":"entry-1","event":"target probed","ends":1,"outcome":"ended","part":"targets","t":7.5,"level":"info","target":"d1@5","work":"w2"}
{"box":"entry-2","event":"work refused","ends":3,"outcome":"condemned","part":"targets","request":"r9","t":9,"level":"info","work":"w1"}
"#;

#[test]
fn refused_request_shows_crashes_caused_by_the_same_work() {
    let logs = LogFiles::write("explain-poison", &[POISON_WORK]);
    let shown = stdout_text(&logs.run(&["explain", "r9"]));
    let expected = "\
AFTER S  BOX      EVENT          FIELDS
0.000    entry-1  target probed  ends=1 outcome=ended target=d1@5 work=w1
1.500    entry-2  work refused   ends=3 outcome=condemned request=r9 work=w1

decided by entry-2: work refused (ends=3 outcome=condemned request=r9 work=w1)
";
    assert_eq!(shown, expected);
    // A work id matches all attempts of that work, whatever their request ids.
    let shown = stdout_text(&logs.run(&["explain", "w1"]));
    assert!(shown.contains("request=r7") && !shown.contains("work=w2"), "{shown}");
}
