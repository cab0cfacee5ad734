//! Processing of the reply to an exchange that this node started.

use mgw_world::Millis;

use super::core::View;
use super::exchange::{ExchangeTicket, InFlightExchange, RecordSummary};
use crate::record::{NodeRecord, encoded_bytes};
use crate::{Age, BucketReply, ExchangeReply, LoadLevel, NodeDelta, NodeSummary};

impl View {
    /// Processes the reply to an exchange; a reply that arrives after the timeout is dropped.
    ///
    /// Ages count from the time at which the exchange was sent. The whole round trip, including
    /// time in which the process was frozen, makes a record older and never younger.
    pub fn handle_reply(&mut self, ticket: ExchangeTicket, reply: &ExchangeReply, now: Millis) {
        self.confirm_own_record(now);
        let Some(sent) = self.exchanges.in_flight.remove(&ticket.number()) else {
            return;
        };
        self.clear_requested(&sent);
        if now - sent.sent_at > self.settings.exchange_timeout_ms {
            return;
        }
        self.exchanges.refused_addresses.remove(&sent.peer_address);
        let queued_before = self.exchanges.want_queue.len();
        for (summaries, bucket) in sent.buckets.iter().zip(&reply.buckets) {
            match bucket {
                BucketReply::Same(ages, loads) => self.confirm_all(summaries, ages, loads, &sent),
                BucketReply::Different(summaries) => self.compare_bucket(summaries, &sent, now),
            }
        }
        self.apply_deltas(&reply.deltas, &sent, now);
        let nothing_requested =
            self.exchanges.want_queue.len() == queued_before && queued_before == 0;
        if !sent.buckets.is_empty() && nothing_requested && self.exchanges.requested_at.is_empty() {
            self.complete = true;
        }
        self.release_moved_targets(now);
    }

    fn confirm_all(
        &mut self,
        summaries: &[RecordSummary],
        ages: &[Age],
        loads: &[LoadLevel],
        sent: &InFlightExchange,
    ) {
        let mut remaining_loads = loads;
        for (summary, age) in summaries.iter().zip(ages) {
            let (own, later_loads) =
                remaining_loads.split_at(summary.targets.min(remaining_loads.len()));
            remaining_loads = later_loads;
            self.confirm_record(summary, *age, own, sent);
        }
    }

    /// Confirms the local copy of a record if the peer holds the same or an older version of it.
    fn confirm_record(
        &mut self,
        summary: &RecordSummary,
        age: Age,
        loads: &[LoadLevel],
        sent: &InFlightExchange,
    ) {
        if summary.id == self.own_id {
            return;
        }
        let (Some(record), Some(age)) = (self.records.get_mut(&summary.id), age.span()) else {
            return;
        };
        let is_same_or_newer =
            record.incarnation() == summary.incarnation && record.version >= summary.version;
        // A time before the start of the local clock can't be expressed on it.
        if !is_same_or_newer || age > sent.sent_at {
            return;
        }
        if record.confirm(sent.sent_at - age) && record.version == summary.version {
            record.set_loads(loads);
        }
    }

    fn compare_bucket(&mut self, summaries: &[NodeSummary], sent: &InFlightExchange, now: Millis) {
        for summary in summaries {
            if summary.id == self.own_id {
                self.refute_foreign_record(summary);
                continue;
            }
            let known_version = self.records.get(&summary.id);
            let known_version = known_version.map(|record| (record.incarnation(), record.version));
            if known_version < Some((summary.incarnation, summary.version)) {
                if summary.age != Age::UNKNOWN {
                    self.want(sent.peer_address, summary.id, now);
                }
                continue;
            }
            let peer_summary = RecordSummary {
                id: summary.id,
                incarnation: summary.incarnation,
                version: summary.version,
                targets: summary.loads.len(),
            };
            self.confirm_record(&peer_summary, summary.age, &summary.loads, sent);
        }
    }

    /// Raises the own incarnation when a peer holds a newer record of this node than the node
    /// itself, such as one from before a restart.
    fn refute_foreign_record(&mut self, summary: &NodeSummary) {
        let own = self.own_mut();
        if (summary.incarnation, summary.version) > (own.incarnation(), own.version) {
            own.info.incarnation = summary.incarnation.next();
        }
    }

    pub(crate) fn apply_deltas(
        &mut self,
        deltas: &[NodeDelta],
        sent: &InFlightExchange,
        now: Millis,
    ) {
        let mut bytes = 0;
        for delta in deltas {
            bytes += encoded_bytes(delta);
            self.apply_delta(delta, sent, now);
        }
        if bytes > 0 {
            self.exchanges.next_fetch_at = now + self.catch_up_delay(bytes);
        }
    }

    fn apply_delta(&mut self, delta: &NodeDelta, sent: &InFlightExchange, now: Millis) {
        let id = delta.info.id();
        if id == self.own_id {
            return;
        }
        let known_incarnation = self.records.get(&id).map(NodeRecord::incarnation);
        if known_incarnation > Some(delta.info.incarnation) {
            return;
        }
        let mut changed = Vec::new();
        if known_incarnation < Some(delta.info.incarnation) {
            if !delta.reset {
                return;
            }
            let old = self
                .records
                .insert(id, NodeRecord::new(delta.info.clone(), now));
            changed.extend(old.into_iter().flat_map(|old| old.targets.into_keys()));
        }
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        changed.extend(record.apply(delta, now).unwrap_or_default());
        record.updated_at = now;
        let is_complete = delta.through == delta.latest && record.version >= delta.through;
        let age = delta
            .age
            .span()
            .filter(|age| is_complete && *age <= sent.sent_at);
        if let Some(age) = age {
            record.confirm(sent.sent_at - age);
        }
        let cut_short = record.version < delta.latest;
        self.reindex_homes(changed, now);
        if cut_short {
            self.want(sent.peer_address, id, now);
        }
    }
}
