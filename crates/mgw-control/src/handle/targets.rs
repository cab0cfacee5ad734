//! Announcements of targets to this control.

use mgw_contract::target::{Announcement, Readiness};
use mgw_member::AnnounceOutcome;
use mgw_world::TargetName;
use tracing::info;

use super::ControlHandle;

impl ControlHandle {
    /// Records a target's announcement as its home node, and wakes the nodes that watch this
    /// control if the announcement changed something.
    pub fn announce(&self, announcement: &Announcement) -> AnnounceOutcome {
        let now = self.app.clock.now();
        let (outcome, is_changed) = {
            let mut view = self.app.view.lock();
            let version_before = view.own_version();
            let outcome = view.announce(announcement, now);
            (outcome, view.own_version() != version_before)
        };
        if is_changed {
            self.app.view_changed.notify_waiters();
            log_announcement(announcement);
        }
        outcome
    }

    /// Records that a target is leaving. Returns whether this control knows the target.
    pub fn leave(&self, name: &TargetName) -> bool {
        let is_known = self
            .app
            .view
            .lock()
            .mark_leaving(name, self.app.clock.now());
        self.app.view_changed.notify_waiters();
        info!(target_name = %name, is_known, "target is leaving");
        is_known
    }
}

fn log_announcement(announcement: &Announcement) {
    let target = &announcement.target;
    let layers = target.forwarding().and_then(|engine| engine.layers);
    info!(
        target_name = %target.name,
        incarnation = %target.incarnation,
        sequence = announcement.sequence,
        address = %target.address,
        place = %target.place,
        layers = layers.map(tracing::field::display),
        is_leaving = announcement.readiness == Readiness::Leaving,
        "target announced a change"
    );
}
