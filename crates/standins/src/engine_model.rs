//! An engine without I/O: continuous batching, a prefix cache, swaps in place.
//!
//! Time moves in quanta of [`CHUNK_TOKENS`] decode steps. In each quantum every stream of the
//! batch gets its next chunk, and a quantum takes longer the larger the batch is. Lengths are
//! heavy-tailed; siblings of a prompt share a scale.

use std::collections::VecDeque;
use std::time::Duration;

use ids::{FencingToken, Incarnation, ModelVersion, Moment};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Tokens of one chunk.
pub const CHUNK_TOKENS: u32 = 8;
/// Tail index of the length distribution; between 1 and 2 the mean exists and the tail is
/// heavy, as samples of a group are.
const TAIL: f64 = 1.6;

/// How an engine behaves.
#[derive(Debug, Clone, Copy)]
pub struct EngineSettings {
    /// One decode step of a batch of one.
    pub step: Duration,
    /// What each further stream adds to a step.
    pub step_per_stream: Duration,
    /// Most streams in the batch.
    pub most_running: usize,
    /// Prefill of a prompt that is not cached.
    pub prefill: Duration,
    /// Prompts that the prefix cache holds.
    pub cached_prompts: usize,
    /// Time from an order to the new version.
    pub load_time: Duration,
    /// Shortest answer, in tokens.
    pub shortest: u32,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(1),
            step_per_stream: Duration::from_micros(30),
            most_running: 32,
            prefill: Duration::from_millis(20),
            cached_prompts: 64,
            load_time: Duration::from_millis(300),
            shortest: 24,
            checks_fencing: true,
        }
    }
}

/// Names a stream within one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(u64);

/// What a quantum produced for one stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamStep {
    /// The stream.
    pub stream: StreamId,
    /// Position of the chunk.
    pub index: u32,
    /// Tokens of the chunk.
    pub tokens: u32,
    /// The version that made them.
    pub version: ModelVersion,
    /// Whether the stream ends with this chunk.
    pub last: bool,
}

/// How an order began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderStart {
    /// The version is there at this moment.
    LoadedAt(Moment),
    /// The token is older than one already obeyed.
    OldToken(FencingToken),
}

#[derive(Debug, Clone)]
struct Stream {
    id: StreamId,
    prompt: u64,
    length: u32,
    made: u32,
    chunks: u32,
    ready_at: Moment,
}

/// One engine.
#[derive(Debug, Clone)]
pub struct EngineModel {
    settings: EngineSettings,
    incarnation: Incarnation,
    version: ModelVersion,
    loading: Option<(ModelVersion, Moment)>,
    token: FencingToken,
    running: Vec<Stream>,
    waiting: VecDeque<Stream>,
    cache: VecDeque<u64>,
    next_stream: u64,
    quantum_ends: Option<Moment>,
}

/// Length of an answer, in tokens: a heavy tail around a scale that siblings share.
pub fn answer_length(prompt: u64, seed: u64, shortest: u32, longest: u32) -> u32 {
    let group = pareto(&mut ChaCha8Rng::seed_from_u64(prompt));
    let own = pareto(&mut ChaCha8Rng::seed_from_u64(prompt ^ seed.rotate_left(32)));
    let length = f64::from(shortest) * group.sqrt() * own;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range of a u32 first"
    )]
    let length = length.clamp(1.0, f64::from(longest)) as u32;
    length
}

fn pareto(rng: &mut ChaCha8Rng) -> f64 {
    (1.0 - rng.random::<f64>()).powf(-1.0 / TAIL)
}

impl EngineModel {
    /// An engine that holds `version`.
    pub const fn new(
        settings: EngineSettings,
        incarnation: Incarnation,
        version: ModelVersion,
    ) -> Self {
        Self {
            settings,
            incarnation,
            version,
            loading: None,
            token: FencingToken::new(0),
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            next_stream: 0,
            quantum_ends: None,
        }
    }

    /// Which life of the engine this is.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The version it holds at `now`.
    pub fn version(&mut self, now: Moment) -> ModelVersion {
        self.settle(now);
        self.version
    }

    /// Whether it is loading another version at `now`.
    pub fn is_loading(&mut self, now: Moment) -> bool {
        self.settle(now);
        self.loading.is_some()
    }

    /// Highest fencing token obeyed.
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Streams in the batch.
    pub const fn running(&self) -> usize {
        self.running.len()
    }

    /// Streams waiting for a place in the batch.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a request; its chunks come out of [`Self::step`].
    pub fn start(&mut self, now: Moment, prompt: u64, seed: u64, longest: u32) -> StreamId {
        let id = StreamId(self.next_stream);
        self.next_stream += 1;
        let length = answer_length(prompt, seed, self.settings.shortest, longest);
        self.waiting.push_back(Stream { id, prompt, length, made: 0, chunks: 0, ready_at: now });
        self.fill(now);
        id
    }

    /// Drops a stream.
    pub fn cancel(&mut self, now: Moment, id: StreamId) {
        self.running.retain(|stream| stream.id != id);
        self.waiting.retain(|stream| stream.id != id);
        self.fill(now);
    }

    /// Begins to load a version.
    pub fn order(&mut self, now: Moment, version: ModelVersion, token: FencingToken) -> OrderStart {
        self.settle(now);
        if self.settings.checks_fencing && token < self.token {
            return OrderStart::OldToken(self.token);
        }
        self.token = self.token.max(token);
        if version == self.version && self.loading.is_none() {
            return OrderStart::LoadedAt(now);
        }
        let at = now + self.settings.load_time;
        self.loading = Some((version, at));
        OrderStart::LoadedAt(at)
    }

    /// When [`Self::step`] next has something to do.
    pub const fn next_at(&self) -> Option<Moment> {
        self.quantum_ends
    }

    /// Ends the quantum that is due at `now` and gives what it made.
    pub fn step(&mut self, now: Moment) -> Vec<StreamStep> {
        let Some(ends) = self.quantum_ends else {
            return Vec::new();
        };
        if now < ends {
            return Vec::new();
        }
        self.settle(ends);
        let version = self.version;
        let mut steps = Vec::with_capacity(self.running.len());
        for stream in &mut self.running {
            if stream.ready_at > ends {
                continue;
            }
            let tokens = CHUNK_TOKENS.min(stream.length - stream.made);
            stream.made += tokens;
            let last = stream.made >= stream.length;
            let index = stream.chunks;
            stream.chunks += 1;
            steps.push(StreamStep { stream: stream.id, index, tokens, version, last });
        }
        self.running.retain(|stream| stream.made < stream.length);
        self.quantum_ends = None;
        self.fill(ends);
        steps
    }

    fn settle(&mut self, now: Moment) {
        if let Some((version, at)) = self.loading
            && now >= at
        {
            self.version = version;
            self.loading = None;
        }
    }

    fn fill(&mut self, now: Moment) {
        while self.running.len() < self.settings.most_running {
            let Some(mut stream) = self.waiting.pop_front() else {
                break;
            };
            let cached = self.touch_cache(stream.prompt);
            stream.ready_at = if cached { now } else { now + self.settings.prefill };
            self.running.push(stream);
        }
        if self.quantum_ends.is_none() && !self.running.is_empty() {
            self.quantum_ends = Some(now + self.quantum());
        }
    }

    fn quantum(&self) -> Duration {
        let extra = u32::try_from(self.running.len().saturating_sub(1)).unwrap_or(u32::MAX);
        (self.settings.step + self.settings.step_per_stream * extra) * CHUNK_TOKENS
    }

    fn touch_cache(&mut self, prompt: u64) -> bool {
        let found = self.cache.iter().position(|cached| *cached == prompt);
        if let Some(at) = found {
            self.cache.remove(at);
        }
        self.cache.push_back(prompt);
        if self.cache.len() > self.settings.cached_prompts {
            self.cache.pop_front();
        }
        found.is_some()
    }
}
