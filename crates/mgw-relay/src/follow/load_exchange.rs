//! Tells the other entries how much of each target this one uses.

use std::net::SocketAddr;
use std::sync::Arc;

use mgw_member::NodeRole;
use mgw_world::Millis;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::app::App;

/// Shortest time between two words on the use.
const EXCHANGE_INTERVAL_MS: Millis = Millis(400);
/// Time for each entry that shares the targets: the control that keeps the words takes a bounded
/// number of them a second, however many entries there are.
const EXCHANGE_INTERVAL_PER_ENTRY_MS: Millis = Millis(5);
/// Time within which the control must answer.
const ANSWER_TIMEOUT_MS: Millis = Millis(500);

/// Exchanges words on the use of targets until the token is cancelled.
pub async fn run_load_exchange(app: Arc<App>, ended: CancellationToken) {
    loop {
        let pause_ms = EXCHANGE_INTERVAL_MS
            .max(EXCHANGE_INTERVAL_PER_ENTRY_MS.times(u64::from(app.entries())));
        let pausing = sleep(pause_ms.to_duration());
        if ended.run_until_cancelled(pausing).await.is_none() {
            return;
        }
        if let Some(control) = find_load_control(&app) {
            exchange(&app, control).await;
        }
    }
}

async fn exchange(app: &App, control: SocketAddr) {
    let entry = app.settings.name.clone();
    let load = app.own_load();
    let answer = app
        .peers
        .call(control, ANSWER_TIMEOUT_MS, |client, context| async move {
            client.share_use(context, entry, load).await
        })
        .await;
    // Without an answer the last one counts for a while, then the number of entries.
    match answer {
        Ok(Ok(other_entries)) => app.set_other_entries_load(&other_entries),
        _ => app.record_missed_exchange(),
    }
}

/// The control that keeps the words: the first by address that is heard, so that all entries ask
/// the same one.
fn find_load_control(app: &App) -> Option<SocketAddr> {
    let now = app.clock.now();
    let view = app.view.lock();
    let nodes = view.nodes(now);
    let controls = nodes.iter();
    let alive = controls.filter(|node| node.info.role == NodeRole::Control && node.is_alive);
    alive.map(|node| node.info.peer_address).min()
}
