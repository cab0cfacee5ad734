//! Sends whose target went silent: that its process has ended shows once another one serves at its
//! address.

use std::net::SocketAddr;

use mgw_world::{Millis, Subject};

use super::suspicion::TargetEnd;
use crate::exclusions::TargetRun;

/// How long a send is remembered.
const VALID_MS: Millis = Millis(15_000);
/// Most sends that are remembered, so that a network fault under many requests doesn't fill the memory.
const MAX_SENDS: usize = 256;

/// A request that a target received and that hadn't been seen to be sound there when it was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenSend {
    /// The request, and the parts of its prompt that other requests may hold as well.
    pub subjects: Vec<Subject>,
    /// When it was sent, and when it was lost.
    pub times: TargetEnd,
}

#[derive(Debug, Clone)]
struct UnresolvedSend {
    address: SocketAddr,
    run: TargetRun,
    send: BrokenSend,
}

/// Sends whose target may have ended, at one entry.
#[derive(Debug, Clone, Default)]
pub struct UnresolvedSends {
    sends: Vec<UnresolvedSend>,
}

impl UnresolvedSends {
    /// Remembers a send to the target that had this address; the oldest one is dropped if there are too
    /// many.
    pub fn add(&mut self, address: SocketAddr, run: TargetRun, send: BrokenSend) {
        if self.sends.len() >= MAX_SENDS {
            self.sends.remove(0);
        }
        self.sends.push(UnresolvedSend { address, run, send });
    }

    /// Whether no send is remembered.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Takes the sends whose target has ended, as a later run now has its address.
    pub fn resolve<'a>(
        &mut self,
        targets: impl Iterator<Item = (SocketAddr, &'a TargetRun)>,
        now: Millis,
    ) -> Vec<(TargetRun, BrokenSend)> {
        self.sends
            .retain(|it| now - it.send.times.ended_at <= VALID_MS);
        let targets: Vec<_> = targets.collect();
        let has_ended = |it: &mut UnresolvedSend| {
            targets.iter().any(|(address, run)| {
                *address == it.address && run.incarnation > it.run.incarnation
            })
        };
        let ended = self.sends.extract_if(.., has_ended);
        ended.map(|it| (it.run, it.send)).collect()
    }
}
