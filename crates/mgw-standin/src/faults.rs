//! Faults that a stand-in can be told to have, by its settings or while it runs.

use mgw_world::Millis;
use serde::{Deserialize, Serialize};

/// Faults in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Steps and calls take this many times as long.
    pub slow_factor: u32,
    /// Calls are accepted and never answered.
    pub hang: bool,
    /// Calls are refused.
    pub refuse: bool,
    /// The process ends when this many steps have run, without answering the last.
    pub die_after_steps: Option<u64>,
    /// No announcements are sent.
    pub drop_announcements: bool,
    /// Fencing numbers of orders are ignored.
    pub ignore_fencing: bool,
    /// This many further answers of steps and calls that ran are never sent.
    pub lose_answers: u64,
    /// Answers are held back this long after the work ran.
    pub answer_delay_ms: Millis,
    /// Calls are held back this long before they are looked at.
    pub link_delay_ms: Millis,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_factor: 1,
            hang: false,
            refuse: false,
            die_after_steps: None,
            drop_announcements: false,
            ignore_fencing: false,
            lose_answers: 0,
            answer_delay_ms: Millis::ZERO,
            link_delay_ms: Millis::ZERO,
        }
    }
}

/// Path of a change of faults: `POST` a [`Fault`] in JSON, answered by the [`Faults`] in force.
pub const FAULT_PATH: &str = "/fault";

/// A change of one fault while the stand-in runs.
///
/// ```
/// use mgw_standin::{Fault, Faults};
/// let fault: Fault = serde_json::from_str(r#"{"slow": 10}"#).unwrap();
/// assert_eq!(fault.apply(Faults::default()).slow_factor, 10);
/// assert_eq!(serde_json::from_str::<Fault>(r#""clear""#).unwrap(), Fault::Clear);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Sets [`Faults::slow_factor`].
    Slow(u32),
    /// Sets [`Faults::hang`]; calls that hang go on when it ends.
    Hang(bool),
    /// Sets [`Faults::refuse`].
    Refuse(bool),
    /// Ends the process after this many further steps.
    DieAfterSteps(u64),
    /// Sets [`Faults::drop_announcements`].
    DropAnnouncements(bool),
    /// Sets [`Faults::ignore_fencing`].
    IgnoreFencing(bool),
    /// Sets [`Faults::lose_answers`].
    LoseAnswers(u64),
    /// Sets [`Faults::answer_delay_ms`].
    AnswerDelayMs(Millis),
    /// Sets [`Faults::link_delay_ms`].
    LinkDelayMs(Millis),
    /// Ends all faults.
    Clear,
}

impl Fault {
    /// The faults in force after this change.
    #[must_use]
    pub fn apply(self, faults: Faults) -> Faults {
        let mut faults = faults;
        match self {
            Self::Slow(factor) => faults.slow_factor = factor.max(1),
            Self::Hang(on) => faults.hang = on,
            Self::Refuse(on) => faults.refuse = on,
            Self::DieAfterSteps(steps) => faults.die_after_steps = Some(steps),
            Self::DropAnnouncements(on) => faults.drop_announcements = on,
            Self::IgnoreFencing(on) => faults.ignore_fencing = on,
            Self::LoseAnswers(count) => faults.lose_answers = count,
            Self::AnswerDelayMs(delay_ms) => faults.answer_delay_ms = delay_ms,
            Self::LinkDelayMs(delay_ms) => faults.link_delay_ms = delay_ms,
            Self::Clear => faults = Faults::default(),
        }
        faults
    }
}
