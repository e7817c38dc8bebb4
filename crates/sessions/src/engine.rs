//! An engine and its home, at the interface the keeper's work comes in by.

use std::collections::BTreeMap;

use ids::{
    ContentDigest, DigestWriter, FencingToken, Incarnation, ModelVersion, Moment, TargetId,
    TokenCount,
};
use keeping::{AttemptOutcome, Placement};
use ledger::{ChunkAssembler, ChunkStamp, Sample};
use placement::{ReplicaReading, ReplicaStatus, TargetHint, TargetQueue, TicketId};
use pools::TargetKind;
use standins::engine_model::{EngineModel, EngineSettings, StreamId};

use crate::events::{BoxIndex, RunId};
use crate::truth::Truth;

/// An attempt at the target.
#[derive(Debug)]
pub struct EngineRun {
    /// Names it in the session.
    pub run: RunId,
    /// The box that placed it, and that box's life.
    pub from: (BoxIndex, u64),
    /// What was placed.
    pub placement: Placement,
    ticket: TicketId,
    trail: ChunkAssembler,
    digest: DigestWriter,
    tokens: u32,
    text: String,
    broken: bool,
}

/// An engine with its home's queue.
#[derive(Debug)]
pub struct EngineSite {
    /// The target.
    pub id: TargetId,
    /// The engine.
    pub model: EngineModel,
    /// Its home's queue.
    pub queue: TargetQueue,
    settings: EngineSettings,
    streams: BTreeMap<StreamId, EngineRun>,
    waiting: BTreeMap<TicketId, (RunId, (BoxIndex, u64), Placement)>,
    /// Chunks that come without a stamp.
    pub drop_stamps: u32,
    /// Orders that take effect without an answer.
    pub lose_orders: u32,
    /// Orders that are refused.
    pub refuse_orders: u32,
    /// Since when the engine says that it is leaving.
    pub leaving_since: Option<Moment>,
    /// When the session next looks at it.
    pub due_at: Option<Moment>,
}

/// An attempt that ended at the target.
#[derive(Debug)]
pub struct EndedRun {
    /// The box that placed it, and that box's life.
    pub from: (BoxIndex, u64),
    /// What was placed.
    pub placement: Placement,
    /// How it ended.
    pub end: AttemptOutcome,
}

impl EngineSite {
    /// An engine that holds version 1.
    pub fn new(id: TargetId, settings: EngineSettings, limit: usize) -> Self {
        let model = EngineModel::new(settings, Incarnation::new(1), ModelVersion::new(1));
        Self {
            id,
            model,
            queue: TargetQueue::new(TargetKind::Engine, limit),
            settings,
            streams: BTreeMap::new(),
            waiting: BTreeMap::new(),
            drop_stamps: 0,
            lose_orders: 0,
            refuse_orders: 0,
            leaving_since: None,
            due_at: None,
        }
    }

    /// The engine's own word on its state.
    pub fn reading(&mut self, now: Moment) -> ReplicaReading {
        ReplicaReading {
            incarnation: self.model.incarnation(),
            version: Some(self.model.version(now)),
            loading: self.model.is_loading(now),
            token: FencingToken::default(),
            leaving: self.leaving_since.is_some(),
        }
    }

    /// What the home tells along with its answers.
    pub fn hint(&self) -> TargetHint {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        TargetHint {
            running: count(self.queue.running()),
            waiting: count(self.queue.waiting()),
            limit: count(self.queue.limit()),
            version: match self.queue.replica().status() {
                ReplicaStatus::Serving(version) => Some(version),
                _ => None,
            },
        }
    }

    /// Notes work that waits for a place.
    pub fn wait(
        &mut self,
        ticket: TicketId,
        run: RunId,
        from: (BoxIndex, u64),
        placement: Placement,
    ) {
        self.waiting.insert(ticket, (run, from, placement));
    }

    /// Work that waited, now that its place is free or will not be.
    pub fn waited(&mut self, ticket: TicketId) -> Option<(RunId, (BoxIndex, u64), Placement)> {
        self.waiting.remove(&ticket)
    }

    /// Sends admitted work to the engine.
    pub fn start(
        &mut self,
        now: Moment,
        ticket: TicketId,
        run: RunId,
        from: (BoxIndex, u64),
        placement: Placement,
    ) {
        let prompt = ContentDigest::of(placement.assignment.prompt.as_bytes()).get();
        let longest = placement.assignment.max_tokens.get();
        // By slot, so that a sample is as long whoever makes it, and however often.
        let seed = u64::from(placement.assignment.slot.get());
        let stream = self.model.start(now, prompt, seed, longest);
        let entry = EngineRun {
            run,
            from,
            placement,
            ticket,
            trail: ChunkAssembler::default(),
            digest: DigestWriter::default(),
            tokens: 0,
            text: String::new(),
            broken: false,
        };
        self.streams.insert(stream, entry);
    }

    /// Runs the engine up to `now`; gives the attempts that ended.
    pub fn advance(&mut self, now: Moment, truth: &mut Truth) -> Vec<EndedRun> {
        let mut ended = Vec::new();
        for step in self.model.step(now) {
            let drop_stamp = self.drop_stamps > 0;
            self.drop_stamps = self.drop_stamps.saturating_sub(1);
            let Some(entry) = self.streams.get_mut(&step.stream) else { continue };
            truth.made(entry.run, step.version, step.tokens);
            let text = format!("{}.{} ", entry.run.0, step.index);
            let stamp = ChunkStamp {
                index: step.index,
                tokens: TokenCount::new(step.tokens),
                version: (!drop_stamp).then_some(step.version),
                incarnation: self.model.incarnation(),
            };
            entry.broken |= entry.trail.chunk(stamp, &text).is_err();
            entry.digest.update(text.as_bytes());
            entry.tokens += step.tokens;
            entry.text.push_str(&text);
            let believed = self.queue.replica().status();
            if matches!(believed, ReplicaStatus::Serving(version) if version != step.version) {
                self.queue.contradicted(now);
            }
            if step.last
                && let Some(entry) = self.streams.remove(&step.stream)
            {
                truth.finished(entry.run, entry.text.clone());
                self.queue.ended(entry.ticket, TokenCount::new(entry.tokens));
                ended.push(entry.end(&self.id));
            }
        }
        ended
    }

    /// Breaks off every stream under way; the engine itself may be gone.
    pub fn break_streams(&mut self, now: Moment) -> Vec<EndedRun> {
        let mut ended = Vec::new();
        for (stream, entry) in std::mem::take(&mut self.streams) {
            self.model.cancel(now, stream);
            self.queue.ended(entry.ticket, TokenCount::new(entry.tokens));
            let EngineRun { from, placement, .. } = entry;
            ended.push(EndedRun { from, placement, end: AttemptOutcome::Unusable });
        }
        ended
    }

    /// Drops the streams of a box that is gone, as its connections break.
    pub fn forget_box(&mut self, now: Moment, gone: BoxIndex) {
        let streams: Vec<StreamId> = self
            .streams
            .iter()
            .filter(|(_, entry)| entry.from.0 == gone)
            .map(|(stream, _)| *stream)
            .collect();
        for stream in streams {
            self.model.cancel(now, stream);
            if let Some(entry) = self.streams.remove(&stream) {
                self.queue.ended(entry.ticket, TokenCount::new(entry.tokens));
            }
        }
        let tickets: Vec<TicketId> = self
            .waiting
            .iter()
            .filter(|(_, (_, from, _))| from.0 == gone)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets {
            self.waiting.remove(&ticket);
            self.queue.withdraw(ticket);
        }
    }

    /// Starts the engine anew with a version.
    pub fn restart(&mut self, version: ModelVersion) {
        let next = Incarnation::new(self.model.incarnation().get() + 1);
        self.model = EngineModel::new(self.settings, next, version);
        self.leaving_since = None;
    }
}

impl EngineRun {
    fn end(self, engine: &TargetId) -> EndedRun {
        let slot = self.placement.assignment.slot;
        let finished = self.trail.finish(TokenCount::new(self.tokens), self.digest.digest());
        let end = match finished {
            Ok((spans, text)) if !self.broken => AttemptOutcome::Completed(Sample {
                slot,
                spans,
                text,
                score: None,
                engine: engine.clone(),
            }),
            _ => AttemptOutcome::Unusable,
        };
        EndedRun { from: self.from, placement: self.placement, end }
    }
}
