//! Long polls of one node's own record, so that news of its targets reach the others at once.

use std::net::SocketAddr;

use mgw_world::{Incarnation, Millis, TargetName};

use super::core::View;
use super::exchange::InFlight;
use crate::{Age, Exchange, ExchangeReply, NodeId, Want};

/// Sequence number of a target's last word: nothing that it announced before counts any more.
const LAST_SEQUENCE: u64 = u64::MAX;

impl View {
    /// What to send to the node at an address to be told of its news.
    #[must_use]
    pub fn watch_request(&self, peer_address: SocketAddr) -> Exchange {
        let mut others = self.origins.iter().filter(|(id, _)| **id != self.me);
        let known = others.find(|(_, origin)| origin.info.peer_address == peer_address);
        let own = self.own();
        Exchange {
            from: self.me,
            incarnation: own.incarnation(),
            version: own.version,
            peer_address: own.info.peer_address,
            digests: Vec::new(),
            wants: known.iter().map(|(_, origin)| origin.want()).collect(),
        }
    }

    /// Version of this node's own record; grows with each of its news.
    #[must_use]
    pub fn own_version(&self) -> u64 {
        self.own().version
    }

    /// Whether this node has news for the sender of a watch.
    #[must_use]
    pub fn has_changes_for(&self, watch: &Exchange) -> bool {
        let own = self.own();
        let known = watch.wants.first();
        known.is_none_or(|want| want.incarnation != own.incarnation() || want.since != own.version)
    }

    /// Answers a watch with the differences of this node's own record.
    pub fn handle_watch(&mut self, watch: &Exchange, now: Millis) -> ExchangeReply {
        self.touch_own(now);
        self.hear_sender(watch, now);
        let nothing = Want {
            id: self.me,
            incarnation: Incarnation(0),
            since: 0,
            releases_since: 0,
        };
        let want = watch.wants.first().copied().unwrap_or(nothing);
        let age = Age::from_span(Millis::ZERO);
        let delta = self.own().delta(&want, age, self.settings.reply_cap_bytes);
        ExchangeReply {
            from: self.me,
            buckets: Vec::new(),
            deltas: vec![delta],
        }
    }

    /// Takes the answer to a watch that was sent at `sent_at`.
    pub fn handle_watch_reply(
        &mut self,
        peer_address: SocketAddr,
        reply: &ExchangeReply,
        sent_at: Millis,
        now: Millis,
    ) {
        let sent = InFlight {
            sent_at,
            peer_address,
            buckets: Vec::new(),
            wants: Vec::new(),
        };
        self.exchanges.answered_at = Some(now);
        self.exchanges.refused.remove(&peer_address);
        self.take_deltas(&reply.deltas, &sent, now);
        self.release_moved(now);
    }

    /// Takes a target's last word: it leaves, and no earlier announcement brings it back. Tells
    /// whether the target is known.
    pub fn mark_leaving(&mut self, name: &TargetName, now: Millis) -> bool {
        let known = self.best_vouch(name);
        let Some(target) = known.map(|(_, held)| held.vouch.target.clone()) else {
            return false;
        };
        self.announce(
            &mgw_contract::target::Announcement {
                target,
                sequence: LAST_SEQUENCE,
                readiness: mgw_contract::target::Readiness::Leaving,
                load: mgw_contract::target::LoadReport::default(),
                cache_events: Vec::new(),
            },
            now,
        );
        true
    }

    /// A node that sends something is alive; news of its own record are asked for.
    fn hear_sender(&mut self, watch: &Exchange, now: Millis) {
        self.notice_sender(watch, now);
        let id: NodeId = watch.from;
        let Some(origin) = self.origins.get_mut(&id) else {
            return;
        };
        if (origin.incarnation(), origin.version) == (watch.incarnation, watch.version) {
            origin.confirm(now);
        }
    }
}
