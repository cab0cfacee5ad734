//! Announcements of targets.

use mgw_contract::target::{Announcement, Readiness};
use mgw_member::AnnounceOutcome;
use mgw_world::TargetName;
use tracing::info;

use super::Gateway;

impl Gateway {
    /// Takes a target's announcement as its home, and tells the nodes that watch this control.
    pub fn announce(&self, announcement: &Announcement) -> AnnounceOutcome {
        let now = self.app.clock.now();
        let (outcome, is_news) = {
            let mut view = self.app.view.lock();
            let before = view.own_version();
            let outcome = view.announce(announcement, now);
            (outcome, view.own_version() != before)
        };
        if is_news {
            self.app.news.notify_waiters();
            log_announcement(announcement);
        }
        outcome
    }

    /// Takes a target's last word: it leaves. Tells whether the target is known here.
    pub fn leave(&self, name: &TargetName) -> bool {
        let is_known = self
            .app
            .view
            .lock()
            .mark_leaving(name, self.app.clock.now());
        self.app.news.notify_waiters();
        info!(target_name = %name, is_known, "target leaves");
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
