//! Settings of the view.

use mgw_world::Millis;
use serde::{Deserialize, Serialize};

use crate::TrustSettings;

/// Times and limits of the view.
///
/// `sure_ms` bounds how long a node may choose a target after the target's home learned that it
/// leaves; it must stay below three seconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberSettings {
    /// Mean time between two exchanges that a node starts.
    pub exchange_every_ms: Millis,
    /// How long an answer to an exchange is waited for; later ones are dropped.
    pub exchange_timeout_ms: Millis,
    /// Greatest age of a home's news at which its targets are chosen.
    pub sure_ms: Millis,
    /// Greatest age at which a node counts as alive.
    pub alive_ms: Millis,
    /// How long a target's lease runs.
    pub lease_ms: Millis,
    /// When targets renew their lease.
    pub renew_ms: Millis,
    /// How long the records of a silent node or target are kept.
    pub forget_ms: Millis,
    /// How long a released voucher is remembered for differences.
    pub tombstone_ms: Millis,
    /// Most bytes of differences in one reply.
    pub reply_cap_bytes: usize,
    /// Most bytes of differences that a node takes, and that it gives, in a second.
    pub catch_up_bytes_per_s: u64,
    /// How long a silent node is believed to be alive elsewhere, for the judgement of partitions.
    pub believed_ms: Millis,
    /// How long a new node looks for others before it takes itself for the first one.
    pub first_after_ms: Millis,
    /// How long a node hears fewer than half of the others before it counts as cut off.
    pub cut_off_after_ms: Millis,
    /// How long a new node or target takes to its full share.
    pub warm_ms: Millis,
    /// Local suspicion and return of targets.
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
