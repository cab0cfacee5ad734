//! Watches the other controls, so that the leader hears at once of targets that announce themselves
//! elsewhere.

use std::collections::BTreeSet;
use std::net::SocketAddr;
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

/// Brings the list of the other controls up to date: those that were heard of, and, in a group whose
/// members are named by their addresses, the members on the disk. After a restart of all machines
/// nothing has been heard yet.
async fn know_controls(app: &App) -> Vec<SocketAddr> {
    let mut known = list_controls(app);
    if app.settings.open_group
        && let Some(report) = app.replica.describe().await
    {
        let members = report.membership.voters.iter();
        let members = members.filter_map(|id| id.name.parse::<SocketAddr>().ok());
        known.extend(members.filter(|address| *address != app.settings.peer_listen));
        known.sort_unstable();
        known.dedup();
    }
    app.controls.lock().clone_from(&known);
    known
}

/// Starts a watch of each other control until the token is cancelled.
pub async fn watch_controls(app: Arc<App>, ended: CancellationToken) {
    let watch = Watch {
        view: Arc::clone(&app.view),
        pool: Arc::clone(&app.pool),
        clock: app.clock.clone(),
        changed: Arc::new(Notify::new()),
        on_controls: Arc::new(|_| {}),
        // Documents come through the log.
        on_routing_version: Arc::new(|_, _| {}),
    };
    let mut watched = BTreeSet::new();
    loop {
        let known = know_controls(&app).await;
        for address in known {
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
