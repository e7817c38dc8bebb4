//! From an id to its cause, as an on-call engineer would see it.

mod common;

use std::process::Output;

use common::{LogFiles, fault, text};

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
"#;

fn explain(name: &str, more: &[&str], id: &str) -> Output {
    let logs = LogFiles::write(&format!("explain-{name}"), &[KEEPER, ENTRY]);
    logs.run(&[more, &["explain", id]].concat())
}

#[test]
fn a_refused_request_is_told_from_its_tries_to_its_end() {
    let told = text(&explain("request", &[], "r1"));
    let expected = "\
AFTER S  BOX      EVENT          FIELDS
0.000    entry-1  try ended      left_ms=900 outcome=silent request=r1 target=d1 took_ms=450
0.250    entry-1  request ended  config=3 outcome=not run request=r1 route=plain took_ms=700

decided by entry-1: request ended (config=3 outcome=not run request=r1 route=plain took_ms=700)
";
    assert_eq!(told, expected);
}

#[test]
fn an_item_leads_to_its_job_and_its_shard() {
    let told = text(&explain("item", &[], "i1"));
    let events: Vec<&str> = told.lines().skip(1).take(4).collect();
    assert_eq!(events.len(), 4, "{told}");
    assert!(events[0].contains("keep-1   job recorded"), "{told}");
    assert!(events[1].contains("entry-1  job submitted"), "{told}");
    assert!(events[2].contains("outcome=slow engine"), "{told}");
    assert!(events[3].contains("why=copy lost"), "{told}");
    assert!(!told.contains("i2") && !told.contains("shard=7") && !told.contains("0.a.keep-1"));
    assert!(told.contains("decided by keep-1: run ended"), "{told}");
}

#[test]
fn programs_get_the_same_as_json() {
    let told = text(&explain("json", &["--output", "json"], "r1"));
    let told: serde_json::Value = serde_json::from_str(&told).expect("JSON");
    assert_eq!(told["deciding"]["fields"]["outcome"], "not run");
    assert_eq!(told["lines"].as_array().map(Vec::len), Some(2));
    assert_eq!(told["read"][0]["lines"], 6);
}

#[test]
fn without_a_line_it_says_what_was_read() {
    let output = explain("none", &[], "r2");
    assert_eq!(output.status.code(), Some(2));
    let error = fault(&output);
    assert!(error.contains("no line names r2"), "{error}");
    assert!(error.contains("6 lines, from 50.000 to 103.000"), "{error}");
    let output =
        LogFiles::write("explain-missing", &[]).run(&["explain", "r1", "no-such-file.log"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(fault(&output).contains("name log files of boxes"));
}

const LETHAL: &str = r#"{"box":"entry-1","event":"try ended","outcome":"broken","part":"targets","request":"r7","t":7,"level":"info","target":"d1","work":"w1"}
{"box":"entry-1","event":"target probed","ends":1,"outcome":"ended","part":"targets","t":7.5,"level":"info","target":"d1@5","work":"w1"}
{"box":"entry-1","event":"target probed","ends":1,"outcome":"ended","part":"targets","t":7.5,"level":"info","target":"d1@5","work":"w2"}
{"box":"entry-2","event":"work refused","ends":3,"outcome":"condemned","part":"targets","request":"r9","t":9,"level":"info","work":"w1"}
"#;

#[test]
fn a_request_that_is_turned_away_leads_to_the_targets_that_ended_under_its_work() {
    let logs = LogFiles::write("explain-lethal", &[LETHAL]);
    let told = text(&logs.run(&["explain", "r9"]));
    let expected = "\
AFTER S  BOX      EVENT          FIELDS
0.000    entry-1  target probed  ends=1 outcome=ended target=d1@5 work=w1
1.500    entry-2  work refused   ends=3 outcome=condemned request=r9 work=w1

decided by entry-2: work refused (ends=3 outcome=condemned request=r9 work=w1)
";
    assert_eq!(told, expected);
    // By the work itself all of its tries are found, whatever their ids.
    let told = text(&logs.run(&["explain", "w1"]));
    assert!(told.contains("request=r7") && !told.contains("work=w2"), "{told}");
}
