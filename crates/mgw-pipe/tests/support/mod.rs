//! A simulation of engines in logical time, which records where and how often each position ran.

#![allow(dead_code, reason = "each test file uses a part")]

mod engine;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use mgw_contract::caller::{Outcome, Reason};
use mgw_contract::engine::{
    KvImage, SessionKey, SessionStanding, StageInput, StageOutput, StageStep, StepRefusal,
};
use mgw_pipe::{
    Action, ActivationBudget, CallId, Event, GenerationRequest, PipeSettings, Pipeline, Stage,
};
use mgw_world::{LayerRange, Millis, Position, TargetName};

#[allow(unused_imports, reason = "each test file uses a part")]
pub use engine::{
    ACTIVATION_BYTES, Engine, Fault, STEP_MS, TransferFault, generation_request, reference_answer,
    stage,
};
use engine::{Session, run_layers, to_token};

/// The engines, the pipeline and the events in flight between them.
pub struct Simulation {
    pub engines: Vec<Engine>,
    pub pipeline: Pipeline,
    pub tokens: Vec<u32>,
    pub result: Option<(Outcome, Reason)>,
    pub finished_at: Millis,
    /// How often each (session, position, layer) ran.
    pub runs: BTreeMap<(SessionKey, u32, u16), u32>,
    pub longest_gap: Millis,
    last_token_at: Millis,
    pub now: Millis,
    /// Maximum bytes of stage inputs that the pipeline had buffered.
    pub max_buffered_bytes: u64,
    pending_events: VecDeque<(Millis, Event)>,
    /// The session for which each step or query was sent.
    sessions_by_call: BTreeMap<CallId, SessionKey>,
    /// Sessions with a step of which it is not known whether it ran.
    unconfirmed_sessions: BTreeSet<SessionKey>,
}

fn step_timeout(_: &TargetName, count: u32) -> Millis {
    Millis(300 + u64::from(count) / 4)
}

/// The chain of the fewest stages that covers a range; the first such one in the order of `usable`.
pub fn find_chain(usable: &[&Stage], layers: LayerRange) -> Option<Vec<Stage>> {
    let starts = usable
        .iter()
        .filter(|stage| stage.layers.first() == layers.first());
    let chains = starts.filter_map(|stage| {
        let end = stage.layers.end();
        if end >= layers.end() {
            return (end == layers.end()).then(|| vec![(*stage).clone()]);
        }
        let rest = LayerRange::new(end, layers.end()).ok()?;
        let mut chain = find_chain(usable, rest)?;
        chain.insert(0, (*stage).clone());
        Some(chain)
    });
    chains.min_by_key(Vec::len)
}

impl Simulation {
    /// Runs a request to its end; `path` gives the indices of the engines of its first path.
    pub fn run(
        engines: Vec<Engine>,
        path: &[usize],
        request: &GenerationRequest,
        settings: PipeSettings,
    ) -> Self {
        Self::run_with_budget(
            engines,
            path,
            request,
            settings,
            ActivationBudget::default(),
        )
    }

    /// Runs a request that shares a budget of buffered inputs.
    pub fn run_with_budget(
        engines: Vec<Engine>,
        path: &[usize],
        request: &GenerationRequest,
        settings: PipeSettings,
        budget: ActivationBudget,
    ) -> Self {
        let mut simulation = Self::new(engines, path, request, settings, budget);
        simulation.finish();
        simulation
    }

    /// Runs a request whose caller disconnects at a point in time.
    pub fn run_cancelled(
        engines: Vec<Engine>,
        path: &[usize],
        request: &GenerationRequest,
        settings: PipeSettings,
        at: Millis,
    ) -> Self {
        let budget = ActivationBudget::default();
        let mut simulation = Self::new(engines, path, request, settings, budget);
        let reason = Reason::Cancelled;
        simulation.schedule(at, Event::Cancelled { reason });
        simulation.finish();
        simulation
    }

    fn finish(&mut self) {
        let actions = self.pipeline.start(self.now, &step_timeout);
        self.perform(actions);
        while self.result.is_none() {
            self.advance();
        }
        self.deliver_late_events();
    }

    fn new(
        engines: Vec<Engine>,
        path: &[usize],
        request: &GenerationRequest,
        settings: PipeSettings,
        budget: ActivationBudget,
    ) -> Self {
        let stages = path
            .iter()
            .map(|index| engines[*index].stage.clone())
            .collect();
        Self {
            engines,
            pipeline: Pipeline::new(request.clone(), stages, settings).with_budget(budget),
            tokens: Vec::new(),
            result: None,
            finished_at: Millis::ZERO,
            runs: BTreeMap::new(),
            longest_gap: Millis::ZERO,
            last_token_at: Millis::ZERO,
            now: Millis::ZERO,
            max_buffered_bytes: 0,
            pending_events: VecDeque::new(),
            sessions_by_call: BTreeMap::new(),
            unconfirmed_sessions: BTreeSet::new(),
        }
    }

    fn advance(&mut self) {
        let next_event = self.pending_events.iter().map(|(at, _)| *at).min();
        let wakeup = self.pipeline.next_wakeup();
        let Some(at) = next_event.into_iter().chain(wakeup).min() else {
            panic!("the pipeline has not ended, but waits for no event and no time");
        };
        self.now = at.max(self.now);
        assert!(
            self.now < Millis(120_000),
            "the request has not ended after 120 s"
        );
        if let Some(index) = self
            .pending_events
            .iter()
            .position(|(due, _)| *due <= self.now)
        {
            let (_, event) = self.pending_events.remove(index).unwrap();
            self.track_unconfirmed_steps(&event);
            let actions = self.pipeline.handle(event, self.now, &step_timeout);
            self.max_buffered_bytes = self.max_buffered_bytes.max(self.pipeline.buffered_bytes());
            self.perform(actions);
        } else {
            let actions = self.pipeline.tick(self.now, &step_timeout);
            self.perform(actions);
        }
    }

    /// Tracks the sessions whose state must be queried before another step is sent to them.
    fn track_unconfirmed_steps(&mut self, event: &Event) {
        match event {
            Event::StepFailed { call, sent: true } => self
                .unconfirmed_sessions
                .extend(self.sessions_by_call.get(call)),
            Event::SessionStatus { call, .. } => {
                if let Some(session) = self.sessions_by_call.get(call) {
                    self.unconfirmed_sessions.remove(session);
                }
            }
            _ => {}
        }
    }

    /// Delivers the events still in flight after the end; they must cause no action.
    fn deliver_late_events(&mut self) {
        while let Some((_, event)) = self.pending_events.pop_front() {
            let actions = self.pipeline.handle(event, self.now, &step_timeout);
            assert!(
                actions.is_empty(),
                "an event after the end caused actions: {actions:?}"
            );
        }
    }

    fn schedule(&mut self, span: Millis, event: Event) {
        self.pending_events.push_back((self.now + span, event));
    }

    fn engine_mut(&mut self, target: &TargetName) -> &mut Engine {
        self.engines
            .iter_mut()
            .find(|engine| engine.stage.target == *target)
            .unwrap()
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Step { call, stage, step } => self.step(call, &stage, &step),
                Action::QuerySession {
                    call,
                    stage,
                    session,
                } => self.query_session(call, &stage, session),
                Action::Export {
                    call,
                    stage,
                    session,
                } => self.export(call, &stage, session),
                Action::Import {
                    call,
                    stage,
                    session,
                    image,
                } => {
                    self.import(call, &stage, session, &image);
                }
                Action::FreeSession { stage, session } => {
                    self.engine_mut(&stage.target).sessions.remove(&session);
                }
                Action::FindReplacement {
                    call,
                    spans,
                    excluded,
                    ..
                } => {
                    let found = spans
                        .into_iter()
                        .map(|span| self.find_replacement(span, &excluded));
                    let stages = found
                        .into_iter()
                        .find(|it| !it.is_empty())
                        .unwrap_or_default();
                    self.schedule(Millis::ZERO, Event::Replacement { call, stages });
                }
                Action::EmitToken { index, token } => {
                    assert_eq!(
                        index as usize,
                        self.tokens.len(),
                        "a token was emitted out of order"
                    );
                    self.tokens.push(token);
                    self.longest_gap = self.longest_gap.max(self.now - self.last_token_at);
                    self.last_token_at = self.now;
                }
                Action::Finish { outcome, reason } => {
                    assert_eq!(self.result, None, "the request ended twice");
                    self.result = Some((outcome, reason));
                    self.finished_at = self.now;
                }
            }
        }
    }

    /// The shortest chain of engines that covers these layers exactly; empty if there is none.
    fn find_replacement(&self, layers: LayerRange, excluded: &[TargetName]) -> Vec<Stage> {
        let usable: Vec<&Stage> = self
            .engines
            .iter()
            .map(|engine| &engine.stage)
            .filter(|stage| !excluded.contains(&stage.target))
            .collect();
        find_chain(&usable, layers).unwrap_or_default()
    }

    fn step(&mut self, call: CallId, stage: &Stage, step: &StageStep) {
        assert!(
            !self.unconfirmed_sessions.contains(&step.session),
            "a step was sent although it is unknown whether the step before it ran"
        );
        self.sessions_by_call.insert(call, step.session);
        let engine = self.engine_mut(&stage.target);
        let number = engine.steps;
        engine.steps += 1;
        let fault = engine.faults.get(&number).copied();
        let was_dead = engine.dead;
        match fault {
            Some(Fault::Die) => engine.dead = true,
            Some(Fault::Hang) => engine.hung = true,
            Some(Fault::Slow(ms)) => engine.slow_ms = ms,
            Some(Fault::DropSessions) => engine.sessions.clear(),
            _ => {}
        }
        if engine.dead {
            // Only a connection that was open when the target died may have carried a byte.
            let sent = number > 0 && !was_dead;
            return self.schedule(Millis(1), Event::StepFailed { call, sent });
        }
        if engine.hung {
            return;
        }
        if fault == Some(Fault::LoseStep) {
            return self.schedule(Millis(1), Event::StepFailed { call, sent: true });
        }
        if let Some(Fault::Refuse(kind)) = fault {
            let refusal = match kind {
                0 => StepRefusal::Full,
                1 => StepRefusal::Leaving,
                _ => StepRefusal::WrongLayers,
            };
            return self.schedule(Millis(1), Event::StepRefused { call, refusal });
        }
        let took = STEP_MS + Millis(engine.slow_ms);
        let event = match self.execute(stage, step) {
            Ok(output) => Event::StepDone { call, output },
            Err(refusal) => Event::StepRefused { call, refusal },
        };
        if fault == Some(Fault::LoseAnswer) {
            return self.schedule(took, Event::StepFailed { call, sent: true });
        }
        self.schedule(took, event);
        if fault == Some(Fault::Degrade) {
            let target = stage.target.clone();
            self.schedule(took, Event::TargetDegraded { target });
        }
    }

    fn execute(&mut self, stage: &Stage, step: &StageStep) -> Result<StageOutput, StepRefusal> {
        let engine = self.engine_mut(&stage.target);
        if step.layers != engine.stage.layers || step.version != engine.stage.version {
            return Err(StepRefusal::WrongLayers);
        }
        if step.first.0 > 0 && !engine.sessions.contains_key(&step.session) {
            return Err(StepRefusal::NoSession);
        }
        let session = engine.sessions.entry(step.session).or_default();
        if session.next != step.first.0 {
            return Err(StepRefusal::WrongPosition {
                next: Position(session.next),
            });
        }
        let values: Vec<u64> = match &step.input {
            StageInput::Tokens(tokens) => tokens.iter().map(|token| u64::from(*token)).collect(),
            StageInput::Activations(bytes) => bytes
                .chunks_exact(ACTIVATION_BYTES)
                .map(|chunk| u64::from_le_bytes(chunk.try_into().unwrap()))
                .collect(),
        };
        assert_eq!(
            values.len(),
            step.count as usize,
            "the number of inputs differs from the positions of the step"
        );
        let mut outputs = Vec::new();
        for (offset, value) in values.into_iter().enumerate() {
            let position = step.first.0 + offset as u32;
            outputs.push(run_layers(
                &mut session.states,
                step.layers,
                position,
                value,
            ));
        }
        session.next += step.count;
        for position in step.first.0..step.first.0 + step.count {
            for layer in step.layers.first()..step.layers.end() {
                *self
                    .runs
                    .entry((step.session, position, layer))
                    .or_default() += 1;
            }
        }
        let last_layer = self
            .engines
            .iter()
            .map(|engine| engine.stage.layers.end())
            .max();
        if Some(step.layers.end()) == last_layer {
            return Ok(StageOutput::Token(to_token(*outputs.last().unwrap())));
        }
        let bytes: Vec<u8> = outputs
            .iter()
            .flat_map(|value| value.to_le_bytes())
            .collect();
        Ok(StageOutput::Activations(Bytes::from(bytes)))
    }

    fn query_session(&mut self, call: CallId, stage: &Stage, session: SessionKey) {
        self.sessions_by_call.insert(call, session);
        let engine = self.engine_mut(&stage.target);
        if engine.hung {
            return;
        }
        if engine.dead {
            return self.schedule(Millis(1), Event::CallFailed { call });
        }
        let status = engine
            .sessions
            .get(&session)
            .map(|session| SessionStanding {
                next: Position(session.next),
                running: false,
            });
        self.schedule(Millis(1), Event::SessionStatus { call, status });
    }

    fn export(&mut self, call: CallId, stage: &Stage, key: SessionKey) {
        let engine = self.engine_mut(&stage.target);
        let fault = engine.next_transfer_fault();
        if engine.hung || fault == Some(TransferFault::Hang) {
            return;
        }
        let session = engine.sessions.get(&key).filter(|_| !engine.dead);
        let Some(mut session) = session.cloned() else {
            return self.schedule(Millis(1), Event::CallFailed { call });
        };
        if matches!(fault, Some(TransferFault::Fail | TransferFault::LoseAnswer)) {
            return self.schedule(Millis(1), Event::CallFailed { call });
        }
        let layers = engine.stage.layers;
        if fault == Some(TransferFault::ExtraPosition) {
            run_layers(&mut session.states, layers, session.next, 0);
            session.next += 1;
        }
        let states = session.states.values();
        let bytes: Vec<u8> = states.flat_map(|state| state.to_le_bytes()).collect();
        let image = KvImage {
            layers,
            version: engine.stage.version.clone(),
            next: Position(session.next),
            bytes: Bytes::from(bytes),
        };
        self.schedule(transfer_time(fault), Event::Exported { call, image });
    }

    fn import(&mut self, call: CallId, stage: &Stage, key: SessionKey, image: &KvImage) {
        let engine = self.engine_mut(&stage.target);
        let fault = engine.next_transfer_fault();
        if engine.hung {
            return;
        }
        if engine.dead || fault == Some(TransferFault::Fail) {
            return self.schedule(Millis(1), Event::CallFailed { call });
        }
        let layers = image.layers.first()..image.layers.end();
        let states = layers
            .zip(image.bytes.chunks_exact(8))
            .map(|(layer, chunk)| (layer, u64::from_le_bytes(chunk.try_into().unwrap())));
        let session = Session {
            next: image.next.0,
            states: states.collect(),
        };
        engine.sessions.insert(key, session);
        match fault {
            Some(TransferFault::Hang) => {}
            Some(TransferFault::LoseAnswer) => self.schedule(Millis(1), Event::CallFailed { call }),
            _ => self.schedule(transfer_time(fault), Event::Imported { call }),
        }
    }
}

const fn transfer_time(fault: Option<TransferFault>) -> Millis {
    match fault {
        Some(TransferFault::Slow(ms)) => Millis(2 + ms),
        _ => Millis(2),
    }
}
