//! The claim table: granting, ending, resolving and forgetting claims.

use std::collections::{BTreeMap, BTreeSet};

use mgw_contract::caller::Outcome;
use mgw_contract::operator::{LedgerRecord, LedgerState};
use mgw_world::{EntryName, Incarnation, Millis, UnixMillis};
use serde::{Deserialize, Serialize};

use super::claim::{
    Claim, ClaimKey, ClaimReply, ClaimRequest, ClaimState, ClaimantId, OutcomeReport, RecordReply,
    ResolveReply,
};
use super::key_time::read_key_time;
use crate::{Digest, LedgerRules, encode};

const TOMBSTONE_BYTES: usize = 16;

/// Truncated digest of a forgotten key that carries no time.
type Tombstone = [u8; TOMBSTONE_BYTES];

/// All claims on calls that run at most once, by idempotency key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Boxed, because the nodes of the map stay half empty when keys are inserted in order.
    claims: BTreeMap<ClaimKey, Box<Claim>>,
    /// Ended claims whose key carries a time, ordered by the start of their retention window.
    ended_timed: BTreeSet<(UnixMillis, ClaimKey)>,
    /// Ended claims whose key carries no time, ordered likewise. Forgetting one needs a free
    /// tombstone.
    ended_plain: BTreeSet<(UnixMillis, ClaimKey)>,
    /// Highest incarnation that was declared lost, for each entry.
    lost: BTreeMap<EntryName, Incarnation>,
    /// Keys created at or before this time are refused as expired. Never decreases, even when the
    /// window is widened.
    low_water: UnixMillis,
    /// Truncated digests of forgotten keys that carry no time; these keys are refused as expired.
    tombstones: BTreeSet<Tombstone>,
}

impl Ledger {
    /// Number of claims in the ledger.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the ledger has no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Number of claims in state unknown, which wait for an operator to resolve them.
    #[must_use]
    pub fn unknown_count(&self) -> u32 {
        let claims = self.claims.values();
        let unknown = claims.filter(|claim| matches!(claim.state, ClaimState::Unknown { .. }));
        u32::try_from(unknown.count()).unwrap_or(u32::MAX)
    }

    /// Number of tombstones: digests of forgotten keys that carry no time.
    #[must_use]
    pub fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// All claims as shown to operators, ordered by key.
    pub fn records(&self) -> impl Iterator<Item = LedgerRecord> {
        self.claims.iter().map(|(key, claim)| to_record(key, claim))
    }

    /// The claim of a key as shown to operators.
    #[must_use]
    pub fn record(&self, key: &ClaimKey) -> Option<LedgerRecord> {
        let claim = self.claims.get(key)?;
        Some(to_record(key, claim))
    }

    /// The outcome that an entry reported after its claim had become unknown; a hint for the
    /// operator who resolves the claim.
    #[must_use]
    pub fn late_report(&self, key: &ClaimKey) -> Option<Outcome> {
        match self.claims.get(key)?.state {
            ClaimState::Unknown { late_report } => late_report,
            _ => None,
        }
    }

    /// Incarnations of entries that have claims in progress, without duplicates.
    #[must_use]
    pub fn claimants(&self) -> Vec<ClaimantId> {
        let claims = self.claims.values();
        let in_progress = claims.filter(|claim| claim.state == ClaimState::InProgress);
        let incarnations =
            in_progress.map(|claim| (claim.claimant.entry.clone(), claim.claimant.incarnation));
        let incarnations: BTreeSet<_> = incarnations.collect();
        let to_claimant = |(entry, incarnation)| ClaimantId { entry, incarnation };
        incarnations.into_iter().map(to_claimant).collect()
    }

    /// Forgets ended claims whose window has passed at `now`.
    pub(crate) fn advance(&mut self, now: UnixMillis, rules: &LedgerRules) {
        let Some(horizon) = now.0.checked_sub(rules.window_ms.0).map(UnixMillis) else {
            return;
        };
        self.low_water = self.low_water.max(horizon);
        while let Some(key) = pop_until(&mut self.ended_timed, horizon) {
            self.claims.remove(&key);
        }
        while self.tombstones.len() < to_usize(rules.max_tombstones) {
            let Some(key) = pop_until(&mut self.ended_plain, horizon) else {
                return;
            };
            self.tombstones.insert(to_tombstone(&key));
            self.claims.remove(&key);
        }
    }

    pub(crate) fn claim(
        &mut self,
        claim_request: ClaimRequest,
        now: UnixMillis,
        rules: &LedgerRules,
    ) -> ClaimReply {
        self.mark_older_incarnations_lost(&claim_request.claimant);
        if let Some(claim) = self.claims.get(&claim_request.key) {
            return reply_for_existing(claim, &claim_request);
        }
        let key_time = read_key_time(&claim_request.key.key);
        let is_expired = match key_time {
            Some(created_at) => created_at <= self.low_water,
            None => self.tombstones.contains(&to_tombstone(&claim_request.key)),
        };
        if is_expired {
            return ClaimReply::Expired;
        }
        if self.is_lost(&claim_request.claimant) {
            return ClaimReply::EntryLost;
        }
        if self.claims.len() >= to_usize(rules.max_claims) {
            return ClaimReply::Full {
                retry_after_ms: self.time_until_next_expiry(now, rules),
            };
        }
        let claim = Claim {
            digest: claim_request.digest,
            request: claim_request.request,
            claimant: claim_request.claimant,
            claimed_at: now,
            state: ClaimState::InProgress,
        };
        self.claims.insert(claim_request.key, Box::new(claim));
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

    /// Removes a claim in progress, so that the key may be claimed again. The claimant guarantees
    /// that no byte of the call was sent.
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

    /// Marks an incarnation and all earlier ones as lost and their claims in progress as unknown;
    /// returns how many claims became unknown.
    pub(crate) fn mark_entry_lost(&mut self, claimant: &ClaimantId) -> u32 {
        let lost = self.lost.entry(claimant.entry.clone()).or_default();
        if *lost < claimant.incarnation {
            *lost = claimant.incarnation;
        }
        let mut unknown = 0;
        for claim in self.claims.values_mut() {
            let is_affected = claim.claimant.entry == claimant.entry
                && claim.claimant.incarnation <= claimant.incarnation;
            if is_affected && claim.state == ClaimState::InProgress {
                claim.state = ClaimState::Unknown { late_report: None };
                unknown += 1;
            }
        }
        unknown
    }

    pub(crate) fn resolve(&mut self, key: ClaimKey, ran: bool, now: UnixMillis) -> ResolveReply {
        let resolved_outcome = if ran { Outcome::Done } else { Outcome::NotRun };
        let Some(claim) = self.claims.get_mut(&key) else {
            return ResolveReply::NoClaim;
        };
        match claim.state {
            ClaimState::InProgress => ResolveReply::InProgress,
            ClaimState::Ended { outcome, .. } if outcome == resolved_outcome => {
                ResolveReply::Resolved { outcome }
            }
            ClaimState::Ended { outcome, .. } => ResolveReply::AlreadyEnded { outcome },
            ClaimState::Unknown { .. } => {
                claim.state = ClaimState::Ended {
                    at: now,
                    outcome: resolved_outcome,
                    response: None,
                };
                self.start_window(key, now);
                ResolveReply::Resolved {
                    outcome: resolved_outcome,
                }
            }
        }
    }

    /// Marks all incarnations before the claimant's as lost: a claim by a newer incarnation shows
    /// that the entry was restarted.
    fn mark_older_incarnations_lost(&mut self, claimant: &ClaimantId) {
        let Some(older) = claimant.incarnation.0.checked_sub(1) else {
            return;
        };
        let older = Incarnation(older);
        let is_already_lost = self
            .lost
            .get(&claimant.entry)
            .is_some_and(|lost| *lost >= older);
        if !is_already_lost {
            self.mark_entry_lost(&ClaimantId {
                entry: claimant.entry.clone(),
                incarnation: older,
            });
        }
    }

    fn is_lost(&self, claimant: &ClaimantId) -> bool {
        let lost = self.lost.get(&claimant.entry);
        lost.is_some_and(|lost| claimant.incarnation <= *lost)
    }

    /// Starts the retention window of an ended claim: at `now`, or at the time that the key carries
    /// if that is later.
    fn start_window(&mut self, key: ClaimKey, now: UnixMillis) {
        match read_key_time(&key.key) {
            Some(created_at) => self.ended_timed.insert((created_at.max(now), key)),
            None => self.ended_plain.insert((now, key)),
        };
    }

    /// Time until the next ended claim is forgotten; none when no claim can be.
    fn time_until_next_expiry(&self, now: UnixMillis, rules: &LedgerRules) -> Option<Millis> {
        let has_free_tombstone = self.tombstones.len() < to_usize(rules.max_tombstones);
        let plain = self.ended_plain.first().filter(|_| has_free_tombstone);
        let candidates = self.ended_timed.first().into_iter().chain(plain);
        let since = candidates.map(|(since, _)| since.0).min()?;
        let expires_at = since.saturating_add(rules.window_ms.0);
        Some(Millis(expires_at.saturating_sub(now.0)))
    }
}

/// Removes and returns the first key whose window started at or before the horizon.
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

/// The reply to a request for a key that is already claimed.
fn reply_for_existing(claim: &Claim, claim_request: &ClaimRequest) -> ClaimReply {
    let request = claim.request;
    if claim.digest != claim_request.digest {
        return ClaimReply::Conflict { request };
    }
    match &claim.state {
        ClaimState::InProgress
            if request == claim_request.request && claim.claimant == claim_request.claimant =>
        {
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
    let mut tombstone = [0; TOMBSTONE_BYTES];
    tombstone.copy_from_slice(&digest.0[..TOMBSTONE_BYTES]);
    tombstone
}

fn to_usize(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
