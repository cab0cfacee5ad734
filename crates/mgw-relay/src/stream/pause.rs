//! What a pause in a stream means.
//!
//! Load pattern: a chain carries many streams at once. When one of its targets dies, all of them
//! fall silent together; when memory runs short, single streams are preempted and pause while the
//! others go on. The first is worth a new start elsewhere at once, the second hardly ever.

use mgw_world::Millis;

/// Times after which a pause is acted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PauseLimits {
    /// Pause after which a chain is suspected whose targets bring nothing to anyone.
    pub probe_after_ms: Millis,
    /// Pause after which the targets of a chain are asked how fast they work.
    pub slow_after_ms: Millis,
    /// Time without a token for anyone after which a target counts as silent.
    pub target_silent_after_ms: Millis,
    /// Time to the first event after which such a chain is suspected.
    pub first_event_probe_after_ms: Millis,
    /// Pause after which a stream goes on elsewhere whatever its targets do for others; callers
    /// leave after two seconds.
    pub move_after_ms: Millis,
    /// Time to the first event after which a stream starts elsewhere in any case.
    pub first_event_move_after_ms: Millis,
    /// Time between two looks at a pause.
    pub check_interval_ms: Millis,
}

impl Default for PauseLimits {
    fn default() -> Self {
        Self {
            slow_after_ms: Millis(150),
            probe_after_ms: Millis(250),
            target_silent_after_ms: Millis(200),
            first_event_probe_after_ms: Millis(600),
            move_after_ms: Millis(1_300),
            first_event_move_after_ms: Millis(1_500),
            check_interval_ms: Millis(40),
        }
    }
}

/// What to do about a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseAction {
    /// Nothing yet.
    Wait,
    /// Probe the chain's targets that are silent for everyone; go on elsewhere if one is lost.
    Probe,
    /// Go on elsewhere if that is allowed.
    Move,
}

impl PauseLimits {
    /// Judges a pause that has lasted for a time.
    #[must_use]
    pub fn action_for(&self, pause: Millis, has_begun: bool) -> PauseAction {
        let (probe_after_ms, move_after_ms) = if has_begun {
            (self.probe_after_ms, self.move_after_ms)
        } else {
            (
                self.first_event_probe_after_ms,
                self.first_event_move_after_ms,
            )
        };
        if pause >= move_after_ms {
            PauseAction::Move
        } else if pause >= probe_after_ms {
            PauseAction::Probe
        } else {
            PauseAction::Wait
        }
    }

    /// Time until the next look at a pause.
    #[must_use]
    pub fn time_to_next_check(&self, pause: Millis, has_begun: bool) -> Millis {
        let first = if has_begun {
            self.probe_after_ms
        } else {
            self.first_event_probe_after_ms
        };
        if pause < first {
            first - pause
        } else {
            self.check_interval_ms
        }
    }
}
