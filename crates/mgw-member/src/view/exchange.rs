//! Exchanges that this node starts, and its answers to those of others.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use mgw_world::{Incarnation, Millis};
use rand::Rng;

use super::core::View;
use crate::message::DIGEST_BYTES;
use crate::node::mix;
use crate::origin::encoded_bytes;
use crate::{Age, BucketReply, Exchange, ExchangeReply, NodeDelta, NodeId, NodeSummary, Want};

/// Number of buckets that the nodes are spread over for digests.
const BUCKETS: u64 = 32;
/// Most exchanges that wait for an answer at once.
const MAX_IN_FLIGHT: usize = 16;
/// Most records asked for in one exchange.
const MAX_WANTS: usize = 64;
/// Room that a further record's differences need in a reply.
const MIN_DELTA_BYTES: usize = 512;
/// Most bytes of the length of a list on the wire.
const LENGTH_BYTES: usize = 2;
/// One exchange in this many goes to a peer that isn't known to be alive, if there is one.
const REST_EVERY: u64 = 8;

/// Span over which answers to others are counted for the pace.
const PACE_WINDOW_MS: Millis = Millis(1_000);
/// Answers, in percent of the expected ones, above which a node asks less often itself.
const PACE_FROM_PERCENT: u64 = 110;
/// How many times its usual interval a node waits at most.
const PACE_MOST: u64 = 2;
/// Most answers that are counted.
const MAX_ANSWERS: usize = 1024;

/// Names an exchange that waits for its answer.
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
    /// Names the exchange when its result is passed back.
    pub ticket: ExchangeTicket,
    /// Where to send it.
    pub peer_address: SocketAddr,
    /// What to send.
    pub exchange: Exchange,
}

/// Why an exchange had no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// The machine answered that nothing listens there.
    Refused,
    /// Nothing was heard in time.
    TimedOut,
}

/// What a bucket held when its digest was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentLine {
    pub id: NodeId,
    pub incarnation: Incarnation,
    pub version: u64,
    pub targets: usize,
}

#[derive(Debug)]
pub(crate) struct InFlight {
    pub sent_at: Millis,
    pub peer_address: SocketAddr,
    pub buckets: Vec<Vec<SentLine>>,
    pub wants: Vec<NodeId>,
}

#[derive(Debug)]
pub(crate) struct Exchanges {
    pub seeds: Vec<SocketAddr>,
    pub next_at: Millis,
    pub number: u64,
    pub in_flight: BTreeMap<u64, InFlight>,
    /// Records to ask for, with the node that holds them.
    pub wants: VecDeque<(SocketAddr, NodeId)>,
    /// When each record was last asked for.
    pub asked_at: BTreeMap<NodeId, Millis>,
    pub take_free_at: Millis,
    pub give_free_at: Millis,
    /// Addresses at which nothing listens.
    pub refused: BTreeMap<SocketAddr, Millis>,
    /// When this node lately answered digests of others.
    pub answers: VecDeque<Millis>,
    /// When any other node last answered.
    pub answered_at: Option<Millis>,
}

impl Exchanges {
    pub const fn new(seeds: Vec<SocketAddr>, now: Millis) -> Self {
        Self {
            seeds,
            next_at: now,
            number: 0,
            in_flight: BTreeMap::new(),
            wants: VecDeque::new(),
            asked_at: BTreeMap::new(),
            take_free_at: Millis::ZERO,
            give_free_at: Millis::ZERO,
            refused: BTreeMap::new(),
            answers: VecDeque::new(),
            answered_at: None,
        }
    }
}

impl View {
    /// When [`Self::next_exchange`] has something to send.
    #[must_use]
    pub fn next_exchange_at(&self) -> Millis {
        let regular = self.exchanges.next_at;
        if self.exchanges.wants.is_empty() {
            return regular;
        }
        regular.min(self.exchanges.take_free_at)
    }

    /// The next exchange to send, if one is due. Call it again until it gives none.
    pub fn next_exchange(&mut self, now: Millis) -> Option<OutgoingExchange> {
        self.touch_own(now);
        self.drop_expired(now);
        if self.exchanges.in_flight.len() >= MAX_IN_FLIGHT {
            self.schedule_exchange(now);
            return None;
        }
        if let Some(out) = self.next_want(now) {
            return Some(out);
        }
        if now < self.exchanges.next_at {
            return None;
        }
        self.schedule_exchange(now);
        let peer_address = self.pick_peer(now)?;
        let buckets = self.lines(now);
        let digests = buckets.iter().map(|lines| digest(lines)).collect();
        Some(self.open_exchange(peer_address, digests, buckets, Vec::new(), now))
    }

    /// Answers another node's exchange.
    pub fn handle_exchange(&mut self, exchange: &Exchange, now: Millis) -> ExchangeReply {
        self.touch_own(now);
        self.notice_sender(exchange, now);
        self.note_answer(exchange, now);
        let mine = self.lines(now);
        let buckets = exchange
            .digests
            .iter()
            .zip(&mine)
            .map(|(theirs, lines)| self.answer_bucket(theirs, lines, now))
            .collect();
        ExchangeReply {
            from: self.me,
            buckets,
            deltas: self.answer_wants(&exchange.wants, now),
        }
    }

    /// Notes that an exchange had no answer.
    pub fn exchange_failed(
        &mut self,
        ticket: ExchangeTicket,
        failure: ExchangeFailure,
        now: Millis,
    ) {
        let Some(sent) = self.exchanges.in_flight.remove(&ticket.0) else {
            return;
        };
        self.release_wants(&sent);
        if failure == ExchangeFailure::Refused {
            self.exchanges.refused.insert(sent.peer_address, now);
        }
    }

    pub(crate) fn release_wants(&mut self, sent: &InFlight) {
        for id in &sent.wants {
            self.exchanges.asked_at.remove(id);
        }
    }

    pub(crate) fn schedule_exchange(&mut self, now: Millis) {
        let mean = self.paced_ms(now);
        let span = self.rng.random_range(mean / 2..=mean + mean / 2);
        self.exchanges.next_at = now + Millis(span);
    }

    /// Mean time to the next exchange: the usual one, up to twice as long while more others than
    /// usual ask this node, so that the sum of both stays even.
    fn paced_ms(&mut self, now: Millis) -> u64 {
        let usual = self.settings.exchange_every_ms.0.max(2);
        let from = now - PACE_WINDOW_MS;
        self.exchanges.answers.retain(|at| *at > from);
        let answers = u64::try_from(self.exchanges.answers.len()).unwrap_or(u64::MAX);
        let expected = PACE_WINDOW_MS.0 / usual;
        let paced = usual * answers * 100 / (expected.max(1) * PACE_FROM_PERCENT);
        paced.clamp(usual, usual * PACE_MOST)
    }

    fn note_answer(&mut self, exchange: &Exchange, now: Millis) {
        if !exchange.digests.is_empty() && self.exchanges.answers.len() < MAX_ANSWERS {
            self.exchanges.answers.push_back(now);
        }
    }

    /// Plans to ask a peer for a record, unless that was asked a moment ago.
    pub(crate) fn want(&mut self, peer_address: SocketAddr, id: NodeId, now: Millis) {
        let timeout = self.settings.exchange_timeout_ms;
        let asked = self.exchanges.asked_at.get(&id);
        if asked.is_some_and(|at| now - *at < timeout) {
            return;
        }
        self.exchanges.asked_at.insert(id, now);
        if self.exchanges.wants.iter().any(|(_, queued)| *queued == id) {
            return;
        }
        self.exchanges.wants.push_back((peer_address, id));
    }

    fn next_want(&mut self, now: Millis) -> Option<OutgoingExchange> {
        if now < self.exchanges.take_free_at {
            return None;
        }
        let (peer_address, _) = *self.exchanges.wants.front()?;
        let mut wants = Vec::new();
        self.exchanges.wants.retain(|(peer, id)| {
            let take = *peer == peer_address && wants.len() < MAX_WANTS;
            if take {
                wants.push(*id);
            }
            !take
        });
        Some(self.open_exchange(peer_address, Vec::new(), Vec::new(), wants, now))
    }

    fn open_exchange(
        &mut self,
        peer_address: SocketAddr,
        digests: Vec<[u8; DIGEST_BYTES]>,
        buckets: Vec<Vec<SentLine>>,
        ids: Vec<NodeId>,
        now: Millis,
    ) -> OutgoingExchange {
        self.exchanges.number += 1;
        let number = self.exchanges.number;
        let wants = ids.iter().map(|id| self.want_of(*id)).collect();
        let sent = InFlight {
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
                from: self.me,
                incarnation: own.incarnation(),
                version: own.version,
                peer_address: own.info.peer_address,
                digests,
                wants,
            },
        }
    }

    fn want_of(&self, id: NodeId) -> Want {
        self.origins.get(&id).map_or(
            Want {
                id,
                incarnation: Incarnation(0),
                since: 0,
                releases_since: 0,
            },
            |origin| origin.want(),
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

    /// Picks a peer at random: mostly one that is alive, now and then a silent or refused one or an
    /// address from the settings that no known node has, so that separated groups meet again.
    fn pick_peer(&mut self, now: Millis) -> Option<SocketAddr> {
        let mut alive = Vec::new();
        let mut rest = Vec::new();
        for (id, origin) in self.origins.iter().filter(|(id, _)| **id != self.me) {
            let address = origin.info.peer_address;
            let refused = self.exchanges.refused.contains_key(&address);
            if refused || self.age_of(*id, origin, now) > self.settings.alive_ms {
                rest.push(address);
            } else {
                alive.push(address);
            }
        }
        let seeds = self.exchanges.seeds.iter();
        let strange = seeds.filter(|seed| !alive.contains(seed) && !rest.contains(seed));
        rest.extend(strange.copied().collect::<Vec<_>>());
        let to_rest = self.exchanges.number % REST_EVERY == REST_EVERY - 1;
        let pool = if alive.is_empty() || (to_rest && !rest.is_empty()) {
            rest
        } else {
            alive
        };
        if pool.is_empty() {
            return None;
        }
        Some(pool[self.rng.random_range(0..pool.len())])
    }

    pub(crate) fn notice_sender(&mut self, exchange: &Exchange, now: Millis) {
        self.exchanges.refused.remove(&exchange.peer_address);
        if exchange.from == self.me {
            return;
        }
        let known = self.origins.get(&exchange.from);
        let known = known.map(|origin| (origin.incarnation(), origin.version));
        if known < Some((exchange.incarnation, exchange.version)) {
            self.want(exchange.peer_address, exchange.from, now);
        }
    }

    /// The nodes whose age can be expressed, by bucket and in order of id.
    fn lines(&self, now: Millis) -> Vec<Vec<SentLine>> {
        let mut buckets: Vec<Vec<SentLine>> = (0..BUCKETS).map(|_| Vec::new()).collect();
        for (id, origin) in &self.origins {
            if Age::from_span(self.age_of(*id, origin, now)) == Age::UNKNOWN {
                continue;
            }
            let bucket = usize::try_from(id.get() % BUCKETS).unwrap_or_default();
            buckets[bucket].push(SentLine {
                id: *id,
                incarnation: origin.incarnation(),
                version: origin.version,
                targets: origin.targets.len(),
            });
        }
        buckets
    }

    fn answer_bucket(
        &self,
        theirs: &[u8; DIGEST_BYTES],
        lines: &[SentLine],
        now: Millis,
    ) -> BucketReply {
        let found = lines.iter().map(|line| (line.id, &self.origins[&line.id]));
        if digest(lines) == *theirs {
            let ages = found.clone();
            let ages = ages.map(|(id, o)| Age::from_span(self.age_of(id, o, now)));
            let loads = found.flat_map(|(_, origin)| origin.loads());
            return BucketReply::Same(ages.collect(), loads.collect());
        }
        let lines = found.map(|(id, origin)| NodeSummary {
            id,
            incarnation: origin.incarnation(),
            version: origin.version,
            age: Age::from_span(self.age_of(id, origin, now)),
            loads: origin.loads().collect(),
        });
        BucketReply::Different(lines.collect())
    }

    fn answer_wants(&mut self, wants: &[Want], now: Millis) -> Vec<NodeDelta> {
        let mut deltas = Vec::new();
        if now < self.exchanges.give_free_at {
            return deltas;
        }
        let cap = self.settings.reply_cap_bytes;
        let mut bytes = LENGTH_BYTES;
        for want in wants {
            if !deltas.is_empty() && cap.saturating_sub(bytes) < MIN_DELTA_BYTES {
                break;
            }
            let Some(origin) = self.origins.get(&want.id) else {
                continue;
            };
            if origin.incarnation() < want.incarnation {
                continue;
            }
            let age = Age::from_span(self.age_of(want.id, origin, now));
            let delta = origin.delta(want, age, cap.saturating_sub(bytes));
            bytes += encoded_bytes(&delta);
            deltas.push(delta);
        }
        if !deltas.is_empty() {
            self.exchanges.give_free_at = now + self.catch_up_time(bytes);
        }
        deltas
    }

    /// How long differences of this size keep the node from moving further ones.
    pub(crate) fn catch_up_time(&self, bytes: usize) -> Millis {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let rate = self.settings.catch_up_bytes_per_s.max(1);
        Millis(bytes.saturating_mul(1_000) / rate)
    }
}

fn digest(lines: &[SentLine]) -> [u8; DIGEST_BYTES] {
    let hash = lines.iter().fold(0, |hash, line| {
        let hash = mix(hash ^ line.id.get());
        let hash = mix(hash.wrapping_add(line.incarnation.0));
        mix(hash.wrapping_add(line.version))
    });
    let [a, b, c, d, e, f, ..] = hash.to_le_bytes();
    [a, b, c, d, e, f]
}
