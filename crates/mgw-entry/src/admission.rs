//! Admission of requests: one admission queue for each model, and the requests that wait in it.

use std::collections::BTreeMap;
use std::sync::Arc;

use mgw_contract::caller::Reason;
use mgw_route::{
    Admission, AdmissionCapacity, AdmissionRequest, AdmissionSettings, Decision, Event,
};
use mgw_world::{Millis, ModelName, RequestId};
use tokio::sync::oneshot;

use crate::app::App;

/// A request that was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotAdmitted {
    /// Why the request was not admitted.
    pub reason: Reason,
    /// After which time the caller may retry.
    pub retry_after_ms: Millis,
}

/// Whether a request may start.
type AdmissionResult = Result<(), NotAdmitted>;

/// Admission of each model, and the channels that send the decision to queued requests.
#[derive(Debug, Default)]
pub struct ModelAdmissions {
    admissions: BTreeMap<ModelName, Admission>,
    queued: BTreeMap<RequestId, oneshot::Sender<AdmissionResult>>,
}

/// Result of offering a request to the admission of its model.
enum OfferResult {
    Decided(AdmissionResult),
    Queued(oneshot::Receiver<AdmissionResult>),
}

impl ModelAdmissions {
    /// Sets the capacity for requests of a model that run at the same time.
    pub fn set_capacity(&mut self, model: &ModelName, capacity: AdmissionCapacity) {
        match self.admissions.get_mut(model) {
            Some(admission) => admission.set_capacity(capacity),
            None => {
                let admission = Admission::new(AdmissionSettings::default(), capacity);
                self.admissions.insert(model.clone(), admission);
            }
        }
    }

    /// Starts or refuses queued requests according to the time that has passed.
    pub fn poll(&mut self, now: Millis) {
        for admission in self.admissions.values_mut() {
            for event in admission.poll(now) {
                let (id, result) = match event {
                    Event::Start { id } => (id, Ok(())),
                    Event::Refused {
                        id,
                        reason,
                        retry_after_ms,
                    } => (
                        id,
                        Err(NotAdmitted {
                            reason,
                            retry_after_ms,
                        }),
                    ),
                };
                if let Some(sender) = self.queued.remove(&id) {
                    // If the caller has just disconnected, its `AdmissionGuard` releases the
                    // admission.
                    let _ = sender.send(result);
                }
            }
        }
    }

    /// When [`Self::poll`] must be called next.
    #[must_use]
    pub fn next_poll(&self) -> Option<Millis> {
        self.admissions
            .values()
            .filter_map(Admission::next_poll)
            .min()
    }

    /// Number of queued requests.
    #[must_use]
    pub fn queued_count(&self) -> usize {
        self.queued.len()
    }

    fn offer(&mut self, model: &ModelName, request: AdmissionRequest, now: Millis) -> OfferResult {
        let Some(admission) = self.admissions.get_mut(model) else {
            let refused = NotAdmitted {
                reason: Reason::NoPath,
                retry_after_ms: Millis(1000),
            };
            return OfferResult::Decided(Err(refused));
        };
        let id = request.id;
        match admission.offer(request, now) {
            Decision::Start => OfferResult::Decided(Ok(())),
            Decision::Refused {
                reason,
                retry_after_ms,
            } => OfferResult::Decided(Err(NotAdmitted {
                reason,
                retry_after_ms,
            })),
            Decision::Queued => {
                let (sender, receiver) = oneshot::channel();
                self.queued.insert(id, sender);
                OfferResult::Queued(receiver)
            }
        }
    }

    /// Releases an admission; only completed requests count in the estimates of the duration.
    fn release(&mut self, model: &ModelName, id: RequestId, is_complete: bool, now: Millis) {
        self.queued.remove(&id);
        if let Some(admission) = self.admissions.get_mut(model) {
            if is_complete {
                admission.finished(id, now);
            } else {
                admission.cancel(id, now);
            }
        }
        self.poll(now);
    }
}

/// The admission of one request, queued or started; released when it is dropped.
pub struct AdmissionGuard {
    app: Arc<App>,
    model: ModelName,
    id: RequestId,
    is_complete: bool,
}

impl AdmissionGuard {
    /// Releases the admission of a request with a complete answer; its duration goes into the
    /// estimates of how long requests take.
    ///
    /// Dropping the guard without this call releases the admission of a request that failed, was
    /// cancelled or never ran.
    pub fn complete(mut self) {
        self.is_complete = true;
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let now = self.app.clock.now();
        self.app
            .admissions
            .lock()
            .release(&self.model, self.id, self.is_complete, now);
    }
}

/// Waits until a request may start.
///
/// # Errors
/// When the request is refused, at once or in the queue; it has not run then.
pub async fn admit(
    app: &Arc<App>,
    model: &ModelName,
    request: AdmissionRequest,
) -> Result<AdmissionGuard, NotAdmitted> {
    let id = request.id;
    let offer = app.admissions.lock().offer(model, request, app.clock.now());
    let guard = AdmissionGuard {
        app: Arc::clone(app),
        model: model.clone(),
        id,
        is_complete: false,
    };
    let result = match offer {
        OfferResult::Decided(result) => result,
        OfferResult::Queued(receiver) => {
            app.admission_queue_changed.notify_one();
            let lost = NotAdmitted {
                reason: Reason::Leaving,
                retry_after_ms: Millis(100),
            };
            receiver.await.unwrap_or(Err(lost))
        }
    };
    result.map(|()| guard)
}
