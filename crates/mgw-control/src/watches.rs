//! Watches the other controls, so that the leader hears at once of targets that announce themselves
//! elsewhere.

use std::collections::BTreeSet;
use std::sync::Arc;

use mgw_peer::{Watch, watch_control};
use mgw_world::Millis;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::app::App;
use crate::duties::list_controls;

/// Time between two looks for controls that aren't watched yet.
const LOOK_MS: Millis = Millis(1_000);

/// Starts a watch of each other control until the token is cancelled.
pub async fn watch_controls(app: Arc<App>, ended: CancellationToken) {
    let watch = Watch {
        view: Arc::clone(&app.view),
        pool: Arc::clone(&app.pool),
        clock: app.clock.clone(),
        changed: Arc::new(Notify::new()),
        // Documents come through the log.
        heard_routing: Arc::new(|_, _| {}),
    };
    let mut watched = BTreeSet::new();
    loop {
        for address in list_controls(&app) {
            if watched.insert(address) {
                tokio::spawn(watch_control(watch.clone(), address, ended.clone()));
            }
        }
        let pausing = sleep(LOOK_MS.to_duration());
        if ended.run_until_cancelled(pausing).await.is_none() {
            return;
        }
    }
}
