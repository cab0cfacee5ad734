//! Fetches accepted configurations and drains from the controls and puts them in force.

use std::sync::Arc;

use mgw_contract::operator::DrainRequest;
use mgw_peer::{ConfigRequest, ConfigResponse};
use mgw_world::{Millis, Revision};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::app::App;

/// How long a control may wait for a newer revision before it answers (long polling).
const LONG_POLL_MS: Millis = Millis(1_000);
/// Pause before the next call after a control gave no answer.
const RETRY_PAUSE_MS: Millis = Millis(100);

/// Asks the controls for newer revisions until the process ends.
pub async fn follow_config(app: Arc<App>) {
    let mut drains = Vec::new();
    let mut ask_full = false;
    loop {
        let config = app.config.load();
        let question = ConfigRequest {
            have: if ask_full {
                Revision(0)
            } else {
                config.revision
            },
            digest: if ask_full { None } else { app.config.digest() },
            drains: drains.clone(),
            wait_ms: LONG_POLL_MS,
        };
        match app.controls.ask_config(question).await {
            Ok(answer) => {
                app.record_quorum();
                drains = answer.drains.clone();
                ask_full = !apply_answer(&app, answer);
            }
            Err(_) => sleep(RETRY_PAUSE_MS.to_duration()).await,
        }
        let age = i64::try_from(app.quorum_age().0).unwrap_or(i64::MAX);
        app.metrics.config_age_ms.set(age);
    }
}

/// Puts the drains and the update of an answer in force; returns false when the update does not fit
/// and the full configuration must be fetched.
fn apply_answer(app: &App, answer: ConfigResponse) -> bool {
    apply_drains(app, &answer.drains);
    let Some(update) = answer.update else {
        return true;
    };
    match app.config.apply(update) {
        Ok(changed) => {
            if changed {
                put_in_force(app);
            }
            true
        }
        Err(error) => {
            warn!(%error, "can't apply the update; requesting the full configuration");
            false
        }
    }
}

/// Passes the configuration in force on to path choice, the retry budget and the view.
fn put_in_force(app: &App) {
    let config = app.config.load();
    {
        let mut router = app.router.lock();
        router.update_models(config.inventory.models.iter().cloned());
        router.update_links(config.inventory.links.iter().cloned());
    }
    let retry_rate = config.inventory.rules.requests.retry_budget_percent;
    app.retries.lock().set_rate(retry_rate);
    app.members.view.lock().set_revision(config.revision);
    app.metrics
        .revision
        .set(i64::try_from(config.revision.0).unwrap_or(i64::MAX));
    info!(revision = %config.revision, "configuration in force");
}

/// Records the drained targets; starts the shutdown if this entry is drained.
fn apply_drains(app: &App, drains: &[DrainRequest]) {
    let mut targets = app.drained_targets.lock();
    targets.clear();
    for drain in drains {
        match drain {
            DrainRequest::Target(name) => {
                targets.insert(name.clone());
            }
            DrainRequest::Entry(name) if *name == app.settings.name => app.start_leaving(),
            DrainRequest::Entry(_) => {}
        }
    }
}
