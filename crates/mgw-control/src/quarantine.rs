//! Collects the evidence of entries on what targets end under, and commits the verdicts to the log.

use std::sync::Arc;

use mgw_route::{EvidenceReport, QuarantineUpdate, Suspect};
use mgw_state::{Action, Reply};
use mgw_world::{OperatorName, Subject};
use tracing::{info, warn};

use crate::app::App;
use crate::handle::submit_anywhere;

/// Adds an entry's evidence and returns what the entry is to know. Verdicts are in force for entries
/// before they are committed, so that they reach them without a quorum as well.
pub fn exchange_evidence(app: &Arc<App>, entry: &str, report: &EvidenceReport) -> QuarantineUpdate {
    let now = app.clock.now();
    let (update, to_lift) = {
        let state = app.replica.state.read();
        let committed = state.quarantine();
        let mut table = app.quarantine.lock();
        let subjects = committed.subjects().map(|it| it.subject);
        table.set_quarantined(committed.revision(), subjects, now);
        let update = table.exchange(entry, report, now);
        (update, table.to_lift())
    };
    for subject in to_lift {
        if app.quarantining.lock().insert(subject) {
            tokio::spawn(lift_after_trial(Arc::clone(app), subject));
        }
    }
    for suspect in update.to_commit() {
        if app.quarantining.lock().insert(suspect.subject) {
            tokio::spawn(commit_verdict(Arc::clone(app), *suspect));
        }
    }
    update
}

/// Keeps the evidence of an entry that exchanges reports with another control.
pub fn copy_evidence(app: &App, entry: &str, report: &EvidenceReport) {
    let now = app.clock.now();
    app.quarantine.lock().record(entry, report, now);
}

/// Commits a verdict. After a failure the next report of an entry leads to another attempt.
async fn commit_verdict(app: Arc<App>, suspect: Suspect) {
    let evidence = format!(
        "{} targets ended under it, {} of them one after the other, the first {} before the verdict",
        suspect.ends, suspect.successive_ends, suspect.first_end_age_ms
    );
    let subject = suspect.subject;
    let action = Action::Quarantine {
        subject,
        evidence: evidence.clone(),
    };
    match submit_anywhere(&app, action).await {
        Ok(Reply::Quarantine { changed }) => {
            info!(%subject, evidence, changed, "quarantined");
        }
        Ok(other) => warn!(%subject, ?other, "unexpected reply to a quarantine"),
        Err(error) => warn!(%subject, evidence, %error, "quarantine not confirmed"),
    }
    app.quarantining.lock().remove(&subject);
}

/// Commits that a request leaves the quarantine because it was sound when it was tried. After a failure the
/// next report of an entry leads to another attempt.
async fn lift_after_trial(app: Arc<App>, subject: Subject) {
    let operator = OperatorName::default();
    match submit_anywhere(&app, Action::Lift { operator, subject }).await {
        Ok(_) => info!(%subject, "quarantine lifted: the request was sound in its trial"),
        Err(error) => warn!(%subject, %error, "end of a quarantine not confirmed"),
    }
    app.quarantining.lock().remove(&subject);
}
