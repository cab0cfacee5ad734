//! Settings of the membership view.

use mgw_world::Millis;
use serde::{Deserialize, Serialize};

use crate::TrustSettings;

/// Time spans and limits of the membership view.
///
/// `sure_ms` bounds how long a node may still choose a target after the target's home learned that
/// the target is leaving; it must stay below three seconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberSettings {
    /// Mean interval between exchanges that a node starts.
    pub exchange_every_ms: Millis,
    /// Timeout of an exchange; a reply that arrives later is dropped.
    pub exchange_timeout_ms: Millis,
    /// Maximum age of a home's record at which its targets are eligible for new work.
    pub sure_ms: Millis,
    /// Maximum age of a node's record at which the node counts as alive.
    pub alive_ms: Millis,
    /// Duration of a target's lease.
    pub lease_ms: Millis,
    /// Interval at which targets renew their lease.
    pub renew_ms: Millis,
    /// How long the record of a silent node or target is kept.
    pub forget_ms: Millis,
    /// How long the tombstone of a released target is kept, so that deltas can include the release.
    pub tombstone_ms: Millis,
    /// Maximum bytes of deltas in one reply.
    pub reply_cap_bytes: usize,
    /// Maximum rate of deltas that a node receives; the same limit holds for those that it sends.
    pub catch_up_bytes_per_s: u64,
    /// How long a silent node is presumed alive on the other side of a partition.
    pub believed_ms: Millis,
    /// How long a new node that finds no other waits before it assumes that it is the first one.
    pub first_after_ms: Millis,
    /// How long fewer than half of the other nodes must be alive before a node counts as cut off.
    pub cut_off_after_ms: Millis,
    /// Warm-up time in which the share of a new node or target grows to its full value.
    pub warm_ms: Millis,
    /// Failure detection and recovery of targets, local to this node.
    pub trust: TrustSettings,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            exchange_every_ms: Millis(160),
            exchange_timeout_ms: Millis(1_000),
            sure_ms: Millis(2_800),
            alive_ms: Millis(4_000),
            lease_ms: Millis(3_000),
            renew_ms: Millis(1_000),
            forget_ms: Millis(2 * 60 * 60 * 1_000),
            tombstone_ms: Millis(10 * 60 * 1_000),
            reply_cap_bytes: 8 * 1024,
            catch_up_bytes_per_s: 64 * 1024,
            believed_ms: Millis(10 * 60 * 1_000),
            first_after_ms: Millis(3_000),
            cut_off_after_ms: Millis(2_000),
            warm_ms: Millis(10_000),
            trust: TrustSettings::default(),
        }
    }
}
