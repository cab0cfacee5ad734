//! Timeouts and sizes of a replica.

use mgw_world::Millis;

/// How a leader makes sure that it still leads before it answers a read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReadMode {
    /// A heartbeat round that started after the read must reach a quorum. No clock is trusted.
    #[default]
    ReadIndex,
    /// A valid lease answers at once. Trusts that clocks drift less than the lease margin.
    Lease,
}

/// Faults that tests put in to show that the checks find them.
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

/// Timeouts and sizes of a replica. All voters use the same timeouts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Time between heartbeats of a leader.
    pub heartbeat_ms: Millis,
    /// Shortest time without a leader before an election.
    pub election_min_ms: Millis,
    /// Longest time without a leader before an election, and without a quorum before a leader
    /// steps down.
    pub election_max_ms: Millis,
    /// Part of `election_min_ms` that a lease gives up to the drift between two clocks.
    pub lease_margin_ms: Millis,
    /// How reads are confirmed.
    pub read_mode: ReadMode,
    /// Most entries in one message.
    pub append_entries_max: usize,
    /// Most bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Most entries that a learner may lack when it becomes a voter.
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
