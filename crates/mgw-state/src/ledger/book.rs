//! The claims and their rules.

use std::collections::{BTreeMap, BTreeSet};

use mgw_contract::caller::Outcome;
use mgw_contract::operator::{LedgerRecord, LedgerState};
use mgw_world::{EntryName, Incarnation, Millis, UnixMillis};
use serde::{Deserialize, Serialize};

use super::claim::{
    Claim, ClaimKey, ClaimReply, ClaimRequest, ClaimState, ClaimantId, OutcomeReport, RecordReply,
    ResolveReply,
};
use super::key::read_key_time;
use crate::{Digest, LedgerRules, encode};

const TOMBSTONE_BYTES: usize = 16;

/// Short digest of a forgotten key that carries no time.
type Tombstone = [u8; TOMBSTONE_BYTES];

/// All claims of calls that run at most once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Boxed, as the nodes of the map are half empty when keys come in order.
    claims: BTreeMap<ClaimKey, Box<Claim>>,
    /// Ended claims whose key carries a time, by the time from which their window runs.
    ended_timed: BTreeSet<(UnixMillis, ClaimKey)>,
    /// The other ended claims; they are forgotten only into a tombstone.
    ended_plain: BTreeSet<(UnixMillis, ClaimKey)>,
    /// Highest incarnation of each entry that was declared lost.
    lost: BTreeMap<EntryName, Incarnation>,
    /// Keys made at this time or before are refused; never goes back, also when the window grows.
    low_water: UnixMillis,
    /// Digests of forgotten keys that carry no time.
    tombstones: BTreeSet<Tombstone>,
}

impl Ledger {
    /// Number of claims held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Number of claims that wait for an operator.
    #[must_use]
    pub fn unknown_count(&self) -> u32 {
        let claims = self.claims.values();
        let unknown = claims.filter(|claim| matches!(claim.state, ClaimState::Unknown { .. }));
        u32::try_from(unknown.count()).unwrap_or(u32::MAX)
    }

    /// Number of digests kept of forgotten keys that carry no time.
    #[must_use]
    pub fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// The claims for operators, in the order of their keys.
    pub fn records(&self) -> impl Iterator<Item = LedgerRecord> {
        self.claims.iter().map(|(key, claim)| to_record(key, claim))
    }

    /// One claim for operators.
    #[must_use]
    pub fn record(&self, key: &ClaimKey) -> Option<LedgerRecord> {
        let claim = self.claims.get(key)?;
        Some(to_record(key, claim))
    }

    /// What a lost entry reported too late about a claim, as a hint for the operator.
    #[must_use]
    pub fn late_report(&self, key: &ClaimKey) -> Option<Outcome> {
        match self.claims.get(key)?.state {
            ClaimState::Unknown { late_report } => late_report,
            _ => None,
        }
    }

    /// Entries with claims in progress, each once.
    #[must_use]
    pub fn claimants(&self) -> Vec<ClaimantId> {
        let claims = self.claims.values();
        let open = claims.filter(|claim| claim.state == ClaimState::InProgress);
        let lives = open.map(|claim| (claim.claimant.entry.clone(), claim.claimant.incarnation));
        let lives: BTreeSet<_> = lives.collect();
        let to_claimant = |(entry, incarnation)| ClaimantId { entry, incarnation };
        lives.into_iter().map(to_claimant).collect()
    }

    /// Forgets ended claims that have left the window.
    pub(crate) fn advance(&mut self, now: UnixMillis, rules: &LedgerRules) {
        let Some(horizon) = now.0.checked_sub(rules.window_ms.0).map(UnixMillis) else {
            return;
        };
        self.low_water = self.low_water.max(horizon);
        while let Some(key) = pop_until(&mut self.ended_timed, horizon) {
            self.claims.remove(&key);
        }
        while self.tombstones.len() < to_count(rules.max_tombstones) {
            let Some(key) = pop_until(&mut self.ended_plain, horizon) else {
                return;
            };
            self.tombstones.insert(to_tombstone(&key));
            self.claims.remove(&key);
        }
    }

    pub(crate) fn claim(
        &mut self,
        asked: ClaimRequest,
        now: UnixMillis,
        rules: &LedgerRules,
    ) -> ClaimReply {
        self.lose_older(&asked.claimant);
        if let Some(claim) = self.claims.get(&asked.key) {
            return answer_known(claim, &asked);
        }
        let key_time = read_key_time(&asked.key.key);
        let is_expired = match key_time {
            Some(made_at) => made_at <= self.low_water,
            None => self.tombstones.contains(&to_tombstone(&asked.key)),
        };
        if is_expired {
            return ClaimReply::Expired;
        }
        if self.is_lost(&asked.claimant) {
            return ClaimReply::EntryLost;
        }
        if self.claims.len() >= to_count(rules.max_claims) {
            return ClaimReply::Full {
                retry_after_ms: self.next_free(now, rules),
            };
        }
        let claim = Claim {
            digest: asked.digest,
            request: asked.request,
            claimant: asked.claimant,
            claimed_at: now,
            state: ClaimState::InProgress,
        };
        self.claims.insert(asked.key, Box::new(claim));
        ClaimReply::Granted
    }

    pub(crate) fn record_outcome(&mut self, report: OutcomeReport, now: UnixMillis) -> RecordReply {
        let Some(claim) = self.claims.get_mut(&report.key) else {
            return RecordReply::NoClaim;
        };
        if claim.request != report.request || claim.claimant != report.claimant {
            return RecordReply::NotHolder;
        }
        match &mut claim.state {
            ClaimState::Unknown { late_report } => {
                late_report.get_or_insert(report.outcome);
                RecordReply::Unknown
            }
            ClaimState::Ended { outcome, .. } if *outcome == report.outcome => {
                RecordReply::Recorded
            }
            ClaimState::Ended { outcome, .. } => RecordReply::AlreadyEnded { outcome: *outcome },
            ClaimState::InProgress if report.outcome == Outcome::Unknown => {
                claim.state = ClaimState::Unknown { late_report: None };
                RecordReply::Recorded
            }
            ClaimState::InProgress => {
                claim.state = ClaimState::Ended {
                    at: now,
                    outcome: report.outcome,
                    response: report.response.map(Box::new),
                };
                self.start_window(report.key, now);
                RecordReply::Recorded
            }
        }
    }

    /// Gives a claim back; the claimant vouches that no byte was sent.
    pub(crate) fn release(
        &mut self,
        key: &ClaimKey,
        request: mgw_world::RequestId,
        claimant: &ClaimantId,
    ) -> RecordReply {
        let Some(claim) = self.claims.get(key) else {
            return RecordReply::NoClaim;
        };
        if claim.request != request || claim.claimant != *claimant {
            return RecordReply::NotHolder;
        }
        match claim.state {
            ClaimState::Unknown { .. } => RecordReply::Unknown,
            ClaimState::Ended { outcome, .. } => RecordReply::AlreadyEnded { outcome },
            ClaimState::InProgress => {
                self.claims.remove(key);
                RecordReply::Recorded
            }
        }
    }

    /// Declares an incarnation and all before it lost; tells how many claims became unknown.
    pub(crate) fn lose_entry(&mut self, claimant: &ClaimantId) -> u32 {
        let lost = self.lost.entry(claimant.entry.clone()).or_default();
        if *lost < claimant.incarnation {
            *lost = claimant.incarnation;
        }
        let mut count = 0;
        for claim in self.claims.values_mut() {
            let is_theirs = claim.claimant.entry == claimant.entry
                && claim.claimant.incarnation <= claimant.incarnation;
            if is_theirs && claim.state == ClaimState::InProgress {
                claim.state = ClaimState::Unknown { late_report: None };
                count += 1;
            }
        }
        count
    }

    pub(crate) fn resolve(&mut self, key: ClaimKey, ran: bool, now: UnixMillis) -> ResolveReply {
        let wanted = if ran { Outcome::Done } else { Outcome::NotRun };
        let Some(claim) = self.claims.get_mut(&key) else {
            return ResolveReply::NoClaim;
        };
        match claim.state {
            ClaimState::InProgress => ResolveReply::InProgress,
            ClaimState::Ended { outcome, .. } if outcome == wanted => {
                ResolveReply::Resolved { outcome }
            }
            ClaimState::Ended { outcome, .. } => ResolveReply::AlreadyEnded { outcome },
            ClaimState::Unknown { .. } => {
                claim.state = ClaimState::Ended {
                    at: now,
                    outcome: wanted,
                    response: None,
                };
                self.start_window(key, now);
                ResolveReply::Resolved { outcome: wanted }
            }
        }
    }

    /// A claim by a newer incarnation shows that the older ones are gone.
    fn lose_older(&mut self, claimant: &ClaimantId) {
        let Some(older) = claimant.incarnation.0.checked_sub(1) else {
            return;
        };
        let older = Incarnation(older);
        let is_known = self
            .lost
            .get(&claimant.entry)
            .is_some_and(|lost| *lost >= older);
        if !is_known {
            self.lose_entry(&ClaimantId {
                entry: claimant.entry.clone(),
                incarnation: older,
            });
        }
    }

    fn is_lost(&self, claimant: &ClaimantId) -> bool {
        let lost = self.lost.get(&claimant.entry);
        lost.is_some_and(|lost| claimant.incarnation <= *lost)
    }

    /// The window of a key that carries a later time than its outcome runs from that time.
    fn start_window(&mut self, key: ClaimKey, now: UnixMillis) {
        match read_key_time(&key.key) {
            Some(made_at) => self.ended_timed.insert((made_at.max(now), key)),
            None => self.ended_plain.insert((now, key)),
        };
    }

    /// Time until the next claim is forgotten; none when none can be.
    fn next_free(&self, now: UnixMillis, rules: &LedgerRules) -> Option<Millis> {
        let has_room = self.tombstones.len() < to_count(rules.max_tombstones);
        let plain = self.ended_plain.first().filter(|_| has_room);
        let next = self.ended_timed.first().into_iter().chain(plain);
        let since = next.map(|(since, _)| since.0).min()?;
        let free_at = since.saturating_add(rules.window_ms.0);
        Some(Millis(free_at.saturating_sub(now.0)))
    }
}

/// Takes the first key whose time is at or before the horizon.
fn pop_until(
    ended: &mut BTreeSet<(UnixMillis, ClaimKey)>,
    horizon: UnixMillis,
) -> Option<ClaimKey> {
    let (since, _) = ended.first()?;
    if *since > horizon {
        return None;
    }
    ended.pop_first().map(|(_, key)| key)
}

fn answer_known(claim: &Claim, asked: &ClaimRequest) -> ClaimReply {
    let request = claim.request;
    if claim.digest != asked.digest {
        return ClaimReply::Conflict { request };
    }
    match &claim.state {
        ClaimState::InProgress if request == asked.request && claim.claimant == asked.claimant => {
            ClaimReply::Granted
        }
        ClaimState::InProgress => ClaimReply::InProgress { request },
        ClaimState::Unknown { .. } => ClaimReply::Unknown { request },
        ClaimState::Ended {
            outcome, response, ..
        } => ClaimReply::Ended {
            request,
            outcome: *outcome,
            response: response.as_deref().cloned(),
        },
    }
}

fn to_record(key: &ClaimKey, claim: &Claim) -> LedgerRecord {
    LedgerRecord {
        workspace: key.workspace.clone(),
        service: key.service.clone(),
        key: key.key.clone(),
        request: claim.request,
        entry: claim.claimant.entry.clone(),
        state: match claim.state {
            ClaimState::InProgress => LedgerState::InProgress,
            ClaimState::Unknown { .. } => LedgerState::Unknown,
            ClaimState::Ended { outcome, .. } => LedgerState::Ended(outcome),
        },
        claimed_unix_ms: claim.claimed_at,
    }
}

fn to_tombstone(key: &ClaimKey) -> Tombstone {
    let digest = Digest::of(&encode(key));
    let mut short = [0; TOMBSTONE_BYTES];
    short.copy_from_slice(&digest.0[..TOMBSTONE_BYTES]);
    short
}

fn to_count(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
