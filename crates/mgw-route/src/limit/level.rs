//! What entries and the collecting control tell each other about demand that exceeds the room on targets.

use std::cmp::Ordering;

use mgw_world::{Millis, ServiceName};
use serde::{Deserialize, Serialize};

/// All requests, in thousandths.
pub const WHOLE_PERMILLE: u16 = 1_000;
/// Cycle over which the returns of refused requests are spread.
pub const RETURN_CYCLE_MS: Millis = Millis(1_500);

/// Requests of one urgency at one entry since the entry started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UrgencyDemand {
    /// Rank, where 0 is the most urgent.
    pub urgency: u8,
    /// Requests that callers sent.
    pub offered: u64,
    /// Requests whose answer has begun.
    pub begun: u64,
    /// Requests that were refused for lack of room, by targets or by the entry.
    pub full: u64,
    /// Requests that were refused before any send, as they were below the admission level.
    pub below: u64,
}

/// Requests for one service at one entry, by urgency.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Name of the service.
    pub service: ServiceName,
    /// One item for each urgency that was seen.
    pub by_urgency: Vec<UrgencyDemand>,
}

/// Which requests of a service entries admit while not all of them find room.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionLevel {
    /// Name of the service.
    pub service: ServiceName,
    /// Requests that are more urgent are all admitted; of the others, the fractions below.
    pub urgency: u8,
    /// Fraction of the requests of exactly this urgency that is admitted, in thousandths.
    pub share_permille: u16,
    /// Fraction of the requests less urgent than this that is admitted, in thousandths.
    pub least_permille: u16,
    /// Position in the cycle of return times, the same at all entries.
    pub phase_ms: Millis,
}

impl AdmissionLevel {
    /// Fraction of the requests of an urgency that is admitted.
    #[must_use]
    pub fn share(&self, urgency: u8) -> f64 {
        let permille = match urgency.cmp(&self.urgency) {
            Ordering::Less => WHOLE_PERMILLE,
            Ordering::Equal => self.share_permille,
            Ordering::Greater => self.least_permille,
        };
        f64::from(permille) / f64::from(WHOLE_PERMILLE)
    }
}
