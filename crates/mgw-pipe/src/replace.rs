//! Replacement of a stage, alone or with its neighbours when no target serves exactly its layers.

use mgw_contract::caller::Reason;
use mgw_world::{LayerRange, Millis, TargetName};

use crate::stage::{Phase, StageRun};
use crate::{Action, CallId, Pipeline, Stage};

/// Maximum number of layer spans that one search for a replacement tries.
const MAX_SPANS: usize = 16;

/// Why a stage is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplaceCause {
    /// No byte of the step left this process.
    NotConnected,
    /// The target gave no usable answer.
    NoAnswer,
    /// The step was not answered by its extended deadline, although the target answered the session
    /// query.
    Late,
    /// The target refused the step.
    Refused,
    /// The target still works, but is leaving or much slower than before.
    Degraded,
}

impl Pipeline {
    /// Excludes the failed target of a stage and starts the search for a replacement.
    pub(crate) fn replace_failed_target(
        &mut self,
        index: usize,
        cause: ReplaceCause,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        self.exclude_target(index);
        self.may_have_run |= self.stages[index].computed > 0;
        if !self.count_stage_loss(index, cause, now, actions) {
            return;
        }
        self.start_replacement(index, cause, now, actions);
    }

    /// Starts the search for replacements of all stages at a degraded target that still answers.
    pub(crate) fn move_from_target(
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
            // A stage with a step in flight stays: its output is worth more than an early move.
            if run.stage.target == *target && matches!(run.phase, Phase::Idle) && run.computed > 0 {
                self.exclude_target(index);
                self.start_replacement(index, ReplaceCause::Degraded, now, actions);
            }
        }
    }

    /// Whether enough tokens are still to be generated, enough were generated since the last move,
    /// and another rebuild is allowed.
    fn is_move_worthwhile(&self) -> bool {
        let pause = self.settings.move_pause_tokens;
        let remaining = self
            .request
            .max_tokens
            .saturating_sub(self.generated_count());
        let is_pause_over = self
            .moved_at_tokens
            .is_none_or(|moved_at| self.generated_count() >= moved_at + pause);
        remaining >= self.settings.min_move_tokens && is_pause_over && self.has_rebuilds()
    }

    fn exclude_target(&mut self, index: usize) {
        let target = self.stages[index].stage.target.clone();
        if !self.excluded.contains(&target) {
            self.excluded.push(target);
        }
    }

    /// Counts a lost stage; returns false when the request ended because too many were lost.
    ///
    /// A failed connection is not counted again within `replace_limit_ms` of the last counted loss,
    /// as nothing ran at such a target.
    fn count_stage_loss(
        &mut self,
        index: usize,
        cause: ReplaceCause,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> bool {
        let limit_ms = self.settings.replace_limit_ms;
        let run = &mut self.stages[index];
        let was_counted_recently = run.lost_since.is_some_and(|since| now < since + limit_ms);
        if cause == ReplaceCause::NotConnected && was_counted_recently {
            return true;
        }
        run.lost_since = Some(now);
        self.count_rebuild(actions)
    }

    fn start_replacement(
        &mut self,
        index: usize,
        cause: ReplaceCause,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let since = self.stages[index].lost_since.unwrap_or(now);
        self.stages[index].phase = Phase::Replacing {
            call: None,
            retry_at_ms: now,
            give_up_at_ms: since + self.settings.replace_limit_ms,
            cause,
        };
        self.request_replacement(index, now, actions);
    }

    /// Requests a replacement, or ends the request when the time for the search is over.
    pub(crate) fn request_replacement(
        &mut self,
        index: usize,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let next_call = self.allocate_call();
        let pause_ms = self.settings.replace_pause_ms;
        let spans = self.list_spans(index);
        let run = &mut self.stages[index];
        let Phase::Replacing {
            call,
            retry_at_ms,
            give_up_at_ms,
            cause,
        } = &mut run.phase
        else {
            return;
        };
        if now >= *give_up_at_ms {
            run.phase = Phase::Idle;
            self.finish_early(Reason::TargetFailed, actions);
            return;
        }
        *call = Some(next_call);
        *retry_at_ms = now + pause_ms;
        actions.push(Action::FindReplacement {
            call: next_call,
            old: run.stage.clone(),
            spans,
            excluded: self.excluded.clone(),
            cause: *cause,
        });
    }

    /// Layer spans of the stage alone and of whole stages around it, those with the fewest layers
    /// first; when there are too many, the longest one stays in the list.
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
            let longest = spans.pop();
            spans.truncate(MAX_SPANS - 1);
            spans.extend(longest);
        }
        spans
    }

    /// Replaces the covered stages by those found, or keeps the stage if none were found.
    pub(crate) fn handle_replacement(
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
            self.keep_target_or_retry(index, cause);
            return;
        };
        if cause == ReplaceCause::Degraded {
            self.rebuilds += 1;
            self.moved_at_tokens = Some(self.generated_count());
        }
        let is_same_range = first == last && stages.len() == 1;
        let may_export =
            matches!(cause, ReplaceCause::Refused | ReplaceCause::Degraded) && is_same_range;
        let old = self.stages[index].clone();
        let exports = may_export && old.may_have_session && old.computed > 0;
        for replaced in first..=last {
            self.release_stage(replaced, exports && replaced == index, actions);
        }
        self.splice_stages(first, last, stages);
        if exports {
            self.start_export(first, &old, now, actions);
        }
    }

    /// Called when no replacement was found: a degraded target is kept; for a failed one the search
    /// continues.
    fn keep_target_or_retry(&mut self, index: usize, cause: ReplaceCause) {
        // The excluded targets may have failed for a short time only, so they may be chosen again.
        self.excluded.clear();
        if cause == ReplaceCause::Degraded {
            self.moved_at_tokens = Some(self.generated_count());
            self.stages[index].phase = Phase::Idle;
        }
    }

    /// Ends the transfer of a stage that is removed from the pipeline, and frees its session unless
    /// the cache is to be exported from it.
    fn release_stage(&mut self, index: usize, keeps_session: bool, actions: &mut Vec<Action>) {
        let run = &self.stages[index];
        self.may_have_run |= run.computed > 0 || run.has_open_step();
        self.abandon_export(index, actions);
        if !keeps_session {
            self.free_session(index, actions);
        }
    }

    /// First and last of the stages that a chain of new ones covers exactly, if the stage at
    /// `index` is among them.
    fn find_span(&self, index: usize, stages: &[Stage]) -> Option<(usize, usize)> {
        let is_contiguous = stages
            .windows(2)
            .all(|pair| pair[0].layers.is_followed_by(pair[1].layers));
        let (from, to) = (stages.first()?.layers.first(), stages.last()?.layers.end());
        let starts = |run: &StageRun| run.stage.layers.first() == from;
        let ends = |run: &StageRun| run.stage.layers.end() == to;
        let first = self.stages.iter().position(starts)?;
        let last = self.stages.iter().position(ends)?;
        (is_contiguous && first <= index && index <= last).then_some((first, last))
    }

    /// Replaces a range of stages by new ones: the first new stage takes over the inputs of the
    /// first old one, and what the last old stage had delivered counts as delivered by the last new
    /// one.
    fn splice_stages(&mut self, first: usize, last: usize, stages: Vec<Stage>) {
        let inputs = std::mem::take(&mut self.stages[first].inputs);
        let delivered = self.stages[last].delivered;
        let lost_since = self.stages[first..=last]
            .iter()
            .filter_map(|run| run.lost_since)
            .min();
        let mut runs = Vec::with_capacity(stages.len());
        for stage in stages {
            let attempt = self.allocate_attempt();
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
