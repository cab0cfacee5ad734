//! Decides for each request whether it starts, waits or is given up.

use std::collections::BTreeMap;

use mgw_contract::caller::Reason;
use mgw_world::{Millis, RequestId, WorkspaceName};

use super::estimate::Estimate;
use super::fair_queue::{FairQueue, Waiting};
use crate::{AdmissionCapacity, AdmissionRequest, AdmissionSettings, Decision, Event};

/// A request that runs.
#[derive(Debug, Clone, Copy)]
struct Running {
    started: Millis,
    tokens: u32,
    kv_bytes: u64,
}

/// Admission of the requests for one model at one entry.
///
/// A request starts while there is room, waits while its expected wait leaves time for its run
/// before the deadline, and is given up at once otherwise.
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
    returns: BTreeMap<WorkspaceName, f64>,
    events: Vec<Event>,
}

impl Admission {
    /// An admission with nothing running.
    #[must_use]
    pub fn new(settings: AdmissionSettings, capacity: AdmissionCapacity) -> Self {
        Self {
            settings,
            capacity,
            running: BTreeMap::new(),
            kv_bytes: 0,
            queue: FairQueue::default(),
            estimate: Estimate::new(settings.rate_window_ms),
            returns: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Changes the capacity; what runs goes on.
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
        if self.queue.is_empty() && self.has_room(&request) {
            self.start(&request, now);
            return Decision::Start;
        }
        let latest_start = self.latest_start(&request, now);
        if self.wait_ms(&request) > self.tolerated_wait_ms(latest_start, now) {
            return self.refuse(&request, Reason::Overloaded, now);
        }
        if self.queue.len() >= self.settings.max_queued {
            let Some(last) = self.queue.push_out_for(&request.workspace) else {
                return self.refuse(&request, Reason::Overloaded, now);
            };
            self.give_up(&last.request, Reason::Overloaded, now);
        }
        self.queue.push(Waiting {
            request,
            latest_start,
        });
        self.estimate.advance(now, true);
        Decision::Queued
    }

    /// Takes note that a started request ended, however it ended.
    ///
    /// Requests that ended early, by an error or a cancellation, go to [`Self::cancel`]: they
    /// would spoil the estimates.
    pub fn finished(&mut self, id: RequestId, now: Millis) {
        self.estimate.advance(now, !self.queue.is_empty());
        if let Some(running) = self.remove_running(id) {
            self.estimate.finish(running.tokens, now - running.started);
        }
    }

    /// Removes a request whose caller went away or which failed, whether it waits or runs.
    pub fn cancel(&mut self, id: RequestId, now: Millis) {
        self.estimate.advance(now, !self.queue.is_empty());
        self.remove_running(id);
        self.queue.remove(id);
    }

    /// Requests that start or are given up at this point.
    ///
    /// Call it after each `finished`, `cancel` and `set_capacity`, after an `offer` that was
    /// queued, and whenever [`Self::next_poll`] is reached.
    pub fn poll(&mut self, now: Millis) -> Vec<Event> {
        self.estimate.advance(now, !self.queue.is_empty());
        for late in self.queue.take_late(now) {
            self.give_up(&late.request, Reason::Deadline, now);
        }
        while let Some(waiting) = self.pop_fitting() {
            let request = waiting.request;
            let end = now + self.estimate.service_ms(request.tokens);
            if request.deadline_ms.is_some_and(|deadline| end > deadline) {
                self.give_up(&request, Reason::Deadline, now);
                continue;
            }
            self.start(&request, now);
            self.events.push(Event::Start { id: request.id });
        }
        self.estimate.advance(now, !self.queue.is_empty());
        std::mem::take(&mut self.events)
    }

    /// When a waiting request has to be given up at the latest.
    #[must_use]
    pub fn next_poll(&self) -> Option<Millis> {
        self.queue.first_deadline().map(|latest| latest + Millis(1))
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn pop_fitting(&mut self) -> Option<Waiting> {
        if self.running.len() >= self.capacity.max_requests as usize {
            return None;
        }
        let free = self.capacity.kv_bytes.saturating_sub(self.kv_bytes);
        self.queue.pop(|request| request.kv_bytes <= free)
    }

    fn has_room(&self, request: &AdmissionRequest) -> bool {
        let free = self.capacity.kv_bytes.saturating_sub(self.kv_bytes);
        self.running.len() < self.capacity.max_requests as usize && request.kv_bytes <= free
    }

    fn start(&mut self, request: &AdmissionRequest, now: Millis) {
        self.kv_bytes = self.kv_bytes.saturating_add(request.kv_bytes);
        let running = Running {
            started: now,
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

    /// When the request has to have started.
    fn latest_start(&self, request: &AdmissionRequest, now: Millis) -> Millis {
        let service_ms = self.estimate.service_ms(request.tokens);
        let by_wait = now + self.settings.max_wait_ms;
        request
            .deadline_ms
            .map_or(by_wait, |deadline| by_wait.min(deadline - service_ms))
    }

    /// How long a new request of this size would wait: for what goes before it, and for one run of
    /// its own size until room is free.
    fn wait_ms(&self, request: &AdmissionRequest) -> f64 {
        let Some(rate) = self.estimate.tokens_per_ms(self.running.len()) else {
            return 0.0;
        };
        (self.queue.tokens_before(request) + f64::from(request.tokens)) / rate
    }

    fn tolerated_wait_ms(&self, latest_start: Millis, now: Millis) -> f64 {
        (latest_start - now).0 as f64 * self.settings.wait_part
    }

    fn refuse(&mut self, request: &AdmissionRequest, reason: Reason, now: Millis) -> Decision {
        Decision::Refused {
            reason,
            retry_after_ms: self.plan_return(request, now),
        }
    }

    fn give_up(&mut self, request: &AdmissionRequest, reason: Reason, now: Millis) {
        let event = Event::Refused {
            id: request.id,
            reason,
            retry_after_ms: self.plan_return(request, now),
        };
        self.events.push(event);
    }

    /// When a request that is given up shall come back.
    ///
    /// Not before what waits now has drained, and one after the other for each workspace, at the
    /// rate at which requests finish: those given up together don't return together.
    fn plan_return(&mut self, request: &AdmissionRequest, now: Millis) -> Millis {
        let rate = self
            .estimate
            .tokens_per_ms(self.running.len())
            .unwrap_or(1.0);
        let drained_ms = now.0 as f64 + self.queue.tokens_before(request) / rate;
        let slot = self
            .returns
            .entry(request.workspace.clone())
            .or_insert(drained_ms);
        let latest_ms = (now + self.settings.max_retry_after_ms).0 as f64;
        *slot = (*slot + f64::from(request.tokens) / rate).max(drained_ms);
        if *slot > latest_ms {
            *slot = drained_ms;
        }
        let wait_ms = Millis((*slot - now.0 as f64).max(0.0) as u64);
        self.returns.retain(|_, slot| *slot > now.0 as f64);
        wait_ms.clamp(
            self.settings.min_retry_after_ms,
            self.settings.max_retry_after_ms,
        )
    }
}
