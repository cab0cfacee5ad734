//! The routing document: replaced and read through whichever control is asked.

use std::net::SocketAddr;

use mgw_peer::{CallFailure, PeerError, RoutingRequest};
use mgw_routing::RoutingDocument;
use mgw_state::{Action, Command, Reply};
use mgw_world::{Clock, NodeName, RoutingVersion};
use tracing::{info, warn};

use super::Gateway;
use crate::app::App;

impl Gateway {
    /// Commits a document. One whose version isn't higher than that held changes nothing. Gives
    /// the version held then.
    ///
    /// # Errors
    /// When no leader is known or no quorum confirmed in time; the document may still be accepted.
    pub async fn replace_routing(
        &self,
        document: RoutingDocument,
    ) -> Result<RoutingVersion, PeerError> {
        let version = document.version;
        let held = self.app.replica.state.read().routing().version;
        if held >= version {
            info!(%version, %held, "routing document is held already");
            return Ok(held);
        }
        let action = Action::ReplaceRouting(document);
        let answer = match self.app.replica.submit(action.clone()).await {
            Err(PeerError::NotLeader { leader }) => self.submit_to(leader, action).await,
            answer => answer,
        };
        match answer {
            Ok(Reply::Routing { version: held }) => {
                info!(%version, %held, "routing document accepted");
                Ok(held)
            }
            Ok(other) => {
                warn!(%version, ?other, "unexpected reply to a routing document");
                Err(PeerError::NotConfirmed)
            }
            Err(error) => {
                warn!(%version, %error, "routing document not confirmed");
                Err(error)
            }
        }
    }

    /// The document of the highest version, confirmed by a quorum.
    ///
    /// # Errors
    /// When no leader is known or no quorum confirmed in time.
    pub async fn read_routing(&self) -> Result<RoutingDocument, PeerError> {
        match self.app.replica.confirm_read().await {
            Err(PeerError::NotLeader { leader }) => self.read_from(leader).await,
            confirmed => confirmed.map(|()| self.app.replica.state.read().routing().clone()),
        }
    }

    async fn submit_to(
        &self,
        leader: Option<NodeName>,
        action: Action,
    ) -> Result<Reply, PeerError> {
        let address = find_leader(&self.app, leader)?;
        let command = Command {
            at_unix_ms: Clock::wall(),
            action,
        };
        let limit = self.app.settings.quorum.commit_limit_ms;
        let answer = self
            .app
            .pool
            .call(address, limit, |client, context| async move {
                client.submit(context, command).await
            })
            .await;
        answer.map_err(to_peer_error)?
    }

    async fn read_from(&self, leader: Option<NodeName>) -> Result<RoutingDocument, PeerError> {
        let address = find_leader(&self.app, leader)?;
        let own = self.app.replica.state.read().routing().clone();
        let question = RoutingRequest {
            have: own.version,
            confirmed: true,
        };
        let limit = self.app.settings.quorum.commit_limit_ms;
        let answer = self
            .app
            .pool
            .call(address, limit, |client, context| async move {
                client.routing(context, question).await
            })
            .await;
        let newest = answer.map_err(to_peer_error)??;
        Ok(newest.unwrap_or(own))
    }
}

fn find_leader(app: &App, leader: Option<NodeName>) -> Result<SocketAddr, PeerError> {
    let name = leader.ok_or(PeerError::NotLeader { leader: None })?;
    let address = app.settings.address_of(name.as_str());
    let address = address.or_else(|| name.as_str().parse().ok());
    address.ok_or(PeerError::NotLeader { leader: Some(name) })
}

fn to_peer_error(failure: CallFailure) -> PeerError {
    match failure {
        CallFailure::Refused(error) => error,
        CallFailure::NothingListens | CallFailure::NotConnected | CallFailure::NoAnswer => {
            PeerError::NotConfirmed
        }
    }
}
