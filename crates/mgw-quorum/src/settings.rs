//! Timeouts and size limits of a replica.

use mgw_world::Millis;

/// How a leader confirms that it still leads before it answers a read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReadMode {
    /// A quorum must acknowledge a heartbeat round that started after the read. Doesn't rely on
    /// clocks.
    #[default]
    ReadIndex,
    /// A leader with a valid lease answers at once. Relies on clocks that drift less than
    /// `lease_margin_ms`.
    Lease,
}

/// Faults that tests inject, to prove that the checks detect them.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum InjectedFault {
    #[default]
    None,
    AckBeforeSync,
    SkipLogCheck,
    EmptyLogVotes,
    CommitOldTerm,
    VoteTwice,
    IgnoreQuorumLoss,
    SkipReadRound,
    SkipPrevCheck,
    IgnoreConflict,
    TruncateAlways,
    SkipReachableCheck,
    KeepLeaseInTransfer,
    PromoteBehind,
    EarlyChange,
    SkipPreVote,
    VoteDespiteLease,
}

/// Timeouts and size limits of a replica. All voters must use the same timeouts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Interval between heartbeats of a leader.
    pub heartbeat_ms: Millis,
    /// Shortest election timeout: the time without contact to a leader before an election. Also
    /// the time for which a follower grants no vote after contact to a leader.
    pub election_min_ms: Millis,
    /// Longest election timeout. Also the time after which a leader without answers from a quorum
    /// steps down.
    pub election_max_ms: Millis,
    /// Allowance for the drift between two clocks: a lease is this much shorter than
    /// `election_min_ms`.
    pub lease_margin_ms: Millis,
    /// How a leader confirms reads.
    pub read_mode: ReadMode,
    /// Maximum number of entries in one [`crate::AppendEntries`].
    pub append_entries_max: usize,
    /// Maximum snapshot bytes in one [`crate::InstallSnapshot`].
    pub chunk_bytes: usize,
    /// Maximum number of entries that a learner may be behind when it becomes a voter.
    pub promote_lag_entries: u64,
    #[doc(hidden)]
    pub injected_fault: InjectedFault,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_ms: Millis(50),
            election_min_ms: Millis(300),
            election_max_ms: Millis(600),
            lease_margin_ms: Millis(60),
            read_mode: ReadMode::ReadIndex,
            append_entries_max: 1024,
            chunk_bytes: 256 * 1024,
            promote_lag_entries: 64,
            injected_fault: InjectedFault::None,
        }
    }
}
