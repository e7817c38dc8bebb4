//! Reservations of bytes under a common limit.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync::Notify;

use super::ByteCount;

/// Request bodies may use all but one in this many parts of the limit. The rest is for responses:
/// if bodies used it up, no request could complete and release its body.
const RESPONSE_SHARE_DIVISOR: usize = 4;

/// What bytes are reserved for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryUse {
    /// The body of a request.
    RequestBody,
    /// The response of a target.
    Response,
}

/// The bytes do not fit into the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the memory limit is reached: retry later, or raise `--memory-mb`")]
pub struct OutOfMemory;

/// Counts the buffered bytes of a box and limits them. Reservations take one atomic operation.
#[derive(Debug)]
pub struct MemoryBudget {
    /// [`usize::MAX`] if there is no limit.
    limit: AtomicUsize,
    reserved: AtomicUsize,
    /// Free bytes that the largest reservation needs of those that did not fit since
    /// [`Self::take_shortage`] was called; 0 if all fitted.
    missing: AtomicUsize,
    /// Number of reservations that wait for room.
    waiting: AtomicUsize,
    released: Notify,
}

impl Default for MemoryBudget {
    fn default() -> Self {
        Self::new(None)
    }
}

impl MemoryBudget {
    /// Creates a budget without reservations; `None` is no limit.
    pub fn new(limit: Option<ByteCount>) -> Self {
        Self {
            limit: AtomicUsize::new(limit.unwrap_or(ByteCount::MAX).get()),
            reserved: AtomicUsize::new(0),
            missing: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            released: Notify::new(),
        }
    }

    /// Changes the limit. Bytes reserved beyond a lower limit stay reserved.
    pub fn set_limit(&self, limit: Option<ByteCount>) {
        self.limit.store(limit.unwrap_or(ByteCount::MAX).get(), Ordering::SeqCst);
        self.released.notify_waiters();
    }

    /// The limit; [`ByteCount::MAX`] if there is none.
    pub fn limit(&self) -> ByteCount {
        ByteCount::new(self.limit.load(Ordering::SeqCst))
    }

    /// Number of reserved bytes.
    pub fn reserved(&self) -> ByteCount {
        ByteCount::new(self.reserved.load(Ordering::SeqCst))
    }

    /// Number of bytes that can still be reserved for responses.
    pub fn free(&self) -> ByteCount {
        self.limit().saturating_sub(self.reserved())
    }

    /// Part of the limit that is not available for a use.
    fn headroom(&self, memory_use: MemoryUse) -> ByteCount {
        let limit = self.limit();
        match memory_use {
            MemoryUse::RequestBody if limit < ByteCount::MAX => {
                ByteCount::new(limit.get() / RESPONSE_SHARE_DIVISOR)
            }
            MemoryUse::RequestBody | MemoryUse::Response => ByteCount::ZERO,
        }
    }

    /// Whether the bytes would fit if nothing else were reserved.
    pub fn can_ever_fit(&self, memory_use: MemoryUse, bytes: ByteCount) -> bool {
        bytes <= self.limit().saturating_sub(self.headroom(memory_use))
    }

    /// Checks whether bytes fit now, without a reservation.
    pub fn check_room(&self, memory_use: MemoryUse, bytes: ByteCount) -> Result<(), OutOfMemory> {
        let needed = bytes.saturating_add(self.headroom(memory_use));
        if needed <= self.free() {
            return Ok(());
        }
        self.report_missing(memory_use, bytes);
        Err(OutOfMemory)
    }

    /// Reserves bytes, if they fit.
    pub fn try_reserve(
        self: &Arc<Self>,
        memory_use: MemoryUse,
        bytes: ByteCount,
    ) -> Result<Reservation, OutOfMemory> {
        let mut reservation = self.reserve_nothing();
        reservation.try_grow(memory_use, bytes)?;
        Ok(reservation)
    }

    /// Reserves bytes of a response. Waits until they fit.
    pub async fn reserve_response(self: &Arc<Self>, bytes: ByteCount) -> Reservation {
        let mut reservation = self.reserve_nothing();
        reservation.grow(bytes).await;
        reservation
    }

    /// Reserves bytes that are in memory already, even if they exceed the limit.
    pub fn reserve_held(self: &Arc<Self>, bytes: ByteCount) -> Reservation {
        self.reserved.fetch_add(bytes.get(), Ordering::SeqCst);
        Reservation { budget: Arc::clone(self), bytes }
    }

    /// Creates an empty reservation.
    pub fn reserve_nothing(self: &Arc<Self>) -> Reservation {
        Reservation { budget: Arc::clone(self), bytes: ByteCount::ZERO }
    }

    /// Returns the number of free bytes that reservations needed since the last call, if any did
    /// not fit.
    pub fn take_shortage(&self) -> Option<ByteCount> {
        let missing = self.missing.swap(0, Ordering::SeqCst);
        let is_waited_for = self.waiting.load(Ordering::SeqCst) > 0;
        (missing > 0 || is_waited_for).then(|| ByteCount::new(missing.max(1)))
    }

    fn try_add(&self, memory_use: MemoryUse, bytes: ByteCount) -> Result<(), OutOfMemory> {
        let max = self.limit().saturating_sub(self.headroom(memory_use)).get();
        let add = |reserved: usize| reserved.checked_add(bytes.get()).filter(|sum| *sum <= max);
        let added = self.reserved.fetch_update(Ordering::SeqCst, Ordering::SeqCst, add);
        if added.is_ok() {
            return Ok(());
        }
        self.report_missing(memory_use, bytes);
        Err(OutOfMemory)
    }

    /// Records bytes that did not fit, unless no released bytes could make them fit.
    fn report_missing(&self, memory_use: MemoryUse, bytes: ByteCount) {
        if self.can_ever_fit(memory_use, bytes) {
            let needed = bytes.saturating_add(self.headroom(memory_use));
            self.missing.fetch_max(needed.get(), Ordering::SeqCst);
        }
    }

    fn release(&self, bytes: ByteCount) {
        if bytes == ByteCount::ZERO {
            return;
        }
        self.reserved.fetch_sub(bytes.get(), Ordering::SeqCst);
        if self.waiting.load(Ordering::SeqCst) > 0 {
            self.released.notify_waiters();
        }
    }
}

/// Counts a reservation as waiting until it is dropped.
struct WaitGuard<'a>(&'a AtomicUsize);

impl<'a> WaitGuard<'a> {
    fn new(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::SeqCst);
        Self(waiting)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Reserved bytes; released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: ByteCount,
}

impl Reservation {
    /// Number of bytes reserved.
    pub const fn bytes(&self) -> ByteCount {
        self.bytes
    }

    /// Reserves more bytes, if they fit.
    pub fn try_grow(&mut self, memory_use: MemoryUse, by: ByteCount) -> Result<(), OutOfMemory> {
        self.budget.try_add(memory_use, by)?;
        self.bytes = self.bytes.saturating_add(by);
        Ok(())
    }

    /// Reserves more bytes of a response. Waits until they fit.
    pub async fn grow(&mut self, by: ByteCount) {
        if self.try_grow(MemoryUse::Response, by).is_ok() {
            return;
        }
        let budget = Arc::clone(&self.budget);
        let _waiting = WaitGuard::new(&budget.waiting);
        loop {
            let mut released = pin!(budget.released.notified());
            // Subscribes before the try, so that no release in between is missed.
            released.as_mut().enable();
            if self.try_grow(MemoryUse::Response, by).is_ok() {
                return;
            }
            released.await;
        }
    }

    /// Attaches the reservation to bytes; it is released with their last copy. Does not copy them.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
