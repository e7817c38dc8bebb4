//! A fake engine and the admission queue of its home.

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

use crate::checker::SessionChecker;
use crate::events::{BoxIndex, RunId};

/// An attempt that runs at the engine.
#[derive(Debug)]
pub struct EngineRun {
    /// Id of the attempt in the session.
    pub run: RunId,
    /// The box that placed it, and the box's incarnation.
    pub from: (BoxIndex, u64),
    /// The assignment and its target.
    pub placement: Placement,
    ticket: TicketId,
    assembler: ChunkAssembler,
    digest: DigestWriter,
    tokens: u32,
    text: String,
    broken: bool,
}

/// An engine and the queue of its home.
#[derive(Debug)]
pub struct SimEngine {
    /// Id of the target.
    pub id: TargetId,
    /// Model of the engine.
    pub model: EngineModel,
    /// Admission queue of its home.
    pub queue: TargetQueue,
    settings: EngineSettings,
    streams: BTreeMap<StreamId, EngineRun>,
    waiting: BTreeMap<TicketId, (RunId, (BoxIndex, u64), Placement)>,
    /// Number of next chunks that are sent without a stamp.
    pub stamps_to_drop: u32,
    /// Number of next orders that take effect but whose response is lost.
    pub order_responses_to_lose: u32,
    /// Number of next orders that are refused.
    pub orders_to_refuse: u32,
    /// Since when the engine reports that it is leaving.
    pub leaving_since: Option<Moment>,
    /// Time of its next scheduled `EngineDue` event.
    pub due_at: Option<Moment>,
}

/// An attempt that ended at the target.
#[derive(Debug)]
pub struct EndedRun {
    /// The box that placed it, and the box's incarnation.
    pub from: (BoxIndex, u64),
    /// The assignment and its target.
    pub placement: Placement,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
}

impl SimEngine {
    /// Creates an engine with version 1 loaded.
    pub fn new(id: TargetId, settings: EngineSettings, limit: usize) -> Self {
        let model = EngineModel::new(settings, Incarnation::new(1), ModelVersion::new(1));
        Self {
            id,
            model,
            queue: TargetQueue::new(TargetKind::Engine, limit),
            settings,
            streams: BTreeMap::new(),
            waiting: BTreeMap::new(),
            stamps_to_drop: 0,
            order_responses_to_lose: 0,
            orders_to_refuse: 0,
            leaving_since: None,
            due_at: None,
        }
    }

    /// Returns the state that the engine reports.
    pub fn reading(&mut self, now: Moment) -> ReplicaReading {
        ReplicaReading {
            incarnation: self.model.incarnation(),
            version: Some(self.model.version(now)),
            loading: self.model.is_loading(now),
            token: FencingToken::default(),
            leaving: self.leaving_since.is_some(),
        }
    }

    /// Returns the hint that the home adds to its responses.
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

    /// Stores work that waits for admission.
    pub fn enqueue(
        &mut self,
        ticket: TicketId,
        run: RunId,
        from: (BoxIndex, u64),
        placement: Placement,
    ) {
        self.waiting.insert(ticket, (run, from, placement));
    }

    /// Removes and returns waiting work that was admitted or refused.
    pub fn take_waiting(
        &mut self,
        ticket: TicketId,
    ) -> Option<(RunId, (BoxIndex, u64), Placement)> {
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
        let max_tokens = placement.assignment.max_tokens.get();
        // Seeded by slot, so that all attempts of a slot generate samples of the same length.
        let seed = u64::from(placement.assignment.slot.get());
        let stream = self.model.start(now, prompt, seed, max_tokens);
        let entry = EngineRun {
            run,
            from,
            placement,
            ticket,
            assembler: ChunkAssembler::default(),
            digest: DigestWriter::default(),
            tokens: 0,
            text: String::new(),
            broken: false,
        };
        self.streams.insert(stream, entry);
    }

    /// Advances the engine to `now` and returns the attempts that ended.
    pub fn advance(&mut self, now: Moment, checker: &mut SessionChecker) -> Vec<EndedRun> {
        let mut ended = Vec::new();
        for step in self.model.step(now) {
            let drop_stamp = self.stamps_to_drop > 0;
            self.stamps_to_drop = self.stamps_to_drop.saturating_sub(1);
            let Some(entry) = self.streams.get_mut(&step.stream) else { continue };
            checker.record_tokens(entry.run, step.version, step.tokens);
            let text = format!("{}.{} ", entry.run.0, step.index);
            let stamp = ChunkStamp {
                index: step.index,
                tokens: TokenCount::new(step.tokens),
                version: (!drop_stamp).then_some(step.version),
                incarnation: self.model.incarnation(),
            };
            entry.broken |= entry.assembler.chunk(stamp, &text).is_err();
            entry.digest.update(text.as_bytes());
            entry.tokens += step.tokens;
            entry.text.push_str(&text);
            let home_status = self.queue.replica().status();
            if matches!(home_status, ReplicaStatus::Serving(version) if version != step.version) {
                self.queue.contradicted(now);
            }
            if step.last
                && let Some(entry) = self.streams.remove(&step.stream)
            {
                checker.record_text(entry.run, entry.text.clone());
                self.queue.ended(entry.ticket, TokenCount::new(entry.tokens));
                ended.push(entry.into_ended_run(&self.id));
            }
        }
        ended
    }

    /// Breaks all running streams and returns their attempts.
    pub fn break_streams(&mut self, now: Moment) -> Vec<EndedRun> {
        let mut ended = Vec::new();
        for (stream, entry) in std::mem::take(&mut self.streams) {
            self.model.cancel(now, stream);
            self.queue.ended(entry.ticket, TokenCount::new(entry.tokens));
            let EngineRun { from, placement, .. } = entry;
            ended.push(EndedRun { from, placement, outcome: AttemptOutcome::Unusable });
        }
        ended
    }

    /// Drops the streams and the waiting work of a box whose connections are closed.
    pub fn drop_box_work(&mut self, now: Moment, box_index: BoxIndex) {
        let streams: Vec<StreamId> = self
            .streams
            .iter()
            .filter(|(_, entry)| entry.from.0 == box_index)
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
            .filter(|(_, (_, from, _))| from.0 == box_index)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets {
            self.waiting.remove(&ticket);
            self.queue.withdraw(ticket);
        }
    }

    /// Restarts the engine with `version` loaded.
    pub fn restart(&mut self, version: ModelVersion) {
        let next = Incarnation::new(self.model.incarnation().get() + 1);
        self.model = EngineModel::new(self.settings, next, version);
        self.leaving_since = None;
    }
}

impl EngineRun {
    fn into_ended_run(self, engine: &TargetId) -> EndedRun {
        let slot = self.placement.assignment.slot;
        let finished = self.assembler.finish(TokenCount::new(self.tokens), self.digest.digest());
        let outcome = match finished {
            Ok((spans, text)) if !self.broken => AttemptOutcome::Completed(Sample {
                slot,
                spans,
                text,
                score: None,
                engine: engine.clone(),
            }),
            _ => AttemptOutcome::Unusable,
        };
        EndedRun { from: self.from, placement: self.placement, outcome }
    }
}
