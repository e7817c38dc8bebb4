//! Ablation: scratch copies without one mechanism, to measure its effect.
//!
//! Unlike a mutation, which a test must detect, an ablation is a working program that makes worse
//! decisions. The caller builds and runs the copy and compares the results.

use std::io;
use std::path::Path;

use crate::scratch::{SourceEdit, update_copy};

struct Ablation {
    name: &'static str,
    /// Behavior without the mechanism.
    without: &'static str,
    edit: SourceEdit,
}

const ABLATIONS: &[Ablation] = &[
    Ablation {
        name: "shared-admission",
        without: "boxes choose targets of a short service by themselves; only retries are bounded",
        edit: SourceEdit {
            file: "crates/node/src/admission.rs",
            from: "        let is_short = state.shortage.is_short(now);",
            to: "        let is_short = false && state.shortage.is_short(now);",
        },
    },
    Ablation {
        name: "returning-callers",
        without: "a caller that returns after a refusal counts as a new one",
        edit: SourceEdit {
            file: "crates/admission/src/refused_work.rs",
            from: "        self.first_arrivals.get(&work).copied().unwrap_or(now)",
            to: "        self.first_arrivals.get(&work).copied().filter(|_| false).unwrap_or(now)",
        },
    },
    Ablation {
        name: "reuse-after-refusal",
        without: "each refusal of a full target closes its connection",
        edit: SourceEdit {
            file: "crates/upstream/src/response.rs",
            from: "                status.is_success() || headers.contains_key(header)",
            to: "                status.is_success() || (false && headers.contains_key(header))",
        },
    },
    Ablation {
        name: "trainer-shards",
        without: "trainers on one host share one server",
        edit: SourceEdit {
            file: "crates/joblog/src/takeover.rs",
            from: r#"format!("{} {model}", host.to_ascii_lowercase())"#,
            to: r#"format!("{} {}", host.to_ascii_lowercase(), &model[..0])"#,
        },
    },
    Ablation {
        name: "told-loads",
        without: "servers learn only from refusals of weight loads that they did not order",
        edit: SourceEdit {
            file: "crates/shards/src/loads.rs",
            from: "if serves { ctx.loads.current_loads",
            to: "if serves && other.as_str().is_empty() { ctx.loads.current_loads",
        },
    },
    Ablation {
        name: "brief-rest",
        without: "connections are not reused if the keep-alive timeout of a target is one second",
        edit: SourceEdit {
            file: "crates/upstream/src/response.rs",
            from: "const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(300);",
            to: "const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);",
        },
    },
    Ablation {
        name: "told-pause",
        without: "boxes with a feed source probe an unresponsive store as often as the source",
        edit: SourceEdit {
            file: "crates/node/src/probe.rs",
            from: "            _ if has_source => FEED_PAUSE,",
            to: "            _ if has_source && failures > 99 => FEED_PAUSE,",
        },
    },
    Ablation {
        name: "second-call",
        without: "reward calls are not hedged",
        edit: SourceEdit {
            file: "crates/jobs/src/reward_plan.rs",
            from: "const MAX_CALLS: u32 = 3;",
            to: "const MAX_CALLS: u32 = 1;",
        },
    },
    Ablation {
        name: "first-feed",
        without: "a starting box lists all kinds itself",
        edit: SourceEdit {
            file: "crates/node/src/follow.rs",
            from: "            self.start_mode = StartMode::AwaitFeed;",
            to: "            self.start_mode = StartMode::List;",
        },
    },
    Ablation {
        name: "lost-copy",
        without: "takeovers wait for copies that are known to be lost",
        edit: SourceEdit {
            file: "crates/joblog/src/takeover.rs",
            from: "let rank = rank.saturating_sub(view.lost_before);",
            to: "let rank = rank.saturating_sub(0 * view.lost_before);",
        },
    },
    Ablation {
        name: "pace",
        without: "runs prefer near and idle engines over fast ones",
        edit: SourceEdit {
            file: "crates/shards/src/dispatch.rs",
            from: "        fast: true,",
            to: "        fast: false,",
        },
    },
    Ablation {
        name: "length-match",
        without: "short texts take slots of fast engines from long ones",
        edit: SourceEdit {
            file: "crates/routing/src/uneven.rs",
            from: "const PRICE_SHARE: f64 = 0.5;",
            to: "const PRICE_SHARE: f64 = 0.0;",
        },
    },
    Ablation {
        name: "latest-start",
        without: "items start job by job, regardless of their length",
        edit: SourceEdit {
            file: "crates/jobs/src/order.rs",
            from: "as_secs_f64() * 1_000.0 - text_millis",
            to: "as_secs_f64() * 1_000.0 - text_millis * 0.0",
        },
    },
    Ablation {
        name: "yield-slots",
        without: "with jobs ordered by due time, shards order only their own items",
        edit: SourceEdit {
            file: "crates/jobs/src/yielding.rs",
            from: "        yielded < YIELD_TIME\n",
            to: "        false\n",
        },
    },
    Ablation {
        name: "late-trainers",
        without: "with jobs ordered by due time, a trainer that is behind counts like any other",
        edit: SourceEdit {
            file: "crates/jobs/src/urgency.rs",
            from: "        self.behind_ms.clamp(0.0, MAX_BEHIND_MS) +",
            to: "        self.behind_ms.clamp(0.0, 0.0) +",
        },
    },
    Ablation {
        name: "longest-first",
        without: "items of a job start group by group, not longest first",
        edit: SourceEdit {
            file: "crates/jobs/src/order.rs",
            from: "    order.sort_by_key(|index| Reverse(job.items[*index as usize].length_hint));",
            to: "    order.sort_by_key(|index| Reverse(job.items[*index as usize].length_hint * 0));",
        },
    },
    Ablation {
        name: "fresh-part",
        without: "the most outdated engines load first, regardless of their model",
        edit: SourceEdit {
            file: "crates/swaps/src/loads.rs",
            from: "        fresh * 1_000 / all.max(1)",
            to: "        0 * fresh * all",
        },
    },
    Ablation {
        name: "share-by-work",
        without: "all models get the same number of engines, regardless of their work",
        edit: SourceEdit {
            file: "crates/shards/src/engine_assignments.rs",
            from: "        let shares = divide_engines(self.engines.len(), work);",
            to: "        let shares = divide_engines(self.engines.len(), &vec![1.0; work.len()]);",
        },
    },
    Ablation {
        name: "few-loads",
        without: "all engines may load weights at once",
        edit: SourceEdit {
            file: "crates/shards/src/rollout.rs",
            from: "    ((engines + parts / 2) / parts).max(1)",
            to: "    (engines + parts - parts).max(1)",
        },
    },
    Ablation {
        name: "move-slow",
        without: "runs stay on slow engines",
        edit: SourceEdit {
            file: "crates/shards/src/run.rs",
            from: "            if self.should_move() {",
            to: "            if self.should_move() && false {",
        },
    },
    Ablation {
        name: "progress",
        without: "long texts are logged only when complete",
        edit: SourceEdit {
            file: "crates/shards/src/run.rs",
            from: "const PROGRESS_EVENTS: usize = 16;",
            to: "const PROGRESS_EVENTS: usize = 1 << 30;",
        },
    },
    Ablation {
        name: "carried-text",
        without: "partial text of an earlier job is generated again",
        edit: SourceEdit {
            file: "crates/jobs/src/table.rs",
            from: "        let latest = self.latest_refs.get(item)?;",
            to: "        let latest = self.latest_refs.get(item).filter(|_| false)?;",
        },
    },
    Ablation {
        name: "rest-failed",
        without: "a failed target is retried at once",
        edit: SourceEdit {
            file: "crates/routing/src/target_table.rs",
            from: "const INITIAL_BACKOFF: Duration = Duration::from_millis(200);",
            to: "const INITIAL_BACKOFF: Duration = Duration::ZERO;",
        },
    },
    Ablation {
        name: "rest-full",
        without: "a full target is retried at once",
        edit: SourceEdit {
            file: "crates/routing/src/target_table.rs",
            from: "const INITIAL_FULL_BACKOFF: Duration = Duration::from_millis(60);",
            to: "const INITIAL_FULL_BACKOFF: Duration = Duration::ZERO;",
        },
    },
    Ablation {
        name: "feed",
        without: "every box polls the store itself",
        edit: SourceEdit {
            file: "crates/node/src/feed/client.rs",
            from: "self.failed_at.get(&candidate.box_id).is_none_or(|at| at.elapsed() >= SOURCE_BACKOFF)",
            to: "candidate.address.is_empty() && !self.failed_at.contains_key(&candidate.box_id)",
        },
    },
    Ablation {
        name: "cut-off",
        without: "an isolated box stays ready",
        edit: SourceEdit {
            file: "crates/front/src/isolation.rs",
            from: "view.set_isolated(view.is_configured() && last_contact",
            to: "view.set_isolated(false && last_contact",
        },
    },
    Ablation {
        name: "doubt",
        without: "a failed call does not trigger an isolation check",
        edit: SourceEdit {
            file: "crates/front/src/jobs_api.rs",
            from: "            self.alarm.raise();",
            to: "",
        },
    },
    Ablation {
        name: "ask-again",
        without: "a call whose connection was lost is not retried",
        edit: SourceEdit {
            file: "crates/front/src/jobs_api.rs",
            from: "        if error != CallError::LinkLost {",
            to: "        if true {",
        },
    },
    Ablation {
        name: "pulse",
        without: "an unresponsive link is not closed",
        edit: SourceEdit {
            file: "crates/links/src/liveness.rs",
            from: "if now >= pong_by { LinkAction::Dead }",
            to: "if now >= pong_by { LinkAction::Wait(now + IDLE_TIMEOUT) }",
        },
    },
    Ablation {
        name: "keep-lease",
        without: "a holder releases its lease when the shard moves",
        edit: SourceEdit {
            file: "crates/shards/src/claim.rs",
            from: "    let should_poll = serves || (lease.may_hold() && ctx.is_active());",
            to: "    let should_poll = serves;",
        },
    },
    Ablation {
        name: "stand-in",
        without: "no box replaces a leaseholder that cannot reach the store",
        edit: SourceEdit {
            file: "crates/shards/src/claim.rs",
            from: "serves_shard(ctx, keepers, lease) || is_fallback_holder(ctx, lease)",
            to: "serves_shard(ctx, keepers, lease) || (false && is_fallback_holder(ctx, lease))",
        },
    },
    Ablation {
        name: "reuse",
        without: "connections to targets are not reused",
        edit: SourceEdit {
            file: "crates/upstream/src/pool.rs",
            from: "const MAX_IDLE_PER_TARGET: usize = 16;",
            to: "const MAX_IDLE_PER_TARGET: usize = 0;",
        },
    },
    Ablation {
        name: "return",
        without: "watchers learn late that the store is available again",
        edit: SourceEdit {
            file: "crates/shards/src/claim.rs",
            from: "        ctx.view.store_answered(Kind::Leases, true);",
            to: "",
        },
    },
];

/// Returns the edits of all ablations.
pub fn edits() -> impl Iterator<Item = SourceEdit> {
    ABLATIONS.iter().map(|ablation| ablation.edit)
}

/// Prints one line per mechanism: its name and the behavior without it, separated by a tab.
pub fn list() {
    for ablation in ABLATIONS {
        println!("{}\t{}", ablation.name, ablation.without);
    }
}

/// Copies the tree at `root` to `to` without the mechanism `name`.
pub fn ablate(root: &Path, name: &str, to: &Path) -> io::Result<()> {
    let Some(ablation) = ABLATIONS.iter().find(|ablation| ablation.name == name) else {
        return Err(io::Error::other(format!(
            "unknown mechanism `{name}`: run `ablate` for the list"
        )));
    };
    update_copy(root, to)?;
    ablation.edit.apply(to)
}
