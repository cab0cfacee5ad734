//! Anti-entropy exchanges that this node starts, and its replies to those of other nodes.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use mgw_world::{Incarnation, Millis, mix_bits};
use rand::Rng;

use super::core::View;
use crate::message::DIGEST_BYTES;
use crate::record::encoded_bytes;
use crate::{Age, BucketReply, Exchange, ExchangeReply, NodeDelta, NodeId, NodeSummary, Want};

/// Number of buckets into which the nodes are grouped for digests.
const BUCKETS: u64 = 32;
/// Maximum number of exchanges that wait for a reply at the same time.
const MAX_IN_FLIGHT: usize = 16;
/// Maximum number of records requested in one exchange.
const MAX_WANTS: usize = 64;
/// Minimum free space in a reply for the delta of a further record to be added.
const MIN_DELTA_BYTES: usize = 512;
/// Maximum encoded size of the length of a list.
const LENGTH_BYTES: usize = 2;
/// One in this many exchanges goes to a peer that isn't known to be alive, if there is one.
const UNREACHABLE_PEER_EVERY: u64 = 8;

/// Time window in which replies to digests of other nodes are counted to adapt the interval.
const REPLY_COUNT_WINDOW_MS: Millis = Millis(1_000);
/// Replies, in percent of the expected number, above which a node starts exchanges less often.
const SLOW_DOWN_ABOVE_PERCENT: u64 = 110;
/// Maximum factor by which a node lengthens its usual interval.
const MAX_SLOW_DOWN: u64 = 2;
/// Maximum number of replies that are counted.
const MAX_COUNTED_REPLIES: usize = 1024;

/// Identifies an exchange that waits for its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeTicket(u64);

impl ExchangeTicket {
    pub(crate) const fn number(self) -> u64 {
        self.0
    }
}

/// An exchange to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingExchange {
    /// Identifies the exchange when its result is passed back to the view.
    pub ticket: ExchangeTicket,
    /// Address of the peer.
    pub peer_address: SocketAddr,
    /// Message to send.
    pub exchange: Exchange,
}

/// Why an exchange had no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// The connection was refused: nothing listens at the address.
    Refused,
    /// No reply arrived within the timeout.
    TimedOut,
}

/// Summary of a record at the time at which the digest of its bucket was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RecordSummary {
    pub id: NodeId,
    pub incarnation: Incarnation,
    pub version: u64,
    pub targets: usize,
}

/// An exchange that waits for its reply.
#[derive(Debug)]
pub(crate) struct InFlightExchange {
    pub sent_at: Millis,
    pub peer_address: SocketAddr,
    pub buckets: Vec<Vec<RecordSummary>>,
    pub wants: Vec<NodeId>,
}

/// State of the exchanges of a view.
#[derive(Debug)]
pub(crate) struct Exchanges {
    pub seeds: Vec<SocketAddr>,
    /// When the next exchange of digests is due.
    pub next_due_at: Millis,
    pub last_ticket: u64,
    pub in_flight: BTreeMap<u64, InFlightExchange>,
    /// Records to request, with the address of the peer that holds them.
    pub want_queue: VecDeque<(SocketAddr, NodeId)>,
    /// When each record was last requested.
    pub requested_at: BTreeMap<NodeId, Millis>,
    /// When the rate limit allows this node to request records again.
    pub next_fetch_at: Millis,
    /// When the rate limit allows this node to send deltas again.
    pub next_serve_at: Millis,
    /// Addresses that refused a connection, and when.
    pub refused_addresses: BTreeMap<SocketAddr, Millis>,
    /// Times of recent replies to digests of other nodes.
    pub digest_replies: VecDeque<Millis>,
}

impl Exchanges {
    pub const fn new(seeds: Vec<SocketAddr>, now: Millis) -> Self {
        Self {
            seeds,
            next_due_at: now,
            last_ticket: 0,
            in_flight: BTreeMap::new(),
            want_queue: VecDeque::new(),
            requested_at: BTreeMap::new(),
            next_fetch_at: Millis::ZERO,
            next_serve_at: Millis::ZERO,
            refused_addresses: BTreeMap::new(),
            digest_replies: VecDeque::new(),
        }
    }
}

impl View {
    /// When [`Self::next_exchange`] will next have an exchange to send.
    #[must_use]
    pub fn next_exchange_at(&self) -> Millis {
        let scheduled_at = self.exchanges.next_due_at;
        if self.exchanges.want_queue.is_empty() {
            return scheduled_at;
        }
        scheduled_at.min(self.exchanges.next_fetch_at)
    }

    /// The next exchange to send, if one is due. Call it repeatedly until it returns `None`.
    pub fn next_exchange(&mut self, now: Millis) -> Option<OutgoingExchange> {
        self.confirm_own_record(now);
        self.drop_expired(now);
        if self.exchanges.in_flight.len() >= MAX_IN_FLIGHT {
            self.schedule_exchange(now);
            return None;
        }
        if let Some(out) = self.next_want_exchange(now) {
            return Some(out);
        }
        if now < self.exchanges.next_due_at {
            return None;
        }
        self.schedule_exchange(now);
        let peer_address = self.pick_peer(now)?;
        let buckets = self.bucket_summaries(now);
        let digests = buckets.iter().map(|summaries| digest(summaries)).collect();
        Some(self.open_exchange(peer_address, digests, buckets, Vec::new(), now))
    }

    /// Processes another node's exchange and returns the reply.
    pub fn handle_exchange(&mut self, exchange: &Exchange, now: Millis) -> ExchangeReply {
        self.confirm_own_record(now);
        self.observe_sender(exchange, now);
        self.count_digest_reply(exchange, now);
        let own_summaries = self.bucket_summaries(now);
        let buckets = exchange
            .digests
            .iter()
            .zip(&own_summaries)
            .map(|(peer_digest, summaries)| self.answer_bucket(peer_digest, summaries, now))
            .collect();
        ExchangeReply {
            from: self.own_id,
            buckets,
            deltas: self.answer_wants(&exchange.wants, now),
        }
    }

    /// Records that an exchange had no reply.
    pub fn exchange_failed(
        &mut self,
        ticket: ExchangeTicket,
        failure: ExchangeFailure,
        now: Millis,
    ) {
        let Some(sent) = self.exchanges.in_flight.remove(&ticket.0) else {
            return;
        };
        self.clear_requested(&sent);
        if failure == ExchangeFailure::Refused {
            self.exchanges
                .refused_addresses
                .insert(sent.peer_address, now);
        }
    }

    /// Allows the records that an exchange requested to be requested again.
    pub(crate) fn clear_requested(&mut self, sent: &InFlightExchange) {
        for id in &sent.wants {
            self.exchanges.requested_at.remove(id);
        }
    }

    pub(crate) fn schedule_exchange(&mut self, now: Millis) {
        let mean = self.mean_interval_ms(now);
        let delay_ms = self.rng.random_range(mean / 2..=mean + mean / 2);
        self.exchanges.next_due_at = now + Millis(delay_ms);
    }

    /// Mean time to the next exchange: the configured interval, or up to twice as long while other
    /// nodes send this node more exchanges than usual, so that its total traffic stays even.
    fn mean_interval_ms(&mut self, now: Millis) -> u64 {
        let usual = self.settings.exchange_every_ms.0.max(2);
        let window_start = now - REPLY_COUNT_WINDOW_MS;
        self.exchanges
            .digest_replies
            .retain(|at| *at > window_start);
        let replies = u64::try_from(self.exchanges.digest_replies.len()).unwrap_or(u64::MAX);
        let expected = REPLY_COUNT_WINDOW_MS.0 / usual;
        let slowed = usual * replies * 100 / (expected.max(1) * SLOW_DOWN_ABOVE_PERCENT);
        slowed.clamp(usual, usual * MAX_SLOW_DOWN)
    }

    fn count_digest_reply(&mut self, exchange: &Exchange, now: Millis) {
        if !exchange.digests.is_empty() && self.exchanges.digest_replies.len() < MAX_COUNTED_REPLIES
        {
            self.exchanges.digest_replies.push_back(now);
        }
    }

    /// Queues a request for a record to a peer, unless one was made within the exchange timeout.
    pub(crate) fn want(&mut self, peer_address: SocketAddr, id: NodeId, now: Millis) {
        let timeout = self.settings.exchange_timeout_ms;
        let requested = self.exchanges.requested_at.get(&id);
        if requested.is_some_and(|at| now - *at < timeout) {
            return;
        }
        self.exchanges.requested_at.insert(id, now);
        if self
            .exchanges
            .want_queue
            .iter()
            .any(|(_, queued)| *queued == id)
        {
            return;
        }
        self.exchanges.want_queue.push_back((peer_address, id));
    }

    fn next_want_exchange(&mut self, now: Millis) -> Option<OutgoingExchange> {
        if now < self.exchanges.next_fetch_at {
            return None;
        }
        let (peer_address, _) = *self.exchanges.want_queue.front()?;
        let mut wants = Vec::new();
        self.exchanges.want_queue.retain(|(peer, id)| {
            let is_included = *peer == peer_address && wants.len() < MAX_WANTS;
            if is_included {
                wants.push(*id);
            }
            !is_included
        });
        Some(self.open_exchange(peer_address, Vec::new(), Vec::new(), wants, now))
    }

    fn open_exchange(
        &mut self,
        peer_address: SocketAddr,
        digests: Vec<[u8; DIGEST_BYTES]>,
        buckets: Vec<Vec<RecordSummary>>,
        ids: Vec<NodeId>,
        now: Millis,
    ) -> OutgoingExchange {
        self.exchanges.last_ticket += 1;
        let number = self.exchanges.last_ticket;
        let wants = ids.iter().map(|id| self.want_for(*id)).collect();
        let sent = InFlightExchange {
            sent_at: now,
            peer_address,
            buckets,
            wants: ids,
        };
        self.exchanges.in_flight.insert(number, sent);
        let own = self.own();
        OutgoingExchange {
            ticket: ExchangeTicket(number),
            peer_address,
            exchange: Exchange {
                from: self.own_id,
                incarnation: own.incarnation(),
                version: own.version,
                peer_address: own.info.peer_address,
                digests,
                wants,
            },
        }
    }

    fn want_for(&self, id: NodeId) -> Want {
        self.records.get(&id).map_or(
            Want {
                id,
                incarnation: Incarnation(0),
                since: 0,
                releases_since: 0,
            },
            |record| record.want(),
        )
    }

    fn drop_expired(&mut self, now: Millis) {
        let timeout = self.settings.exchange_timeout_ms;
        let expired = self.exchanges.in_flight.iter();
        let expired = expired.filter(|(_, sent)| now - sent.sent_at > timeout);
        let numbers: Vec<u64> = expired.map(|(number, _)| *number).collect();
        for number in numbers {
            self.exchange_failed(ExchangeTicket(number), ExchangeFailure::TimedOut, now);
        }
    }

    /// Picks a random peer. Usually that is one that is alive; one in [`UNREACHABLE_PEER_EVERY`] is
    /// silent, refused a connection, or is a seed address that no known node has, so that separated
    /// groups find each other again.
    fn pick_peer(&mut self, now: Millis) -> Option<SocketAddr> {
        let mut alive = Vec::new();
        let mut unreachable = Vec::new();
        for (id, record) in self.records.iter().filter(|(id, _)| **id != self.own_id) {
            let address = record.info.peer_address;
            let refused = self.exchanges.refused_addresses.contains_key(&address);
            if refused || self.age_of(*id, record, now) > self.settings.alive_ms {
                unreachable.push(address);
            } else {
                alive.push(address);
            }
        }
        let seeds = self.exchanges.seeds.iter();
        let unknown = seeds.filter(|seed| !alive.contains(seed) && !unreachable.contains(seed));
        unreachable.extend(unknown.copied().collect::<Vec<_>>());
        let use_unreachable =
            self.exchanges.last_ticket % UNREACHABLE_PEER_EVERY == UNREACHABLE_PEER_EVERY - 1;
        let pool = if alive.is_empty() || (use_unreachable && !unreachable.is_empty()) {
            unreachable
        } else {
            alive
        };
        if pool.is_empty() {
            return None;
        }
        Some(pool[self.rng.random_range(0..pool.len())])
    }

    pub(crate) fn observe_sender(&mut self, exchange: &Exchange, now: Millis) {
        self.exchanges
            .refused_addresses
            .remove(&exchange.peer_address);
        if exchange.from == self.own_id {
            return;
        }
        let known_version = self.records.get(&exchange.from);
        let known_version = known_version.map(|record| (record.incarnation(), record.version));
        if known_version < Some((exchange.incarnation, exchange.version)) {
            self.want(exchange.peer_address, exchange.from, now);
        }
    }

    /// Summaries of the records whose age can be expressed, by bucket and in order of node id.
    fn bucket_summaries(&self, now: Millis) -> Vec<Vec<RecordSummary>> {
        let mut buckets: Vec<Vec<RecordSummary>> = (0..BUCKETS).map(|_| Vec::new()).collect();
        for (id, record) in &self.records {
            if Age::from_span(self.age_of(*id, record, now)) == Age::UNKNOWN {
                continue;
            }
            let bucket = usize::try_from(id.get() % BUCKETS).unwrap_or_default();
            buckets[bucket].push(RecordSummary {
                id: *id,
                incarnation: record.incarnation(),
                version: record.version,
                targets: record.targets.len(),
            });
        }
        buckets
    }

    fn answer_bucket(
        &self,
        peer_digest: &[u8; DIGEST_BYTES],
        summaries: &[RecordSummary],
        now: Millis,
    ) -> BucketReply {
        let records = summaries
            .iter()
            .map(|summary| (summary.id, &self.records[&summary.id]));
        if digest(summaries) == *peer_digest {
            let ages = records.clone();
            let ages = ages.map(|(id, record)| Age::from_span(self.age_of(id, record, now)));
            let loads = records.flat_map(|(_, record)| record.loads());
            return BucketReply::Same(ages.collect(), loads.collect());
        }
        let summaries = records.map(|(id, record)| NodeSummary {
            id,
            incarnation: record.incarnation(),
            version: record.version,
            age: Age::from_span(self.age_of(id, record, now)),
            loads: record.loads().collect(),
        });
        BucketReply::Different(summaries.collect())
    }

    fn answer_wants(&mut self, wants: &[Want], now: Millis) -> Vec<NodeDelta> {
        let mut deltas = Vec::new();
        if now < self.exchanges.next_serve_at {
            return deltas;
        }
        let cap = self.settings.reply_cap_bytes;
        let mut bytes = LENGTH_BYTES;
        for want in wants {
            if !deltas.is_empty() && cap.saturating_sub(bytes) < MIN_DELTA_BYTES {
                break;
            }
            let Some(record) = self.records.get(&want.id) else {
                continue;
            };
            if record.incarnation() < want.incarnation {
                continue;
            }
            let age = Age::from_span(self.age_of(want.id, record, now));
            let delta = record.delta(want, age, cap.saturating_sub(bytes));
            bytes += encoded_bytes(&delta);
            deltas.push(delta);
        }
        if !deltas.is_empty() {
            self.exchanges.next_serve_at = now + self.catch_up_delay(bytes);
        }
        deltas
    }

    /// How long the rate limit blocks further deltas after a transfer of this size.
    pub(crate) fn catch_up_delay(&self, bytes: usize) -> Millis {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let rate = self.settings.catch_up_bytes_per_s.max(1);
        Millis(bytes.saturating_mul(1_000) / rate)
    }
}

fn digest(summaries: &[RecordSummary]) -> [u8; DIGEST_BYTES] {
    let hash = summaries.iter().fold(0, |hash, summary| {
        let hash = mix_bits(hash ^ summary.id.get());
        let hash = mix_bits(hash.wrapping_add(summary.incarnation.0));
        mix_bits(hash.wrapping_add(summary.version))
    });
    let [a, b, c, d, e, f, ..] = hash.to_le_bytes();
    [a, b, c, d, e, f]
}
