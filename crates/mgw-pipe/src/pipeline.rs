//! The state machine of one request's pipeline: how positions flow through its stages.

use bytes::Bytes;
use mgw_contract::caller::{Outcome, Reason};
use mgw_contract::engine::{StageInput, StageOutput, StageStep};
use mgw_world::{Attempt, Millis, Position, RequestId, TargetName};

use crate::budget::BudgetShare;
use crate::replace::ReplaceCause;
use crate::stage::{Phase, StageRun};
use crate::{Action, ActivationBudget, CallId, Event, PipeSettings, Stage, StepTimeout};

/// Maximum number of prompt chunks by which a stage may run ahead of the next one.
const MAX_CHUNKS_AHEAD: u32 = 2;

/// What to generate, and for which request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationRequest {
    /// The caller's request.
    pub request_id: RequestId,
    /// Tokens of the prompt; at least one.
    pub prompt: Vec<u32>,
    /// Number of tokens to generate.
    pub max_tokens: u32,
    /// Bytes of one position's activation.
    pub activation_bytes: u32,
    /// Priority passed on to engines.
    pub priority: u8,
    /// When the answer must be complete.
    pub deadline_ms: Option<Millis>,
}

/// Drives one request through its stages.
///
/// Every answer of a target is matched to its call, and every session is identified by request and
/// attempt, so that a late answer of an abandoned attempt can't become part of the caller's answer.
#[derive(Debug)]
pub struct Pipeline {
    pub(crate) request: GenerationRequest,
    pub(crate) settings: PipeSettings,
    pub(crate) stages: Vec<StageRun>,
    /// Tokens of the prompt, followed by the generated ones.
    pub(crate) tokens: Vec<u32>,
    /// Targets that must not be chosen as replacements.
    pub(crate) excluded: Vec<TargetName>,
    /// Rebuilds counted against the limit: lost and replayed stages, moves, and steps sent again.
    pub(crate) rebuilds: u32,
    /// Number of generated tokens when a stage last moved, or could not move, away from a degraded
    /// target that still works.
    pub(crate) moved_at_tokens: Option<u32>,
    /// Whether any step may have run at a target, so that the request can't end as not run.
    pub(crate) may_have_run: bool,
    budget_share: BudgetShare,
    finished: bool,
    next_call: u64,
    next_attempt: Attempt,
}

impl Pipeline {
    /// Creates a pipeline over stages that cover each layer of the model once, in order.
    #[must_use]
    pub fn new(request: GenerationRequest, stages: Vec<Stage>, settings: PipeSettings) -> Self {
        let mut pipeline = Self {
            tokens: request.prompt.clone(),
            request,
            settings,
            stages: Vec::with_capacity(stages.len()),
            excluded: Vec::new(),
            rebuilds: 0,
            moved_at_tokens: None,
            may_have_run: false,
            budget_share: BudgetShare::default(),
            finished: false,
            next_call: 0,
            next_attempt: Attempt(0),
        };
        for stage in stages {
            let attempt = pipeline.allocate_attempt();
            pipeline.stages.push(StageRun::new(stage, attempt));
        }
        pipeline
    }

    /// Sets the limit on buffered stage inputs that this pipeline shares with others.
    #[must_use]
    pub fn with_budget(mut self, budget: ActivationBudget) -> Self {
        self.budget_share = BudgetShare::new(budget);
        self
    }

    /// Sends the first steps.
    pub fn start(&mut self, now: Millis, step_timeout: StepTimeout<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.advance(now, step_timeout, &mut actions);
        actions
    }

    /// Handles an event; events after the end of the request are ignored.
    pub fn handle(
        &mut self,
        event: Event,
        now: Millis,
        step_timeout: StepTimeout<'_>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        self.handle_event(event, now, step_timeout, &mut actions);
        self.advance(now, step_timeout, &mut actions);
        actions
    }

    /// Handles the deadlines that have passed.
    pub fn tick(&mut self, now: Millis, step_timeout: StepTimeout<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.finished {
            return actions;
        }
        if self
            .request
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
                self.handle_stage_deadline(index, now, &mut actions);
            }
        }
        self.advance(now, step_timeout, &mut actions);
        actions
    }

    /// When [`Self::tick`] must be called next; `None` when nothing waits for a time.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Millis> {
        if self.finished {
            return None;
        }
        let stages = self.stages.iter().filter_map(StageRun::wakeup_ms);
        stages.chain(self.request.deadline_ms).min()
    }

    /// Whether the request has ended.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Whether the pipeline still waits for the answer to a call; otherwise the action of this call
    /// need not be performed.
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
        &self.tokens[self.request.prompt.len()..]
    }

    /// Number of rebuilds so far: lost and replayed stages, moves, and steps sent again.
    #[must_use]
    pub const fn rebuilds(&self) -> u32 {
        self.rebuilds
    }

    /// Bytes of stage inputs that this pipeline has buffered.
    #[must_use]
    pub fn buffered_bytes(&self) -> u64 {
        self.stages
            .iter()
            .map(|run| run.inputs.buffered_bytes())
            .sum()
    }

    pub(crate) const fn allocate_call(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    pub(crate) const fn allocate_attempt(&mut self) -> Attempt {
        let attempt = self.next_attempt;
        self.next_attempt = attempt.next();
        attempt
    }

    /// Number of positions whose inputs a stage has received.
    pub(crate) fn received(&self, index: usize) -> u32 {
        if index == 0 {
            self.token_count()
        } else {
            self.stages[index].inputs.received()
        }
    }

    pub(crate) const fn generated_count(&self) -> u32 {
        (self.tokens.len() - self.request.prompt.len()) as u32
    }

    fn token_count(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    fn handle_event(
        &mut self,
        event: Event,
        now: Millis,
        step_timeout: StepTimeout<'_>,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::StepDone { call, output } => self.finish_step(call, output, now, actions),
            Event::StepQueued { call, sent_at } => {
                self.extend_step_deadline(call, sent_at.unwrap_or(now), step_timeout);
            }
            Event::Cancelled { reason } => self.finish_early(reason, actions),
            other => self.handle_recovery_event(other, now, actions),
        }
    }

    /// Index of the stage that waits for the answer to a call.
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
            Phase::Stepping { step, .. } | Phase::Querying { step, .. } => step,
            _ => return,
        };
        let (first, count) = (step.first.0, step.count);
        self.may_have_run = true;
        let is_last = index + 1 == self.stages.len();
        let is_valid = match &output {
            StageOutput::Token(_) => is_last,
            StageOutput::Activations(bytes) => {
                !is_last && bytes.len() == count as usize * self.request.activation_bytes as usize
            }
        };
        if !is_valid {
            self.replace_failed_target(index, ReplaceCause::NoAnswer, now, actions);
            return;
        }
        let run = &mut self.stages[index];
        run.phase = Phase::Idle;
        run.computed = first + count;
        run.lost_since = None;
        match output {
            StageOutput::Token(token) => self.accept_token(index, token, actions),
            StageOutput::Activations(bytes) => self.deliver(index, first, count, &bytes),
        }
    }

    /// Passes outputs to the next stage, except for those that it received in an earlier attempt.
    fn deliver(&mut self, index: usize, first: u32, count: u32, bytes: &Bytes) {
        let end = first + count;
        let received = self.stages[index + 1].inputs.received();
        if end > received {
            let skipped = received.saturating_sub(first) as usize;
            let new_bytes = bytes.slice(skipped * self.request.activation_bytes as usize..);
            self.stages[index + 1]
                .inputs
                .push(end - received, new_bytes);
        }
        let run = &mut self.stages[index];
        run.delivered = run.delivered.max(end);
        self.trim_buffers();
    }

    /// Accepts the token that follows the newest position; a replay repeats older ones, which are
    /// ignored.
    fn accept_token(&mut self, index: usize, token: u32, actions: &mut Vec<Action>) {
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
        if generated + 1 >= self.request.max_tokens {
            self.finish(Outcome::Done, Reason::Complete, actions);
        }
    }

    /// Drops inputs that already ran while a limit on buffered inputs is exceeded; a stage whose
    /// inputs were dropped can no longer be rebuilt by replaying its own inputs.
    fn trim_buffers(&mut self) {
        self.budget_share.set(self.buffered_bytes());
        while self.buffered_bytes() > self.settings.buffer_bytes
            || self.budget_share.is_budget_exceeded()
        {
            let droppable = |run: &StageRun| {
                let first = run.inputs.first_buffered();
                if first < run.delivered {
                    run.inputs.buffered_bytes()
                } else {
                    0
                }
            };
            let Some(run) = self.stages.iter_mut().max_by_key(|run| droppable(run)) else {
                return;
            };
            let bytes_before = run.inputs.buffered_bytes();
            run.inputs.drop_before(run.delivered.min(run.computed));
            if run.inputs.buffered_bytes() == bytes_before {
                return;
            }
            self.budget_share.set(self.buffered_bytes());
        }
    }

    /// Sends a step for every idle stage that has inputs to run.
    pub(crate) fn advance(
        &mut self,
        now: Millis,
        step_timeout: StepTimeout<'_>,
        actions: &mut Vec<Action>,
    ) {
        for index in 0..self.stages.len() {
            if self.finished {
                return;
            }
            let run = &self.stages[index];
            let unprocessed = self.received(index) - run.computed;
            let is_idle = matches!(run.phase, Phase::Idle);
            if unprocessed == 0 || !is_idle || !self.next_stage_has_capacity(index) {
                continue;
            }
            let count = unprocessed.min(self.settings.chunk_positions);
            let Some(input) = self.read_inputs(index, run.computed, count) else {
                self.rebuild_upstream(index, actions);
                return self.advance(now, step_timeout, actions);
            };
            let step = StageStep {
                session: run.session(self.request.request_id),
                version: run.stage.version.clone(),
                layers: run.stage.layers,
                first: Position(run.computed),
                count,
                priority: self.request.priority,
                deadline_ms: self.request.deadline_ms.map(|deadline| deadline - now),
                input,
            };
            self.send_step(index, step, now, step_timeout, actions);
        }
    }

    /// Whether the next stage may receive more inputs than it has.
    ///
    /// A stage may run ahead of the next one by up to `MAX_CHUNKS_AHEAD` chunks. While the budget
    /// is exceeded, it runs only when the next one has no unprocessed inputs. Positions that the
    /// next stage has already received may always be run again.
    fn next_stage_has_capacity(&self, index: usize) -> bool {
        let Some(next) = self.stages.get(index + 1) else {
            return true;
        };
        let received = next.inputs.received();
        let ahead = received - next.computed;
        if self.stages[index].computed < received || ahead == 0 {
            return true;
        }
        let max_ahead = self
            .settings
            .chunk_positions
            .saturating_mul(MAX_CHUNKS_AHEAD);
        ahead < max_ahead && !self.budget_share.is_budget_exceeded()
    }

    pub(crate) fn send_step(
        &mut self,
        index: usize,
        step: StageStep,
        now: Millis,
        step_timeout: StepTimeout<'_>,
        actions: &mut Vec<Action>,
    ) {
        let call = self.allocate_call();
        let run = &mut self.stages[index];
        run.may_have_session = true;
        let deadline_ms = now + step_timeout(&run.stage.target, step.count);
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

    /// Restarts the timeout of a step at `from`; never makes its deadline earlier.
    fn extend_step_deadline(&mut self, call: CallId, from: Millis, step_timeout: StepTimeout<'_>) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        let run = &mut self.stages[index];
        if let Phase::Stepping {
            step, deadline_ms, ..
        } = &mut run.phase
        {
            let extended_ms = from + step_timeout(&run.stage.target, step.count);
            *deadline_ms = extended_ms.max(*deadline_ms);
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
        let bytes_per_position = self.request.activation_bytes as usize;
        self.stages[index]
            .inputs
            .slice(first, count, bytes_per_position)
    }

    /// Ends the request before its answer is complete.
    pub(crate) fn finish_early(&mut self, reason: Reason, actions: &mut Vec<Action>) {
        let has_open_step = self.stages.iter().any(StageRun::has_open_step);
        let outcome = if self.may_have_run || has_open_step {
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
        self.budget_share.set(0);
        actions.push(Action::Finish { outcome, reason });
    }

    pub(crate) fn free_session(&mut self, index: usize, actions: &mut Vec<Action>) {
        let run = &mut self.stages[index];
        if run.may_have_session {
            run.may_have_session = false;
            let session = run.session(self.request.request_id);
            actions.push(Action::FreeSession {
                stage: run.stage.clone(),
                session,
            });
        }
    }
}
