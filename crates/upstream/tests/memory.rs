//! Decisions of the memory budget, without a network.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{self, Instant};
use upstream::{ByteCount, MemoryBudget, MemoryUse, READER_TIMEOUT, ReaderPolicy};

const LIMIT: ByteCount = ByteCount::new(1_000);

fn budget() -> Arc<MemoryBudget> {
    Arc::new(MemoryBudget::new(Some(LIMIT)))
}

fn reserve(
    budget: &Arc<MemoryBudget>,
    memory_use: MemoryUse,
    bytes: usize,
) -> Option<upstream::Reservation> {
    budget.try_reserve(memory_use, ByteCount::new(bytes)).ok()
}

/// Guards against a deadlock: bodies that fill the budget would wait for responses that don't fit.
#[test]
fn bodies_leave_a_quarter_to_responses() {
    let budget = budget();
    let bodies = reserve(&budget, MemoryUse::RequestBody, 750).expect("three quarters fit");
    assert!(reserve(&budget, MemoryUse::RequestBody, 1).is_none());
    assert!(budget.check_room(MemoryUse::RequestBody, ByteCount::new(1)).is_err());
    let responses = reserve(&budget, MemoryUse::Response, 250).expect("the rest fits");
    assert!(reserve(&budget, MemoryUse::Response, 1).is_none());
    assert_eq!(budget.reserved(), LIMIT);
    drop((bodies, responses));
    assert_eq!(budget.reserved(), ByteCount::ZERO);
    assert!(reserve(&budget, MemoryUse::RequestBody, 750).is_some());
}

#[test]
fn failed_growth_keeps_the_reservation() {
    let budget = budget();
    let mut body = reserve(&budget, MemoryUse::RequestBody, 700).expect("it fits");
    assert!(body.try_grow(MemoryUse::RequestBody, ByteCount::new(100)).is_err());
    assert_eq!((body.bytes().get(), budget.reserved().get()), (700, 700));
    drop(body);
    assert_eq!(budget.reserved(), ByteCount::ZERO);
}

/// Guards against a release while a retry or a socket still holds a copy of the bytes.
#[test]
fn attached_bytes_are_released_with_their_last_copy() {
    let budget = budget();
    let held = reserve(&budget, MemoryUse::Response, 4).expect("it fits");
    let body = held.attach(Bytes::from_static(b"body"));
    let part = body.slice(1..2);
    drop(body);
    assert_eq!(budget.reserved(), ByteCount::new(4));
    drop(part);
    assert_eq!(budget.reserved(), ByteCount::ZERO);
}

#[test]
fn budget_without_limit_counts_and_never_refuses() {
    let budget = Arc::new(MemoryBudget::new(None));
    let held = reserve(&budget, MemoryUse::RequestBody, 1 << 40).expect("no limit");
    assert_eq!(budget.reserved(), held.bytes());
    assert_eq!(budget.take_shortage(), None);
}

#[tokio::test(start_paused = true)]
async fn response_waits_until_bytes_are_released() {
    let budget = budget();
    let held = reserve(&budget, MemoryUse::Response, 900).expect("it fits");
    let release = async {
        time::sleep(Duration::from_secs(1)).await;
        assert_eq!(budget.take_shortage(), Some(ByteCount::new(200)));
        assert!(budget.take_shortage().is_some(), "the response still waits");
        drop(held);
    };
    let started = Instant::now();
    let (reservation, ()) = tokio::join!(budget.reserve_response(ByteCount::new(200)), release);
    assert_eq!(started.elapsed(), Duration::from_secs(1));
    assert_eq!(budget.reserved(), reservation.bytes());
    assert_eq!(budget.take_shortage(), None);
}

/// Guards against a waiter that is not woken by a raised limit, and against one that stays counted
/// after it was dropped.
#[tokio::test(start_paused = true)]
async fn waiting_ends_with_a_higher_limit_or_a_timeout() {
    let budget = budget();
    let _held = reserve(&budget, MemoryUse::Response, 1_000).expect("it fits");
    let wait = budget.reserve_response(ByteCount::new(10));
    time::timeout(Duration::from_secs(1), wait).await.expect_err("nothing was released");
    budget.take_shortage();
    assert_eq!(budget.take_shortage(), None);
    let raise = async {
        time::sleep(Duration::from_secs(1)).await;
        budget.set_limit(None);
    };
    tokio::join!(budget.reserve_response(ByteCount::new(10)), raise);
}

/// Guards against disconnecting callers for a request that can never fit.
#[test]
fn oversized_reservation_is_no_shortage() {
    let budget = budget();
    assert!(reserve(&budget, MemoryUse::RequestBody, 751).is_none());
    assert_eq!(budget.take_shortage(), None);
    let _held = reserve(&budget, MemoryUse::Response, 300).expect("it fits");
    assert!(reserve(&budget, MemoryUse::RequestBody, 600).is_none());
    assert_eq!(budget.take_shortage(), Some(ByteCount::new(850)));
}

const FREE: ByteCount = ByteCount::new(100);
const NEEDED: ByteCount = ByteCount::new(200);

#[tokio::test(start_paused = true)]
async fn longest_stalled_reader_is_chosen_first() {
    let start = Instant::now();
    let now = start + Duration::from_mins(1);
    let mut policy = ReaderPolicy::default();
    policy.record_shortage(now, NEEDED);
    let since = |seconds: u64| now - Duration::from_secs(seconds);
    let stalled = [("short", since(6)), ("longest", since(9)), ("long", since(8))];
    assert_eq!(policy.choose(now, FREE, stalled), Some("longest"));
    assert_eq!(policy.choose(now, NEEDED, stalled), None, "enough was released");
}

#[tokio::test(start_paused = true)]
async fn reader_is_left_alone_before_the_timeout() {
    let now = Instant::now() + Duration::from_mins(1);
    let mut policy = ReaderPolicy::default();
    policy.record_shortage(now, NEEDED);
    let almost = now - READER_TIMEOUT + Duration::from_millis(1);
    assert_eq!(policy.choose(now, FREE, [("reader", almost)]), None);
    assert_eq!(policy.choose(now, FREE, [("reader", now - READER_TIMEOUT)]), Some("reader"));
}

#[tokio::test(start_paused = true)]
async fn readers_are_left_alone_without_a_recent_shortage() {
    let now = Instant::now() + Duration::from_mins(1);
    let stalled = [("reader", now - Duration::from_secs(30))];
    let mut policy = ReaderPolicy::default();
    assert_eq!(policy.choose(now, ByteCount::ZERO, stalled), None);
    policy.record_shortage(now - Duration::from_secs(3), NEEDED);
    assert_eq!(policy.choose(now, FREE, stalled), None, "nothing has been refused since");
}
