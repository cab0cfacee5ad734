//! The pipeline of one request.

use bytes::Bytes;
use mgw_contract::caller::{Outcome, Reason};
use mgw_contract::engine::{StageInput, StageOutput, StageStep};
use mgw_world::{Attempt, Millis, Position, RequestId, TargetName};

use crate::budget::HeldBytes;
use crate::replace::ReplaceCause;
use crate::stage::{Phase, StageRun};
use crate::{Action, ActivationBudget, CallId, Event, PipeSettings, Stage, StepTimeout};

/// Chunks of a prompt by which a stage may run ahead of the next one.
const CHUNKS_AHEAD: u32 = 2;

/// What shall be generated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationRequest {
    /// The request.
    pub request_id: RequestId,
    /// Prompt, at least one token.
    pub prompt: Vec<u32>,
    /// Number of tokens to generate.
    pub max_tokens: u32,
    /// Bytes of one position's activation.
    pub activation_bytes: u32,
    /// Priority passed on to engines.
    pub priority: u8,
    /// When the whole answer must be there.
    pub deadline_ms: Option<Millis>,
}

/// Drives one request through its stages.
///
/// Every answer of a target is matched by call, and every session is named by request and attempt,
/// so that a late answer of an abandoned attempt can't enter the caller's answer.
#[derive(Debug)]
pub struct Pipeline {
    pub(crate) order: GenerationRequest,
    pub(crate) settings: PipeSettings,
    pub(crate) stages: Vec<StageRun>,
    /// Prompt and answer.
    pub(crate) tokens: Vec<u32>,
    pub(crate) excluded: Vec<TargetName>,
    pub(crate) rebuilds: u32,
    /// Generated tokens when a stage last moved, or couldn't, without need.
    pub(crate) moved_at: Option<u32>,
    pub(crate) may_have_run: bool,
    held: HeldBytes,
    finished: bool,
    next_call: u64,
    next_attempt: Attempt,
}

impl Pipeline {
    /// Prepares a pipeline over stages that cover the model once and in order.
    #[must_use]
    pub fn new(order: GenerationRequest, stages: Vec<Stage>, settings: PipeSettings) -> Self {
        let mut pipeline = Self {
            tokens: order.prompt.clone(),
            order,
            settings,
            stages: Vec::with_capacity(stages.len()),
            excluded: Vec::new(),
            rebuilds: 0,
            moved_at: None,
            may_have_run: false,
            held: HeldBytes::default(),
            finished: false,
            next_call: 0,
            next_attempt: Attempt(0),
        };
        for stage in stages {
            let attempt = pipeline.take_attempt();
            pipeline.stages.push(StageRun::new(stage, attempt));
        }
        pipeline
    }

    /// Shares a bound on held stage inputs with other pipelines.
    #[must_use]
    pub fn with_budget(mut self, budget: ActivationBudget) -> Self {
        self.held = HeldBytes::new(budget);
        self
    }

    /// Starts the first steps.
    pub fn start(&mut self, now: Millis, patience: StepTimeout<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.advance(now, patience, &mut actions);
        actions
    }

    /// Takes in an event.
    pub fn handle(&mut self, event: Event, now: Millis, patience: StepTimeout<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        self.take_event(event, now, patience, &mut actions);
        self.advance(now, patience, &mut actions);
        actions
    }

    /// Acts on deadlines that have passed.
    pub fn tick(&mut self, now: Millis, patience: StepTimeout<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        if self
            .order
            .deadline_ms
            .is_some_and(|deadline| now >= deadline)
        {
            self.finish_early(Reason::Deadline, &mut actions);
            return actions;
        }
        for index in (0..self.stages.len()).rev() {
            if self.stages[index]
                .wakeup_ms()
                .is_some_and(|wakeup| now >= wakeup)
            {
                self.expire(index, now, &mut actions);
            }
        }
        self.advance(now, patience, &mut actions);
        actions
    }

    /// When [`Self::tick`] must be called next.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Millis> {
        if self.finished {
            return None;
        }
        let stages = self.stages.iter().filter_map(StageRun::wakeup_ms);
        stages.chain(self.order.deadline_ms).min()
    }

    /// Whether the final answer was given.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Whether the answer to a call still counts; an action whose call doesn't need not be done.
    #[must_use]
    pub fn awaits(&self, call: CallId) -> bool {
        !self.finished && self.find_stage(call).is_some()
    }

    /// The stages in use.
    pub fn stages(&self) -> impl Iterator<Item = &Stage> {
        self.stages.iter().map(|run| &run.stage)
    }

    /// Tokens generated so far.
    #[must_use]
    pub fn generated(&self) -> &[u32] {
        &self.tokens[self.order.prompt.len()..]
    }

    /// How many stages were rebuilt.
    #[must_use]
    pub const fn rebuilds(&self) -> u32 {
        self.rebuilds
    }

    /// Bytes of stage inputs held.
    #[must_use]
    pub fn buffered_bytes(&self) -> u64 {
        self.stages.iter().map(|run| run.inputs.kept_bytes()).sum()
    }

    pub(crate) const fn take_call(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    pub(crate) const fn take_attempt(&mut self) -> Attempt {
        let attempt = self.next_attempt;
        self.next_attempt = attempt.next();
        attempt
    }

    /// Positions that a stage has received.
    pub(crate) fn received(&self, index: usize) -> u32 {
        if index == 0 {
            self.token_count()
        } else {
            self.stages[index].inputs.received()
        }
    }

    pub(crate) const fn generated_count(&self) -> u32 {
        (self.tokens.len() - self.order.prompt.len()) as u32
    }

    fn token_count(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    fn take_event(
        &mut self,
        event: Event,
        now: Millis,
        patience: StepTimeout<'_>,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::StepDone { call, output } => self.finish_step(call, output, now, actions),
            Event::StepQueued { call, sent_at } => {
                self.extend_step(call, sent_at.unwrap_or(now), patience);
            }
            Event::Cancelled { reason } => self.finish_early(reason, actions),
            other => self.take_fault(other, now, actions),
        }
    }

    /// The stage that awaits a call.
    pub(crate) fn find_stage(&self, call: CallId) -> Option<usize> {
        self.stages.iter().position(|run| run.awaits(call))
    }

    fn finish_step(
        &mut self,
        call: CallId,
        output: StageOutput,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        let step = match &self.stages[index].phase {
            Phase::Stepping { step, .. } | Phase::Asking { step, .. } => step,
            _ => return,
        };
        let (first, count) = (step.first.0, step.count);
        self.may_have_run = true;
        let is_last = index + 1 == self.stages.len();
        let is_valid = match &output {
            StageOutput::Token(_) => is_last,
            StageOutput::Activations(bytes) => {
                !is_last && bytes.len() == count as usize * self.order.activation_bytes as usize
            }
        };
        if !is_valid {
            self.give_up_target(index, ReplaceCause::NoAnswer, now, actions);
            return;
        }
        let run = &mut self.stages[index];
        run.phase = Phase::Idle;
        run.computed = first + count;
        run.lost_since = None;
        match output {
            StageOutput::Token(token) => self.take_token(index, token, actions),
            StageOutput::Activations(bytes) => self.deliver(index, first, count, &bytes),
        }
    }

    /// Hands outputs to the next stage, except for those that it had from an earlier attempt.
    fn deliver(&mut self, index: usize, first: u32, count: u32, bytes: &Bytes) {
        let end = first + count;
        let received = self.stages[index + 1].inputs.received();
        if end > received {
            let skipped = received.saturating_sub(first) as usize;
            let fresh = bytes.slice(skipped * self.order.activation_bytes as usize..);
            self.stages[index + 1].inputs.push(end - received, fresh);
        }
        let run = &mut self.stages[index];
        run.delivered = run.delivered.max(end);
        self.trim_buffers();
    }

    /// Takes the token that follows the newest position; older ones are known already.
    fn take_token(&mut self, index: usize, token: u32, actions: &mut Vec<Action>) {
        let run = &mut self.stages[index];
        run.delivered = run.delivered.max(run.computed);
        if run.computed != self.token_count() {
            return;
        }
        let generated = self.generated_count();
        actions.push(Action::EmitToken {
            index: generated,
            token,
        });
        self.tokens.push(token);
        if generated + 1 >= self.order.max_tokens {
            self.finish(Outcome::Done, Reason::Complete, actions);
        }
    }

    /// Drops inputs that already ran where more are held than allowed; such a stage can no longer
    /// be replayed by itself.
    fn trim_buffers(&mut self) {
        self.held.set(self.buffered_bytes());
        while self.buffered_bytes() > self.settings.buffer_bytes || self.held.is_exceeded() {
            let droppable = |run: &StageRun| {
                let held_from = run.inputs.first_kept();
                if held_from < run.delivered {
                    run.inputs.kept_bytes()
                } else {
                    0
                }
            };
            let Some(run) = self.stages.iter_mut().max_by_key(|run| droppable(run)) else {
                return;
            };
            let before = run.inputs.kept_bytes();
            run.inputs.drop_before(run.delivered.min(run.computed));
            if run.inputs.kept_bytes() == before {
                return;
            }
            self.held.set(self.buffered_bytes());
        }
    }

    /// Sends a step for every idle stage that has inputs.
    pub(crate) fn advance(
        &mut self,
        now: Millis,
        patience: StepTimeout<'_>,
        actions: &mut Vec<Action>,
    ) {
        for index in 0..self.stages.len() {
            if self.finished {
                return;
            }
            let run = &self.stages[index];
            let waiting = self.received(index) - run.computed;
            let is_idle = matches!(run.phase, Phase::Idle);
            if waiting == 0 || !is_idle || !self.has_room_after(index) {
                continue;
            }
            let count = waiting.min(self.settings.chunk_positions);
            let Some(input) = self.read_inputs(index, run.computed, count) else {
                self.rebuild_upstream(index, actions);
                return self.advance(now, patience, actions);
            };
            let step = StageStep {
                session: run.session(self.order.request_id),
                version: run.stage.version.clone(),
                layers: run.stage.layers,
                first: Position(run.computed),
                count,
                priority: self.order.priority,
                deadline_ms: self.order.deadline_ms.map(|deadline| deadline - now),
                input,
            };
            self.send_step(index, step, now, patience, actions);
        }
    }

    /// Whether the following stage may be given more inputs than it has.
    ///
    /// A stage may run ahead of the next one by a few chunks, and by none while the budget is
    /// exceeded; what the next one has already may always be run again.
    fn has_room_after(&self, index: usize) -> bool {
        let Some(next) = self.stages.get(index + 1) else {
            return true;
        };
        let received = next.inputs.received();
        let ahead = received - next.computed;
        if self.stages[index].computed < received || ahead == 0 {
            return true;
        }
        let most = self.settings.chunk_positions.saturating_mul(CHUNKS_AHEAD);
        ahead < most && !self.held.is_exceeded()
    }

    pub(crate) fn send_step(
        &mut self,
        index: usize,
        step: StageStep,
        now: Millis,
        patience: StepTimeout<'_>,
        actions: &mut Vec<Action>,
    ) {
        let call = self.take_call();
        let run = &mut self.stages[index];
        run.opened = true;
        let deadline_ms = now + patience(&run.stage.target, step.count);
        run.phase = Phase::Stepping {
            call,
            step: step.clone(),
            deadline_ms,
            extended: false,
        };
        actions.push(Action::Step {
            call,
            stage: run.stage.clone(),
            step,
        });
    }

    /// Lets the time of a step run from a later point on.
    fn extend_step(&mut self, call: CallId, from: Millis, patience: StepTimeout<'_>) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        let run = &mut self.stages[index];
        if let Phase::Stepping {
            step, deadline_ms, ..
        } = &mut run.phase
        {
            let later = from + patience(&run.stage.target, step.count);
            *deadline_ms = later.max(*deadline_ms);
        }
    }

    fn read_inputs(&self, index: usize, first: u32, count: u32) -> Option<StageInput> {
        if index == 0 {
            let range = first as usize..(first + count) as usize;
            return self
                .tokens
                .get(range)
                .map(|tokens| StageInput::Tokens(tokens.to_vec()));
        }
        let bytes_each = self.order.activation_bytes as usize;
        self.stages[index].inputs.slice(first, count, bytes_each)
    }

    /// Ends the request before its answer is whole.
    pub(crate) fn finish_early(&mut self, reason: Reason, actions: &mut Vec<Action>) {
        let open = self.stages.iter().any(StageRun::has_open_step);
        let outcome = if self.may_have_run || open {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        self.finish(outcome, reason, actions);
    }

    fn finish(&mut self, outcome: Outcome, reason: Reason, actions: &mut Vec<Action>) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        for index in 0..self.stages.len() {
            self.abandon_export(index, actions);
            self.free_session(index, actions);
            self.stages[index].inputs = Default::default();
        }
        self.held.set(0);
        actions.push(Action::Finish { outcome, reason });
    }

    pub(crate) fn free_session(&mut self, index: usize, actions: &mut Vec<Action>) {
        let run = &mut self.stages[index];
        if run.opened {
            run.opened = false;
            let session = run.session(self.order.request_id);
            actions.push(Action::FreeSession {
                stage: run.stage.clone(),
                session,
            });
        }
    }
}
