//! Predicts the lengths of texts from the callers' length hints and from complete texts.

/// Decay of the observed lengths: only the last few hundred texts count.
const DECAY_FACTOR: f64 = 0.995;
/// Predicted remainder of a text that is longer than predicted, as a share of its length so far.
/// Long texts have a heavy tail.
const OVERRUN_SHARE: f64 = 0.25;

/// Predicted length of a text, in events.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LengthForecast {
    /// Length of the whole text.
    pub total: f64,
    /// Mean length of the texts that occupy a slot at a random time; zero if none is complete yet.
    /// It exceeds the mean length of all texts, since long texts occupy their slots longer.
    pub reference: f64,
}

impl LengthForecast {
    /// Returns the number of events that a text with `events` events still needs, at least one.
    pub fn left(&self, events: u32) -> f64 {
        let events = f64::from(events);
        (self.total - events).max(events * OVERRUN_SHARE).max(1.0)
    }
}

/// Predicts lengths from the complete texts of a shard.
#[derive(Debug, Clone, Default)]
pub(crate) struct LengthEstimator {
    texts: f64,
    events: f64,
    squared_events: f64,
    /// Events and hints of the texts with a hint.
    hinted_events: f64,
    hints: f64,
}

impl LengthEstimator {
    /// Records a complete text.
    pub fn observe(&mut self, hint: u32, events: u32) {
        let events = f64::from(events);
        self.texts = self.texts * DECAY_FACTOR + 1.0;
        self.events = self.events * DECAY_FACTOR + events;
        self.squared_events = self.squared_events * DECAY_FACTOR + events * events;
        if hint > 0 {
            self.hinted_events = self.hinted_events * DECAY_FACTOR + events;
            self.hints = self.hints * DECAY_FACTOR + f64::from(hint);
        }
    }

    /// Predicts the length of a text; `hint` is zero if the caller sent none.
    pub fn forecast(&self, hint: u32) -> LengthForecast {
        let total = match hint {
            0 if self.texts > 0.0 => self.events / self.texts,
            _ if self.hints > 0.0 => f64::from(hint) * self.hinted_events / self.hints,
            _ => f64::from(hint),
        };
        let reference = if self.events > 0.0 { self.squared_events / self.events } else { 0.0 };
        LengthForecast { total, reference }
    }
}
