//! Watches: long polls of one node's own record, by which other nodes learn of changes of its
//! targets at once.

use std::net::SocketAddr;

use mgw_world::{Incarnation, Millis, Target, TargetName};

use super::core::View;
use super::exchange::InFlightExchange;
use crate::{Age, Exchange, ExchangeReply, NodeId, Want};

/// Sequence number of the final announcement of a target incarnation: it supersedes all others.
const LAST_SEQUENCE: u64 = u64::MAX;

impl View {
    /// The watch request to send to the node at an address; it asks for changes of that node's
    /// own record.
    #[must_use]
    pub fn watch_request(&self, peer_address: SocketAddr) -> Exchange {
        let mut other_records = self.records.iter().filter(|(id, _)| **id != self.own_id);
        let known_record =
            other_records.find(|(_, record)| record.info.peer_address == peer_address);
        let own = self.own();
        Exchange {
            from: self.own_id,
            incarnation: own.incarnation(),
            version: own.version,
            peer_address: own.info.peer_address,
            digests: Vec::new(),
            wants: known_record
                .iter()
                .map(|(_, record)| record.want())
                .collect(),
        }
    }

    /// Version of this node's own record; it grows with each change.
    #[must_use]
    pub fn own_version(&self) -> u64 {
        self.own().version
    }

    /// Whether this node's own record has changed since the version that the sender of a watch
    /// knows.
    #[must_use]
    pub fn has_changes_for(&self, watch: &Exchange) -> bool {
        let own = self.own();
        let known_version = watch.wants.first();
        known_version
            .is_none_or(|want| want.incarnation != own.incarnation() || want.since != own.version)
    }

    /// Answers a watch with the changes of this node's own record.
    pub fn handle_watch(&mut self, watch: &Exchange, now: Millis) -> ExchangeReply {
        self.confirm_own_record(now);
        self.confirm_sender(watch, now);
        let full_want = Want {
            id: self.own_id,
            incarnation: Incarnation(0),
            since: 0,
            releases_since: 0,
        };
        let want = watch.wants.first().copied().unwrap_or(full_want);
        let age = Age::from_span(Millis::ZERO);
        let delta = self.own().delta(&want, age, self.settings.reply_cap_bytes);
        ExchangeReply {
            from: self.own_id,
            buckets: Vec::new(),
            deltas: vec![delta],
        }
    }

    /// Processes the reply to a watch that was sent at `sent_at`.
    pub fn handle_watch_reply(
        &mut self,
        peer_address: SocketAddr,
        reply: &ExchangeReply,
        sent_at: Millis,
        now: Millis,
    ) {
        let sent = InFlightExchange {
            sent_at,
            peer_address,
            buckets: Vec::new(),
            wants: Vec::new(),
        };
        self.exchanges.refused_addresses.remove(&peer_address);
        self.apply_deltas(&reply.deltas, &sent, now);
        self.release_moved_targets(now);
    }

    /// Marks a target as leaving; no announcement of the same incarnation can undo that. Returns
    /// its newest incarnation, if the target is known.
    pub fn mark_leaving(&mut self, name: &TargetName, now: Millis) -> Option<Incarnation> {
        let (_, record) = self.newest_vouch(name)?;
        let target = record.vouch.target.clone();
        let incarnation = target.incarnation;
        self.announce_leaving(target, now);
        Some(incarnation)
    }

    /// Makes the final announcement in place of a target.
    pub(crate) fn announce_leaving(&mut self, target: Target, now: Millis) {
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
    }

    /// Confirms the sender's record, since a node that sends a watch is alive, or requests the
    /// record if the local copy is outdated.
    fn confirm_sender(&mut self, watch: &Exchange, now: Millis) {
        self.observe_sender(watch, now);
        let id: NodeId = watch.from;
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if (record.incarnation(), record.version) == (watch.incarnation, watch.version) {
            record.confirm(now);
        }
    }
}
