//! Requests that wait for room on chains, by service.

use std::collections::HashMap;
use std::sync::Arc;

use mgw_route::{UrgencyQueue, WaiterKey};
use mgw_world::{Millis, ServiceName};
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Queue of one service with the notification of each waiting request.
#[derive(Debug, Default)]
struct Waiting {
    queue: UrgencyQueue,
    freed: HashMap<WaiterKey, Arc<Notify>>,
}

/// Requests that wait for room. When room is released, the most urgent one tries first, among equals
/// the one that waits longest.
#[derive(Debug, Default)]
pub struct CapacityWaiters {
    services: Mutex<HashMap<ServiceName, Waiting>>,
}

impl CapacityWaiters {
    /// Whether a request of this urgency may try: none that waits for the service is more urgent.
    pub fn may_try(&self, service: &ServiceName, urgency: u8) -> bool {
        let services = self.services.lock();
        let waiting = services.get(service);
        waiting.is_none_or(|it| it.queue.may_try(urgency))
    }

    /// Estimated time until the more urgent requests that wait have found room; `None` if none waits or fewer
    /// than two releases of room were seen.
    pub fn expected_wait_ms(&self, service: &ServiceName, urgency: u8) -> Option<Millis> {
        let services = self.services.lock();
        services.get(service)?.queue.expected_wait_ms(urgency)
    }

    /// Adds a request, which leaves when the result is dropped.
    pub fn join(self: &Arc<Self>, service: &ServiceName, urgency: u8) -> Waiter {
        let mut services = self.services.lock();
        let waiting = services.entry(service.clone()).or_default();
        let key = waiting.queue.join(urgency);
        let freed = Arc::new(Notify::new());
        waiting.freed.insert(key, Arc::clone(&freed));
        Waiter {
            waiters: Arc::clone(self),
            service: service.clone(),
            key,
            freed,
        }
    }

    /// Wakes the request that is to try first.
    pub fn notify_freed(&self, service: &ServiceName, now: Millis) {
        let mut services = self.services.lock();
        let waiting = services.entry(service.clone()).or_default();
        let first = waiting.queue.record_freed(now);
        if let Some(freed) = first.and_then(|key| waiting.freed.get(&key)) {
            freed.notify_one();
        }
    }
}

/// A request that waits for room.
#[derive(Debug)]
pub struct Waiter {
    waiters: Arc<CapacityWaiters>,
    service: ServiceName,
    key: WaiterKey,
    freed: Arc<Notify>,
}

impl Waiter {
    /// Waits until it is this request's turn to try.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut services = self.waiters.services.lock();
        if let Some(waiting) = services.get_mut(&self.service) {
            waiting.queue.leave(self.key);
            waiting.freed.remove(&self.key);
        }
    }
}
