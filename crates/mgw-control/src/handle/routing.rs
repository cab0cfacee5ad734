//! Replaces and reads the routing document through any control, which forwards to the leader.

use bytes::Bytes;
use mgw_peer::{PeerError, RoutingRequest};
use mgw_routing::{DecodeRouting, PackedRouting, RoutingDocument};
use mgw_serve::run_blocking;
use mgw_state::{Action, Reply};
use mgw_world::{NodeName, RoutingVersion};
use tracing::{info, warn};

use super::ControlHandle;
use super::submit::{leader_address, submit_anywhere, to_peer_error};

/// Why a document in the operator's format isn't accepted.
#[derive(Debug, displaydoc::Display, derive_more::Error, derive_more::From)]
pub enum AcceptError {
    /// {message}
    #[from(ignore)]
    Invalid {
        /// Faults of the document, each with its position.
        message: String,
    },
    /// {0}
    NotConfirmed(PeerError),
}

impl ControlHandle {
    /// Decodes and commits a document in the operator's format; see [`Self::replace_routing`].
    ///
    /// # Errors
    /// When the document is invalid, or isn't confirmed as with [`Self::replace_routing`].
    pub async fn accept_routing(
        &self,
        source: Bytes,
        decode: DecodeRouting,
    ) -> Result<RoutingVersion, AcceptError> {
        let decoded = run_blocking(move || {
            let version = decode(&source)?.version;
            let document = RoutingDocument {
                version,
                source: source.as_ref().into(),
            };
            PackedRouting::pack(&document).map_err(|error| error.to_string())
        });
        let document = decoded
            .await
            .map_err(|message| AcceptError::Invalid { message })?;
        Ok(self.replace_packed(document).await?)
    }

    /// Commits a routing document and returns the version in effect afterwards. A document whose
    /// version isn't higher than the one in effect changes nothing.
    ///
    /// # Errors
    /// When no leader is known or no quorum confirmed in time. The document may still be committed.
    pub async fn replace_routing(
        &self,
        document: RoutingDocument,
    ) -> Result<RoutingVersion, PeerError> {
        let packed = run_blocking(move || PackedRouting::pack(&document)).await;
        let packed = packed.map_err(|error| PeerError::Refused {
            message: error.to_string(),
        })?;
        self.replace_packed(packed).await
    }

    async fn replace_packed(&self, document: PackedRouting) -> Result<RoutingVersion, PeerError> {
        let version = document.version;
        let held = self.app.replica.state.read().routing().version;
        if held >= version {
            info!(%version, %held, "routing document isn't newer; nothing changed");
            return Ok(held);
        }
        let action = Action::ReplacePackedRouting(document);
        match submit_anywhere(&self.app, action).await {
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

    /// Returns the newest routing document, confirmed by a quorum.
    ///
    /// # Errors
    /// When no leader is known or no quorum confirmed in time.
    pub async fn read_routing(&self) -> Result<RoutingDocument, PeerError> {
        let document = match self.app.replica.confirm_read().await {
            Err(PeerError::NotLeader { leader }) => self.read_from(leader).await,
            confirmed => confirmed.map(|()| self.app.replica.state.read().routing().clone()),
        }?;
        let unpacked = run_blocking(move || document.unpack()).await;
        unpacked.map_err(|error| PeerError::Refused {
            message: error.to_string(),
        })
    }

    /// Reads the newest routing document from the leader.
    async fn read_from(&self, leader: Option<NodeName>) -> Result<PackedRouting, PeerError> {
        let address = leader_address(&self.app, leader)?;
        let own_document = self.app.replica.state.read().routing().clone();
        let request = RoutingRequest {
            have: own_document.version,
        };
        let call_timeout = self.app.settings.quorum.commit_limit_ms;
        let response = self
            .app
            .pool
            .call(address, call_timeout, |client, context| async move {
                client.routing(context, request).await
            })
            .await;
        let newest_document = response.map_err(to_peer_error)??;
        Ok(newest_document.unwrap_or(own_document))
    }
}
