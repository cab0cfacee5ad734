//! What became of each request, as a caller saw it.

use mgw_contract::Outcome;
use mgw_contract::caller::{FinalAnswer, Reason};
use mgw_world::{RequestId, WorkspaceName};

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// A whole answer, and the right one if it was compared.
    Whole,
    /// An answer that is wrong.
    Wrong {
        /// What is wrong with it.
        fault: String,
    },
    /// The stream broke off without its end.
    Truncated,
    /// A final answer that says that there is no whole one.
    Answered {
        /// What became of the request.
        outcome: Outcome,
        /// Why.
        reason: Reason,
    },
    /// No entry could be reached.
    NoEntry,
    /// The connection failed after the request may have been sent.
    Broken,
    /// The caller gave up waiting.
    GaveUp,
}

impl Verdict {
    /// Outcome for the caller: it can't know more than this.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Whole => Outcome::Done,
            Self::Answered { outcome, .. } => *outcome,
            Self::NoEntry => Outcome::NotRun,
            Self::Wrong { .. } | Self::Truncated | Self::Broken | Self::GaveUp => Outcome::Unknown,
        }
    }

    /// Cause, in one word.
    #[must_use]
    pub fn cause(&self) -> String {
        match self {
            Self::Whole => Reason::Complete.to_string(),
            Self::Wrong { .. } => "wrong_answer".to_owned(),
            Self::Truncated => "truncated".to_owned(),
            Self::Answered { reason, .. } => reason.to_string(),
            Self::NoEntry => "no_entry".to_owned(),
            Self::Broken => "broken".to_owned(),
            Self::GaveUp => "gave_up".to_owned(),
        }
    }
}

/// One request from arrival to end. Times are in microseconds since the start of the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestResult {
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceName>,
    /// Base URL of the entry that it was last sent to.
    pub entry: Option<String>,
    /// Request id, once known.
    pub id: Option<RequestId>,
    /// How it ended.
    pub verdict: Verdict,
    /// Final answer, once received.
    pub answer: Option<FinalAnswer>,
    /// Times that it was sent.
    pub sent: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// When it arrived.
    pub arrived_us: u64,
    /// When each token was received.
    pub token_us: Vec<u64>,
    /// When it ended.
    pub ended_us: u64,
}

impl RequestResult {
    /// Time from arrival to the first token.
    #[must_use]
    pub fn first_token_us(&self) -> Option<u64> {
        let first = self.token_us.first()?;
        Some(first.saturating_sub(self.arrived_us))
    }

    /// Times between tokens.
    pub fn gaps_us(&self) -> impl Iterator<Item = u64> + '_ {
        let pairs = self.token_us.windows(2);
        pairs.map(|pair| pair[1].saturating_sub(pair[0]))
    }

    /// The longest time between two tokens of which the later came after a point of the run.
    #[must_use]
    pub fn longest_gap_after_us(&self, point_us: u64) -> Option<u64> {
        let pairs = self.token_us.windows(2);
        pairs
            .filter(|pair| pair[1] >= point_us)
            .map(|pair| pair[1].saturating_sub(pair[0]))
            .max()
    }

    /// Whether it was in flight at a point of the run.
    #[must_use]
    pub const fn is_in_flight_at(&self, point_us: u64) -> bool {
        self.arrived_us <= point_us && point_us < self.ended_us
    }
}
