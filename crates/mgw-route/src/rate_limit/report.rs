//! What entries and controls tell one another about rate limits. Times are ages, as clocks of processes
//! can't be compared.

use mgw_world::Millis;
use serde::{Deserialize, Serialize};

use super::rate::RequestRate;
use crate::exclusions::TargetRun;

/// What a target said about its limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatedRate {
    /// The target.
    pub run: TargetRun,
    /// Its limit; `None` if it answered without one after it had stated one.
    pub rate: Option<RequestRate>,
    /// Time since it said so.
    pub age_ms: Millis,
}

/// The tokens for one target that an entry gives back and asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenDemand {
    /// The target.
    pub run: TargetRun,
    /// Tokens that the entry held until this report and didn't spend.
    pub returned: u32,
    /// Tokens that the entry can use until its next report.
    pub wanted: u32,
}

/// What an entry reports.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Number of entries that share the targets, as this entry knows it.
    pub entries: u32,
    /// What targets said that the control hasn't told yet.
    pub stated: Vec<StatedRate>,
    /// Tokens given back and asked for.
    pub demands: Vec<TokenDemand>,
}

/// A limit as the control tells it, with the tokens that the entry gets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldLimit {
    /// What the target said last.
    pub stated: StatedRate,
    /// Requests that the entry may send to the target.
    pub tokens: u32,
}

/// What the control tells an entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// All limits that the control knows, and those that have ended recently.
    pub limits: Vec<ToldLimit>,
    /// Time from the entry's report after which unspent tokens are void.
    pub valid_ms: Millis,
}
