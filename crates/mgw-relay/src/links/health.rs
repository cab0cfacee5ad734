//! Decides by checks of several targets whether the entry's own links work.

use mgw_world::Millis;

/// How long a connection that was opened speaks for the links.
const SOUND_FOR_MS: Millis = Millis(250);

/// Outcome of a check: connections to several targets, opened at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkCheck {
    /// Number of targets that were connected to.
    pub asked: usize,
    /// Number of those that accepted.
    pub reached: usize,
}

/// A change of what the entry believes of its own links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// No target can be connected to.
    Cut,
    /// Targets can be connected to again.
    Joined,
}

/// What an entry believes of its own links to the targets.
///
/// ```
/// use mgw_relay::{LinkChange, LinkCheck, LinkHealth};
/// use mgw_world::Millis;
/// let mut health = LinkHealth::default();
/// let none = LinkCheck { asked: 3, reached: 0 };
/// assert_eq!(health.record(none, Millis(10)), Some(LinkChange::Cut));
/// assert!(health.is_cut());
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkHealth {
    cut_since: Option<Millis>,
    sound_at: Option<Millis>,
}

impl LinkHealth {
    /// Whether the links are cut.
    #[must_use]
    pub const fn is_cut(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Since when the links are known to be cut.
    #[must_use]
    pub const fn cut_since(&self) -> Option<Millis> {
        self.cut_since
    }

    /// Records that a request or a probe has opened a connection to a target.
    pub const fn record_opened(&mut self, now: Millis) {
        self.sound_at = Some(now);
    }

    /// Whether a connection was opened while another one, begun at `began_at`, failed, or just before, so that the
    /// failure is the target's.
    #[must_use]
    pub fn was_sound_at(&self, began_at: Millis) -> bool {
        let is_recent = self
            .sound_at
            .is_some_and(|at| at + SOUND_FOR_MS >= began_at);
        is_recent && !self.is_cut()
    }

    /// Number of targets that a check has to reach. One is enough to show that the links aren't cut. To show that
    /// they have been joined again it takes half, as a cut may let single connections through.
    #[must_use]
    pub const fn needed(&self, asked: usize) -> usize {
        if self.is_cut() { asked.div_ceil(2) } else { 1 }
    }

    /// Records a check. One that had no target to ask tells nothing.
    pub fn record(&mut self, check: LinkCheck, now: Millis) -> Option<LinkChange> {
        if check.asked == 0 {
            return None;
        }
        let is_sound = check.reached >= self.needed(check.asked);
        let was_cut = self.is_cut();
        if is_sound {
            self.sound_at = Some(now);
            self.cut_since = None;
            return was_cut.then_some(LinkChange::Joined);
        }
        self.cut_since = self.cut_since.or(Some(now));
        (!was_cut).then_some(LinkChange::Cut)
    }
}
