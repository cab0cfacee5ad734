//! What a pause in a stream means.
//!
//! Load pattern: a chain carries many streams at once. When one of its targets dies, all of them
//! fall silent together; when memory runs short, single streams are preempted and pause while the
//! others go on. The first is worth a new start elsewhere at once, the second hardly ever.

use mgw_world::Millis;

/// Times after which a pause is acted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// Pause after which a chain is suspected whose targets bring nothing to anyone.
    pub silence_ms: Millis,
    /// Pause after which the targets of a chain are asked how fast they work.
    pub slow_ms: Millis,
    /// Time without a token for anyone after which a target counts as silent.
    pub target_silence_ms: Millis,
    /// Time to the first event after which such a chain is suspected.
    pub first_silence_ms: Millis,
    /// Pause after which a stream goes on elsewhere whatever its targets do for others; callers
    /// leave after two seconds.
    pub longest_ms: Millis,
    /// Time to the first event after which a stream starts elsewhere in any case.
    pub first_longest_ms: Millis,
    /// Time between two looks at a pause.
    pub look_ms: Millis,
}

impl Default for Patience {
    fn default() -> Self {
        Self {
            slow_ms: Millis(150),
            silence_ms: Millis(250),
            target_silence_ms: Millis(200),
            first_silence_ms: Millis(600),
            longest_ms: Millis(1_300),
            first_longest_ms: Millis(1_500),
            look_ms: Millis(40),
        }
    }
}

/// What to do about a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseVerdict {
    /// Nothing yet.
    Wait,
    /// Probe the chain's targets that are silent for everyone; go on elsewhere if one is lost.
    Suspect,
    /// Go on elsewhere if that is allowed.
    Move,
}

impl Patience {
    /// Judges a pause that has lasted for a time.
    #[must_use]
    pub fn judge(&self, pause: Millis, has_begun: bool) -> PauseVerdict {
        let (silence_ms, longest_ms) = if has_begun {
            (self.silence_ms, self.longest_ms)
        } else {
            (self.first_silence_ms, self.first_longest_ms)
        };
        if pause >= longest_ms {
            PauseVerdict::Move
        } else if pause >= silence_ms {
            PauseVerdict::Suspect
        } else {
            PauseVerdict::Wait
        }
    }

    /// Time until the next look at a pause.
    #[must_use]
    pub fn next_look(&self, pause: Millis, has_begun: bool) -> Millis {
        let first = if has_begun {
            self.silence_ms
        } else {
            self.first_silence_ms
        };
        if pause < first {
            first - pause
        } else {
            self.look_ms
        }
    }
}
