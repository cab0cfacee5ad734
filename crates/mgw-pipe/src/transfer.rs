//! Transfers the KV cache of a session from the former target of a stage to the new one.

use mgw_contract::engine::KvImage;
use mgw_world::Millis;

use crate::stage::{Phase, StageRun, is_usable_image};
use crate::{Action, CallId, Pipeline};

impl Pipeline {
    /// Starts the export of the KV cache from the former target of a replaced stage.
    pub(crate) fn start_export(
        &mut self,
        index: usize,
        old: &StageRun,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let call = self.allocate_call();
        let former_session = old.session(self.request.request_id);
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

    /// Frees the former session, and imports its cache at the new target if it is usable.
    pub(crate) fn handle_export(
        &mut self,
        call: CallId,
        image: KvImage,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        let import_call = self.allocate_call();
        let received = self.received(index);
        let buffered_from = if index == 0 {
            0
        } else {
            self.stages[index].inputs.first_buffered()
        };
        let request_id = self.request.request_id;
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
        if !is_usable_image(&image, run, received, buffered_from) {
            run.phase = Phase::Idle;
            return;
        }
        run.may_have_session = true;
        run.phase = Phase::Importing {
            call: import_call,
            deadline_ms,
            image_next: image.next.0,
        };
        let (stage, session) = (run.stage.clone(), run.session(request_id));
        actions.push(Action::Import {
            call: import_call,
            stage,
            session,
            image,
        });
    }

    /// Continues after the positions that the imported cache covers.
    pub(crate) fn handle_import(&mut self, call: CallId) {
        let Some(index) = self.find_stage(call) else {
            return;
        };
        let run = &mut self.stages[index];
        if let Phase::Importing { image_next, .. } = run.phase {
            run.computed = image_next;
            run.phase = Phase::Idle;
        }
    }

    /// Stops waiting for the KV cache of the former target and frees its session there.
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
