//! What this node learns from the answer to its exchange.

use mgw_world::Millis;

use super::core::View;
use super::exchange::{ExchangeTicket, InFlight, SentLine};
use crate::origin::{Origin, encoded_bytes};
use crate::{Age, BucketReply, ExchangeReply, LoadLevel, NodeDelta, NodeSummary};

impl View {
    /// Takes the answer to an exchange; one that comes after the timeout is dropped.
    ///
    /// Ages count from the sending of the exchange, so that the whole round trip, a frozen process
    /// included, makes the news older and never younger.
    pub fn handle_reply(&mut self, ticket: ExchangeTicket, reply: &ExchangeReply, now: Millis) {
        self.touch_own(now);
        let Some(sent) = self.exchanges.in_flight.remove(&ticket.number()) else {
            return;
        };
        self.release_wants(&sent);
        if now - sent.sent_at > self.settings.exchange_timeout_ms {
            return;
        }
        self.exchanges.answered_at = Some(now);
        self.exchanges.refused.remove(&sent.peer_address);
        let waiting = self.exchanges.wants.len();
        for (lines, bucket) in sent.buckets.iter().zip(&reply.buckets) {
            match bucket {
                BucketReply::Same(ages, loads) => self.confirm_bucket(lines, ages, loads, &sent),
                BucketReply::Different(lines) => self.compare_bucket(lines, &sent, now),
            }
        }
        self.take_deltas(&reply.deltas, &sent, now);
        let asked_nothing = self.exchanges.wants.len() == waiting && waiting == 0;
        if !sent.buckets.is_empty() && asked_nothing && self.exchanges.asked_at.is_empty() {
            self.complete = true;
        }
        self.release_moved(now);
    }

    fn confirm_bucket(
        &mut self,
        lines: &[SentLine],
        ages: &[Age],
        loads: &[LoadLevel],
        sent: &InFlight,
    ) {
        let mut rest = loads;
        for (line, age) in lines.iter().zip(ages) {
            let (own, further) = rest.split_at(line.targets.min(rest.len()));
            rest = further;
            self.confirm_line(line, *age, own, sent);
        }
    }

    /// Confirms a record that the peer holds at this version or an older one.
    fn confirm_line(&mut self, line: &SentLine, age: Age, loads: &[LoadLevel], sent: &InFlight) {
        if line.id == self.me {
            return;
        }
        let (Some(origin), Some(age)) = (self.origins.get_mut(&line.id), age.span()) else {
            return;
        };
        let whole = origin.incarnation() == line.incarnation && origin.version >= line.version;
        // A record so old that it predates the local clock's start can't be placed on it.
        if !whole || age > sent.sent_at {
            return;
        }
        if origin.confirm(sent.sent_at - age) && origin.version == line.version {
            origin.set_loads(loads);
        }
    }

    fn compare_bucket(&mut self, lines: &[NodeSummary], sent: &InFlight, now: Millis) {
        for line in lines {
            if line.id == self.me {
                self.outlive(line);
                continue;
            }
            let known = self.origins.get(&line.id);
            let known = known.map(|origin| (origin.incarnation(), origin.version));
            if known < Some((line.incarnation, line.version)) {
                if line.age != Age::UNKNOWN {
                    self.want(sent.peer_address, line.id, now);
                }
                continue;
            }
            let held = SentLine {
                id: line.id,
                incarnation: line.incarnation,
                version: line.version,
                targets: line.loads.len(),
            };
            self.confirm_line(&held, line.age, &line.loads, sent);
        }
    }

    /// Takes a newer incarnation when others hold a record of this node that it didn't make.
    fn outlive(&mut self, line: &NodeSummary) {
        let own = self.own_mut();
        if (line.incarnation, line.version) > (own.incarnation(), own.version) {
            own.info.incarnation = line.incarnation.next();
        }
    }

    pub(crate) fn take_deltas(&mut self, deltas: &[NodeDelta], sent: &InFlight, now: Millis) {
        let mut bytes = 0;
        for delta in deltas {
            bytes += encoded_bytes(delta);
            self.take_delta(delta, sent, now);
        }
        if bytes > 0 {
            self.exchanges.take_free_at = now + self.catch_up_time(bytes);
        }
    }

    fn take_delta(&mut self, delta: &NodeDelta, sent: &InFlight, now: Millis) {
        let id = delta.info.id();
        if id == self.me {
            return;
        }
        let known = self.origins.get(&id).map(Origin::incarnation);
        if known > Some(delta.info.incarnation) {
            return;
        }
        let mut touched = Vec::new();
        if known < Some(delta.info.incarnation) {
            if !delta.reset {
                return;
            }
            let old = self
                .origins
                .insert(id, Origin::new(delta.info.clone(), now));
            touched.extend(old.into_iter().flat_map(|old| old.targets.into_keys()));
        }
        let Some(origin) = self.origins.get_mut(&id) else {
            return;
        };
        touched.extend(origin.apply(delta, now).unwrap_or_default());
        origin.touched_at = now;
        let whole = delta.through == delta.latest && origin.version >= delta.through;
        let age = delta.age.span().filter(|age| whole && *age <= sent.sent_at);
        if let Some(age) = age {
            origin.confirm(sent.sent_at - age);
        }
        let cut_short = origin.version < delta.latest;
        self.reindex(touched, now);
        if cut_short {
            self.want(sent.peer_address, id, now);
        }
    }
}
