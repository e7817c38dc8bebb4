//! Tests with real daemons on loopback that are killed, frozen, stopped and disconnected.
//!
//! Tests wait for conditions instead of fixed times, so that they do not depend on speed.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use client::{ClientError, OpenStep};
use demo::fleet::{Fleet, FleetPlan};
use demo::process::{Signal, program};
use ids::{ModelVersion, PoolName, StepNumber, TokenCount, TrainerId};
use ledger::{GroupSpec, SlotSet, StepSpec};
use reqwest::Method;
use serde_json::{Value, json};
use standins::proxy::FaultProxy;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const SAMPLES: usize = 64;

fn pool() -> PoolName {
    "layout".parse().expect("valid id")
}

fn trainer() -> TrainerId {
    "press-1".parse().expect("valid id")
}

fn spec() -> StepSpec {
    let groups = (0..SAMPLES / 8).map(|index| GroupSpec {
        prompt: format!("prompt {index}").into(),
        samples: 8,
        max_tokens: TokenCount::new(256),
    });
    StepSpec { step: StepNumber::new(1), version: ModelVersion::new(1), groups: groups.collect() }
}

/// Starts one domain of three boxes with slow engines, and applies a pool.
async fn fleet(name: &str) -> Fleet {
    let plan = FleetPlan {
        domains: 1,
        boxes_per_domain: 3,
        engines_per_domain: 2,
        decode_step: Duration::from_millis(8),
        lease_term: Duration::from_secs(1),
        ..FleetPlan::default()
    };
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let fleet = Fleet::start(plan, dir).await.expect("start");
    apply(&fleet, 1).await;
    fleet
}

async fn apply(fleet: &Fleet, version: u64) -> u64 {
    let spec = fleet.pool(&pool(), &trainer(), ModelVersion::new(version));
    fleet.apply(&spec).await.expect("accepted")
}

async fn open(fleet: &Fleet) -> OpenStep {
    fleet.trainer(&pool(), &trainer()).open(spec()).await.expect("open")
}

/// Pulls until there are `wanted` samples; none may be duplicate or too old.
async fn pull(step: &mut OpenStep, slots: &mut SlotSet, wanted: usize) {
    while slots.len() < wanted {
        let samples = step.next().await.expect("samples").expect("step is incomplete");
        let window = step.receiver().window();
        for sample in samples {
            assert!(slots.insert(sample.slot), "slot {} was delivered twice", sample.slot);
            assert!(!window.is_too_old(sample.oldest()), "slot {} is too old", sample.slot);
        }
    }
}

async fn kill(fleet: &mut Fleet, id: &str) {
    let mut child = fleet.boxes.remove(id).expect("box is in the fleet");
    child.signal(Signal::Kill).await.expect("signal is sent");
    child.wait().await.expect("process exits");
}

async fn status(fleet: &Fleet, id: &str) -> Value {
    let child = &fleet.boxes[id];
    fleet.read(child.address(), "/v1/status").await.unwrap_or_default()
}

/// Returns how often each plain request ran, by request id, over all targets of the service.
async fn run_counts(fleet: &Fleet) -> BTreeMap<String, u64> {
    let mut all = BTreeMap::new();
    for (_, child) in fleet.services.iter().filter(|(id, _)| id.starts_with("orders")) {
        let counts = fleet.read(child.address(), "/counts").await.expect("counts");
        for (id, count) in counts["runs"].as_object().expect("JSON object") {
            *all.entry(id.clone()).or_default() += count.as_u64().unwrap_or_default();
        }
    }
    all
}

async fn call(entry: &str, id: &str, repeatable: bool) -> (u16, Value) {
    let response = reqwest::Client::new()
        .post(format!("{entry}/v1/call/orders/buy"))
        .header("x-request-id", id)
        .header("x-repeatable", repeatable.to_string())
        .body("basket")
        .send()
        .await
        .expect("response");
    let status = response.status().as_u16();
    let body = response.bytes().await.expect("response body");
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

#[tokio::test(flavor = "multi_thread")]
async fn no_sample_is_lost_or_duplicated_when_the_keeper_is_killed() {
    let mut fleet = fleet("killed-keeper").await;
    let (mut step, mut slots) = (open(&fleet).await, SlotSet::default());
    pull(&mut step, &mut slots, 8).await;
    let keeper = fleet.keeper(&trainer()).await.expect("a box is the keeper");
    kill(&mut fleet, &keeper).await;
    pull(&mut step, &mut slots, SAMPLES).await;
    assert!(step.next().await.expect("step is complete").is_none());
    step.close().await.expect("close");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_sample_is_duplicated_when_a_frozen_keeper_resumes() {
    let fleet = fleet("frozen-keeper").await;
    let (mut step, mut slots) = (open(&fleet).await, SlotSet::default());
    pull(&mut step, &mut slots, 8).await;
    let keeper = fleet.keeper(&trainer()).await.expect("a box is the keeper");
    fleet.boxes[&keeper].signal(Signal::Stop).await.expect("signal is sent");
    pull(&mut step, &mut slots, 24).await;
    fleet.boxes[&keeper].signal(Signal::Continue).await.expect("signal is sent");
    pull(&mut step, &mut slots, SAMPLES).await;
    assert!(step.next().await.expect("step is complete").is_none());
    step.close().await.expect("close");
}

#[tokio::test(flavor = "multi_thread")]
async fn two_boxes_stop_at_once_and_cut_nothing() {
    let mut fleet = fleet("planned-stops").await;
    let (mut step, mut slots) = (open(&fleet).await, SlotSet::default());
    pull(&mut step, &mut slots, 8).await;
    let keeper = fleet.keeper(&trainer()).await.expect("a box is the keeper");
    let other = fleet.boxes.keys().find(|id| **id != keeper).cloned().expect("another box");
    apply(&fleet, 2).await;
    for id in [&keeper, &other] {
        fleet.boxes[id].signal(Signal::Terminate).await.expect("signal is sent");
    }
    pull(&mut step, &mut slots, SAMPLES).await;
    for id in [&keeper, &other] {
        let ended = fleet
            .boxes
            .get_mut(id)
            .expect("box is in the fleet")
            .wait()
            .await
            .expect("process exits");
        assert_eq!(ended.code(), Some(0), "{id} interrupted requests");
    }
    assert!(step.next().await.expect("step is complete").is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_kept_step_is_handed_over_and_not_opened_again() {
    let mut fleet = fleet("hand-over").await;
    let (mut step, mut slots) = (open(&fleet).await, SlotSet::default());
    pull(&mut step, &mut slots, 8).await;
    let keeper = fleet.keeper(&trainer()).await.expect("a box is the keeper");
    fleet.boxes[&keeper].signal(Signal::Terminate).await.expect("signal is sent");
    pull(&mut step, &mut slots, SAMPLES).await;
    let ended = fleet
        .boxes
        .get_mut(&keeper)
        .expect("box is in the fleet")
        .wait()
        .await
        .expect("process exits");
    assert_eq!(ended.code(), Some(0));
    let idle = step.close().await.expect("close");
    assert_eq!((idle.reopened, idle.doubled, idle.stale), (0, 0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn step_continues_when_platform_is_down_and_keeper_is_killed() {
    let mut fleet = fleet("platform-away").await;
    let (mut step, mut slots) = (open(&fleet).await, SlotSet::default());
    pull(&mut step, &mut slots, 8).await;
    fleet
        .set_faults(fleet.platform.address(), &json!({ "down": true }))
        .await
        .expect("faults are set");
    pull(&mut step, &mut slots, 16).await;
    let has_reported = async || {
        let mut reports = 0;
        for id in fleet.boxes.keys() {
            let cannot = status(&fleet, id).await["cannot"].to_string();
            reports += usize::from(cannot.contains("platform does not answer"));
        }
        reports > 0
    };
    fleet.wait_until("a box to report the platform outage", has_reported).await.expect("reported");
    let keeper = fleet.keeper(&trainer()).await.expect("a box is the keeper");
    kill(&mut fleet, &keeper).await;
    pull(&mut step, &mut slots, SAMPLES).await;
    assert!(step.next().await.expect("step is complete").is_none());
}

/// Starts two failure domains of one box each, with a fault proxy in front of each box.
async fn two_domains(name: &str) -> Fleet {
    let plan = FleetPlan {
        domains: 2,
        boxes_per_domain: 1,
        engines_per_domain: 2,
        decode_step: Duration::from_millis(8),
        lease_term: Duration::from_secs(1),
        proxies: true,
        ..FleetPlan::default()
    };
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let fleet = Fleet::start(plan, dir).await.expect("start");
    apply(&fleet, 1).await;
    fleet
}

/// Returns whether a box sends its greeting to a new connection through its proxy.
async fn sends_greeting(proxy: &FaultProxy) -> bool {
    let mut stream = TcpStream::connect(proxy.address).await.expect("proxy accepts connections");
    stream.read_u8().await.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn domains_cut_from_each_other_go_on_and_meet_again() {
    let fleet = two_domains("cut-domains").await;
    let (mut step, mut slots) = (open(&fleet).await, SlotSet::default());
    pull(&mut step, &mut slots, 8).await;
    for proxy in fleet.proxies.values() {
        assert!(sends_greeting(proxy).await);
        proxy.cut();
        assert!(!sends_greeting(proxy).await, "the proxy still forwards");
    }
    pull(&mut step, &mut slots, 32).await;
    // Each domain serves plain requests from its own target.
    for (index, entry) in fleet.entries().iter().enumerate() {
        let (status, _) = call(entry, &format!("cut-{index}"), true).await;
        assert_eq!(status, 200, "{entry}");
    }
    fleet.proxies.values().for_each(FaultProxy::heal);
    pull(&mut step, &mut slots, SAMPLES).await;
    assert!(step.next().await.expect("step is complete").is_none());
    step.close().await.expect("close");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_is_detected_during_platform_outage() {
    let fleet = fleet("leaving-engine").await;
    let (mut step, mut slots) = (open(&fleet).await, SlotSet::default());
    pull(&mut step, &mut slots, 4).await;
    fleet
        .set_faults(fleet.platform.address(), &json!({ "down": true }))
        .await
        .expect("faults are set");
    let address = fleet.engines["engine-1-1"].address().to_owned();
    fleet.set_faults(&address, &json!({ "leaving": true })).await.expect("faults are set");
    let is_leaving = async || {
        for id in fleet.boxes.keys() {
            let homes = status(&fleet, id).await["homes"].as_array().cloned().unwrap_or_default();
            let home = homes.iter().find(|home| home["target"] == "engine-1-1").cloned();
            if home.is_some_and(|home| home["status"] == "leaving") {
                return true;
            }
        }
        false
    };
    fleet.wait_until("the home to see the engine leave", is_leaving).await.expect("observed");
    pull(&mut step, &mut slots, SAMPLES).await;
    assert!(step.next().await.expect("step is complete").is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_reaches_every_box_and_a_restarted_one_without_platform() {
    let mut fleet = fleet("configuration").await;
    fleet
        .set_faults(fleet.platform.address(), &json!({ "lose_answers": 1 }))
        .await
        .expect("faults are set");
    let accepted = apply(&fleet, 5).await;
    for id in fleet.boxes.keys() {
        let there = async || status(&fleet, id).await["generation"].as_u64() == Some(accepted);
        fleet
            .wait_until(&format!("generation {accepted} at {id}"), there)
            .await
            .expect("generation arrives");
    }
    let restarted = fleet.boxes.keys().next().cloned().expect("a box");
    kill(&mut fleet, &restarted).await;
    fleet
        .set_faults(fleet.platform.address(), &json!({ "down": true }))
        .await
        .expect("faults are set");
    fleet.start_box(0, 0).await.expect("start");
    let there = async || status(&fleet, &restarted).await["generation"].as_u64() == Some(accepted);
    fleet.wait_until("the generation at a restarted box", there).await.expect("generation arrives");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_not_to_be_repeated_runs_at_most_once() {
    let fleet = fleet("not-repeatable").await;
    let entries = fleet.entries();
    let service = fleet.services["orders-1"].address().to_owned();
    // Refused before running: retried until it runs once.
    fleet.set_faults(&service, &json!({ "refuse": 1 })).await.expect("faults are set");
    let (status, _) = call(&entries[0], "refused-first", false).await;
    assert_eq!(status, 200);
    // Ran with a corrupt response: the error says that it may have run.
    fleet.set_faults(&service, &json!({ "corrupt": 1 })).await.expect("faults are set");
    let (status, body) = call(&entries[1], "damaged", false).await;
    assert_eq!((status, body["kind"].as_str()), (502, Some("unknown")));
    // A repeatable request with a corrupt response is retried.
    fleet.set_faults(&service, &json!({ "corrupt": 1 })).await.expect("faults are set");
    let (status, _) = call(&entries[2], "repeated", true).await;
    assert_eq!(status, 200);
    let runs = run_counts(&fleet).await;
    assert_eq!(runs.get("refused-first"), Some(&1));
    assert_eq!(runs.get("damaged"), Some(&1));
    assert_eq!(runs.get("repeated"), Some(&2));
}

#[tokio::test(flavor = "multi_thread")]
async fn burst_of_plain_requests_is_served() {
    let fleet = fleet("burst").await;
    let service = fleet.services["orders-1"].address().to_owned();
    fleet.set_faults(&service, &json!({ "slow_ms": 100 })).await.expect("faults are set");
    let entry = fleet.entries().remove(0);
    let calls: Vec<_> = (0..64)
        .map(|index| {
            let entry = entry.clone();
            tokio::spawn(async move { call(&entry, &format!("burst-{index}"), false).await.0 })
        })
        .collect();
    for call in calls {
        assert_eq!(call.await.expect("no panic"), 200);
    }
}

/// Waits until `running` requests run at the home of the plain service, and returns this box.
async fn busy_home(fleet: &Fleet, running: u64) -> String {
    let find_home = async || {
        for id in fleet.boxes.keys() {
            let homes = status(fleet, id).await["homes"].as_array().cloned().unwrap_or_default();
            let is_busy = |home: &Value| home["target"] == "orders-1" && home["running"] == running;
            if homes.iter().any(is_busy) {
                return Some(id.clone());
            }
        }
        None
    };
    fleet
        .wait_until("requests at the home", async || find_home().await.is_some())
        .await
        .expect("busy");
    find_home().await.expect("still busy")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_box_that_dies_in_the_middle_makes_no_request_run_twice() {
    let mut fleet = fleet("middle-box").await;
    let service = fleet.services["orders-1"].address().to_owned();
    fleet.set_faults(&service, &json!({ "slow_ms": 5000 })).await.expect("faults are set");
    // One call through each box, including the home of the service.
    let calls: Vec<_> = fleet
        .entries()
        .into_iter()
        .enumerate()
        .map(|(index, entry)| {
            tokio::spawn(async move { call(&entry, &format!("call-{index}"), false).await })
        })
        .collect();
    let home = busy_home(&fleet, 3).await;
    kill(&mut fleet, &home).await;
    let mut unknown_outcomes = 0;
    for call in calls {
        // The call through the killed box gets no response.
        if let Ok((_, body)) = call.await {
            unknown_outcomes += usize::from(body["kind"] == "unknown");
        }
    }
    assert_eq!(unknown_outcomes, 2);
    let runs = run_counts(&fleet).await;
    assert!(runs.len() == 3 && runs.values().all(|count| *count == 1), "{runs:?}");
}

/// Runs gannetctl against a fleet and returns its exit code and output.
async fn ctl(fleet: &Fleet, args: &[&str]) -> (Option<i32>, String) {
    let output = tokio::process::Command::new(program("gannetctl").expect("gannetctl is built"))
        .args(["--entry", &fleet.entries()[0], "--output", "json"])
        .args(["--key-file", &fleet.key_file().display().to_string()])
        .args(args)
        .output()
        .await
        .expect("tool runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn gannetctl_applies_pools_runs_a_step_and_calls_services() {
    let fleet = fleet("tool").await;
    let file = fleet.key_file().with_file_name("pool.toml");
    let document = "
name = 'suggest'
version = 1
trainers = ['shop-1']
engines = ['engine-1-1', 'engine-1-2']
scorers = ['scorer-1']
";
    std::fs::write(&file, document).expect("written");
    let file = file.display().to_string();
    let (code, text) = ctl(&fleet, &["apply", &file]).await;
    assert_eq!((code, text.trim()), (Some(0), r#"{"generation":2}"#));
    // The pool has changed since generation 1.
    let (code, text) = ctl(&fleet, &["apply", &file, "--if-generation", "1"]).await;
    assert!(code == Some(3) && text.contains("changed in generation 2"), "{text}");
    let (code, text) = ctl(&fleet, &["get", "suggest"]).await;
    let shown: Value = serde_json::from_str(&text).expect("valid JSON");
    assert_eq!((code, &shown["pools"][0]["spec"]["name"]), (Some(0), &json!("suggest")));
    assert_eq!(ctl(&fleet, &["get", "no-such-pool"]).await.0, Some(4));
    let (code, text) = ctl(&fleet, &["list"]).await;
    assert!(code == Some(0) && text.contains("layout") && text.contains("suggest"), "{text}");
    let step = ["step", "--pool", "suggest", "--trainer", "shop-1", "--samples", "16"];
    let (code, text) = ctl(&fleet, &step).await;
    let report: Value = serde_json::from_str(&text).expect("valid JSON");
    assert_eq!((code, &report["delivered"], &report["missing"]), (Some(0), &json!(16), &json!(0)));
    let (code, text) = ctl(&fleet, &["call", "orders", "/basket?x=1", "--body", "eggs"]).await;
    assert!(code == Some(0) && text.contains("/basket?x=1 eggs"), "{text}");
    assert_eq!(ctl(&fleet, &["call", "no-such-service", "/x"]).await.0, Some(4));
    let (code, text) = ctl(&fleet, &["status"]).await;
    let status: Value = serde_json::from_str(&text).expect("valid JSON");
    assert_eq!((code, &status["generation"]), (Some(0), &json!(2)));
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_and_bad_requests_get_clear_errors() {
    let fleet = fleet("bad-requests").await;
    let entry = &fleet.entries()[0];
    let http = reqwest::Client::new();
    let get = |path: &str| http.get(format!("{entry}{path}")).send();
    assert_eq!(get("/v1/pools").await.expect("response").status(), 403);
    let wrong = http.get(format!("{entry}/v1/status")).bearer_auth("not-the-key-at-all").send();
    assert_eq!(wrong.await.expect("response").status(), 403);
    let steps = format!("{entry}/v1/pools/layout/trainers/press-1/steps");
    let cases = [
        (format!("{steps}/1/open"), "{", 400),
        (format!("{steps}/one/pull"), r#"{"held":"","seen":0,"most":1,"wait_ms":1}"#, 400),
        (format!("{steps}/1/pull"), r#"{"held":"zz","seen":0,"most":1,"wait_ms":1}"#, 400),
        (format!("{steps}/1/open"), r#"{"version":1,"groups":[]}"#, 400),
        (format!("{steps}/7/pull"), r#"{"held":"","seen":0,"most":1,"wait_ms":1}"#, 404),
        (format!("{entry}/v1/call/no-such-service/x"), "", 503),
        (
            format!("{entry}/v1/pools/no-such-pool/trainers/press-1/steps/1/open"),
            r#"{"version":1,"groups":[{"prompt":"p","samples":1,"max_tokens":8}]}"#,
            503,
        ),
    ];
    for (url, body, expected) in cases {
        let response = http.post(&url).body(body).send().await.expect("response");
        let status = response.status().as_u16();
        let error: Value = response.json().await.expect("JSON error");
        assert_eq!(status, expected, "{url}: {error}");
        assert!(error["message"].as_str().is_some_and(|text| text.contains(':')), "{error}");
    }
    let oversized = http.post(format!("{steps}/1/open")).body("x".repeat(9 << 20)).send().await;
    let error: Value = oversized.expect("response").json().await.expect("JSON error");
    assert_eq!(error["kind"], "bad_request", "{error}");
    // "Not open" tells trainers to open their step again, which does not help here.
    let missing: Result<Value, ClientError> = fleet
        .operator()
        .send_once(&Method::GET, "/v1/pools/no-such-pool", None::<&Value>, Duration::ZERO)
        .await;
    let missing = missing.expect_err("refused");
    assert!(
        matches!(&missing, ClientError::Refused(error) if error.kind.to_string() == "not found"),
        "{missing}"
    );
    // A pool that is not configured creates no lease.
    let lease = "/v1/objects/lease/keeper:no-such-pool:press-1";
    let found = http.get(format!("http://{}{lease}", fleet.platform.address())).send().await;
    assert_eq!(found.expect("response").status(), 404);
}
