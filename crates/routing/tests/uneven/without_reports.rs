//! Compares choices in services without slowdown reports with an independent implementation of
//! their cost rule.

use std::time::Duration;

use ids::Moment;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{PredictedWork, TargetRequirements, TargetTable, WorkUnits};

use crate::{NOW, SLOTS, instance, load, service, target};

const TARGETS: usize = 9;

/// State of one target as the rule sees it.
#[derive(Debug, Clone, Copy, Default)]
struct Expected {
    unit_ms: f64,
    local: u32,
    remote: u32,
    is_remote_domain: bool,
}

impl Expected {
    /// Cost by the rule for targets that report no slowdown, written independently of the crate.
    fn cost(&self, fastest_ms: f64, fast: bool) -> f64 {
        let slowness = if self.unit_ms > 0.0 { self.unit_ms / fastest_ms } else { 1.0 };
        let load_ratio = f64::from(self.local + self.remote + 1) / f64::from(SLOTS);
        if fast {
            return slowness + 0.1 * load_ratio;
        }
        load_ratio * slowness + if self.is_remote_domain { 0.34 } else { 0.0 }
    }
}

fn expected_choice(
    targets: &[Expected],
    requirements: &TargetRequirements<'_>,
    rng: &mut ChaCha8Rng,
) -> Option<usize> {
    let known = targets.iter().map(|target| target.unit_ms).filter(|millis| *millis > 0.0);
    let fastest_ms = known.fold(f64::INFINITY, f64::min);
    let mut best: Option<(f64, usize)> = None;
    for (number, target) in targets.iter().enumerate() {
        if requirements.free_slot && target.local + target.remote >= SLOTS {
            continue;
        }
        let cost = target.cost(fastest_ms, requirements.fast) + rng.random::<f64>() * 0.01;
        if best.is_none_or(|(best_cost, _)| cost < best_cost) {
            best = Some((cost, number));
        }
    }
    best.map(|(_, number)| number)
}

fn random_requirements(rng: &mut ChaCha8Rng) -> TargetRequirements<'static> {
    let units = WorkUnits::new(rng.random_range(1.0..400.0));
    let reference = WorkUnits::new(rng.random_range(1.0..400.0));
    let work = rng.random::<bool>().then_some(PredictedWork { units, reference });
    let (free_slot, fast) = (rng.random(), rng.random());
    TargetRequirements { free_slot, fast, work, ..TargetRequirements::default() }
}

/// Records random unit times and loads, without slowdown.
fn random_reports(
    now: Moment,
    table: &mut TargetTable,
    targets: &mut [Expected],
    seed: u64,
    slowdown: Option<u32>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for (number, expected) in targets.iter_mut().enumerate() {
        let name = instance(&format!("i-{number}"));
        if rng.random::<f64>() < 0.3 {
            let millis = rng.random_range(10..200_u32);
            table.record_unit_time(now, &name, Duration::from_millis(millis.into()));
            expected.unit_ms = if expected.unit_ms == 0.0 {
                millis.into()
            } else {
                expected.unit_ms + 0.2 * (f64::from(millis) - expected.unit_ms)
            };
        }
        let running = rng.random_range(0..SLOTS + 3);
        table.record_load(now, &name, load(running, slowdown));
        expected.remote = running.saturating_sub(expected.local);
    }
}

/// Guards against estimates of speed that change choices in services whose targets never report a
/// slowdown.
#[test]
fn services_without_reports_are_chosen_by_load_and_unit_time() {
    assert_same_choices(None, None);
}

/// Guards against estimates of speed that change the choices for texts unless they are turned on.
#[test]
fn texts_are_chosen_by_load_and_unit_time_by_default() {
    let units = WorkUnits::new(20.0);
    assert_same_choices(Some(250), Some(PredictedWork { units, reference: units }));
}

/// Compares choices with the previous rule, in a service whose targets report this slowdown.
fn assert_same_choices(slowdown: Option<u32>, work: Option<PredictedWork>) {
    let mut compared = 0;
    for seed in 0..60 {
        let mut table = TargetTable::new("home".parse().expect("valid id"));
        let mut targets = vec![Expected::default(); TARGETS];
        for (number, expected) in targets.iter_mut().enumerate() {
            let mut record = target(&format!("i-{number}"));
            expected.is_remote_domain = number % 3 != 0;
            if expected.is_remote_domain {
                record.domain = "away".parse().expect("valid id");
            }
            table.put(NOW, record);
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for round in 0..20 {
            let now = NOW + Duration::from_secs(round + 1);
            random_reports(now, &mut table, &mut targets, seed * 100 + round, slowdown);
            for _ in 0..6 {
                let requirements = TargetRequirements { work, ..random_requirements(&mut rng) };
                let mut same = rng.clone();
                let chosen = table.choose(now, &service(), &requirements, &mut rng);
                let expected = expected_choice(&targets, &requirements, &mut same);
                let name = expected.map(|number| instance(&format!("i-{number}")));
                assert_eq!(chosen.map(|chosen| chosen.instance), name, "seed {seed}");
                if let Some(number) = expected {
                    targets[number].local += 1;
                }
                compared += 1;
            }
            for (number, expected) in targets.iter_mut().enumerate() {
                for _ in 0..std::mem::take(&mut expected.local) {
                    table.ended(&instance(&format!("i-{number}")));
                }
            }
        }
    }
    assert_eq!(compared, 60 * 20 * 6);
}
