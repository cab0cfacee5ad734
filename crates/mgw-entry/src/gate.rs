//! Admission of requests: one admission for each model, and the requests that wait for it.

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
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after_ms: Millis,
}

type Verdict = Result<(), NotAdmitted>;

/// Admissions of all models and the requests that wait.
#[derive(Debug, Default)]
pub struct Gate {
    admissions: BTreeMap<ModelName, Admission>,
    waiting: BTreeMap<RequestId, oneshot::Sender<Verdict>>,
}

enum Offer {
    Decided(Verdict),
    Waits(oneshot::Receiver<Verdict>),
}

impl Gate {
    /// Sets what may run at once for a model.
    pub fn set_capacity(&mut self, model: &ModelName, capacity: AdmissionCapacity) {
        match self.admissions.get_mut(model) {
            Some(admission) => admission.set_capacity(capacity),
            None => {
                let admission = Admission::new(AdmissionSettings::default(), capacity);
                self.admissions.insert(model.clone(), admission);
            }
        }
    }

    /// Lets waiting requests start, or gives them up, as time passes.
    pub fn poll(&mut self, now: Millis) {
        for admission in self.admissions.values_mut() {
            for event in admission.poll(now) {
                let (id, verdict) = match event {
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
                if let Some(waiting) = self.waiting.remove(&id) {
                    // A caller that went away in this moment frees its place by its guard.
                    let _ = waiting.send(verdict);
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

    /// Requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    fn offer(&mut self, model: &ModelName, request: AdmissionRequest, now: Millis) -> Offer {
        let Some(admission) = self.admissions.get_mut(model) else {
            let verdict = NotAdmitted {
                reason: Reason::NoPath,
                retry_after_ms: Millis(1000),
            };
            return Offer::Decided(Err(verdict));
        };
        let id = request.id;
        match admission.offer(request, now) {
            Decision::Start => Offer::Decided(Ok(())),
            Decision::Refused {
                reason,
                retry_after_ms,
            } => Offer::Decided(Err(NotAdmitted {
                reason,
                retry_after_ms,
            })),
            Decision::Queued => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.insert(id, sender);
                Offer::Waits(receiver)
            }
        }
    }

    /// Gives a place back; only whole answers go into the estimates.
    fn leave(&mut self, model: &ModelName, id: RequestId, is_whole: bool, now: Millis) {
        self.waiting.remove(&id);
        if let Some(admission) = self.admissions.get_mut(model) {
            if is_whole {
                admission.finished(id, now);
            } else {
                admission.cancel(id, now);
            }
        }
        self.poll(now);
    }
}

/// An admitted request's place; given back when it is dropped.
pub struct Admitted {
    app: Arc<App>,
    model: ModelName,
    id: RequestId,
    is_whole: bool,
}

impl Admitted {
    /// Gives the place back after a whole answer, whose time tells how long requests take.
    ///
    /// Without this call the place is given back as that of a request which failed, was given up
    /// or never ran.
    pub fn finish(mut self) {
        self.is_whole = true;
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let now = self.app.clock.now();
        self.app
            .gate
            .lock()
            .leave(&self.model, self.id, self.is_whole, now);
    }
}

/// Waits until a request may start.
///
/// # Errors
/// When it is given up; it has not run then.
pub async fn admit(
    app: &Arc<App>,
    model: &ModelName,
    request: AdmissionRequest,
) -> Result<Admitted, NotAdmitted> {
    let id = request.id;
    let offer = app.gate.lock().offer(model, request, app.clock.now());
    let admitted = Admitted {
        app: Arc::clone(app),
        model: model.clone(),
        id,
        is_whole: false,
    };
    let verdict = match offer {
        Offer::Decided(verdict) => verdict,
        Offer::Waits(receiver) => {
            app.gate_changed.notify_one();
            let lost = NotAdmitted {
                reason: Reason::Leaving,
                retry_after_ms: Millis(100),
            };
            receiver.await.unwrap_or(Err(lost))
        }
    };
    verdict.map(|()| admitted)
}
