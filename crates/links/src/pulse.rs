//! Whether a connection is alive, decided from what it carries.
//!
//! A connection may fall silent for good without a reset, while new ones reach the same box. What
//! arrives on a link is its sign of life. A link that owes one, since something was sent on it, is
//! asked for it with a ping, and is given up when nothing comes. A link that owes nothing costs
//! nothing.
//!
//! Without this an entry box would never reach a shard's server again over a link that has died.

use std::time::Duration;

use tokio::time::Instant;

/// How long a link may owe a sign of life before it is asked for one: most answers come sooner.
const PING_AFTER: Duration = Duration::from_millis(150);
/// The same after a frame that has no answer, such as a heartbeat of a box.
const BEAT_PING_AFTER: Duration = Duration::from_secs(2);
/// How long a ping may go unanswered. A lost packet is sent again after 200 ms, twice the way
/// between distant domains takes 40 ms, and a box with a quota of processor time may rest 100 ms.
const PONG_TIME: Duration = Duration::from_millis(500);
/// A link without calls for this long is closed: it holds a descriptor and buffers on both sides.
const REST_TIME: Duration = Duration::from_secs(30);

/// What is due on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PulseStep {
    /// Nothing before this moment.
    Wait(Instant),
    /// A ping must be sent.
    Ping,
    /// The peer gave no sign of life on this link: it is dead.
    Dead,
    /// It has not been used for long.
    Rested,
}

/// The signs of life of one link.
#[derive(Debug)]
pub struct LinkPulse {
    used_at: Instant,
    ping_at: Option<Instant>,
    pong_by: Option<Instant>,
}

impl LinkPulse {
    /// A link that was opened now and owes nothing.
    pub const fn new(now: Instant) -> Self {
        Self { used_at: now, ping_at: None, pong_by: None }
    }

    /// A request was queued. `true` when the link owed nothing before.
    pub fn asked(&mut self, now: Instant) -> bool {
        self.owes(now, PING_AFTER)
    }

    /// A frame without an answer was queued. `true` when the link owed nothing before.
    pub fn told(&mut self, now: Instant) -> bool {
        self.owes(now, BEAT_PING_AFTER)
    }

    fn owes(&mut self, now: Instant, within: Duration) -> bool {
        self.used_at = now;
        let ping_at = now + within;
        let sooner = self.ping_at.is_none_or(|known| ping_at < known);
        if sooner {
            self.ping_at = Some(ping_at);
        }
        sooner && self.pong_by.is_none()
    }

    /// A frame has arrived; `waits` tells whether calls still wait for answers.
    pub fn heard(&mut self, now: Instant, waits: bool) {
        self.pong_by = None;
        self.ping_at = waits.then(|| now + PING_AFTER);
        if waits {
            self.used_at = now;
        }
    }

    /// What is due now.
    pub fn step(&mut self, now: Instant) -> PulseStep {
        if let Some(pong_by) = self.pong_by {
            return if now >= pong_by { PulseStep::Dead } else { PulseStep::Wait(pong_by) };
        }
        if let Some(ping_at) = self.ping_at {
            if now < ping_at {
                return PulseStep::Wait(ping_at);
            }
            self.pong_by = Some(now + PONG_TIME);
            return PulseStep::Ping;
        }
        let rested_at = self.used_at + REST_TIME;
        if now >= rested_at { PulseStep::Rested } else { PulseStep::Wait(rested_at) }
    }
}

/// How long an accepted connection may be silent while its calls are answered. Whoever waits for
/// them pings several times a second.
pub(crate) const CALLER_SILENCE: Duration = Duration::from_secs(3);
/// How long an accepted connection without calls is kept: longer than the other side keeps it.
pub(crate) const CALLER_REST: Duration = Duration::from_mins(1);
