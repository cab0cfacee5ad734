//! Client of the control nodes: finds the leader and sends it commands.

use std::net::SocketAddr;
use std::sync::Arc;

use mgw_peer::{CallFailure, ConfigRequest, ConfigResponse, PeerError, PeerPool};
use mgw_state::{Action, Command, Reply};
use mgw_world::{Clock, Incarnation, Millis, NodeName, UnixMillis};
use parking_lot::Mutex;
use tokio::time::sleep;

use crate::settings::Peer;

/// Time limit for one control to answer one call.
const CALL_LIMIT_MS: Millis = Millis(1_500);
/// Pause after each control was tried once.
const ROUND_PAUSE_MS: Millis = Millis(50);

/// Why a command has no reply.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum ControlError {
    /// no control leads a quorum; the command had no effect
    NoQuorum,
    /// the reply was lost; the command may have taken effect
    Unknown,
}

/// Client of the control nodes.
#[derive(Debug)]
pub struct Controls {
    pool: Arc<PeerPool>,
    peers: Vec<Peer>,
    /// Index of the peer that is supposed to be the leader.
    leader: Mutex<usize>,
    claim_incarnation: Mutex<Incarnation>,
}

impl Controls {
    /// Creates a client of the controls that the settings list.
    #[must_use]
    pub fn new(peers: &[Peer], pool: Arc<PeerPool>) -> Self {
        Self {
            pool,
            peers: peers.to_vec(),
            leader: Mutex::new(0),
            claim_incarnation: Mutex::default(),
        }
    }

    /// Pool of the connections to other processes.
    #[must_use]
    pub const fn pool(&self) -> &Arc<PeerPool> {
        &self.pool
    }

    /// Incarnation under which claims are made: the one of the process start, until that one is
    /// declared lost.
    #[must_use]
    pub fn claim_incarnation(&self, started_as: Incarnation) -> Incarnation {
        started_as.max(*self.claim_incarnation.lock())
    }

    /// Chooses a higher incarnation for claims after the incarnation `lost` was declared lost.
    pub fn renew_incarnation(&self, lost: Incarnation, wall: UnixMillis) {
        let mut claim_incarnation = self.claim_incarnation.lock();
        if *claim_incarnation <= lost {
            *claim_incarnation = Incarnation(wall.0.max(lost.0 + 1));
        }
    }

    /// Commits a command. It is sent again until a reply comes, so it must be idempotent.
    ///
    /// # Errors
    /// When no reply came within the limit.
    pub async fn submit(
        &self,
        action: Action,
        clock: &Clock,
        limit: Millis,
    ) -> Result<Reply, ControlError> {
        let deadline = clock.now() + limit;
        let command = Command {
            at_unix_ms: Clock::wall(),
            action,
        };
        let mut may_have_effect = false;
        loop {
            for _ in 0..self.peers.len() {
                let (index, address) = self.supposed_leader();
                let command = command.clone();
                let call_limit = (deadline - clock.now()).min(CALL_LIMIT_MS);
                let answer = self
                    .pool
                    .call(address, call_limit, |client, context| async move {
                        client.submit(context, command).await
                    })
                    .await;
                match answer.and_then(|result| result.map_err(CallFailure::Refused)) {
                    Ok(reply) => return Ok(reply),
                    Err(failure) => {
                        may_have_effect |= !failure.had_no_effect();
                        self.switch_leader(index, &failure);
                    }
                }
                if clock.now() >= deadline {
                    break;
                }
            }
            if clock.now() + ROUND_PAUSE_MS >= deadline {
                let error = if may_have_effect {
                    ControlError::Unknown
                } else {
                    ControlError::NoQuorum
                };
                return Err(error);
            }
            sleep(ROUND_PAUSE_MS.to_duration()).await;
        }
    }

    /// Asks the supposed leader once for the newest configuration.
    ///
    /// # Errors
    /// When it gave no answer; the next call then goes to another control.
    pub async fn ask_config(&self, question: ConfigRequest) -> Result<ConfigResponse, CallFailure> {
        let (index, address) = self.supposed_leader();
        let limit = question.wait_ms + CALL_LIMIT_MS;
        let answer = self
            .pool
            .call(address, limit, |client, context| async move {
                client.config(context, question).await
            })
            .await;
        let result = answer.and_then(|result| result.map_err(CallFailure::Refused));
        if let Err(failure) = &result {
            self.switch_leader(index, failure);
        }
        result
    }

    fn supposed_leader(&self) -> (usize, SocketAddr) {
        let index = *self.leader.lock();
        (index, self.peers[index].address)
    }

    /// After control `failed` failed, switches to the leader that it named, or to the next control.
    fn switch_leader(&self, failed: usize, failure: &CallFailure) {
        let named = match failure {
            CallFailure::Refused(PeerError::NotLeader { leader: Some(name) }) => {
                self.index_of(name)
            }
            _ => None,
        };
        let mut leader = self.leader.lock();
        if *leader == failed {
            *leader = named
                .filter(|index| *index != failed)
                .unwrap_or((failed + 1) % self.peers.len());
        }
    }

    fn index_of(&self, name: &NodeName) -> Option<usize> {
        self.peers.iter().position(|peer| peer.name == *name)
    }
}
