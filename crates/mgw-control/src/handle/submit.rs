//! Commits actions from any control, through the leader.

use std::net::SocketAddr;

use mgw_peer::{CallFailure, PeerError};
use mgw_state::{Action, Command, Reply};
use mgw_world::{Clock, NodeName};

use crate::app::App;

/// Commits an action here if this control leads, else at the leader.
pub async fn submit_anywhere(app: &App, action: Action) -> Result<Reply, PeerError> {
    match app.replica.submit(action.clone()).await {
        Err(PeerError::NotLeader { leader }) => submit_to(app, leader, action).await,
        reply => reply,
    }
}

async fn submit_to(
    app: &App,
    leader: Option<NodeName>,
    action: Action,
) -> Result<Reply, PeerError> {
    let address = leader_address(app, leader)?;
    let command = Command {
        at_unix_ms: Clock::wall(),
        action,
    };
    let call_timeout = app.settings.quorum.commit_limit_ms;
    let response = app
        .pool
        .call(address, call_timeout, |client, context| async move {
            client.submit(context, command).await
        })
        .await;
    response.map_err(to_peer_error)?
}

/// The leader's address: by the settings, else its name where that is an address (open group).
pub fn leader_address(app: &App, leader: Option<NodeName>) -> Result<SocketAddr, PeerError> {
    let name = leader.ok_or(PeerError::NotLeader { leader: None })?;
    let address = app.settings.address_of(name.as_str());
    let address = address.or_else(|| name.as_str().parse().ok());
    address.ok_or(PeerError::NotLeader { leader: Some(name) })
}

/// The error that a failed call to a control stands for.
pub fn to_peer_error(failure: CallFailure) -> PeerError {
    match failure {
        CallFailure::Refused(error) => error,
        CallFailure::NothingListens | CallFailure::NotConnected | CallFailure::NoAnswer => {
            PeerError::NotConfirmed
        }
    }
}
