//! Replacement of a stage, alone or with its neighbours where no target holds just its layers.

use mgw_contract::caller::Reason;
use mgw_world::{LayerRange, Millis, TargetName};

use crate::stage::{Phase, StageRun};
use crate::{Action, CallId, Pipeline, Stage};

/// Most spans of stages that are offered for one replacement.
const MAX_SPANS: usize = 16;

/// Why a stage moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplaceCause {
    /// No byte of the step left this process.
    NotConnected,
    /// The target gave no usable answer.
    NoAnswer,
    /// The target says that it works on the step, but takes too long.
    Late,
    /// The target answered that it doesn't run the step.
    Refused,
    /// The target works but another one is better.
    Degraded,
}

impl Pipeline {
    /// Takes the target out of this request's choice and looks for others.
    pub(crate) fn give_up_target(
        &mut self,
        index: usize,
        cause: ReplaceCause,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        self.exclude(index);
        self.may_have_run |= self.stages[index].computed > 0;
        if !self.count_loss(index, cause, now, actions) {
            return;
        }
        self.look_for(index, cause, now, actions);
    }

    /// Moves all stages away from a target that still answers, if there are better ones.
    pub(crate) fn leave_target(
        &mut self,
        target: &TargetName,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_move_worthwhile() {
            return;
        }
        for index in (0..self.stages.len()).rev() {
            let run = &self.stages[index];
            // A step under way is left to end; its output is worth more than an early move.
            if run.stage.target == *target && matches!(run.phase, Phase::Idle) && run.computed > 0 {
                self.exclude(index);
                self.look_for(index, ReplaceCause::Degraded, now, actions);
            }
        }
    }

    /// Whether enough of the answer is left, and enough was made since the last move.
    fn is_move_worthwhile(&self) -> bool {
        let pause = self.settings.move_pause_tokens;
        let left = self.order.max_tokens.saturating_sub(self.generated_count());
        let is_rested = self
            .moved_at
            .is_none_or(|moved_at| self.generated_count() >= moved_at + pause);
        left >= self.settings.min_move_tokens && is_rested && self.has_rebuilds()
    }

    fn exclude(&mut self, index: usize) {
        let target = self.stages[index].stage.target.clone();
        if !self.excluded.contains(&target) {
            self.excluded.push(target);
        }
    }

    /// Counts a lost stage; a replacement that could not even be connected to counts only once in
    /// a while, as nothing ran there.
    fn count_loss(
        &mut self,
        index: usize,
        cause: ReplaceCause,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> bool {
        let limit_ms = self.settings.replace_limit_ms;
        let run = &mut self.stages[index];
        let goes_on = run.lost_since.is_some_and(|since| now < since + limit_ms);
        if cause == ReplaceCause::NotConnected && goes_on {
            return true;
        }
        run.lost_since = Some(now);
        self.count_rebuild(actions)
    }

    fn look_for(
        &mut self,
        index: usize,
        cause: ReplaceCause,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let since = self.stages[index].lost_since.unwrap_or(now);
        self.stages[index].phase = Phase::Replacing {
            call: None,
            again_ms: now,
            until_ms: since + self.settings.replace_limit_ms,
            cause,
        };
        self.look_again(index, now, actions);
    }

    pub(crate) fn look_again(&mut self, index: usize, now: Millis, actions: &mut Vec<Action>) {
        let next_call = self.take_call();
        let pause_ms = self.settings.replace_pause_ms;
        let spans = self.list_spans(index);
        let run = &mut self.stages[index];
        let Phase::Replacing {
            call,
            again_ms,
            until_ms,
            cause,
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
        actions.push(Action::FindReplacement {
            call: next_call,
            old: run.stage.clone(),
            spans,
            excluded: self.excluded.clone(),
            cause: *cause,
        });
    }

    /// Layers of the stage alone, then of ever more whole stages around it, fewest layers first.
    fn list_spans(&self, index: usize) -> Vec<LayerRange> {
        let mut spans = Vec::new();
        for first in 0..=index {
            for last in index..self.stages.len() {
                let (from, to) = (&self.stages[first].stage, &self.stages[last].stage);
                spans.extend(LayerRange::new(from.layers.first(), to.layers.end()));
            }
        }
        spans.sort_by_key(|span| (span.count(), span.first()));
        if spans.len() > MAX_SPANS {
            let whole = spans.pop();
            spans.truncate(MAX_SPANS - 1);
            spans.extend(whole);
        }
        spans
    }

    pub(crate) fn take_replacement(
        &mut self,
        call: CallId,
        stages: Vec<Stage>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        let Phase::Replacing { cause, .. } = self.stages[index].phase else {
            return;
        };
        let Some((first, last)) = self.find_span(index, &stages) else {
            self.stay_or_wait(index, cause);
            return;
        };
        if cause == ReplaceCause::Degraded {
            self.rebuilds += 1;
            self.moved_at = Some(self.generated_count());
        }
        let is_same_range = first == last && stages.len() == 1;
        let may_export =
            matches!(cause, ReplaceCause::Refused | ReplaceCause::Degraded) && is_same_range;
        let old = self.stages[index].clone();
        let exports = may_export && old.opened && old.computed > 0;
        for leaving in first..=last {
            self.abandon_stage(leaving, exports && leaving == index, actions);
        }
        self.splice(first, last, stages);
        if exports {
            self.start_export(first, &old, now, actions);
        }
    }

    /// Without a replacement a working target is kept, and a failed one waited for.
    fn stay_or_wait(&mut self, index: usize, cause: ReplaceCause) {
        // The target may have been out for a moment only: it may be chosen again.
        self.excluded.clear();
        if cause == ReplaceCause::Degraded {
            self.moved_at = Some(self.generated_count());
            self.stages[index].phase = Phase::Idle;
        }
    }

    /// Ends what a stage that leaves the pipeline holds or awaits.
    fn abandon_stage(&mut self, index: usize, keeps_session: bool, actions: &mut Vec<Action>) {
        let run = &self.stages[index];
        self.may_have_run |= run.computed > 0 || run.has_open_step();
        self.abandon_export(index, actions);
        if !keeps_session {
            self.free_session(index, actions);
        }
    }

    /// The stages that a chain of new ones covers exactly, if the given one is among them.
    fn find_span(&self, index: usize, stages: &[Stage]) -> Option<(usize, usize)> {
        let is_chain = stages
            .windows(2)
            .all(|pair| pair[0].layers.is_followed_by(pair[1].layers));
        let (from, to) = (stages.first()?.layers.first(), stages.last()?.layers.end());
        let starts = |run: &StageRun| run.stage.layers.first() == from;
        let ends = |run: &StageRun| run.stage.layers.end() == to;
        let first = self.stages.iter().position(starts)?;
        let last = self.stages.iter().position(ends)?;
        (is_chain && first <= index && index <= last).then_some((first, last))
    }

    /// Puts new stages in the place of old ones: the first takes over the inputs of the old first,
    /// and the outputs of the old last stay delivered.
    fn splice(&mut self, first: usize, last: usize, stages: Vec<Stage>) {
        let inputs = std::mem::take(&mut self.stages[first].inputs);
        let delivered = self.stages[last].delivered;
        let lost_since = self.stages[first..=last]
            .iter()
            .filter_map(|run| run.lost_since)
            .min();
        let mut runs = Vec::with_capacity(stages.len());
        for stage in stages {
            let attempt = self.take_attempt();
            runs.push(StageRun::new(stage, attempt));
        }
        if let Some(run) = runs.first_mut() {
            run.inputs = inputs;
            run.lost_since = lost_since;
        }
        if let Some(run) = runs.last_mut() {
            run.delivered = delivered;
        }
        self.stages.splice(first..=last, runs);
    }
}
