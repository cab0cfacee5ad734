//! Decides for each request whether it starts, waits or is given up.

use mgw_contract::caller::Reason;
use mgw_world::{Millis, RequestId};

use crate::{AdmissionCapacity, AdmissionRequest, AdmissionSettings, Decision, Event};

/// Admission of the requests for one model at one entry.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    capacity: AdmissionCapacity,
    running: u32,
}

impl Admission {
    /// An admission with nothing running.
    #[must_use]
    pub const fn new(settings: AdmissionSettings, capacity: AdmissionCapacity) -> Self {
        Self {
            settings,
            capacity,
            running: 0,
        }
    }

    /// Changes the capacity; what runs goes on.
    pub const fn set_capacity(&mut self, capacity: AdmissionCapacity) {
        self.capacity = capacity;
    }

    /// Decides about a new request.
    #[allow(clippy::needless_pass_by_value)]
    pub fn offer(&mut self, request: AdmissionRequest, now: Millis) -> Decision {
        let _ = (request, now);
        if self.running < self.capacity.max_requests {
            self.running += 1;
            return Decision::Start;
        }
        Decision::Refused {
            reason: Reason::Overloaded,
            retry_after_ms: self.settings.min_retry_after_ms,
        }
    }

    /// Takes note that a started request ended, however it ended.
    pub fn finished(&mut self, id: RequestId, now: Millis) {
        let _ = (id, now);
        self.running = self.running.saturating_sub(1);
    }

    /// Removes a request whose caller went away, whether it waits or runs.
    pub fn cancel(&mut self, id: RequestId, now: Millis) {
        let _ = (id, now);
    }

    /// Requests that start or are given up at this point; call after each `finished` and whenever
    /// [`Self::next_poll`] is reached.
    pub fn poll(&mut self, now: Millis) -> Vec<Event> {
        let _ = now;
        Vec::new()
    }

    /// When a waiting request has to be given up at the latest.
    #[must_use]
    pub fn next_poll(&self) -> Option<Millis> {
        None
    }

    /// Requests that run.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    #[must_use]
    pub const fn queued(&self) -> usize {
        0
    }
}
