//! Exchanges reports with the other entries: how much of each target an entry uses, under which requests
//! targets have ended, and which rate limits targets have stated.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use mgw_member::NodeRole;
use mgw_peer::{EntryReport, OthersReport};
use mgw_route::report_interval_ms;
use mgw_world::Millis;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tracing::debug;

use crate::app::App;

/// Timeout of the exchange with the control.
const ANSWER_TIMEOUT_MS: Millis = Millis(500);
/// Shortest time between two exchanges.
const MIN_INTERVAL_MS: Millis = Millis(100);
/// Number of controls that may take the place of the one that collects the reports: at most two are lost at
/// once.
const SUBSTITUTES: usize = 2;

/// Exchanges reports until the token is cancelled: at intervals, and soon after a target has ended under
/// a request, has changed its rate limit or has refused a request for lack of room.
pub async fn run_load_exchange(app: Arc<App>, ended: CancellationToken) {
    loop {
        let interval_ms = if app.quarantine.lock().is_informed() {
            report_interval_ms(app.entries())
        } else {
            MIN_INTERVAL_MS
        };
        if ended
            .run_until_cancelled(pause(&app, interval_ms))
            .await
            .is_none()
        {
            return;
        }
        let controls = list_live_controls(&app);
        if let Some((control, others)) = controls.split_first() {
            let substitutes = &others[..others.len().min(SUBSTITUTES)];
            copy_new_evidence(&app, substitutes);
            exchange(&app, *control, substitutes).await;
        }
    }
}

/// Waits for the interval, or until a report is due but at least for the shortest interval.
async fn pause(app: &App, interval_ms: Millis) {
    sleep(MIN_INTERVAL_MS.to_duration()).await;
    let rest_ms = interval_ms - MIN_INTERVAL_MS;
    // A report that is due ends the pause early.
    let _ = timeout(rest_ms.to_duration(), app.report_due.notified()).await;
}

async fn exchange(app: &App, control: SocketAddr, substitutes: &[SocketAddr]) {
    let entry = app.settings.name.clone();
    let asked_at = app.clock.now();
    let report = own_report(app, asked_at);
    let answer = app
        .peers
        .call(control, ANSWER_TIMEOUT_MS, |client, context| async move {
            client.share_use(context, entry, report).await
        })
        .await;
    // Without an answer the last one stays valid for a while, after that the number of entries is
    // all that is known of the others.
    match answer {
        Ok(Ok(others)) => apply_report(app, &others, asked_at),
        _ => {
            app.record_missed_exchange();
            exchange_evidence(app, substitutes).await;
        }
    }
}

/// Exchanges evidence with the first of the substitutes that responds.
async fn exchange_evidence(app: &App, substitutes: &[SocketAddr]) {
    for control in substitutes {
        let entry = app.settings.name.clone();
        let report = app.quarantine.lock().report(app.clock.now());
        let answer = app
            .peers
            .call(*control, ANSWER_TIMEOUT_MS, |client, context| async move {
                client.exchange_evidence(context, entry, report).await
            })
            .await;
        if let Ok(Ok(update)) = answer {
            app.apply_substitute_quarantine(&update);
            return;
        }
    }
}

/// Sends the evidence to the substitutes if targets have ended since it was last sent, so that nothing has
/// to be collected anew when the control is lost that collects it.
fn copy_new_evidence(app: &Arc<App>, substitutes: &[SocketAddr]) {
    if !app.has_new_ends.swap(false, Ordering::Relaxed) {
        return;
    }
    let report = app.quarantine.lock().report(app.clock.now());
    for control in substitutes.iter().copied() {
        let (app, report) = (Arc::clone(app), report.clone());
        tokio::spawn(async move {
            let entry = app.settings.name.clone();
            let copied = app
                .peers
                .call(control, ANSWER_TIMEOUT_MS, |client, context| async move {
                    client.copy_evidence(context, entry, report).await
                })
                .await;
            if !matches!(copied, Ok(Ok(()))) {
                debug!(%control, "evidence of ended targets not copied to a control");
            }
        });
    }
}

fn own_report(app: &App, now: Millis) -> EntryReport {
    EntryReport {
        load: app.own_load(),
        evidence: app.quarantine.lock().report(now),
        // Until the control's update the entry has no tokens.
        limits: app.rate_limits.lock().report(app.entries(), now),
    }
}

fn apply_report(app: &App, others: &OthersReport, asked_at: Millis) {
    app.set_other_entries_load(&others.load);
    app.apply_quarantine(others);
    app.apply_limits(others, asked_at);
}

/// The live controls in order of their addresses. The first one collects the reports, so that all entries
/// use the same one.
fn list_live_controls(app: &App) -> Vec<SocketAddr> {
    let now = app.clock.now();
    let view = app.view.lock();
    let nodes = view.nodes(now);
    let controls = nodes.iter();
    let alive = controls.filter(|node| node.info.role == NodeRole::Control && node.is_alive);
    let mut addresses: Vec<SocketAddr> = alive.map(|node| node.info.peer_address).collect();
    addresses.sort_unstable();
    addresses
}
