//! Room of a target as its refusals show it.
//!
//! Load pattern: targets are nearly full and many entries choose by reports that are some hundred
//! milliseconds old, so all of them choose the target with the last free capacity. Its refusal
//! tells one entry that the target holds no more than it does now, and the exchange of load reports
//! tells the others.

use mgw_world::Millis;

/// Rise of a limit per second, as a fraction of the target's capacity, so that a target that gets no requests
/// is tried again.
const RECOVERY_PER_S: f64 = 0.01;
/// Rise of a limit for each request that has begun, as a fraction of the utilization that the request adds.
const BEGUN_RAISE: f64 = 0.1;
/// Fraction of the utilization at a refusal that becomes the limit. The margin covers requests that other
/// entries send before they learn of the refusal, and answers longer than estimated.
const KEPT_SHARE: f64 = 0.95;
/// Two refusals that are less than this apart may be the same one, learnt twice with different
/// delays of the reports.
const SAME_REFUSAL_MS: Millis = Millis(100);

/// Utilization up to which a target is believed to have room, set by its newest refusal.
#[derive(Debug, Clone, Copy)]
struct RoomLimit {
    utilization: f64,
    set_at: Millis,
    refused_at: Millis,
}

impl RoomLimit {
    fn at(&self, now: Millis) -> f64 {
        self.utilization + RECOVERY_PER_S * (now - self.set_at).0 as f64 / 1_000.0
    }
}

/// What refusals for lack of room tell of one run of a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Room {
    /// Earlier refusals at its address came from another run.
    known_since: Millis,
    limit: Option<RoomLimit>,
    own_refused_at: Option<Millis>,
}

impl Room {
    pub const fn new(now: Millis) -> Self {
        Self {
            known_since: now,
            limit: None,
            own_refused_at: None,
        }
    }

    /// Records that the target refused a request of this entry while its utilization was estimated
    /// as `utilization`.
    pub fn record_own_refusal(&mut self, utilization: f64, now: Millis) {
        self.own_refused_at = Some(now);
        self.set_limit(utilization, now, now);
    }

    /// Records a refusal that another entry may have got. Returns whether it was unknown.
    pub fn learn_refusal(&mut self, utilization: f64, refused_at: Millis, now: Millis) -> bool {
        let known_at = self.limit.map(|limit| limit.refused_at + SAME_REFUSAL_MS);
        let is_known = known_at.is_some_and(|known_at| refused_at <= known_at);
        if is_known || refused_at < self.known_since {
            return false;
        }
        self.set_limit(utilization, refused_at, now);
        true
    }

    fn set_limit(&mut self, utilization: f64, refused_at: Millis, now: Millis) {
        self.limit = Some(RoomLimit {
            utilization: KEPT_SHARE * utilization,
            set_at: now,
            refused_at,
        });
    }

    /// Utilization up to which requests are sent to the target; at most `max_utilization`.
    pub fn max_utilization(&self, max_utilization: f64, now: Millis) -> f64 {
        let limit = self.limit.map(|limit| limit.at(now));
        limit.map_or(max_utilization, |limit| limit.min(max_utilization))
    }

    /// Whether a refusal still lowers the room that the target is believed to have.
    pub fn is_limited(&self, max_utilization: f64, now: Millis) -> bool {
        self.max_utilization(max_utilization, now) < max_utilization
    }

    /// Age of the newest refusal that this entry got, while it is at most `valid_ms`.
    pub fn own_refusal_age_ms(&self, valid_ms: Millis, now: Millis) -> Option<Millis> {
        let age_ms = self.own_refused_at.map(|at| now - at);
        age_ms.filter(|age_ms| *age_ms <= valid_ms)
    }

    /// Raises the limit by a part of `share`, as a request that was sent after the refusal has begun.
    pub fn record_begun(&mut self, share: f64, sent_at: Millis) {
        if let Some(limit) = &mut self.limit
            && sent_at > limit.refused_at
        {
            limit.utilization += BEGUN_RAISE * share;
        }
    }

    /// Raises the limit to a reported utilization, if all reports in it are younger than the
    /// refusal: the target holds that much.
    pub fn record_report(&mut self, utilization: f64, report_ms: Millis, now: Millis) {
        if let Some(limit) = &mut self.limit
            && now - limit.refused_at > report_ms
            && utilization > limit.at(now)
        {
            limit.utilization = utilization;
            limit.set_at = now;
        }
    }
}
