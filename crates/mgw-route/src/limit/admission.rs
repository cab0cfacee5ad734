//! Admission control: decides for each request whether it starts, is queued or is refused.

use std::collections::BTreeMap;

use mgw_contract::caller::Reason;
use mgw_world::{Millis, RequestId, WorkspaceName};

use super::estimate::Estimate;
use super::fair_queue::{FairQueue, QueuedRequest};
use crate::{AdmissionCapacity, AdmissionRequest, AdmissionSettings, Decision, Event};

/// A request that was started, and when.
#[derive(Debug, Clone, Copy)]
struct Running {
    started_at: Millis,
    tokens: u32,
    kv_bytes: u64,
}

/// Admission control for the requests for one model at one entry.
///
/// A request starts if there is capacity, is queued if its expected wait leaves time to run before
/// the deadline, and is refused at once otherwise.
///
/// ```
/// use mgw_route::{Admission, AdmissionCapacity, AdmissionRequest, AdmissionSettings, Decision};
/// use mgw_world::{Millis, RequestId};
/// let capacity = AdmissionCapacity { max_requests: 1, ..AdmissionCapacity::default() };
/// let mut admission = Admission::new(AdmissionSettings::default(), capacity);
/// let request = |id| AdmissionRequest {
///     id: RequestId(id),
///     workspace: "caroni".into(),
///     weight: 1,
///     priority: 0,
///     deadline_ms: None,
///     tokens: 64,
///     kv_bytes: 0,
/// };
/// assert_eq!(admission.offer(request(1), Millis(0)), Decision::Start);
/// assert_eq!(admission.offer(request(2), Millis(0)), Decision::Queued);
/// admission.finished(RequestId(1), Millis(500));
/// assert_eq!(admission.poll(Millis(500)).len(), 1);
/// ```
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    capacity: AdmissionCapacity,
    running: BTreeMap<RequestId, Running>,
    kv_bytes: u64,
    queue: FairQueue,
    estimate: Estimate,
    next_retries: BTreeMap<WorkspaceName, f64>,
    events: Vec<Event>,
}

impl Admission {
    /// Creates admission control with no running or queued requests.
    #[must_use]
    pub fn new(settings: AdmissionSettings, capacity: AdmissionCapacity) -> Self {
        Self {
            settings,
            capacity,
            running: BTreeMap::new(),
            kv_bytes: 0,
            queue: FairQueue::default(),
            estimate: Estimate::new(settings.rate_window_ms),
            next_retries: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Changes the capacity; running requests continue.
    pub const fn set_capacity(&mut self, capacity: AdmissionCapacity) {
        self.capacity = capacity;
    }

    /// Decides about a new request.
    ///
    /// Offering the same id again while it waits or runs is an error of the caller.
    pub fn offer(&mut self, request: AdmissionRequest, now: Millis) -> Decision {
        self.estimate.advance(now, !self.queue.is_empty());
        let service_ms = self.estimate.service_ms(request.tokens);
        if request
            .deadline_ms
            .is_some_and(|deadline| now + service_ms > deadline)
        {
            return self.refuse(&request, Reason::Deadline, now);
        }
        if request.kv_bytes > self.capacity.kv_bytes {
            return self.refuse(&request, Reason::Overloaded, now);
        }
        if self.queue.is_empty() && self.has_capacity(&request) {
            self.start(&request, now);
            return Decision::Start;
        }
        let latest_start = self.latest_start(&request, now);
        if self.expected_wait_ms(&request) > self.max_expected_wait_ms(latest_start, now) {
            return self.refuse(&request, Reason::Overloaded, now);
        }
        if self.queue.len() >= self.settings.max_queued {
            let Some(evicted) = self.queue.evict_for(&request.workspace) else {
                return self.refuse(&request, Reason::Overloaded, now);
            };
            self.refuse_queued(&evicted.request, Reason::Overloaded, now);
        }
        self.queue.push(QueuedRequest {
            request,
            latest_start,
        });
        self.estimate.advance(now, true);
        Decision::Queued
    }

    /// Records that a started request ran to its end.
    ///
    /// For requests that ended early, by an error or a cancellation, call [`Self::cancel`]: they
    /// would distort the estimates.
    pub fn finished(&mut self, id: RequestId, now: Millis) {
        self.estimate.advance(now, !self.queue.is_empty());
        if let Some(running) = self.remove_running(id) {
            self.estimate
                .record_finished(running.tokens, now - running.started_at);
        }
    }

    /// Removes a queued or running request that failed or whose caller disconnected.
    pub fn cancel(&mut self, id: RequestId, now: Millis) {
        self.estimate.advance(now, !self.queue.is_empty());
        self.remove_running(id);
        self.queue.remove(id);
    }

    /// Returns the queued requests that start or are refused now.
    ///
    /// Call it after each `finished`, `cancel` and `set_capacity`, after an `offer` that was
    /// queued, and whenever [`Self::next_poll`] is reached.
    pub fn poll(&mut self, now: Millis) -> Vec<Event> {
        self.estimate.advance(now, !self.queue.is_empty());
        for expired in self.queue.remove_expired(now) {
            self.refuse_queued(&expired.request, Reason::Deadline, now);
        }
        while let Some(queued) = self.pop_fitting() {
            let request = queued.request;
            let expected_end = now + self.estimate.service_ms(request.tokens);
            if request
                .deadline_ms
                .is_some_and(|deadline| expected_end > deadline)
            {
                self.refuse_queued(&request, Reason::Deadline, now);
                continue;
            }
            self.start(&request, now);
            self.events.push(Event::Start { id: request.id });
        }
        self.estimate.advance(now, !self.queue.is_empty());
        std::mem::take(&mut self.events)
    }

    /// When [`Self::poll`] must be called at the latest, to refuse a queued request that can no
    /// longer meet its deadline.
    #[must_use]
    pub fn next_poll(&self) -> Option<Millis> {
        self.queue
            .earliest_latest_start()
            .map(|latest| latest + Millis(1))
    }

    /// Number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn pop_fitting(&mut self) -> Option<QueuedRequest> {
        if self.running.len() >= self.capacity.max_requests as usize {
            return None;
        }
        let free = self.capacity.kv_bytes.saturating_sub(self.kv_bytes);
        self.queue.pop(|request| request.kv_bytes <= free)
    }

    fn has_capacity(&self, request: &AdmissionRequest) -> bool {
        let free = self.capacity.kv_bytes.saturating_sub(self.kv_bytes);
        self.running.len() < self.capacity.max_requests as usize && request.kv_bytes <= free
    }

    fn start(&mut self, request: &AdmissionRequest, now: Millis) {
        self.kv_bytes = self.kv_bytes.saturating_add(request.kv_bytes);
        let running = Running {
            started_at: now,
            tokens: request.tokens,
            kv_bytes: request.kv_bytes,
        };
        self.running.insert(request.id, running);
    }

    fn remove_running(&mut self, id: RequestId) -> Option<Running> {
        let running = self.running.remove(&id)?;
        self.kv_bytes = self.kv_bytes.saturating_sub(running.kv_bytes);
        Some(running)
    }

    /// Latest start that still meets the request's deadline and the longest wait.
    fn latest_start(&self, request: &AdmissionRequest, now: Millis) -> Millis {
        let service_ms = self.estimate.service_ms(request.tokens);
        let wait_limit = now + self.settings.max_wait_ms;
        request
            .deadline_ms
            .map_or(wait_limit, |deadline| wait_limit.min(deadline - service_ms))
    }

    /// Expected wait of a new request of this size: for the requests served before it, and for one
    /// run of its own size until capacity is free.
    fn expected_wait_ms(&self, request: &AdmissionRequest) -> f64 {
        let Some(rate) = self.estimate.tokens_per_ms(self.running.len()) else {
            return 0.0;
        };
        (self.queue.tokens_ahead_of(request) + f64::from(request.tokens)) / rate
    }

    fn max_expected_wait_ms(&self, latest_start: Millis, now: Millis) -> f64 {
        (latest_start - now).0 as f64 * self.settings.max_wait_fraction
    }

    fn refuse(&mut self, request: &AdmissionRequest, reason: Reason, now: Millis) -> Decision {
        Decision::Refused {
            reason,
            retry_after_ms: self.schedule_retry(request, now),
        }
    }

    fn refuse_queued(&mut self, request: &AdmissionRequest, reason: Reason, now: Millis) {
        let event = Event::Refused {
            id: request.id,
            reason,
            retry_after_ms: self.schedule_retry(request, now),
        };
        self.events.push(event);
    }

    /// Chooses the delay after which a refused request may be retried.
    ///
    /// The retry comes after the requests queued now have drained. Retries of a workspace are
    /// spaced out at the rate at which requests finish, so that requests refused together don't
    /// return together.
    fn schedule_retry(&mut self, request: &AdmissionRequest, now: Millis) -> Millis {
        let rate = self
            .estimate
            .tokens_per_ms(self.running.len())
            .unwrap_or(1.0);
        let drained_ms = now.0 as f64 + self.queue.tokens_ahead_of(request) / rate;
        let retry_at_ms = self
            .next_retries
            .entry(request.workspace.clone())
            .or_insert(drained_ms);
        let latest_ms = (now + self.settings.max_retry_after_ms).0 as f64;
        *retry_at_ms = (*retry_at_ms + f64::from(request.tokens) / rate).max(drained_ms);
        if *retry_at_ms > latest_ms {
            *retry_at_ms = drained_ms;
        }
        let wait_ms = Millis((*retry_at_ms - now.0 as f64).max(0.0) as u64);
        self.next_retries
            .retain(|_, retry_at_ms| *retry_at_ms > now.0 as f64);
        wait_ms.clamp(
            self.settings.min_retry_after_ms,
            self.settings.max_retry_after_ms,
        )
    }
}
