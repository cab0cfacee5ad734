//! Collects the evidence of entries on parts of prompts, and commits the verdicts to the log.

use std::sync::Arc;

use mgw_route::{EvidenceReport, QuarantineUpdate, SuspectPart};
use mgw_state::{Action, Reply};
use tracing::{info, warn};

use crate::app::App;
use crate::handle::submit_anywhere;

/// Adds an entry's evidence and returns what the entry is to know. Verdicts are in force for entries
/// before they are committed, so that they reach them without a quorum as well.
pub fn exchange_evidence(app: &Arc<App>, entry: &str, report: &EvidenceReport) -> QuarantineUpdate {
    let now = app.clock.now();
    let update = {
        let state = app.replica.state.read();
        let committed = state.quarantine();
        let mut table = app.quarantine.lock();
        let parts = committed.parts().map(|it| it.part);
        table.set_quarantined(committed.revision(), parts, now);
        table.exchange(entry, report, now)
    };
    for suspect in update.uncommitted() {
        if app.quarantining.lock().insert(suspect.part) {
            tokio::spawn(commit_verdict(Arc::clone(app), *suspect));
        }
    }
    update
}

/// Commits a verdict. After a failure the next report of an entry leads to another attempt.
async fn commit_verdict(app: Arc<App>, suspect: SuspectPart) {
    let evidence = format!(
        "{} targets ended under it, {} of them one after the other, the first {} before the verdict",
        suspect.ends, suspect.successive_ends, suspect.first_end_age_ms
    );
    let part = suspect.part;
    let action = Action::QuarantinePart {
        part,
        evidence: evidence.clone(),
    };
    match submit_anywhere(&app, action).await {
        Ok(Reply::Quarantine { changed }) => {
            info!(%part, evidence, changed, "part of prompts quarantined");
        }
        Ok(other) => warn!(%part, ?other, "unexpected reply to a quarantine"),
        Err(error) => warn!(%part, evidence, %error, "quarantine not confirmed"),
    }
    app.quarantining.lock().remove(&part);
}
