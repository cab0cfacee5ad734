//! Exchanges reports with the other entries: how much of each target an entry uses, under which parts of
//! prompts targets have ended, and which rate limits targets have stated.

use std::net::SocketAddr;
use std::sync::Arc;

use mgw_member::NodeRole;
use mgw_peer::{EntryReport, OthersReport};
use mgw_route::report_interval_ms;
use mgw_world::Millis;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::app::App;

/// Timeout of the exchange with the control.
const ANSWER_TIMEOUT_MS: Millis = Millis(500);
/// Shortest time between two exchanges.
const MIN_INTERVAL_MS: Millis = Millis(100);

/// Exchanges reports until the token is cancelled: at intervals, and soon after a target has ended under
/// a request or has changed its rate limit.
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
        if let Some(control) = find_load_control(&app) {
            exchange(&app, control).await;
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

async fn exchange(app: &App, control: SocketAddr) {
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
        _ => app.record_missed_exchange(),
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

/// The control that collects the load reports: the live control with the lowest address, so that
/// all entries use the same one.
fn find_load_control(app: &App) -> Option<SocketAddr> {
    let now = app.clock.now();
    let view = app.view.lock();
    let nodes = view.nodes(now);
    let controls = nodes.iter();
    let alive = controls.filter(|node| node.info.role == NodeRole::Control && node.is_alive);
    alive.map(|node| node.info.peer_address).min()
}
