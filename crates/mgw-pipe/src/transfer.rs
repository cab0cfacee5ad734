//! Moves a session's KV cache from the former target of a stage to the new one.

use mgw_contract::engine::KvImage;
use mgw_world::Millis;

use crate::stage::{Phase, StageRun, is_usable_image};
use crate::{Action, CallId, Pipeline};

impl Pipeline {
    /// Asks the former target of a replaced stage for its cache.
    pub(crate) fn start_export(
        &mut self,
        index: usize,
        old: &StageRun,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let call = self.take_call();
        let former_session = old.session(self.order.request_id);
        actions.push(Action::Export {
            call,
            stage: old.stage.clone(),
            session: former_session,
        });
        self.stages[index].phase = Phase::Exporting {
            call,
            deadline_ms: now + self.settings.transfer_timeout_ms,
            former: old.stage.clone(),
            former_session,
        };
    }

    pub(crate) fn take_image(
        &mut self,
        call: CallId,
        image: KvImage,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        let import_call = self.take_call();
        let received = self.received(index);
        let kept_from = if index == 0 {
            0
        } else {
            self.stages[index].inputs.first_kept()
        };
        let request = self.order.request_id;
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
        actions.push(Action::FreeSession {
            stage: former.clone(),
            session: *former_session,
        });
        if !is_usable_image(&image, run, received, kept_from) {
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

    pub(crate) fn take_import(&mut self, call: CallId) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        let run = &mut self.stages[index];
        if let Phase::Importing { image_next, .. } = run.phase {
            run.computed = image_next;
            run.phase = Phase::Idle;
        }
    }

    /// Goes on without the KV cache of the former target.
    pub(crate) fn abandon_export(&mut self, index: usize, actions: &mut Vec<Action>) {
        let run = &mut self.stages[index];
        if let Phase::Exporting {
            former,
            former_session,
            ..
        } = &run.phase
        {
            actions.push(Action::FreeSession {
                stage: former.clone(),
                session: *former_session,
            });
            run.phase = Phase::Idle;
        }
    }
}
