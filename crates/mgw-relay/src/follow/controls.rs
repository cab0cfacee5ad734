//! Watches all known controls.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use mgw_member::NodeRole;
use mgw_peer::{Watch, watch_control};
use mgw_world::Millis;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::RoutingUpdates;
use crate::app::App;

/// Time between two checks for controls that aren't watched yet.
const CHECK_INTERVAL_MS: Millis = Millis(500);

/// Reads the addresses of controls from the settings again; empty when they can't be read.
pub type ReloadControls = Box<dyn Fn() -> Vec<SocketAddr> + Send + Sync>;

/// Starts a watch of each control that the settings, the view or another control name. Reads the
/// settings again on a reload, and as long as no control is alive.
pub async fn follow_controls(
    app: Arc<App>,
    updates: RoutingUpdates,
    reload_controls: ReloadControls,
    ended: CancellationToken,
) {
    let versions = updates.clone();
    let named = Arc::new(NamedControls::default());
    let named_controls = Arc::clone(&named);
    let watch = Watch {
        view: Arc::clone(&app.view),
        pool: Arc::clone(&app.peers),
        clock: app.clock.clone(),
        changed: Arc::clone(&app.targets_changed),
        on_controls: Arc::new(move |controls| named_controls.add(controls)),
        on_routing_version: Arc::new(move |control, version| {
            versions.record_version(control, version);
        }),
    };
    let mut watched: BTreeSet<SocketAddr> = BTreeSet::new();
    let mut is_reload = false;
    loop {
        let newly_named = named.changed.notified();
        let mut addresses = control_addresses(&app);
        addresses.extend(named.addresses.lock().iter());
        if is_reload || !has_live_control(&app) {
            addresses.extend(reload_controls());
        }
        for address in addresses {
            if watched.insert(address) {
                tokio::spawn(watch_control(watch.clone(), address, ended.clone()));
            }
        }
        tokio::select! {
            () = ended.cancelled() => return,
            () = newly_named => is_reload = false,
            () = app.shutdown.reload.notified() => is_reload = true,
            () = sleep(CHECK_INTERVAL_MS.to_duration()) => is_reload = false,
        }
    }
}

/// Controls that other controls have named, and a notification for each change.
#[derive(Debug, Default)]
struct NamedControls {
    addresses: Mutex<BTreeSet<SocketAddr>>,
    changed: Notify,
}

impl NamedControls {
    fn add(&self, controls: &[SocketAddr]) {
        let mut addresses = self.addresses.lock();
        let before = addresses.len();
        addresses.extend(controls);
        if addresses.len() > before {
            self.changed.notify_one();
        }
    }
}

/// Addresses of the controls in the settings and in the view.
fn control_addresses(app: &App) -> Vec<SocketAddr> {
    let now = app.clock.now();
    let view = app.view.lock();
    let nodes = view.nodes(now);
    let controls = nodes.iter();
    let controls = controls.filter(|node| node.info.role == NodeRole::Control);
    let from_view = controls.map(|node| node.info.peer_address);
    let mut addresses = app.settings.controls.clone();
    addresses.extend(from_view);
    addresses
}

/// Whether the view has a control that is alive.
fn has_live_control(app: &App) -> bool {
    let now = app.clock.now();
    let view = app.view.lock();
    let nodes = view.nodes(now);
    let mut controls = nodes.iter();
    controls.any(|node| node.info.role == NodeRole::Control && node.is_alive)
}
