//! Mutation testing: removes one mechanism at a time in a scratch copy and expects a test to fail.
//!
//! A guarantee counts as tested only if its test fails without the mechanism behind it. Each
//! mutation is a source edit and the test that must detect it.

use std::io;
use std::path::Path;
use std::process::Command;

use crate::scratch::{SourceEdit, update_copy};

/// The removal of one mechanism.
struct Mutation {
    /// Describes the faulty behavior; `mutate FILTER` matches a part of it.
    name: &'static str,
    file: &'static str,
    from: &'static str,
    to: &'static str,
    package: &'static str,
    /// Test name filter; empty runs all tests of the package.
    test: &'static str,
}

impl Mutation {
    const fn edit(&self) -> SourceEdit {
        SourceEdit { file: self.file, from: self.from, to: self.to }
    }
}

/// Returns the edits of all mutations.
pub fn edits() -> impl Iterator<Item = SourceEdit> {
    MUTATIONS.iter().map(Mutation::edit)
}

const MUTATIONS: &[Mutation] = &[
    Mutation {
        name: "admission: a permit outlives the box that holds it",
        file: "crates/shards/src/admission.rs",
        from: "            () = cancel.cancelled() => {}\n            () = time::sleep_until(deadline) => {}",
        to: "            () = time::sleep_until(deadline) => {}",
        package: "platform-standin",
        test: "permits_of_a_dead_box",
    },
    Mutation {
        name: "admission: changed priorities do not reach waiting requests",
        file: "crates/shards/src/admission.rs",
        from: "            self.queue.update_priorities(|route, customer| table.priority(route, customer));",
        to: "",
        package: "platform-standin",
        test: "changed_priority",
    },
    Mutation {
        name: "admission: a home that does not reply is asked for as long as the caller waits",
        file: "crates/node/src/admission.rs",
        from: "        let reply_timeout = (self.goal / REPLY_TIMEOUT_DIVISOR).max(MIN_REPLY_TIMEOUT);",
        to: "        let reply_timeout = time_left + MIN_REPLY_TIMEOUT;",
        package: "platform-standin",
        test: "home_is_paused",
    },
    Mutation {
        name: "admission: permits are requested without a shortage",
        file: "crates/node/src/admission.rs",
        from: "        let is_short = state.shortage.is_short(now);",
        to: "        let is_short = true;",
        package: "platform-standin",
        test: "below_capacity",
    },
    Mutation {
        name: "1: a missing stamp is treated as the last version",
        file: "crates/ledger/src/chunks.rs",
        from: "let Some(version) = stamp.version else {",
        to: "let Some(version) = stamp.version.or(self.oldest()).or(Some(ModelVersion::new(1))) else {",
        package: "sessions",
        test: "versions_are_attributed",
    },
    Mutation {
        name: "1: a replica in doubt gets work",
        file: "crates/placement/src/queue.rs",
        from: "ReplicaStatus::InDoubt => (NotRun::InDoubt, VERSION_RETRY),",
        to: "ReplicaStatus::InDoubt => return None,",
        package: "placement",
        test: "in_doubt",
    },
    Mutation {
        name: "1: a reading from before the order completed clears the doubt",
        file: "crates/placement/src/replica.rs",
        from: "if requested_at < self.valid_from && !restarted && !holds_ordered {",
        to: "if false {",
        package: "placement",
        test: "in_doubt",
    },
    Mutation {
        name: "2: no staleness check when a sample ends",
        file: "crates/ledger/src/step.rs",
        from: "if self.window().is_too_old(sample.oldest()) {",
        to: "if false {",
        package: "ledger",
        test: "too_old_when_it_ends",
    },
    Mutation {
        name: "2: waiting samples are not checked when the version changes",
        file: "crates/ledger/src/step.rs",
        from: "self.discard_where(|sample| window.is_too_old(sample.oldest()));",
        to: "let _ = window;",
        package: "ledger",
        test: "became_too_old",
    },
    Mutation {
        name: "2: no staleness check at the trainer",
        file: "crates/ledger/src/receiver.rs",
        from: "sample.spans.is_empty() || window.is_too_old(sample.oldest())",
        to: "sample.spans.is_empty()",
        package: "ledger",
        test: "nothing_stale",
    },
    Mutation {
        name: "3: the trainer does not check whether it already holds a slot",
        file: "crates/ledger/src/receiver.rs",
        from: "} else if self.held.contains(sample.slot) {",
        to: "} else if false {",
        package: "sessions",
        test: "keeper_fault",
    },
    Mutation {
        name: "3: a response with a lower token is accepted",
        file: "crates/ledger/src/receiver.rs",
        from: "if token < self.seen {",
        to: "if false {",
        package: "ledger",
        test: "lower_token",
    },
    Mutation {
        name: "3: a keeper does not step down on a higher token",
        file: "crates/keeping/src/keeper.rs",
        from: "Some(token) if seen > token => {",
        to: "Some(token) if seen > token && false => {",
        package: "keeping",
        test: "higher_token",
    },
    Mutation {
        name: "3: a takeover does not wait for the lease term",
        file: "crates/coord/src/lease.rs",
        from: "if free || now >= due {",
        to: "if true {",
        package: "coord",
        test: "never_two_holders",
    },
    Mutation {
        name: "3: a holder counts its term from the response instead of from before the write",
        file: "crates/coord/src/lease.rs",
        from: "self.hold(token, version, sent_at);",
        to: "self.hold(token, version, now + self.term / 4);",
        package: "coord",
        test: "",
    },
    Mutation {
        name: "limits: generation continues although the trainer does not pull",
        file: "crates/keeping/src/keeper.rs",
        from: "let full = self.waiting_bytes() >= MAX_WAITING_BYTES;",
        to: "let full = false;",
        package: "keeping",
        test: "does_not_pull",
    },
    Mutation {
        name: "4: the end of a response is not checked",
        file: "crates/wire/src/checksum.rs",
        from: "if equal { Ok(()) }",
        to: "if equal || true { Ok(()) }",
        package: "links",
        test: "is_an_error",
    },
    Mutation {
        name: "5: a broken response counts as not run",
        file: "crates/links/src/error.rs",
        from: "Self::Broken { .. } | Self::LinkLost => false,",
        to: "Self::Broken { .. } | Self::LinkLost => true,",
        package: "links",
        test: "is_an_error",
    },
    Mutation {
        name: "6: every request is retried",
        file: "crates/gannetwayd/src/http/plain.rs",
        from: "let safe = self.repeatable || error.definitely_not_run();",
        to: "let safe = true;",
        package: "demo",
        test: "not_to_be_repeated",
    },
    Mutation {
        name: "7: an engine's own leaving flag is ignored",
        file: "crates/placement/src/replica.rs",
        from: "if reading.leaving {",
        to: "if false {",
        package: "sessions",
        test: "leaving_engines",
    },
    Mutation {
        name: "8: a stopping box does not wait for requests in flight",
        file: "crates/gannetwayd/src/daemon.rs",
        from: "if left == 0 || time::Instant::now() >= deadline {",
        to: "if true {",
        package: "demo",
        test: "stop_at_once",
    },
    Mutation {
        name: "9: a write whose response was lost is not read back",
        file: "crates/gannetwayd/src/apply.rs",
        from: "if entry.write_id == write_id {",
        to: "if false {",
        package: "gannetwayd",
        test: "lost_response",
    },
    Mutation {
        name: "9: an older generation is applied",
        file: "crates/coord/src/follower.rs",
        from: "if generation <= self.generation {",
        to: "if false {",
        package: "coord",
        test: "never_goes_back",
    },
    Mutation {
        name: "platform: a slow copy ends the epoch during a store outage",
        file: "crates/shards/src/log_writer.rs",
        from: "let retry = !refused && !ctx.view.store_state().up;",
        to: "let retry = false && !refused;",
        package: "platform-standin",
        test: "slow_copy_is_awaited_during_store_outage",
    },
    Mutation {
        name: "platform: an entry box does not follow the feed",
        file: "crates/front/src/role.rs",
        from: "tokio::spawn(follow_feed(shared_view(), links.clone(), feeds, shutdown.clone()));",
        to: "drop((feeds, links.clone(), follow_feed));",
        package: "platform-standin",
        test: "entry_box_without_store_learns_of_new_servers",
    },
    Mutation {
        name: "platform: positions are assigned between two epochs",
        file: "crates/jobs/src/table.rs",
        from: "        self.appends_suspended = true;",
        to: "",
        package: "jobs",
        test: "no_result_is_listed",
    },
    Mutation {
        name: "customers: an unknown key admits callers",
        file: "crates/routing/src/table.rs",
        from: "            None => CallerIdentity::Refused,",
        to: "            None => CallerIdentity::Anonymous,",
        package: "platform",
        test: "customers_and_their_keys",
    },
    Mutation {
        name: "customers: a key shared by two customers belongs to the first",
        file: "crates/routing/src/customers.rs",
        from: "                occupied.insert(None);",
        to: "",
        package: "routing",
        test: "key_shared_by_two_customers",
    },
    Mutation {
        name: "customers: a forged customer header is forwarded",
        file: "platform/src/headers.rs",
        from: "    headers.remove(CUSTOMER);",
        to: "",
        package: "platform",
        test: "forged_customer_and_key_are_not_forwarded",
    },
    Mutation {
        name: "customers: a key is forwarded to targets",
        file: "platform/src/headers.rs",
        from: "    headers.remove(AUTHORIZATION);",
        to: "",
        package: "platform",
        test: "forged_customer_and_key_are_not_forwarded",
    },
    Mutation {
        name: "customers: a box with stale configuration rejects unknown keys",
        file: "crates/front/src/admission.rs",
        from: "    let is_current = view.has_fresh_config();",
        to: "    let is_current = view.is_configured();",
        package: "platform-standin",
        test: "stale_config_does_not_reject_unknown_keys",
    },
    Mutation {
        name: "customers: a run does not send the customer header to its engine",
        file: "crates/shards/src/run.rs",
        from: "        self.set_customer_header(&mut header_map);",
        to: "",
        package: "platform-standin",
        test: "job_is_hidden_from_other_customers",
    },
    Mutation {
        name: "customers: any customer may access any job",
        file: "crates/jobs/src/reads.rs",
        from: "!owner.is_empty() && !customer.is_empty() && owner != customer",
        to: "false && owner != customer",
        package: "jobs",
        test: "only_its_customer_may_access",
    },
    Mutation {
        name: "customers: text is carried over between customers",
        file: "crates/jobs/src/table.rs",
        from: "        if earlier.job.customer != job.customer {",
        to: "        if false {",
        package: "jobs",
        test: "text_is_not_carried_over_between_customers",
    },
    Mutation {
        name: "usage: an uncertain write of a report is not read back",
        file: "crates/usage/src/plan.rs",
        from: "            StoreOutcome::Absent | StoreOutcome::Uncertain => self.last = LastReport::Unread,",
        to: "            StoreOutcome::Absent | StoreOutcome::Uncertain => self.last = LastReport::Absent,",
        package: "usage",
        test: "uncertain_write_is_read_back",
    },
    Mutation {
        name: "usage: a new leaseholder does not resend the last report",
        file: "crates/usage/src/plan.rs",
        from: "                // It is unknown whether the previous leaseholder sent it.\n                self.last = LastReport::Report { version, report, delivered: false };",
        to: "                self.last = LastReport::Report { version, report, delivered: true };",
        package: "usage",
        test: "failed_report_is_resent",
    },
    Mutation {
        name: "usage: a clock step is accepted at once",
        file: "crates/usage/src/clock.rs",
        from: "has_quorum && now.since(since) >= STEP_WINDOW",
        to: "has_quorum && now >= since",
        package: "usage",
        test: "short_step_of_all_boxes",
    },
    Mutation {
        name: "usage: an outdated report of a count replaces a newer one",
        file: "crates/usage/src/table.rs",
        from: "cell.requests >= received.requests",
        to: "cell.requests == received.requests",
        package: "usage",
        test: "duplicate_and_outdated_counts",
    },
    Mutation {
        name: "suspects: only work with as many crashes explains a crash",
        file: "crates/suspects/src/table.rs",
        from: "count >= other.count() || (count >= QUARANTINE_CRASHES && unshared() >= UNEXPLAINED_CRASHES)",
        to: "count >= other.count() || (false && unshared() >= UNEXPLAINED_CRASHES)",
        package: "suspects",
        test: "work_beside_two_poison_works",
    },
    Mutation {
        name: "jobs: the remaining flags of a listed item are reused as a complete text",
        file: "crates/jobs/src/table.rs",
        from: "            state.items[index].clear_text();",
        to: "            state.items[index].text = Vec::new();",
        package: "jobs",
        test: "an_item_that_was_given_up_is_generated_again",
    },
    Mutation {
        name: "copies: all copies are in the server's own domain",
        file: "crates/joblog/src/takeover.rs",
        from: "        let local = local.filter(|_| !chosen.is_empty());",
        to: "",
        package: "joblog",
        test: "the_first_partner_is_in_another_domain",
    },
    Mutation {
        name: "suspects: unresolved disconnects are not bounded",
        file: "crates/suspects/src/table.rs",
        from: "!involves(suspect) && suspect.disconnects.len() < MAX_DISCONNECTS",
        to: "!involves(suspect) && suspect.disconnects.len() < usize::MAX",
        package: "suspects",
        test: "unresolved_disconnects_are_bounded",
    },
    Mutation {
        name: "replicas: an outdated listing counts as a shortage",
        file: "crates/replicas/src/lib.rs",
        from: "            self.shortages.clear();",
        to: "",
        package: "replicas",
        test: "outdated_listing_is_no_shortage",
    },
    Mutation {
        name: "replicas: a crash orders a replica at once",
        file: "crates/replicas/src/lib.rs",
        from: "now.since(since) >= SHORTAGE_TIMEOUT && !is_delayed",
        to: "now >= since && !is_delayed",
        package: "replicas",
        test: "short_crash_orders_nothing",
    },
    Mutation {
        name: "usage: a domain without a feed source does not report its usage",
        file: "crates/node/src/feed/client.rs",
        from: "                self.report_usage_to_other_domain().await;",
        to: "",
        package: "platform-standin",
        test: "usage_is_reported_once_per_window_across_holders",
    },
    Mutation {
        name: "platform: no box replaces a leaseholder that cannot reach the store",
        file: "crates/shards/src/claim.rs",
        from: "|| is_fallback_holder(ctx, lease);",
        to: "; let _ = is_fallback_holder;",
        package: "platform-standin",
        test: "lease_holder_without_store_is_replaced",
    },
    Mutation {
        name: "platform: an isolated box stays ready",
        file: "crates/front/src/server.rs",
        from: "let is_operational = self.view.is_configured() && !self.view.is_isolated();",
        to: "let is_operational = self.view.is_configured();",
        package: "platform-standin",
        test: "isolated_entry_box_reports_not_ready",
    },
    Mutation {
        name: "platform: an unresponsive link counts as idle",
        file: "crates/links/src/liveness.rs",
        from: "if now >= pong_by { LinkAction::Dead }",
        to: "if now >= pong_by { LinkAction::Idle }",
        package: "links",
        test: "unresponsive_link",
    },
    Mutation {
        name: "platform: idle connections are reused after one became unresponsive",
        file: "crates/upstream/src/pool.rs",
        from: "self.lock().clear();",
        to: "let _ = self.lock();",
        package: "upstream",
        test: "close_idle_prevents_reuse",
    },
    Mutation {
        name: "platform: long texts of a later job wait for short ones of an earlier job",
        file: "crates/jobs/src/order.rs",
        from: "as_secs_f64() * 1_000.0 - text_millis",
        to: "as_secs_f64() * 1_000.0 - text_millis * 0.0",
        package: "jobs",
        test: "a_long_text_of_a_later_job",
    },
    Mutation {
        name: "platform: the most outdated engines load first, regardless of their model",
        file: "crates/swaps/src/loads.rs",
        from: "fresh * 1_000 / all.max(1)",
        to: "0 * fresh * all",
        package: "swaps",
        test: "the_model_with_the_smallest_fraction",
    },
    Mutation {
        name: "platform: texts on disk are not read back",
        file: "crates/shards/src/handler.rs",
        from: "page.results[index] = result;",
        to: "drop(result);",
        package: "platform-standin",
        test: "old_ended_jobs_are_read_from_disk",
    },
    Mutation {
        name: "platform: a response about any kind proves the configuration fresh",
        file: "crates/node/src/follow.rs",
        from: "self.view.feed.record_proof(self.kind, self.view.now());",
        to: "self.view.feed.record_proof(Kind::Configuration, self.view.now());",
        package: "platform-standin",
        test: "response_for_other_kind_does_not_prove_configuration",
    },
    Mutation {
        name: "platform: feed freshness does not expire",
        file: "crates/node/src/feed/freshness.rs",
        from: "let stale_at = proof.proven_at + self.max_proof_age;",
        to: "let stale_at = proof.proven_at + self.max_proof_age * 100;",
        package: "platform-standin",
        test: "freshness_lasts_while_proofs_arrive",
    },
    Mutation {
        name: "platform: an idle connection to the store is reused",
        file: "platform/src/store.rs",
        from: "const IDLE_TIMEOUT: Duration = Duration::from_millis(600);",
        to: "const IDLE_TIMEOUT: Duration = Duration::from_secs(60);",
        package: "platform",
        test: "idle_connection_is_not_reused",
    },
    Mutation {
        name: "platform: a reward call times out after the maximum hedge delay",
        file: "crates/jobs/src/reward_plan.rs",
        from: "limit: timeout.unwrap_or(DEFAULT_LIMIT) }",
        to: "limit: timeout.unwrap_or(DEFAULT_LIMIT).min(MAX_HEDGE_DELAY) }",
        package: "jobs",
        test: "slow_on_every_target",
    },
    Mutation {
        name: "platform: a reward call to an unresponsive target is not hedged",
        file: "crates/jobs/src/reward_plan.rs",
        from: "(calls_made < MAX_CALLS && at < self.limit).then_some(at)",
        to: "(calls_made < 1 && at < self.limit).then_some(at)",
        package: "jobs",
        test: "an_unresponsive_target_delays",
    },
    Mutation {
        name: "platform: a reward call waits behind items that need an engine",
        file: "crates/jobs/src/scheduling.rs",
        from: "candidates.extend(self.candidate(now, next.job, next.offset + 1, true));",
        to: "let _ = next.blocked;",
        package: "jobs",
        test: "a_reward_call_does_not_wait",
    },
    Mutation {
        name: "platform: a starting box lists the store instead of waiting for the feed",
        file: "crates/node/src/follow.rs",
        from: "            self.start_mode = StartMode::AwaitFeed;",
        to: "            self.start_mode = StartMode::List;",
        package: "platform-standin",
        test: "box_served_by_feed_at_start_does_not_call_store",
    },
    Mutation {
        name: "platform: a deployment with few storage boxes has many shards",
        file: "crates/joblog/src/layout.rs",
        from: "copies.max(1) * BOXES_PER_COPY",
        to: "copies.max(1)",
        package: "joblog",
        test: "a_small_deployment_has_one_shard",
    },
    Mutation {
        name: "platform: a takeover waits for copies that are known to be lost",
        file: "crates/joblog/src/takeover.rs",
        from: "let rank = rank.saturating_sub(view.lost_before);",
        to: "let rank = rank.saturating_sub(0 * view.lost_before);",
        package: "joblog",
        test: "takeover_does_not_wait_for_lost_copies",
    },
    Mutation {
        name: "platform: trainers on one host share one server",
        file: "crates/joblog/src/takeover.rs",
        from: r#"format!("{} {model}", host.to_ascii_lowercase())"#,
        to: r#"format!("{} {}", host.to_ascii_lowercase(), &model[..0])"#,
        package: "joblog",
        test: "trainers_on_one_host",
    },
    Mutation {
        name: "platform: a job is reported unknown while a shard without a server may contain it",
        file: "crates/front/src/search.rs",
        from: "ShardFault::NotServed => 2,",
        to: "ShardFault::NotServed => 0,",
        package: "front",
        test: "unknown_only_when_all_shards_say_so",
    },
    Mutation {
        name: "platform: one box is the initial server of several shards",
        file: "crates/joblog/src/takeover.rs",
        from: "        initial_servers.push(first);",
        to: "        let _ = first;",
        package: "joblog",
        test: "initial_servers_are_distinct_boxes",
    },
    Mutation {
        name: "platform: servers learn of weight loads only from refusals",
        file: "crates/shards/src/loads.rs",
        from: "if load.ended { now } else { now + LOAD_REPORT_TTL }",
        to: "if load.ended { now } else { now + LOAD_REPORT_TTL * 0 }",
        package: "shards",
        test: "load_reports_prevent_most_refusals",
    },
    Mutation {
        name: "platform: connections are not reused if the keep-alive timeout of a target is one second",
        file: "crates/upstream/src/response.rs",
        from: "const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(300);",
        to: "const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);",
        package: "upstream",
        test: "timeout_of_one_second",
    },
    Mutation {
        name: "platform: boxes with a feed source probe an unresponsive store as often as the source",
        file: "crates/node/src/probe.rs",
        from: "            _ if has_source => FEED_PAUSE,",
        to: "            _ if has_source && failures > 99 => FEED_PAUSE,",
        package: "node",
        test: "boxes_with_feed_source_probe_store_less",
    },
    Mutation {
        name: "platform: items wait for idle connections to close",
        file: "crates/upstream/src/pool.rs",
        from: "        if !self.limit.has_capacity() {\n            self.close_idle();\n        }\n",
        to: "",
        package: "upstream",
        test: "idle_connections_do_not_block",
    },
    Mutation {
        name: "platform: a read gets 404 while its job's shard has no server",
        file: "crates/front/src/search.rs",
        from: "ShardFault::NotServed => 2,",
        to: "ShardFault::NotServed => 0,",
        package: "platform-standin",
        test: "job_is_found_in_any_shard",
    },
    Mutation {
        name: "suspects: a closed connection counts as a crash of its target",
        file: "crates/node/src/disconnects.rs",
        from: "    if state == PortState::Refuses {",
        to: "    if state != PortState::Unresponsive {",
        package: "platform-standin",
        test: "broken_connections_quarantine_nothing",
    },
    Mutation {
        name: "suspects: the exit of a leaving target counts as a crash",
        file: "crates/node/src/sinks.rs",
        from: "                    self.view.suspects().clear_incarnation(&record.incarnation());\n",
        to: "",
        package: "platform-standin",
        test: "draining_targets_quarantine_nothing",
    },
    Mutation {
        name: "suspects: crashes that other work explains still count",
        file: "crates/suspects/src/table.rs",
        from: "explaining.iter().any(|other| other.has_crash_of(&crash.life))",
        to: "explaining.iter().any(|other| other.count() > 99 && other.has_crash_of(&crash.life))",
        package: "suspects",
        test: "single_poison_work_quarantines_no_other",
    },
    Mutation {
        name: "suspects: two poison requests that crash targets together are not quarantined",
        file: "crates/suspects/src/verdict.rs",
        from: "self.crashes >= UNCONDITIONAL_QUARANTINE_CRASHES\n            || ",
        to: "self.crashes >= 99 * UNCONDITIONAL_QUARANTINE_CRASHES\n            || ",
        package: "suspects",
        test: "always_crash_together",
    },
    Mutation {
        name: "suspects: work close to quarantine runs beside other such work",
        file: "crates/suspects/src/table.rs",
        from: "required: suspect.is_some_and(|entry| entry.count() >= ISOLATION_CRASHES),",
        to: "required: suspect.is_some_and(|entry| entry.count() >= 99 * ISOLATION_CRASHES),",
        package: "platform-standin",
        test: "concurrent_poison_requests_are_told_apart_from_other_work",
    },
    Mutation {
        name: "suspects: isolated work is refused while others occupy its targets",
        file: "crates/node/src/choice.rs",
        from: "time_left.saturating_sub(goal)",
        to: "time_left.saturating_sub(time_left)",
        package: "platform-standin",
        test: "isolated_work_waits_for_target",
    },
    Mutation {
        name: "suspects: work close to quarantine runs while all targets of its service fail",
        file: "crates/node/src/choice.rs",
        from: "if anti_affinity.held {",
        to: "if anti_affinity.held && !can_wait {",
        package: "platform-standin",
        test: "simultaneous_crashes_quarantine_nothing",
    },
    Mutation {
        name: "targets: a response without a request id counts as the target's",
        file: "platform/src/headers.rs",
        from: "self.request_id.as_deref().unwrap_or_default() == request_id",
        to: "self.request_id.as_deref().unwrap_or(request_id) == request_id",
        package: "platform-standin",
        test: "response_of_other_server_is_not_forwarded",
    },
    Mutation {
        name: "suspects: a response does not clear its work",
        file: "crates/node/src/plain.rs",
        from: "        TryOutcome::Answered => view.suspects().succeeded(work),\n",
        to: "",
        package: "platform-standin",
        test: "independent_crashes_quarantine_nothing",
    },
    Mutation {
        name: "suspects: crashes are not published to other boxes",
        file: "crates/suspects/src/table.rs",
        from: "        (worth_publishing && changed) || self.trial",
        to: "        (worth_publishing && changed && count > 99) || self.trial",
        package: "platform-standin",
        test: "poison_request_is_refused_at_every_box",
    },
    Mutation {
        name: "suspects: a quarantined item blocks its job",
        file: "crates/jobs/src/scheduling.rs",
        from: "                    candidates.extend(self.candidate(now, next.job, next.offset + 1, next.blocked));",
        to: "                    candidates.extend(self.candidate(now, next.job, next.offset + 1, true));",
        package: "jobs",
        test: "a_quarantined_item_waits_without_blocking_others",
    },
    Mutation {
        name: "suspects: a starting box does not apply stored crashes",
        file: "crates/suspects/src/table.rs",
        from: "            suspect.settled |= suspect.stored_crashes.len() >= QUARANTINE_CRASHES;",
        to: "            suspect.settled |= suspect.stored_crashes.len() >= 99 * QUARANTINE_CRASHES;",
        package: "suspects",
        test: "starting_box_applies_stored",
    },
    Mutation {
        name: "suspects: crashes of an incarnation that is still alive are not cleared",
        file: "crates/suspects/src/table.rs",
        from: "            suspect.local_crashes.retain(|crash| crash.life != *incarnation);",
        to: "",
        package: "suspects",
        test: "refusing_incarnation_that_stays",
    },
    Mutation {
        name: "suspects: every box runs the trial",
        file: "crates/suspects/src/table.rs",
        from: "        suspect.trial == Trial::Granted\n",
        to: "        suspect.trial != Trial::None\n",
        package: "suspects",
        test: "gets_three_trials",
    },
    Mutation {
        name: "platform: a watch on an unresponsive connection waits for its own timeout",
        file: "crates/node/src/follow.rs",
        from: "    if kind == Kind::Configuration {",
        to: "    if kind == Kind::Configuration || kind == Kind::ClusterState {",
        package: "platform-standin",
        test: "quarantine_does_not_wait_for_unresponsive_watch",
    },
    Mutation {
        name: "platform: each box sends at the full rate of a cold target",
        file: "crates/routing/src/cold.rs",
        from: "let shared_quota = self.max_per_second / MAX_SERVERS_PER_SHARD;",
        to: "let shared_quota = self.max_per_second * shards;",
        package: "routing",
        test: "all_senders_together_keep",
    },
    Mutation {
        name: "platform: a target that broke a connection counts as warm",
        file: "crates/routing/src/target_table.rs",
        from: "                    state.mark_cold(now + limit.time);\n                }\n                let backoff",
        to: "                    let _warm = limit.time;\n                }\n                let backoff",
        package: "routing",
        test: "broken_target_counts_as_cold",
    },
    Mutation {
        name: "platform: work goes to evacuated domains",
        file: "crates/routing/src/target_state.rs",
        from: "rules.evacuated.contains(&self.record.domain)\n            || self",
        to: "self",
        package: "routing",
        test: "evacuated_domain_gets",
    },
    Mutation {
        name: "platform: a revision inside a gap gets only the difference",
        file: "crates/node/src/feed/cache.rs",
        from: "revision < self.floor || self.may_have_unseen_objects(revision)",
        to: "revision < self.floor",
        package: "node",
        test: "revision_inside_gap_gets_full_update",
    },
    Mutation {
        name: "platform: a service that is routed later is not served by the feed",
        file: "crates/node/src/feed/mod.rs",
        from: "(Some(received), Some(wanted)) => !wanted.is_subset(received),",
        to: "(Some(_), Some(_)) => false,",
        package: "platform-standin",
        test: "service_that_is_routed_later_is_served",
    },
    Mutation {
        name: "platform: polls that returned nothing are repeated at once",
        file: "crates/node/src/feed/client.rs",
        from: "time::sleep_until(polled_at + MIN_POLL_INTERVAL).await;",
        to: "let _none = MIN_POLL_INTERVAL;",
        package: "platform-standin",
        test: "source_with_old_proof_is_not_polled_in_tight_loop",
    },
    Mutation {
        name: "platform: each box lists all targets itself when history is gone",
        file: "crates/node/src/follow.rs",
        from: "                    if was_served\n",
        to: "                    if !was_served\n",
        package: "platform-standin",
        test: "box_without_history_gets_targets_from_feed",
    },
    Mutation {
        name: "platform: all storage boxes are active",
        file: "crates/joblog/src/standby.rs",
        from: "const ACTIVE_PER_DOMAIN: usize = 4;",
        to: "const ACTIVE_PER_DOMAIN: usize = 4_000;",
        package: "joblog",
        test: "the_number_of_active_boxes_does_not_grow",
    },
    Mutation {
        name: "platform: the engines that a model needs grow with the fleet",
        file: "crates/swaps/src/shares.rs",
        from: "MIN_ENGINES + (filled * HEADROOM_FACTOR).ceil() as usize",
        to: "MIN_ENGINES + (filled * HEADROOM_FACTOR * 1e6).ceil() as usize",
        package: "swaps",
        test: "a_larger_fleet_needs_no_more_engines",
    },
    Mutation {
        name: "platform: a new incarnation under an old id is treated as the old one",
        file: "crates/routing/src/target_table.rs",
        from: "filter(|state| state.record.born == record.born)",
        to: "filter(|state| state.record.born <= record.born)",
        package: "routing",
        test: "new_incarnation_starts",
    },
    Mutation {
        name: "platform: a dropped call stays counted as in flight at its target",
        file: "crates/node/src/slot.rs",
        from: "        self.view.target_table().ended(&self.target.instance);\n",
        to: "",
        package: "platform-standin",
        test: "dropped_call_is_not_counted_in_flight",
    },
    Mutation {
        name: "platform: the clock does not count suspensions",
        file: "crates/node/src/clock.rs",
        from: "                started.elapsed() + suspended\n",
        to: "                started.elapsed() + suspended * 0\n",
        package: "platform-standin",
        test: "resumed_box_does_not_report_old_state_as_fresh",
    },
];

/// Runs every mutation whose name contains `only`. Returns an error that lists the mutations that
/// no test detected.
pub fn mutate(root: &Path, only: Option<&str>) -> io::Result<()> {
    let copy = root.join("target/mutate/tree");
    let mut undetected = Vec::new();
    for mutation in MUTATIONS.iter().filter(|m| only.is_none_or(|only| m.name.contains(only))) {
        update_copy(root, &copy)?;
        // A test that fails without the mutation would appear to detect it.
        if !test_passes(&copy, mutation)? {
            let fault = format!("{}: its test fails without the mutation", mutation.name);
            return Err(io::Error::other(fault));
        }
        mutation.edit().apply(&copy)?;
        let detected = !test_passes(&copy, mutation)?;
        println!("{} {}", if detected { "noticed  " } else { "UNNOTICED" }, mutation.name);
        if !detected {
            undetected.push(mutation.name);
        }
    }
    if undetected.is_empty() {
        return Ok(());
    }
    Err(io::Error::other(format!("no test detected: {}", undetected.join("; "))))
}

fn test_passes(copy: &Path, mutation: &Mutation) -> io::Result<bool> {
    let cargo = |args: &[&str]| {
        Command::new("cargo")
            .args(args)
            .current_dir(copy)
            .env("CARGO_TARGET_DIR", copy.join("../target"))
            .env("INSTA_UPDATE", "no")
            .output()
    };
    let built = cargo(&["build", "--quiet", "--workspace", "--bins"])?;
    if !built.status.success() {
        let text = String::from_utf8_lossy(&built.stderr).into_owned();
        return Err(io::Error::other(format!("{} does not build: {text}", mutation.name)));
    }
    let tested = cargo(&["test", "--quiet", "--package", mutation.package, mutation.test])?;
    Ok(tested.status.success())
}
