//! Connected callers, and the disconnection of those that take nothing of their response while the
//! memory budget is exhausted.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ids::whole_millis;
use node::NodeView;
use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;
use upstream::ReaderPolicy;

/// Interval between checks for callers to disconnect.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which the buffers of a disconnected caller are freed, before the next one is chosen.
const RELEASE_TIME: Duration = Duration::from_millis(2);

/// One caller's connection.
#[derive(Debug)]
pub struct Caller {
    peer: SocketAddr,
    opened: Instant,
    /// Milliseconds from `opened` to the start of the current stall, plus one; 0 if there is none.
    stalled_ms: AtomicU64,
    discards_input: AtomicBool,
    has_sent_request: AtomicBool,
    /// Cancelled to disconnect the caller.
    pub disconnected: CancellationToken,
    /// Cancelled when the connection has ended.
    pub ended: CancellationToken,
}

impl Caller {
    fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            opened: Instant::now(),
            stalled_ms: AtomicU64::new(0),
            discards_input: AtomicBool::new(false),
            has_sent_request: AtomicBool::new(false),
            disconnected: CancellationToken::new(),
            ended: CancellationToken::new(),
        }
    }

    /// Records that a request of the caller is being served.
    pub fn record_request(&self) {
        self.has_sent_request.store(true, Ordering::Relaxed);
    }

    /// Records that the box waits for the caller to take or to send bytes.
    pub fn record_stall(&self) {
        if self.stalled_ms.load(Ordering::Relaxed) == 0 {
            let elapsed = whole_millis(self.opened.elapsed());
            self.stalled_ms.store(elapsed + 1, Ordering::Relaxed);
        }
    }

    /// Records that the caller has taken or sent bytes.
    pub fn record_progress(&self) {
        if self.stalled_ms.load(Ordering::Relaxed) != 0 {
            self.stalled_ms.store(0, Ordering::Relaxed);
        }
    }

    /// Since when the box has waited for the caller.
    fn stalled_since(&self) -> Option<Instant> {
        let elapsed = self.stalled_ms.load(Ordering::Relaxed).checked_sub(1)?;
        Some(self.opened + Duration::from_millis(elapsed))
    }

    /// Makes the connection discard what the caller still sends when it is closed.
    pub fn discard_input(&self) {
        self.discards_input.store(true, Ordering::Relaxed);
    }

    /// Whether the connection discards input when it is closed.
    pub fn discards_input(&self) -> bool {
        self.discards_input.load(Ordering::Relaxed)
    }
}

/// The connected callers of a box.
#[derive(Debug, Default)]
pub struct CallerTable(Mutex<CallerMap>);

#[derive(Debug, Default)]
struct CallerMap {
    next_id: u64,
    callers: HashMap<u64, Arc<Caller>>,
}

impl CallerTable {
    fn lock(&self) -> MutexGuard<'_, CallerMap> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a caller, until the guard is dropped.
    pub fn connect(self: &Arc<Self>, peer: SocketAddr) -> CallerGuard {
        let caller = Arc::new(Caller::new(peer));
        let mut map = self.lock();
        let id = map.next_id;
        map.next_id += 1;
        map.callers.insert(id, Arc::clone(&caller));
        drop(map);
        CallerGuard { table: Arc::clone(self), id, caller }
    }

    /// Number of connections that have carried a request. While the box stops, idle connections are
    /// closed, so these still owe a part of a response.
    pub fn unfinished(&self) -> usize {
        let map = self.lock();
        map.callers.values().filter(|it| it.has_sent_request.load(Ordering::Relaxed)).count()
    }

    /// Returns the caller to disconnect, if any.
    fn choose(&self, policy: &ReaderPolicy, view: &NodeView) -> Option<Arc<Caller>> {
        let map = self.lock();
        let stalled = map.callers.values().filter_map(|caller| {
            let connected = !caller.disconnected.is_cancelled();
            connected.then(|| caller.stalled_since().map(|since| (caller, since)))?
        });
        policy.choose(Instant::now(), view.memory.free(), stalled).map(Arc::clone)
    }
}

/// Keeps a caller in the table.
#[derive(Debug)]
pub struct CallerGuard {
    table: Arc<CallerTable>,
    id: u64,
    caller: Arc<Caller>,
}

impl CallerGuard {
    /// The caller.
    pub const fn caller(&self) -> &Arc<Caller> {
        &self.caller
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.caller.ended.cancel();
        self.table.lock().callers.remove(&self.id);
    }
}

/// Disconnects slow callers while the memory budget is exhausted, until `shutdown` is cancelled.
pub async fn disconnect_slow_callers(
    view: Arc<NodeView>,
    callers: Arc<CallerTable>,
    shutdown: CancellationToken,
) {
    let mut policy = ReaderPolicy::default();
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = time::sleep(CHECK_INTERVAL) => {}
        }
        if let Some(needed) = view.memory.take_shortage() {
            policy.record_shortage(Instant::now(), needed);
        }
        while let Some(caller) = callers.choose(&policy, &view) {
            disconnect(&view, &caller);
            time::sleep(RELEASE_TIME).await;
        }
    }
}

fn disconnect(view: &NodeView, caller: &Caller) {
    let stalled = caller.stalled_since().map_or(Duration::ZERO, |since| since.elapsed());
    caller.disconnected.cancel();
    view.metrics.count_outcome("memory", "reader disconnected");
    log::warn!(
        target: "entry", peer:% = caller.peer, stalled_ms = whole_millis(stalled),
        reserved = view.memory.reserved().get(), limit = view.memory.limit().get();
        "slow reader disconnected"
    );
}
