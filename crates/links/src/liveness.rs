//! Liveness checks of connections.
//!
//! A connection can stop delivering data without a reset, while new connections to the same box
//! work. Every received frame shows that a link is alive. After sending on a link, the caller
//! expects a frame; if none arrives, it sends a ping, and closes the link if that gets no response
//! either. A link on which nothing is expected is not pinged.

use std::time::Duration;

use tokio::time::Instant;

/// Delay between a request and the ping that checks the link; most responses arrive earlier.
const PING_DELAY: Duration = Duration::from_millis(150);
/// Delay of the ping after a frame without a response, such as a box heartbeat.
const ONE_WAY_PING_DELAY: Duration = Duration::from_secs(2);
/// Maximum time between a ping and the next received frame. Allows for a TCP retransmission after
/// 200 ms, a round trip of 40 ms between distant domains and a pause of 100 ms by a CPU quota.
const PONG_TIMEOUT: Duration = Duration::from_millis(500);
/// Unused links are closed after this time to free their descriptors and buffers on both sides.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Next action on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkAction {
    /// Do nothing until this time.
    Wait(Instant),
    /// Send a ping.
    Ping,
    /// Close the link: the ping got no response.
    Dead,
    /// Close the link: it has been idle.
    Idle,
}

/// Liveness state of one link, on the calling side.
#[derive(Debug)]
pub struct LinkLiveness {
    used_at: Instant,
    ping_at: Option<Instant>,
    pong_by: Option<Instant>,
}

impl LinkLiveness {
    /// Creates the state of a link opened at `now`, on which no frame is expected.
    pub const fn new(now: Instant) -> Self {
        Self { used_at: now, ping_at: None, pong_by: None }
    }

    /// Records a queued request. Returns `true` if the next action is now due earlier.
    pub fn request_queued(&mut self, now: Instant) -> bool {
        self.schedule_ping(now, PING_DELAY)
    }

    /// Records a queued frame that has no response. Returns `true` if the next action is now due
    /// earlier.
    pub fn one_way_queued(&mut self, now: Instant) -> bool {
        self.schedule_ping(now, ONE_WAY_PING_DELAY)
    }

    fn schedule_ping(&mut self, now: Instant, delay: Duration) -> bool {
        self.used_at = now;
        let ping_at = now + delay;
        let is_earlier = self.ping_at.is_none_or(|current| ping_at < current);
        if is_earlier {
            self.ping_at = Some(ping_at);
        }
        is_earlier && self.pong_by.is_none()
    }

    /// Records a received frame; `has_calls` says whether calls still await responses.
    pub fn frame_received(&mut self, now: Instant, has_calls: bool) {
        self.pong_by = None;
        self.ping_at = has_calls.then(|| now + PING_DELAY);
        if has_calls {
            self.used_at = now;
        }
    }

    /// Returns the action due at `now`.
    pub fn next_action(&mut self, now: Instant) -> LinkAction {
        if let Some(pong_by) = self.pong_by {
            return if now >= pong_by { LinkAction::Dead } else { LinkAction::Wait(pong_by) };
        }
        if let Some(ping_at) = self.ping_at {
            if now < ping_at {
                return LinkAction::Wait(ping_at);
            }
            self.pong_by = Some(now + PONG_TIMEOUT);
            return LinkAction::Ping;
        }
        let idle_at = self.used_at + IDLE_TIMEOUT;
        if now >= idle_at { LinkAction::Idle } else { LinkAction::Wait(idle_at) }
    }
}

/// Time without a frame after which an accepted connection with calls in flight is closed. A
/// waiting caller pings several times per second.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a frame after which an accepted connection without calls is closed. Longer than
/// `IDLE_TIMEOUT`, so that the calling side closes first.
pub(crate) const CALLER_IDLE_TIMEOUT: Duration = Duration::from_mins(1);
