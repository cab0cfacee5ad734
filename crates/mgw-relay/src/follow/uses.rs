//! Tells the other entries how much of each target this one uses.

use std::net::SocketAddr;
use std::sync::Arc;

use mgw_member::NodeRole;
use mgw_world::Millis;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::app::App;

/// Shortest time between two words on the use.
const WORD_MS: Millis = Millis(400);
/// Time for each entry that shares the targets: the control that keeps the words takes a bounded
/// number of them a second, however many entries there are.
const WORD_PER_ENTRY_MS: Millis = Millis(5);
/// Time within which the control must answer.
const ANSWER_LIMIT_MS: Millis = Millis(500);

/// Exchanges words on the use of targets until the token is cancelled.
pub async fn share_uses(app: Arc<App>, ended: CancellationToken) {
    loop {
        let pause_ms = WORD_MS.max(WORD_PER_ENTRY_MS.times(u64::from(app.entries())));
        let pausing = sleep(pause_ms.to_duration());
        if ended.run_until_cancelled(pausing).await.is_none() {
            return;
        }
        if let Some(keeper) = find_keeper(&app) {
            exchange(&app, keeper).await;
        }
    }
}

async fn exchange(app: &App, keeper: SocketAddr) {
    let entry = app.settings.name.clone();
    let word = app.own_word();
    let answer = app
        .peers
        .call(keeper, ANSWER_LIMIT_MS, |client, context| async move {
            client.share_use(context, entry, word).await
        })
        .await;
    // Without an answer the last one counts for a while, then the number of entries.
    match answer {
        Ok(Ok(others)) => app.set_others(&others),
        _ => app.miss_others(),
    }
}

/// The control that keeps the words: the first by address that is heard, so that all entries ask
/// the same one.
fn find_keeper(app: &App) -> Option<SocketAddr> {
    let now = app.clock.now();
    let view = app.view.lock();
    let nodes = view.nodes(now);
    let controls = nodes.iter();
    let alive = controls.filter(|node| node.info.role == NodeRole::Control && node.is_alive);
    alive.map(|node| node.info.peer_address).min()
}
