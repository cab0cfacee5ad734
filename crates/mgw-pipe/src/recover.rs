//! Recovery: what a pipeline does when a step fails, stays unanswered or its target goes away.
//!
//! A stage's state is brought back by the cheapest way that is left: importing the KV cache from a
//! target that still answers, replaying the inputs that this process holds, or running earlier
//! stages again from the tokens.

use mgw_contract::caller::Reason;
use mgw_contract::engine::{KvImage, SessionStanding, StepRefusal};
use mgw_world::{LayerRange, Millis, TargetName};

use crate::stage::{Phase, StageRun, is_usable_image};
use crate::{Action, CallId, Event, Pipeline, Stage};

impl Pipeline {
    pub(crate) fn take_fault(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) {
        match event {
            Event::StepRefused { call, refusal } => self.take_refusal(call, &refusal, now, actions),
            Event::StepFailed { call, sent } => self.take_failure(call, sent, now, actions),
            Event::Standing { call, standing } => self.take_standing(call, standing, now, actions),
            Event::Exported { call, image } => self.take_image(call, image, now, actions),
            Event::Imported { call } => self.take_import(call),
            Event::CallFailed { call } => self.take_call_failure(call, now, actions),
            Event::Replacement { call, stages } => {
                self.take_replacement(call, stages, now, actions);
            }
            Event::Degraded { target } => self.leave_target(&target, now, actions),
            Event::StepDone { .. } | Event::Cancelled { .. } => {}
        }
    }

    /// Acts on a stage whose deadline has passed.
    pub(crate) fn expire(&mut self, index: usize, now: Millis, actions: &mut Vec<Action>) {
        match &self.stages[index].phase {
            Phase::Idle => {}
            Phase::Stepping { extended: true, .. } => {
                self.exclude(index);
                self.replace(index, true, now, actions);
            }
            Phase::Stepping { .. } => self.ask(index, true, now, actions),
            Phase::Asking { .. } => self.give_up_target(index, now, actions),
            Phase::Exporting {
                former,
                former_session,
                ..
            } => {
                let (stage, session) = (former.clone(), *former_session);
                actions.push(Action::Free { stage, session });
                self.stages[index].phase = Phase::Idle;
            }
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
        match refusal {
            StepRefusal::WrongPosition { .. } | StepRefusal::NoSession => {
                self.start_replay(index, actions);
            }
            StepRefusal::Leaving
            | StepRefusal::Full
            | StepRefusal::WrongLayers
            | StepRefusal::WrongInput => {
                self.exclude(index);
                self.replace(index, self.stages[index].computed > 0, now, actions);
            }
            StepRefusal::TooLate => {
                self.stages[index].phase = Phase::Idle;
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
            _ => self.give_up_target(index, now, actions),
        }
    }

    /// Asks the target where the session stands; the step may still be answered while it is live.
    fn ask(&mut self, index: usize, live: bool, now: Millis, actions: &mut Vec<Action>) {
        let ask = self.take_call();
        let deadline_ms = now + self.settings.ask_timeout_ms;
        let request = self.order.request;
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
        actions.push(Action::Ask {
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
            Phase::Asking { ask, .. } if *ask == call => self.give_up_target(index, now, actions),
            Phase::Exporting {
                former,
                former_session,
                ..
            } => {
                let (stage, session) = (former.clone(), *former_session);
                actions.push(Action::Free { stage, session });
                self.stages[index].phase = Phase::Idle;
            }
            Phase::Importing { .. } => self.start_replay(index, actions),
            _ => {}
        }
    }

    /// Goes on without the KV cache of the former target.
    fn abandon_export(&mut self, index: usize, actions: &mut Vec<Action>) {
        let run = &mut self.stages[index];
        if let Phase::Exporting {
            former,
            former_session,
            ..
        } = &run.phase
        {
            actions.push(Action::Free {
                stage: former.clone(),
                session: *former_session,
            });
            run.phase = Phase::Idle;
        }
    }

    /// Takes the target out of this request's choice and looks for others.
    pub(crate) fn give_up_target(&mut self, index: usize, now: Millis, actions: &mut Vec<Action>) {
        self.exclude(index);
        self.replace(index, false, now, actions);
    }

    fn exclude(&mut self, index: usize) {
        let target = self.stages[index].stage.target.clone();
        if !self.excluded.contains(&target) {
            self.excluded.push(target);
        }
    }

    /// Moves all stages away from a target that still answers.
    fn leave_target(&mut self, target: &TargetName, now: Millis, actions: &mut Vec<Action>) {
        for index in (0..self.stages.len()).rev() {
            let run = &self.stages[index];
            // A step under way is left to end; its output is worth more than an early move.
            if run.stage.target == *target && matches!(run.phase, Phase::Idle) {
                self.exclude(index);
                self.replace(index, true, now, actions);
            }
        }
    }

    /// Looks for targets that take over a stage.
    fn replace(&mut self, index: usize, export: bool, now: Millis, actions: &mut Vec<Action>) {
        self.may_have_run |= self.stages[index].computed > 0;
        if !self.count_rebuild(actions) {
            return;
        }
        let until_ms = now + self.settings.replace_limit_ms;
        self.stages[index].phase = Phase::Replacing {
            call: None,
            again_ms: now,
            until_ms,
            export,
        };
        self.look_again(index, now, actions);
    }

    fn look_again(&mut self, index: usize, now: Millis, actions: &mut Vec<Action>) {
        let next_call = self.take_call();
        let pause_ms = self.settings.replace_pause_ms;
        let run = &mut self.stages[index];
        let Phase::Replacing {
            call,
            again_ms,
            until_ms,
            ..
        } = &mut run.phase
        else {
            return;
        };
        if now >= *until_ms {
            run.phase = Phase::Idle;
            self.finish_early(Reason::TargetFailed, actions);
            return;
        }
        *call = Some(next_call);
        *again_ms = now + pause_ms;
        actions.push(Action::Replace {
            call: next_call,
            old: run.stage.clone(),
            layers: run.stage.layers,
            excluded: self.excluded.clone(),
        });
    }

    fn take_replacement(
        &mut self,
        call: CallId,
        stages: Vec<Stage>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        let Phase::Replacing { export, .. } = self.stages[index].phase else {
            return;
        };
        if !covers(self.stages[index].stage.layers, &stages) {
            // The target may have been out for a moment only: it may be chosen again.
            self.excluded.clear();
            return;
        }
        let old = self.stages[index].clone();
        let former_session = old.session(self.order.request);
        let is_same_range = stages.len() == 1;
        self.splice(index, &old, stages);
        if export && is_same_range && old.opened && old.computed > 0 {
            let export_call = self.take_call();
            let deadline_ms = now + self.settings.transfer_timeout_ms;
            let former = old.stage.clone();
            actions.push(Action::Export {
                call: export_call,
                stage: former.clone(),
                session: former_session,
            });
            self.stages[index].phase = Phase::Exporting {
                call: export_call,
                deadline_ms,
                former,
                former_session,
            };
        } else if old.opened {
            actions.push(Action::Free {
                stage: old.stage,
                session: former_session,
            });
        }
    }

    /// Puts new stages in the place of an old one; they start from the old one's inputs.
    fn splice(&mut self, index: usize, old: &StageRun, stages: Vec<Stage>) {
        let mut runs = Vec::with_capacity(stages.len());
        for stage in stages {
            let attempt = self.take_attempt();
            runs.push(StageRun::new(stage, attempt));
        }
        if let Some(first) = runs.first_mut() {
            first.inputs = old.inputs.clone();
        }
        if let Some(last) = runs.last_mut() {
            last.delivered = old.delivered;
        }
        self.stages.splice(index..=index, runs);
    }

    fn take_image(&mut self, call: CallId, image: KvImage, now: Millis, actions: &mut Vec<Action>) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        let import_call = self.take_call();
        let request = self.order.request;
        let deadline_ms = now + self.settings.transfer_timeout_ms;
        let run = &mut self.stages[index];
        let Phase::Exporting {
            former,
            former_session,
            ..
        } = &run.phase
        else {
            return;
        };
        actions.push(Action::Free {
            stage: former.clone(),
            session: *former_session,
        });
        if !is_usable_image(&image, run) {
            run.phase = Phase::Idle;
            return;
        }
        run.opened = true;
        run.phase = Phase::Importing {
            call: import_call,
            deadline_ms,
            image_next: image.next.0,
        };
        let (stage, session) = (run.stage.clone(), run.session(request));
        actions.push(Action::Import {
            call: import_call,
            stage,
            session,
            image,
        });
    }

    fn take_import(&mut self, call: CallId) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        let run = &mut self.stages[index];
        if let Phase::Importing { image_next, .. } = run.phase {
            run.computed = image_next;
            run.phase = Phase::Idle;
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
    fn count_rebuild(&mut self, actions: &mut Vec<Action>) -> bool {
        self.rebuilds += 1;
        if self.rebuilds <= self.settings.max_rebuilds {
            return true;
        }
        self.finish_early(Reason::TargetFailed, actions);
        false
    }
}

/// Whether stages cover a range once and in order.
fn covers(layers: LayerRange, stages: &[Stage]) -> bool {
    let (Some(first), Some(last)) = (stages.first(), stages.last()) else {
        return false;
    };
    let is_chain = stages
        .windows(2)
        .all(|pair| pair[0].layers.is_followed_by(pair[1].layers));
    is_chain && first.layers.first() == layers.first() && last.layers.end() == layers.end()
}
