//! A rate of requests.

use serde::{Deserialize, Serialize};

/// Requests in the unit of [`RequestRate`] that make one request a second.
const UNITS_PER_S: f64 = 1_000.0;

/// A rate of requests, exact to a thousandth of a request a second.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[display("{}/s", self.per_s())]
pub struct RequestRate {
    requests_per_1000_s: u64,
}

impl RequestRate {
    /// Converts a number of requests a second; `None` if it is negative, infinite or not a number.
    /// Numbers that are too large become the largest rate.
    ///
    /// ```
    /// use mgw_route::RequestRate;
    /// assert_eq!(RequestRate::from_per_s(2.25).map(RequestRate::per_s), Some(2.25));
    /// assert_eq!(RequestRate::from_per_s(-1.0), None);
    /// ```
    #[must_use]
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let is_valid = per_s.is_finite() && per_s >= 0.0;
        is_valid.then(|| Self {
            requests_per_1000_s: (per_s * UNITS_PER_S).round() as u64,
        })
    }

    /// Requests a second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        self.requests_per_1000_s as f64 / UNITS_PER_S
    }
}
