//! Connections to targets, as requests and probes get them: over the entry's own links, or over those of another
//! entry while its own are cut.

use std::io::{ErrorKind, Result};
use std::net::SocketAddr;

use mgw_peer::{TunnelFailure, TunnelRefusal, TunnelRequest};
use mgw_route::TargetRun;
use mgw_world::Millis;
use tracing::info;

use super::peers::choose_peers;
use crate::app::App;
use crate::targets::PooledConnection;

/// Time within which another entry must open a tunnel: a connection to it, and its own to the target.
const TUNNEL_TIMEOUT_MS: Millis = Millis(800);

/// A connection to a target that a request or a probe needs.
#[derive(Debug, Clone, Copy)]
pub struct TargetLink<'a> {
    /// Id of the request, for log lines.
    pub id: &'a str,
    /// The target in its incarnation.
    pub run: &'a TargetRun,
    /// Address at which the target accepts calls.
    pub address: SocketAddr,
    /// Whether the connection must be new, so that it can't hold an answer to an earlier request.
    pub needs_new_connection: bool,
    /// How long the connection is needed at most.
    pub time_left_ms: Millis,
}

impl App {
    /// Returns an idle connection to a target that still looks open, or else a new one. An error is the target's: the
    /// entry's own links work, or another entry can't connect to the target either.
    ///
    /// # Errors
    /// When no connection can be established. Nothing was sent then.
    pub async fn connect(&self, link: &TargetLink<'_>) -> Result<PooledConnection> {
        let connected = self.connect_by_any_way(link).await;
        let outcome = match &connected {
            Ok(connection) if connection.is_tunnelled => "tunnelled",
            Ok(connection) if connection.is_reused => "reused",
            Ok(_) => "opened",
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => "refused",
            Err(error) if error.kind() == ErrorKind::TimedOut => "timed out",
            Err(_) => "failed",
        };
        self.metrics.count_connection(outcome);
        connected
    }

    async fn connect_by_any_way(&self, link: &TargetLink<'_>) -> Result<PooledConnection> {
        if !self.links.health().is_cut() {
            if !link.needs_new_connection
                && let Some(idle) = self.connection_pool.take_idle(link.address)
            {
                return Ok(idle);
            }
            let began_at = self.clock.now();
            let opened = self.connection_pool.open(link.address).await;
            let Err(error) = opened else {
                self.links.record_opened(self.clock.now());
                return opened;
            };
            let health = self.links.explain_failure(began_at).await;
            if !health.is_cut() {
                return Err(error);
            }
        }
        self.open_tunnel(link).await
    }

    /// Asks one entry after the other for a connection to the target. An entry that works and can't connect to the
    /// target either has the last word.
    async fn open_tunnel(&self, link: &TargetLink<'_>) -> Result<PooledConnection> {
        let request = TunnelRequest {
            id: link.id.to_owned(),
            entry: self.settings.name.clone(),
            target: link.run.clone(),
            address: link.address,
            time_left_ms: link.time_left_ms,
        };
        for peer in choose_peers(self) {
            let opening = self.peers.open_tunnel(peer, TUNNEL_TIMEOUT_MS, &request);
            let target_name = &link.run.name;
            let failure = match opening.await {
                Ok(stream) => {
                    info!(
                        id = link.id,
                        %target_name,
                        %peer,
                        "tunnel to a target opened by another entry"
                    );
                    let tunnel = self.connection_pool.adopt_tunnel(link.address, stream);
                    return tunnel.await;
                }
                Err(failure) => failure,
            };
            info!(id = link.id, %target_name, %peer, %failure, "no tunnel to a target");
            match failure {
                TunnelFailure::Refused(TunnelRefusal::TargetRefused) => {
                    return Err(ErrorKind::ConnectionRefused.into());
                }
                TunnelFailure::Refused(TunnelRefusal::TargetUnreachable) => {
                    return Err(ErrorKind::TimedOut.into());
                }
                // Another entry may know the target.
                TunnelFailure::Refused(TunnelRefusal::NotUsable) => {}
                _ => self.links.rests.lock().begin(peer, self.clock.now()),
            }
        }
        Err(ErrorKind::NotConnected.into())
    }
}
