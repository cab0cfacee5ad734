//! Results of requests, as their callers saw them.

use mgw_contract::Outcome;
use mgw_contract::caller::{FinalAnswer, Reason};
use mgw_world::{RequestId, WorkspaceName};

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is whole and, if it was compared with the reference answer, right.
    Whole,
    /// The answer is wrong.
    Wrong {
        /// What is wrong with the answer.
        error: String,
    },
    /// The stream broke off before the end mark.
    Truncated,
    /// The final answer has an outcome other than `done`.
    NotDone {
        /// Outcome in the final answer.
        outcome: Outcome,
        /// Reason in the final answer.
        reason: Reason,
    },
    /// No entry could be reached.
    NoEntry,
    /// The connection failed after the request may have been sent, or the reply was unreadable.
    Broken,
    /// The caller stopped waiting some time after the deadline; reported as `gave_up`.
    TimedOut,
}

impl Verdict {
    /// Returns the outcome as far as the caller can know it.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Whole => Outcome::Done,
            Self::NotDone { outcome, .. } => *outcome,
            Self::NoEntry => Outcome::NotRun,
            Self::Wrong { .. } | Self::Truncated | Self::Broken | Self::TimedOut => {
                Outcome::Unknown
            }
        }
    }

    /// Returns the cause that the report shows, in one word.
    #[must_use]
    pub fn cause(&self) -> String {
        match self {
            Self::Whole => Reason::Complete.to_string(),
            Self::Wrong { .. } => "wrong_answer".to_owned(),
            Self::Truncated => "truncated".to_owned(),
            Self::NotDone { reason, .. } => reason.to_string(),
            Self::NoEntry => "no_entry".to_owned(),
            Self::Broken => "broken".to_owned(),
            Self::TimedOut => "gave_up".to_owned(),
        }
    }
}

/// Result of one request. Times are in microseconds since the start of the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestResult {
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceName>,
    /// Base URL of the entry that it was last sent to.
    pub entry: Option<String>,
    /// Request id, if any event of the answer was received.
    pub id: Option<RequestId>,
    /// How the request ended.
    pub verdict: Verdict,
    /// Final answer of the last attempt, if one was received.
    pub final_answer: Option<FinalAnswer>,
    /// Number of times that the request was sent.
    pub sent: u32,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Planned arrival.
    pub arrived_us: u64,
    /// When each token was received.
    pub token_us: Vec<u64>,
    /// When the request ended.
    pub ended_us: u64,
}

impl RequestResult {
    /// Returns the time from the planned arrival to the first token.
    #[must_use]
    pub fn first_token_us(&self) -> Option<u64> {
        let first = self.token_us.first()?;
        Some(first.saturating_sub(self.arrived_us))
    }

    /// Returns the times between consecutive tokens.
    pub fn gaps_us(&self) -> impl Iterator<Item = u64> + '_ {
        let pairs = self.token_us.windows(2);
        pairs.map(|pair| pair[1].saturating_sub(pair[0]))
    }

    /// Returns the longest time between consecutive tokens, of those pairs whose later token was
    /// received at `time_us` or after.
    #[must_use]
    pub fn longest_gap_after_us(&self, time_us: u64) -> Option<u64> {
        let pairs = self.token_us.windows(2);
        pairs
            .filter(|pair| pair[1] >= time_us)
            .map(|pair| pair[1].saturating_sub(pair[0]))
            .max()
    }

    /// Whether the request was in flight at `time_us`.
    #[must_use]
    pub const fn is_in_flight_at(&self, time_us: u64) -> bool {
        self.arrived_us <= time_us && time_us < self.ended_us
    }
}
