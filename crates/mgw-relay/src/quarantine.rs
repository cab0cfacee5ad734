//! Requests under which targets end: what this entry has seen of them, and which it keeps from targets.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use mgw_peer::OthersReport;
use mgw_route::{BrokenSend, QuarantineChange, QuarantineUpdate, TargetRun};
use mgw_world::{Millis, Subject, Target};
use tracing::{info, warn};

use crate::app::App;
use crate::callers::Call;

impl App {
    /// Whether the entry knows what is quarantined. A process that can't ask a control goes on without that
    /// after a while.
    #[must_use]
    pub fn knows_quarantine(&self) -> bool {
        !self.is_starting() || self.quarantine.lock().is_informed()
    }

    /// Whether a request is kept from targets, because it or a part of its prompt is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, call: &Call, sends: u32) -> bool {
        let now = self.clock.now();
        let admitted = self.quarantine.lock().admit(call.subjects(), now);
        let Err(subject) = admitted else {
            return false;
        };
        self.metrics.quarantined_requests.inc();
        info!(
            id = %call.head.id,
            %subject,
            sends,
            "request kept from targets: it or a part of its prompt is quarantined"
        );
        true
    }

    /// Whether a request may be sent to a second target.
    #[must_use]
    pub fn may_repeat(&self, call: &Call) -> bool {
        self.quarantine.lock().may_repeat(call.subjects())
    }

    /// Records that a target's process ended under a request.
    pub fn record_target_end(&self, run: &TargetRun, send: &BrokenSend) {
        let mut quarantine = self.quarantine.lock();
        if !quarantine.record_end(&send.subjects, run, send.times) {
            return;
        }
        drop(quarantine);
        let now = self.clock.now();
        info!(
            target_name = %run.name,
            incarnation = %run.incarnation,
            subjects = %list_subjects(&send.subjects),
            sent_ms = (now - send.times.sent_at).0,
            ended_ms = (now - send.times.ended_at).0,
            "target ended under a request that hadn't been sound there"
        );
        self.report_due.notify_one();
        self.has_new_ends.store(true, Ordering::Relaxed);
    }

    /// Remembers a send whose target went silent. Whether its process has ended shows when another one
    /// serves at its address.
    pub fn keep_unresolved(&self, address: SocketAddr, run: TargetRun, send: BrokenSend) {
        self.unresolved_sends.lock().add(address, run, send);
    }

    /// Records the ends of targets at whose address another process serves now.
    pub fn resolve_sends_by_successors(&self, targets: &[Target]) {
        let mut unresolved = self.unresolved_sends.lock();
        if unresolved.is_empty() {
            return;
        }
        let runs: Vec<TargetRun> = targets.iter().map(TargetRun::from).collect();
        let addresses = targets.iter().map(|target| target.address);
        let ended = unresolved.resolve(addresses.zip(&runs), self.clock.now());
        drop(unresolved);
        for (run, send) in ended {
            self.record_target_end(&run, &send);
        }
    }

    /// Records that a stream began then and went on.
    pub fn record_sound_stream(&self, call: &Call, begun_at: Millis) {
        let mut quarantine = self.quarantine.lock();
        if quarantine.record_sound_stream(call.subjects(), begun_at) {
            self.report_due.notify_one();
        }
    }

    /// Records that a target answered a call and lived on.
    pub fn record_sound_call(&self, call: &Call) {
        let now = self.clock.now();
        let mut quarantine = self.quarantine.lock();
        if quarantine.record_sound(call.subjects(), now) {
            self.report_due.notify_one();
        }
    }

    /// Applies what the control told that collects the evidence.
    pub fn apply_quarantine(&self, others: &OthersReport) {
        let now = self.clock.now();
        let update = &others.quarantine;
        let change = self.quarantine.lock().update(update, now);
        self.report_change(&change, update);
    }

    /// Applies what another control told, as the one that collects the evidence didn't answer.
    pub fn apply_substitute_quarantine(&self, update: &QuarantineUpdate) {
        let now = self.clock.now();
        let change = self.quarantine.lock().update_by_substitute(update, now);
        self.report_change(&change, update);
    }

    fn report_change(&self, change: &QuarantineChange, update: &QuarantineUpdate) {
        for subject in &change.added {
            let mut suspects = update.suspects.iter();
            let suspect = suspects.find(|it| it.subject == *subject);
            warn!(
                %subject,
                revision = update.revision,
                ends = suspect.map(|it| it.ends),
                successive_ends = suspect.map(|it| it.successive_ends),
                first_end_ms = suspect.map(|it| it.first_end_age_ms.0),
                "quarantined: targets ended under it"
            );
        }
        for subject in &change.lifted {
            info!(%subject, revision = update.revision, "quarantine lifted");
        }
        if change.is_report_due {
            self.report_due.notify_one();
        }
        let quarantined = self.quarantine.lock().quarantined();
        let (requests, parts): (Vec<Subject>, Vec<Subject>) =
            quarantined.into_iter().partition(Subject::is_request);
        let to_gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.quarantined_parts.set(to_gauge(parts.len()));
        self.metrics
            .quarantined_digests
            .set(to_gauge(requests.len()));
    }
}

/// Writes subjects for log lines.
pub fn list_subjects(subjects: &[Subject]) -> String {
    let subjects: Vec<String> = subjects.iter().map(ToString::to_string).collect();
    subjects.join(",")
}
