//! Announcements of targets to this control.

use mgw_contract::target::{Announcement, Readiness};
use mgw_member::AnnounceOutcome;
use mgw_peer::PeerError;
use mgw_world::{Clock, Incarnation, TargetName};
use tracing::info;

use super::ControlHandle;
use super::announcement_check::{AnnouncementFault, check_announcement};
use crate::leaving_targets::record_leaving;

/// Why an announcement isn't acknowledged.
#[derive(Debug, displaydoc::Display, derive_more::Error, derive_more::From)]
pub enum AnnounceError {
    /// {0}
    Invalid(AnnouncementFault),
    /// {0}
    NotConfirmed(PeerError),
}

/// Why a target's notice that it is leaving isn't acknowledged.
#[derive(Debug, displaydoc::Display, derive_more::Error, derive_more::From)]
pub enum LeaveError {
    /// this control doesn't know the target
    Unknown,
    /// {0}
    NotConfirmed(PeerError),
}

impl ControlHandle {
    /// Records a target's announcement as its home node, and wakes the nodes that watch this
    /// control if the announcement changed something.
    ///
    /// # Errors
    /// When the announcement can't be true; it changes nothing then. Also when the target says that it is leaving and
    /// no quorum confirmed that in time: the other nodes learn of it all the same, but it must be announced again.
    pub async fn announce(
        &self,
        announcement: &Announcement,
    ) -> Result<AnnounceOutcome, AnnounceError> {
        check_announcement(announcement, Clock::wall())?;
        let outcome = self.announce_to_view(announcement);
        if announcement.readiness == Readiness::Leaving {
            let target = &announcement.target;
            record_leaving(&self.app, &target.name, target.incarnation).await?;
        }
        Ok(outcome)
    }

    fn announce_to_view(&self, announcement: &Announcement) -> AnnounceOutcome {
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
        } else if let AnnounceOutcome::Outdated { newest } = outcome {
            log_outdated(announcement, newest);
        }
        outcome
    }

    /// Records that a target is leaving, for the rest of its run.
    ///
    /// # Errors
    /// When this control doesn't know the target, or no quorum confirmed in time. The target must tell another
    /// control then, or this one again.
    pub async fn leave(&self, name: &TargetName) -> Result<(), LeaveError> {
        let now = self.app.clock.now();
        let known = self.app.view.lock().mark_leaving(name, now);
        self.app.view_changed.notify_waiters();
        // A target that was forgotten since may say it once more, as it got no response.
        let recorded = || self.app.replica.state.read().leaving().incarnation_of(name);
        let incarnation = known.or_else(recorded).ok_or(LeaveError::Unknown)?;
        info!(target_name = %name, %incarnation, "target is leaving");
        Ok(record_leaving(&self.app, name, incarnation).await?)
    }
}

fn log_outdated(announcement: &Announcement, newest: Incarnation) {
    let target = &announcement.target;
    info!(
        target_name = %target.name,
        incarnation = %target.incarnation,
        sequence = announcement.sequence,
        newest_incarnation = %newest,
        "announcement ignored: the target said more since"
    );
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
