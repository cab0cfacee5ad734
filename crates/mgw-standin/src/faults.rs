//! Faults that can be injected into a stand-in, by its settings or while it runs.

use mgw_world::Millis;
use serde::{Deserialize, Serialize};

/// Faults that a stand-in injects into its own work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor by which steps and calls take longer.
    pub slow_factor: u32,
    /// Calls are accepted but not answered while this is set.
    pub hang: bool,
    /// Calls are refused with status 503 and do not run.
    pub refuse: bool,
    /// The process exits once this many steps or calls have run, without answering the last one.
    pub die_after_steps: Option<u64>,
    /// No announcements are sent to the entries.
    pub drop_announcements: bool,
    /// Orders are accepted whatever their fencing number.
    pub ignore_fencing: bool,
    /// Number of further answers, to steps and calls that ran, that are never sent.
    pub lose_answers: u64,
    /// Delay of each answer to a step batch or plain call, after the work ran.
    pub answer_delay_ms: Millis,
    /// Delay of each call before it is handled, as by a slow link.
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

/// Path of the faults: `POST` a [`Fault`] in JSON to change one, `GET` to read them. Both return
/// the active [`Faults`].
pub const FAULT_PATH: &str = "/fault";

/// A change to the active faults while the stand-in runs.
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
    /// Sets [`Faults::hang`]; hanging calls continue when it is cleared.
    Hang(bool),
    /// Sets [`Faults::refuse`].
    Refuse(bool),
    /// Sets [`Faults::die_after_steps`], counted from the steps and calls that have already run.
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
    /// Clears all faults.
    Clear,
}

impl Fault {
    /// Returns the faults that are active after this change.
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
