//! A simulated engine without I/O: continuous batching, a prefix cache, in-place weight swaps.
//!
//! Time advances in quanta of [`CHUNK_TOKENS`] decode steps. Each quantum produces the next chunk
//! of every stream in the batch whose prefill is complete, and takes longer with a larger batch.
//! Response lengths are heavy-tailed; samples of the same prompt share a random factor.

use std::collections::VecDeque;
use std::time::Duration;

use ids::{FencingToken, Incarnation, ModelVersion, Moment};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of tokens in a chunk.
pub const CHUNK_TOKENS: u32 = 8;
/// Tail index of the Pareto distribution of lengths: a finite mean and an infinite variance.
const TAIL_INDEX: f64 = 1.6;

/// Settings of a simulated engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineSettings {
    /// Duration of a decode step with one stream.
    pub step: Duration,
    /// Additional duration of a step for each further stream.
    pub step_per_stream: Duration,
    /// Maximum number of streams in the batch.
    pub max_running: usize,
    /// Prefill time of a prompt that is not cached.
    pub prefill: Duration,
    /// Capacity of the prefix cache, in prompts.
    pub cached_prompts: usize,
    /// Time to load a version.
    pub load_time: Duration,
    /// Minimum response length, in tokens, unless a request has a lower limit.
    pub min_tokens: u32,
    /// Whether the engine refuses orders with an old fencing token.
    pub checks_fencing: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(1),
            step_per_stream: Duration::from_micros(30),
            max_running: 32,
            prefill: Duration::from_millis(20),
            cached_prompts: 64,
            load_time: Duration::from_millis(300),
            min_tokens: 24,
            checks_fencing: true,
        }
    }
}

/// Identifies a stream within an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(u64);

/// A chunk that a quantum produced for one stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamStep {
    /// Stream of the chunk.
    pub stream: StreamId,
    /// Index of the chunk within its stream, from 0.
    pub index: u32,
    /// Number of tokens in the chunk.
    pub tokens: u32,
    /// Model version that generated the chunk.
    pub version: ModelVersion,
    /// Whether this is the last chunk of the stream.
    pub last: bool,
}

/// Result of starting an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderStart {
    /// The version is loaded at this time.
    LoadedAt(Moment),
    /// Refused: the fencing token is older than this one, which the engine has accepted.
    OldToken(FencingToken),
}

#[derive(Debug, Clone)]
struct Stream {
    id: StreamId,
    prompt: u64,
    length: u32,
    generated: u32,
    chunks: u32,
    ready_at: Moment,
}

/// A simulated engine.
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
    quantum_ends_at: Option<Moment>,
}

/// Returns the length of a response, in tokens. The distribution has a heavy tail; samples of the
/// same prompt share a random factor.
pub fn response_length(prompt: u64, seed: u64, min_tokens: u32, max_tokens: u32) -> u32 {
    let group = pareto(&mut ChaCha8Rng::seed_from_u64(prompt));
    let individual = pareto(&mut ChaCha8Rng::seed_from_u64(prompt ^ seed.rotate_left(32)));
    let length = f64::from(min_tokens) * group.sqrt() * individual;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range of a u32 first"
    )]
    let length = length.clamp(1.0, f64::from(max_tokens)) as u32;
    length
}

fn pareto(rng: &mut ChaCha8Rng) -> f64 {
    (1.0 - rng.random::<f64>()).powf(-1.0 / TAIL_INDEX)
}

impl EngineModel {
    /// Creates an engine with `version` loaded.
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
            quantum_ends_at: None,
        }
    }

    /// Returns the incarnation of the engine.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the version loaded at `now`.
    pub fn version(&mut self, now: Moment) -> ModelVersion {
        self.complete_load(now);
        self.version
    }

    /// Whether the engine is loading a version at `now`.
    pub fn is_loading(&mut self, now: Moment) -> bool {
        self.complete_load(now);
        self.loading.is_some()
    }

    /// Returns the highest fencing token accepted.
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns the number of streams in the batch.
    pub const fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of streams waiting to enter the batch.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request; [`Self::step`] returns its chunks.
    pub fn start(&mut self, now: Moment, prompt: u64, seed: u64, max_tokens: u32) -> StreamId {
        let id = StreamId(self.next_stream);
        self.next_stream += 1;
        let length = response_length(prompt, seed, self.settings.min_tokens, max_tokens);
        self.waiting.push_back(Stream {
            id,
            prompt,
            length,
            generated: 0,
            chunks: 0,
            ready_at: now,
        });
        self.fill_batch(now);
        id
    }

    /// Cancels a stream.
    pub fn cancel(&mut self, now: Moment, id: StreamId) {
        self.running.retain(|stream| stream.id != id);
        self.waiting.retain(|stream| stream.id != id);
        self.fill_batch(now);
    }

    /// Starts to load a version, unless the fencing token is too old.
    pub fn order(&mut self, now: Moment, version: ModelVersion, token: FencingToken) -> OrderStart {
        self.complete_load(now);
        if self.settings.checks_fencing && token < self.token {
            return OrderStart::OldToken(self.token);
        }
        self.token = self.token.max(token);
        if version == self.version && self.loading.is_none() {
            return OrderStart::LoadedAt(now);
        }
        let loaded_at = now + self.settings.load_time;
        self.loading = Some((version, loaded_at));
        OrderStart::LoadedAt(loaded_at)
    }

    /// Returns when the current quantum ends: the time of the next [`Self::step`].
    pub const fn next_at(&self) -> Option<Moment> {
        self.quantum_ends_at
    }

    /// Ends the quantum if it is due at `now` and returns its chunks.
    pub fn step(&mut self, now: Moment) -> Vec<StreamStep> {
        let Some(ends_at) = self.quantum_ends_at else {
            return Vec::new();
        };
        if now < ends_at {
            return Vec::new();
        }
        self.complete_load(ends_at);
        let version = self.version;
        let mut steps = Vec::with_capacity(self.running.len());
        for stream in &mut self.running {
            if stream.ready_at > ends_at {
                continue;
            }
            let tokens = CHUNK_TOKENS.min(stream.length - stream.generated);
            stream.generated += tokens;
            let last = stream.generated >= stream.length;
            let index = stream.chunks;
            stream.chunks += 1;
            steps.push(StreamStep { stream: stream.id, index, tokens, version, last });
        }
        self.running.retain(|stream| stream.generated < stream.length);
        self.quantum_ends_at = None;
        self.fill_batch(ends_at);
        steps
    }

    fn complete_load(&mut self, now: Moment) {
        if let Some((version, at)) = self.loading
            && now >= at
        {
            self.version = version;
            self.loading = None;
        }
    }

    fn fill_batch(&mut self, now: Moment) {
        while self.running.len() < self.settings.max_running {
            let Some(mut stream) = self.waiting.pop_front() else {
                break;
            };
            let is_cached = self.touch_cache(stream.prompt);
            stream.ready_at = if is_cached { now } else { now + self.settings.prefill };
            self.running.push(stream);
        }
        if self.quantum_ends_at.is_none() && !self.running.is_empty() {
            self.quantum_ends_at = Some(now + self.quantum_duration());
        }
    }

    fn quantum_duration(&self) -> Duration {
        let extra = u32::try_from(self.running.len().saturating_sub(1)).unwrap_or(u32::MAX);
        (self.settings.step + self.settings.step_per_stream * extra) * CHUNK_TOKENS
    }

    /// Marks a prompt as the most recently used one and returns whether it was cached.
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
