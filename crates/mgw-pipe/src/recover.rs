//! Recovery: what a pipeline does when a step fails, stays unanswered or its target goes away.
//!
//! A stage's state is brought back by the cheapest way that is left: importing the KV cache from a
//! target that still answers, replaying the inputs that this process holds, or running earlier
//! stages again from the tokens.

use mgw_contract::caller::Reason;
use mgw_contract::engine::{SessionStanding, StepRefusal};
use mgw_world::Millis;

use crate::replace::ReplaceCause;
use crate::stage::Phase;
use crate::{Action, CallId, Event, Pipeline};

impl Pipeline {
    pub(crate) fn take_fault(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) {
        match event {
            Event::StepRefused { call, refusal } => self.take_refusal(call, &refusal, now, actions),
            Event::StepFailed { call, sent } => self.take_failure(call, sent, now, actions),
            Event::SessionStatus {
                call,
                status: standing,
            } => self.take_standing(call, standing, now, actions),
            Event::Exported { call, image } => self.take_image(call, image, now, actions),
            Event::Imported { call } => self.take_import(call),
            Event::CallFailed { call } => self.take_call_failure(call, now, actions),
            Event::Replacement { call, stages } => {
                self.take_replacement(call, stages, now, actions);
            }
            Event::TargetDegraded { target } => self.leave_target(&target, now, actions),
            Event::StepDone { .. } | Event::StepQueued { .. } | Event::Cancelled { .. } => {}
        }
    }

    /// Acts on a stage whose deadline has passed.
    pub(crate) fn expire(&mut self, index: usize, now: Millis, actions: &mut Vec<Action>) {
        match &self.stages[index].phase {
            Phase::Idle => {}
            Phase::Stepping { extended: true, .. } => {
                self.may_have_run = true;
                self.give_up_target(index, ReplaceCause::Late, now, actions);
            }
            Phase::Stepping { .. } => self.ask(index, true, now, actions),
            Phase::Asking { .. } => {
                self.may_have_run = true;
                self.give_up_target(index, ReplaceCause::NoAnswer, now, actions);
            }
            Phase::Exporting { .. } => self.abandon_export(index, actions),
            Phase::Importing { .. } => self.start_replay(index, actions),
            Phase::Replacing { .. } => self.look_again(index, now, actions),
        }
    }

    fn take_refusal(
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
                self.give_up_target(index, ReplaceCause::Refused, now, actions);
            }
            StepRefusal::TooLate => {
                self.finish_early(Reason::Deadline, actions);
            }
        }
    }

    fn take_failure(&mut self, call: CallId, sent: bool, now: Millis, actions: &mut Vec<Action>) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        self.may_have_run |= sent;
        match &mut self.stages[index].phase {
            Phase::Asking { live, .. } => *live = false,
            Phase::Stepping { .. } if sent => self.ask(index, false, now, actions),
            _ => {
                self.stages[index].phase = Phase::Idle;
                self.give_up_target(index, ReplaceCause::NotConnected, now, actions);
            }
        }
    }

    /// Asks the target where the session stands; the step may still be answered while it is live.
    fn ask(&mut self, index: usize, live: bool, now: Millis, actions: &mut Vec<Action>) {
        let ask = self.take_call();
        let deadline_ms = now + self.settings.ask_timeout_ms;
        let request = self.order.request_id;
        let run = &mut self.stages[index];
        let Phase::Stepping { call, step, .. } = &run.phase else {
            return;
        };
        run.phase = Phase::Asking {
            ask,
            deadline_ms,
            step_call: *call,
            step: step.clone(),
            live,
        };
        let session = run.session(request);
        actions.push(Action::QuerySession {
            call: ask,
            stage: run.stage.clone(),
            session,
        });
    }

    fn take_standing(
        &mut self,
        call: CallId,
        standing: Option<SessionStanding>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        let run = &mut self.stages[index];
        let Phase::Asking {
            ask,
            step_call,
            step,
            live,
            ..
        } = &run.phase
        else {
            return;
        };
        if *ask != call {
            return;
        }
        let (step_call, step, live) = (*step_call, step.clone(), *live);
        let next = standing.map_or(0, |standing| standing.next.0);
        let running = standing.is_some_and(|standing| standing.running);
        if live {
            // The answer may be on its way; the target gets the same time once more.
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
            // The session stands before the step. The engine runs a position once per session, so
            // a copy still under way is refused or makes this one refused.
            run.phase = Phase::Idle;
            self.count_rebuild(actions);
            return;
        }
        self.start_replay(index, actions);
    }

    fn take_call_failure(&mut self, call: CallId, now: Millis, actions: &mut Vec<Action>) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        match &self.stages[index].phase {
            Phase::Asking { ask, .. } if *ask == call => {
                self.may_have_run = true;
                self.give_up_target(index, ReplaceCause::NoAnswer, now, actions);
            }
            Phase::Exporting { .. } => self.abandon_export(index, actions),
            Phase::Importing { .. } => self.start_replay(index, actions),
            _ => {}
        }
    }

    /// Starts a stage anew at the same target, under a new attempt.
    fn start_replay(&mut self, index: usize, actions: &mut Vec<Action>) {
        if !self.count_rebuild(actions) {
            return;
        }
        self.may_have_run = true;
        self.reset_session(index, actions);
    }

    fn reset_session(&mut self, index: usize, actions: &mut Vec<Action>) {
        self.abandon_export(index, actions);
        self.free_session(index, actions);
        let attempt = self.take_attempt();
        let run = &mut self.stages[index];
        run.attempt = attempt;
        run.computed = 0;
        run.phase = Phase::Idle;
    }

    /// Runs the stages before one whose inputs are no longer held again, from the nearest stage
    /// that still has all its inputs; the first stage always has, as they are the tokens.
    pub(crate) fn rebuild_upstream(&mut self, index: usize, actions: &mut Vec<Action>) {
        if self.stages[index].computed > 0 {
            self.reset_session(index, actions);
        }
        self.stages[index].inputs = Default::default();
        let mut from = index;
        while from > 0 {
            from -= 1;
            self.reset_session(from, actions);
            if from == 0 || self.stages[from].inputs.first_kept() == 0 {
                break;
            }
            self.stages[from].inputs = Default::default();
        }
    }

    /// Counts a rebuilt stage; ends the request when there were too many.
    pub(crate) fn count_rebuild(&mut self, actions: &mut Vec<Action>) -> bool {
        if self.has_rebuilds() {
            self.rebuilds += 1;
            return true;
        }
        self.finish_early(Reason::TargetFailed, actions);
        false
    }

    /// Whether another stage may be rebuilt: generated tokens earn further rebuilds.
    pub(crate) const fn has_rebuilds(&self) -> bool {
        let earned = self.generated_count() / self.settings.tokens_per_rebuild.get();
        self.rebuilds < self.settings.max_rebuilds + earned
    }
}
