//! Watches the other controls, so that the leader learns without delay of targets that announce
//! themselves to another control.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use mgw_peer::{Watch, watch_control};
use mgw_world::Millis;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::app::App;
use crate::group::list_other_controls;

/// Time between two refreshes of the list of controls.
const REFRESH_INTERVAL_MS: Millis = Millis(1_000);

/// Updates and returns the list of the other controls: those in the settings and the view and, in
/// an open group, where a member's name is its address, the voters in the membership on disk. The
/// latter are needed after a restart of all machines, when the view is still empty.
async fn refresh_controls(app: &App) -> Vec<SocketAddr> {
    let mut addresses = list_other_controls(app);
    if app.settings.open_group
        && let Some(report) = app.replica.describe().await
    {
        let members = report.membership.voters.iter();
        let members = members.filter_map(|id| id.name.parse::<SocketAddr>().ok());
        addresses.extend(members.filter(|address| *address != app.settings.peer_listen));
        addresses.sort_unstable();
        addresses.dedup();
    }
    app.other_controls.lock().clone_from(&addresses);
    addresses
}

fn refresh_entry_count(app: &App) {
    let now = app.clock.now();
    let entries = app.view.lock().count_presumed_entries(now);
    app.entries_in_view.store(entries, Ordering::Relaxed);
}

/// Watches each other control, also those found later, until `stop` is cancelled.
pub async fn watch_controls(app: Arc<App>, stop: CancellationToken) {
    let watch = Watch {
        view: Arc::clone(&app.view),
        pool: Arc::clone(&app.pool),
        clock: app.clock.clone(),
        changed: Arc::new(Notify::new()),
        on_controls: Arc::new(|_| {}),
        // A control gets routing documents through the log.
        on_routing_version: Arc::new(|_, _| {}),
    };
    let mut watched = BTreeSet::new();
    loop {
        refresh_entry_count(&app);
        let addresses = refresh_controls(&app).await;
        for address in addresses {
            if watched.insert(address) {
                tokio::spawn(watch_control(watch.clone(), address, stop.clone()));
            }
        }
        let pausing = sleep(REFRESH_INTERVAL_MS.to_duration());
        if stop.run_until_cancelled(pausing).await.is_none() {
            return;
        }
    }
}
