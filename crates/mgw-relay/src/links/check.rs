//! Checks whether the entry's own links work, by connections to targets that are drawn at random.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use mgw_world::Millis;
use rand::seq::IndexedRandom;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use super::health::{LinkChange, LinkCheck};
use crate::app::App;
use crate::targets::PooledConnection;

/// Number of targets that are connected to in one check.
const CHECKED_TARGETS: usize = 5;
/// Time within which the first target of a check accepts if it and the links are sound.
const FIRST_MS: Millis = Millis(25);
/// Time between two checks while the links are cut.
const CUT_INTERVAL_MS: Millis = Millis(500);

/// Checks the links when a connection has failed, and at intervals while they are cut, until the token is cancelled.
pub async fn run_link_checks(app: Arc<App>, ended: CancellationToken) {
    let wait = async || {
        let due = app.links.check_due.notified();
        if app.links.health().is_cut() {
            let _ = timeout(CUT_INTERVAL_MS.to_duration(), due).await;
        } else {
            due.await;
        }
    };
    while ended.run_until_cancelled(wait()).await.is_some() {
        check(&app).await;
    }
}

async fn check(app: &App) {
    let targets = choose_targets(app);
    let asked = targets.len();
    let pool = &app.connection_pool;
    let reached = connect_to_enough(app, &targets).await;
    let check = LinkCheck {
        asked,
        reached: reached.len(),
    };
    let was_cut = app.links.health().cut_since();
    match app.links.record(check, app.clock.now()) {
        Some(LinkChange::Cut) => {
            warn!(
                asked,
                "own links to the targets are cut; asking other entries"
            );
            pool.drop_all_idle();
            app.clear_suspicions();
        }
        Some(LinkChange::Joined) => {
            let cut_ms = was_cut.map_or(0, |since| (app.clock.now() - since).0);
            info!(
                asked,
                reached = check.reached,
                cut_ms,
                "own links to the targets work again"
            );
        }
        None => {}
    }
    let is_cut = app.links.health().is_cut();
    app.metrics.links_cut.set(i64::from(is_cut));
    if !is_cut {
        reached
            .into_iter()
            .for_each(|connection| pool.put_back(connection));
    }
}

/// Connects to as many of the targets as it takes to know. Where one is enough, the others are left alone unless the first
/// one doesn't accept at once.
async fn connect_to_enough(app: &App, targets: &[SocketAddr]) -> Vec<PooledConnection> {
    let pool = &app.connection_pool;
    let needed = app.links.health().needed(targets.len());
    let mut reached = Vec::new();
    let mut opening = FuturesUnordered::new();
    let (first, others) = targets.split_at(targets.len().min(needed));
    opening.extend(first.iter().map(|address| pool.open(*address)));
    if let Ok(Some(Ok(connection))) = timeout(FIRST_MS.to_duration(), opening.next()).await {
        reached.push(connection);
    }
    if reached.len() < needed {
        opening.extend(others.iter().map(|address| pool.open(*address)));
    }
    while reached.len() < needed
        && let Some(opened) = opening.next().await
    {
        reached.extend(opened.ok());
    }
    reached
}

/// Draws the targets to connect to.
fn choose_targets(app: &App) -> Vec<SocketAddr> {
    let addresses = app.target_addresses();
    let drawn = addresses.choose_multiple(&mut rand::rng(), CHECKED_TARGETS);
    drawn.copied().collect()
}
