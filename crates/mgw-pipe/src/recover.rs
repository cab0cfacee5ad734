//! Recovery of a pipeline when a step fails or stays unanswered, or its target goes away.
//!
//! The state of a stage is rebuilt in the cheapest way still available: importing the KV cache from
//! a target that still answers, replaying the inputs buffered in this process, or running earlier
//! stages again from the tokens.

use mgw_contract::caller::Reason;
use mgw_contract::engine::{SessionStanding, StepRefusal};
use mgw_world::Millis;

use crate::replace::ReplaceCause;
use crate::stage::Phase;
use crate::{Action, CallId, Event, Pipeline};

impl Pipeline {
    /// Handles the events that concern faults, recovery and replacement.
    pub(crate) fn handle_recovery_event(
        &mut self,
        event: Event,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::StepRefused { call, refusal } => {
                self.handle_refusal(call, &refusal, now, actions);
            }
            Event::StepFailed { call, sent } => self.handle_step_failure(call, sent, now, actions),
            Event::SessionStatus { call, status } => {
                self.handle_session_status(call, status, now, actions);
            }
            Event::Exported { call, image } => self.handle_export(call, image, now, actions),
            Event::Imported { call } => self.handle_import(call),
            Event::CallFailed { call } => self.handle_call_failure(call, now, actions),
            Event::Replacement { call, stages } => {
                self.handle_replacement(call, stages, now, actions);
            }
            Event::TargetDegraded { target } => self.move_from_target(&target, now, actions),
            Event::StepDone { .. } | Event::StepQueued { .. } | Event::Cancelled { .. } => {}
        }
    }

    /// Handles the deadline of a stage that has passed.
    pub(crate) fn handle_stage_deadline(
        &mut self,
        index: usize,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        match &self.stages[index].phase {
            Phase::Idle => {}
            Phase::Stepping { extended: true, .. } => {
                self.may_have_run = true;
                self.replace_failed_target(index, ReplaceCause::Late, now, actions);
            }
            Phase::Stepping { .. } => self.query_session(index, true, now, actions),
            Phase::Querying { .. } => {
                self.may_have_run = true;
                self.replace_failed_target(index, ReplaceCause::NoAnswer, now, actions);
            }
            Phase::Exporting { .. } => self.abandon_export(index, actions),
            Phase::Importing { .. } => self.start_replay(index, actions),
            Phase::Replacing { .. } => self.request_replacement(index, now, actions),
        }
    }

    fn handle_refusal(
        &mut self,
        call: CallId,
        refusal: &StepRefusal,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        self.stages[index].phase = Phase::Idle;
        match refusal {
            StepRefusal::WrongPosition { .. } | StepRefusal::NoSession => {
                self.start_replay(index, actions);
            }
            StepRefusal::Leaving
            | StepRefusal::Full
            | StepRefusal::WrongLayers
            | StepRefusal::WrongInput => {
                self.replace_failed_target(index, ReplaceCause::Refused, now, actions);
            }
            StepRefusal::TooLate => {
                self.finish_early(Reason::Deadline, actions);
            }
        }
    }

    fn handle_step_failure(
        &mut self,
        call: CallId,
        sent: bool,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        self.may_have_run |= sent;
        match &mut self.stages[index].phase {
            Phase::Querying { step_pending, .. } => *step_pending = false,
            Phase::Stepping { .. } if sent => self.query_session(index, false, now, actions),
            _ => {
                self.stages[index].phase = Phase::Idle;
                self.replace_failed_target(index, ReplaceCause::NotConnected, now, actions);
            }
        }
    }

    /// Asks the target for the state of the session; while `step_pending`, the step may still be
    /// answered.
    fn query_session(
        &mut self,
        index: usize,
        step_pending: bool,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let query_call = self.allocate_call();
        let deadline_ms = now + self.settings.ask_timeout_ms;
        let request_id = self.request.request_id;
        let run = &mut self.stages[index];
        let Phase::Stepping { call, step, .. } = &run.phase else {
            return;
        };
        run.phase = Phase::Querying {
            query_call,
            deadline_ms,
            step_call: *call,
            step: step.clone(),
            step_pending,
        };
        let session = run.session(request_id);
        actions.push(Action::QuerySession {
            call: query_call,
            stage: run.stage.clone(),
            session,
        });
    }

    fn handle_session_status(
        &mut self,
        call: CallId,
        status: Option<SessionStanding>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        let run = &mut self.stages[index];
        let Phase::Querying {
            query_call,
            step_call,
            step,
            step_pending,
            ..
        } = &run.phase
        else {
            return;
        };
        if *query_call != call {
            return;
        }
        let (step_call, step, step_pending) = (*step_call, step.clone(), *step_pending);
        let next = status.map_or(0, |status| status.next.0);
        let running = status.is_some_and(|status| status.running);
        if step_pending {
            // The answer of the step may be in transit, so the step gets a second deadline.
            let deadline_ms = now + self.settings.ask_timeout_ms.times(2);
            run.phase = Phase::Stepping {
                call: step_call,
                step,
                deadline_ms,
                extended: true,
            };
            return;
        }
        if next == run.computed && !running {
            // The step has not run. The engine runs a position once per session, so if a copy of
            // the step is still in transit, either that copy or the one sent again is refused.
            run.phase = Phase::Idle;
            self.count_rebuild(actions);
            return;
        }
        self.start_replay(index, actions);
    }

    fn handle_call_failure(&mut self, call: CallId, now: Millis, actions: &mut Vec<Action>) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        match &self.stages[index].phase {
            Phase::Querying { query_call, .. } if *query_call == call => {
                self.may_have_run = true;
                self.replace_failed_target(index, ReplaceCause::NoAnswer, now, actions);
            }
            Phase::Exporting { .. } => self.abandon_export(index, actions),
            Phase::Importing { .. } => self.start_replay(index, actions),
            _ => {}
        }
    }

    /// Rebuilds a stage at the same target, in a new session, if another rebuild is allowed.
    fn start_replay(&mut self, index: usize, actions: &mut Vec<Action>) {
        if !self.count_rebuild(actions) {
            return;
        }
        self.may_have_run = true;
        self.reset_session(index, actions);
    }

    /// Frees the session of a stage and lets the next attempt start from the first position.
    fn reset_session(&mut self, index: usize, actions: &mut Vec<Action>) {
        self.abandon_export(index, actions);
        self.free_session(index, actions);
        let attempt = self.allocate_attempt();
        let run = &mut self.stages[index];
        run.attempt = attempt;
        run.computed = 0;
        run.phase = Phase::Idle;
    }

    /// Restarts the stages before one whose inputs are no longer buffered, from the nearest stage
    /// that still has all its inputs; the first stage always has them, as they are the tokens.
    pub(crate) fn rebuild_upstream(&mut self, index: usize, actions: &mut Vec<Action>) {
        if self.stages[index].computed > 0 {
            self.reset_session(index, actions);
        }
        self.stages[index].inputs = Default::default();
        let mut from = index;
        while from > 0 {
            from -= 1;
            self.reset_session(from, actions);
            if from == 0 || self.stages[from].inputs.first_buffered() == 0 {
                break;
            }
            self.stages[from].inputs = Default::default();
        }
    }

    /// Counts a rebuilt stage; ends the request and returns false when no further one is allowed.
    pub(crate) fn count_rebuild(&mut self, actions: &mut Vec<Action>) -> bool {
        if self.has_rebuilds() {
            self.rebuilds += 1;
            return true;
        }
        self.finish_early(Reason::TargetFailed, actions);
        false
    }

    /// Whether another stage may be rebuilt: generated tokens allow further rebuilds.
    pub(crate) const fn has_rebuilds(&self) -> bool {
        let additional = self.generated_count() / self.settings.tokens_per_rebuild.get();
        self.rebuilds < self.settings.max_rebuilds + additional
    }
}
