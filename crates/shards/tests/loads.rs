//! Loads at a hundred engines, as the box that orders them tells the server that runs items there.
//!
//! The pattern: a service of 102 engines for six models; versions are named every four seconds, a load takes
//! 0.9 s, and up to 20 engines load at a time. An engine turns work away while it loads. The server of one
//! model's jobs keeps some forty items under way on the 17 engines that follow its model, and is not the box
//! that orders loads: with 17 loads every 4 s, 4 in 17 of the engines load at any moment. Without word of them
//! every pick of such an engine is a refusal, and the engine rests up to half a second beyond its load.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{InstanceId, ModelName, ModelVersion, Moment, ServiceName, StartTime};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use routing::{HeldModel, TargetFailure, TargetRecord, TargetRequirements, TargetTable};
use shards::{LoadTable, apply_loads};

const ENGINES: usize = 17;
/// Loads under way of this model's engines: its part of 20 at a time.
const AT_ONCE: usize = 4;
const LOAD: Duration = Duration::from_millis(900);
/// How long news are on their way: they gather for 30 ms, and cross one link.
const NEWS: Duration = Duration::from_millis(32);
const TICK: Duration = Duration::from_millis(4);

fn engine(number: usize) -> InstanceId {
    format!("engine-{number}").parse().expect("an id")
}

fn model() -> ModelName {
    "layout".parse().expect("a model")
}

fn service() -> ServiceName {
    "engines".parse().expect("a service")
}

fn server_board() -> TargetTable {
    let domain: ids::DomainId = "domain-1".parse().expect("a domain");
    let mut board = TargetTable::new(domain.clone());
    for number in 0..ENGINES {
        board.put(
            Moment::START,
            TargetRecord {
                instance: engine(number),
                born: StartTime::default(),
                software: None,
                service: service(),
                address: SocketAddr::from(([127, 0, 0, 1], 1)),
                domain: domain.clone(),
                slots: 6,
                leaving: false,
                cold_left: Duration::ZERO,
                models: vec![HeldModel { model: model(), version: ModelVersion::new(1) }],
            },
        );
    }
    board
}

#[derive(Debug, Default)]
struct Outcome {
    started: u32,
    refused: u32,
}

/// Twelve seconds in which all engines take one version after another; the server starts an item every 4 ms
/// and each runs for 0.16 s.
fn play(told: bool) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (orders, mut board) = (LoadTable::default(), server_board());
    let mut outcome = Outcome::default();
    let mut loading: Vec<(usize, Moment)> = Vec::new();
    let mut runs: Vec<(InstanceId, Moment)> = Vec::new();
    let mut next = 0;
    let mut news_at = Moment::START;
    let need = TargetRequirements { free_slot: true, fast: true, ..TargetRequirements::default() };
    for tick in 0..3_000 {
        let now = Moment::START + TICK * tick;
        loading.retain(|(number, until)| {
            let ended = now >= *until;
            if ended {
                orders.load_ended(now, &engine(*number), true);
            }
            !ended
        });
        while loading.len() < AT_ONCE {
            let number = next % ENGINES;
            let version = ModelVersion::new(2 + u64::try_from(next / ENGINES).expect("small"));
            orders.load_started(&engine(number), &model(), version);
            loading.push((number, now + LOAD));
            next += 1;
        }
        if told && now.since(news_at) >= NEWS {
            apply_loads(&mut board, now, &orders.current_loads(now));
            news_at = now;
        }
        runs.retain(|(instance, until)| {
            if now >= *until {
                board.ended(instance);
                board.succeeded(now, instance);
            }
            now < *until
        });
        let Some(slot) = board.choose(now, &service(), &need, &mut rng) else { continue };
        outcome.started += 1;
        if loading.iter().any(|(number, _)| engine(*number) == slot.instance) {
            outcome.refused += 1;
            board.ended(&slot.instance);
            board.failed(now, &slot.instance, TargetFailure::Full);
        } else {
            runs.push((slot.instance, now + Duration::from_millis(160)));
        }
    }
    outcome
}

#[test]
fn a_server_that_is_told_of_loads_is_seldom_turned_away() {
    let (alone, told) = (play(false), play(true));
    assert!(alone.refused * 20 > alone.started, "the pattern is there: {alone:?}");
    assert!(told.refused * 5 < alone.refused, "{alone:?} against {told:?}");
    assert!(told.refused * 50 < told.started, "{told:?}");
}

#[test]
fn an_ended_load_tells_the_new_version_at_once() {
    let (orders, mut board) = (LoadTable::default(), server_board());
    let (model, version) = (model(), ModelVersion::new(2));
    let needs_new = TargetRequirements {
        model: Some((&model, version)),
        free_slot: true,
        ..TargetRequirements::default()
    };
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let (begun, ended) = (Moment::START, Moment::START + LOAD);
    orders.load_started(&engine(3), &model, version);
    apply_loads(&mut board, begun, &orders.current_loads(begun));
    assert_eq!(board.choose(begun, &service(), &needs_new, &mut rng), None);
    orders.load_ended(ended, &engine(3), true);
    apply_loads(&mut board, ended, &orders.current_loads(ended));
    let slot = board.choose(ended, &service(), &needs_new, &mut rng);
    assert_eq!(slot.map(|slot| slot.instance), Some(engine(3)));
}

#[test]
fn a_failed_load_gives_the_engine_back_under_its_old_version() {
    let (orders, mut board) = (LoadTable::default(), server_board());
    let (model, old) = (model(), ModelVersion::new(1));
    orders.load_started(&engine(0), &model, ModelVersion::new(2));
    orders.load_ended(Moment::START, &engine(0), false);
    apply_loads(&mut board, Moment::START, &orders.current_loads(Moment::START));
    let held = board.record(&engine(0)).map(|record| record.models.clone());
    assert_eq!(held, Some(vec![HeldModel { model, version: old }]));
}

/// Word of a box that is gone must not keep an engine idle.
#[test]
fn a_load_of_which_nothing_more_is_heard_is_believed_for_less_than_a_second() {
    let (orders, mut board) = (LoadTable::default(), server_board());
    let need = TargetRequirements { free_slot: true, ..TargetRequirements::default() };
    for number in 0..ENGINES {
        orders.load_started(&engine(number), &model(), ModelVersion::new(2));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    apply_loads(&mut board, Moment::START, &orders.current_loads(Moment::START));
    assert_eq!(board.choose(Moment::START, &service(), &need, &mut rng), None);
    let later = Moment::START + Duration::from_secs(1);
    assert!(board.choose(later, &service(), &need, &mut rng).is_some());
}
