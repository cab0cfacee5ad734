//! Decides what to do when a stream pauses.
//!
//! Load pattern: a chain carries many streams at once. When one of its targets dies, all of them
//! stop together; when memory runs short, single streams are preempted and pause while the others
//! continue. In the first case the stream should move to another chain at once, in the second case
//! hardly ever.

use mgw_world::Millis;

/// Lengths of a pause after which the relay acts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PauseLimits {
    /// Pause after which those targets of the chain are probed that deliver nothing to any stream.
    pub probe_after_ms: Millis,
    /// Pause after which the targets of the chain are asked for their slowness.
    pub slow_after_ms: Millis,
    /// Time without a token on any stream after which a target counts as silent.
    pub target_silent_after_ms: Millis,
    /// Like `probe_after_ms`, for the wait for the first event.
    pub first_event_probe_after_ms: Millis,
    /// Pause after which a stream moves to another chain even if its targets serve other streams;
    /// callers disconnect after two seconds.
    pub move_after_ms: Millis,
    /// Like `move_after_ms`, for the wait for the first event.
    pub first_event_move_after_ms: Millis,
    /// Time between two checks of a pause that has reached the probe limit.
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
    /// Keep waiting for the next event.
    Wait,
    /// Probe the targets of the chain that are silent on all streams; move if one is lost.
    Probe,
    /// Move to another chain if that is allowed.
    Move,
}

impl PauseLimits {
    /// What to do about a pause of this length, on a stream that has begun or not.
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

    /// Time until a pause of this length has to be checked again.
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
