//! Admission of new streams by urgency, for services whose requests differ in it.

use std::collections::HashSet;

use mgw_route::{
    AdmissionGate, AdmissionLevel, GateRequest, LevelChange, OtherEntriesLoad, report_valid_ms,
};
use mgw_routing::RouteTable;
use mgw_world::{NodeName, ServiceName};
use tracing::info;

use crate::app::App;
use crate::callers::{Call, Refusal};

/// Metric of the level's urgency while everything is admitted: less urgent than any request.
const EVERYTHING: i64 = 10;
/// Metric of the level's share while everything is admitted.
const WHOLE_PERMILLE: i64 = 1_000;

/// Counts and levels of the services with a model whose requests differ in urgency.
#[derive(Debug)]
pub struct StreamAdmission {
    services: HashSet<ServiceName>,
    gate: AdmissionGate,
}

impl StreamAdmission {
    /// Creates the state of an entry that admits everything.
    #[must_use]
    pub fn new(entry: &NodeName) -> Self {
        let bytes = entry.as_str().bytes();
        let seed = bytes.fold(0_u64, |seed, byte| {
            seed.wrapping_mul(31).wrapping_add(u64::from(byte))
        });
        Self {
            services: HashSet::new(),
            gate: AdmissionGate::new(seed),
        }
    }

    /// The counts for the load report.
    #[must_use]
    pub fn gate(&self) -> &AdmissionGate {
        &self.gate
    }

    /// Whether the requests of a service are counted and admitted by urgency.
    #[must_use]
    pub fn covers(&self, service: &ServiceName) -> bool {
        self.services.contains(service)
    }
}

impl App {
    /// Finds the services whose requests differ in urgency in a routing document.
    pub fn update_admission(&self, routing: &RouteTable) {
        let services = routing.services().iter();
        let with_model = services.filter(|service| service.model.is_some());
        let differing = with_model.filter(|service| routing.differs_in_urgency(&service.name));
        let names = differing.map(|service| service.name.clone());
        self.admission.lock().services = names.collect();
    }

    /// Admits a new stream, or refuses it as it is below the admission level. A stream that is resumed
    /// isn't asked.
    pub fn admit_stream(&self, call: &Call) -> Result<(), Refusal> {
        if !self.is_counted(call) {
            return Ok(());
        }
        let request = GateRequest {
            service: &call.service,
            urgency: call.urgency,
            workspace: call.workspace.as_ref(),
        };
        let now = self.clock.now();
        let admitted = {
            let mut admission = self.admission.lock();
            admission.gate.admit(&request, || call.digest(), now)
        };
        admitted.map_err(|refusal| {
            let urgency = call.urgency.to_string();
            let refusals = &self.metrics.below_level_refusals;
            refusals.with_label_values(&[urgency.as_str()]).inc();
            Refusal::below_level(refusal.return_ms)
        })
    }

    /// Records that the answer to a new stream has begun.
    pub fn record_admitted_stream(&self, call: &Call) {
        if self.is_counted(call) {
            let mut admission = self.admission.lock();
            admission.gate.record_begun(&call.service, call.urgency);
        }
    }

    /// Records the refusal of an admitted stream, if it was for lack of room.
    pub fn record_refused_stream(&self, call: &Call, refusal: Refusal) {
        if refusal.is_for_room() && self.is_counted(call) {
            let mut admission = self.admission.lock();
            admission.gate.record_full(&call.service, call.urgency);
        }
    }

    /// Takes the levels of a control that knows the reports of all entries.
    pub fn apply_admission(&self, others: &OtherEntriesLoad) {
        if !others.is_complete {
            return;
        }
        let now = self.clock.now();
        let valid_ms = report_valid_ms(others.entries + 1);
        let changes = {
            let mut admission = self.admission.lock();
            let gate = &mut admission.gate;
            gate.set_levels(&others.admission, valid_ms, now)
        };
        for level in &others.admission {
            self.set_level_metrics(&level.service, Some(level));
        }
        for change in &changes {
            self.set_level_metrics(&change.service, change.to.as_ref());
            log_change(change);
        }
    }

    /// Rank by which a request waits for room; the same for all requests of a service that don't differ.
    #[must_use]
    pub fn waiting_urgency(&self, call: &Call) -> u8 {
        let differs = self.admission.lock().covers(&call.service);
        if differs { call.urgency } else { 0 }
    }

    fn is_counted(&self, call: &Call) -> bool {
        call.head.last_event.is_none() && self.admission.lock().covers(&call.service)
    }

    fn set_level_metrics(&self, service: &ServiceName, level: Option<&AdmissionLevel>) {
        let urgency = level.map_or(EVERYTHING, |level| i64::from(level.urgency));
        let share = level.map_or(WHOLE_PERMILLE, |level| i64::from(level.share_permille));
        let labels = [service.as_str()];
        let metrics = &self.metrics;
        metrics
            .level_urgency
            .with_label_values(&labels)
            .set(urgency);
        metrics.level_share.with_label_values(&labels).set(share);
    }
}

fn log_change(change: &LevelChange) {
    let urgency = |level: &AdmissionLevel| level.urgency;
    info!(
        service = %change.service,
        from_urgency = change.from.as_ref().map(urgency),
        to_urgency = change.to.as_ref().map(urgency),
        share_permille = change.to.as_ref().map(|level| level.share_permille),
        least_permille = change.to.as_ref().map(|level| level.least_permille),
        former_age_ms = change.age_ms.0,
        "admission level changed"
    );
}
