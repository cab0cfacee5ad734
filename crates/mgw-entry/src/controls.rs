//! Calls to the controls: finds the leader and follows it.

use std::net::SocketAddr;
use std::sync::Arc;

use mgw_peer::{CallFailure, ConfigRequest, ConfigResponse, PeerError, PeerPool};
use mgw_state::{Action, Command, Reply};
use mgw_world::{Clock, Incarnation, Millis, NodeName, UnixMillis};
use parking_lot::Mutex;
use tokio::time::sleep;

use crate::settings::Peer;

/// Time that one control gets to answer a command.
const CALL_LIMIT_MS: Millis = Millis(1_500);
/// Pause after all controls were tried once.
const ROUND_PAUSE_MS: Millis = Millis(50);

/// Why a command brought no reply.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum ControlError {
    /// no control leads a quorum; the command had no effect
    NoQuorum,
    /// the reply was lost; the command may have taken effect
    Unknown,
}

/// Calls the controls.
#[derive(Debug)]
pub struct Controls {
    pool: Arc<PeerPool>,
    peers: Vec<Peer>,
    leader: Mutex<usize>,
    claims_as: Mutex<Incarnation>,
}

impl Controls {
    /// Knows the controls of the settings.
    #[must_use]
    pub fn new(peers: &[Peer], pool: Arc<PeerPool>) -> Self {
        Self {
            pool,
            peers: peers.to_vec(),
            leader: Mutex::new(0),
            claims_as: Mutex::default(),
        }
    }

    /// Connections to other processes.
    #[must_use]
    pub const fn pool(&self) -> &Arc<PeerPool> {
        &self.pool
    }

    /// Incarnation under which claims are made; that of the start until it was declared lost.
    #[must_use]
    pub fn claims_as(&self, started_as: Incarnation) -> Incarnation {
        started_as.max(*self.claims_as.lock())
    }

    /// Takes a higher incarnation for claims after `lost` was declared lost.
    pub fn renew_incarnation(&self, lost: Incarnation, wall: UnixMillis) {
        let mut claims_as = self.claims_as.lock();
        if *claims_as <= lost {
            *claims_as = Incarnation(wall.0.max(lost.0 + 1));
        }
    }

    /// Commits a command; it is sent again until a reply comes, so it must be idempotent.
    ///
    /// # Errors
    /// When no reply came within the limit.
    pub async fn submit(
        &self,
        action: Action,
        clock: &Clock,
        limit: Millis,
    ) -> Result<Reply, ControlError> {
        let until = clock.now() + limit;
        let command = Command {
            at_unix_ms: Clock::wall(),
            action,
        };
        let mut may_have_effect = false;
        loop {
            for _ in 0..self.peers.len() {
                let (index, address) = self.current();
                let command = command.clone();
                let left = (until - clock.now()).min(CALL_LIMIT_MS);
                let answer = self
                    .pool
                    .call(address, left, |client, context| async move {
                        client.submit(context, command).await
                    })
                    .await;
                match answer.and_then(|result| result.map_err(CallFailure::Refused)) {
                    Ok(reply) => return Ok(reply),
                    Err(failure) => {
                        may_have_effect |= !failure.had_no_effect();
                        self.follow(index, &failure);
                    }
                }
                if clock.now() >= until {
                    break;
                }
            }
            if clock.now() + ROUND_PAUSE_MS >= until {
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

    /// Asks for the newest configuration; one try at the supposed leader.
    ///
    /// # Errors
    /// When it gave no answer; the next try goes to another control.
    pub async fn ask_config(&self, question: ConfigRequest) -> Result<ConfigResponse, CallFailure> {
        let (index, address) = self.current();
        let limit = question.wait_ms + CALL_LIMIT_MS;
        let answer = self
            .pool
            .call(address, limit, |client, context| async move {
                client.config(context, question).await
            })
            .await;
        let result = answer.and_then(|result| result.map_err(CallFailure::Refused));
        if let Err(failure) = &result {
            self.follow(index, failure);
        }
        result
    }

    fn current(&self) -> (usize, SocketAddr) {
        let index = *self.leader.lock();
        (index, self.peers[index].address)
    }

    /// Moves on from a control that failed, to the leader that it named or to the next one.
    fn follow(&self, failed: usize, failure: &CallFailure) {
        let named = match failure {
            CallFailure::Refused(PeerError::NotLeader { leader: Some(name) }) => self.find(name),
            _ => None,
        };
        let mut leader = self.leader.lock();
        if *leader == failed {
            *leader = named
                .filter(|index| *index != failed)
                .unwrap_or((failed + 1) % self.peers.len());
        }
    }

    fn find(&self, name: &NodeName) -> Option<usize> {
        self.peers.iter().position(|peer| peer.name == *name)
    }
}
