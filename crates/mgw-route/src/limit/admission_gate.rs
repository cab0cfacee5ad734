//! Admission of requests at an entry, by the level that the collecting control told and by own evidence
//! once that is outdated.

use std::collections::HashMap;

use mgw_world::{Millis, RequestDigest, ServiceName, WorkspaceName};

use super::admission_table::AdmissionTable;
use super::admission_turns::{FairShare, has_turn, return_ms};
use super::level::{AdmissionLevel, RETURN_CYCLE_MS, ServiceDemand, UrgencyDemand};

/// Shortest time between two updates of the levels by the entry's own counts.
const OWN_INTERVAL_MS: Millis = Millis(400);
/// Time over which an outdated level is relaxed until it admits everything.
const RELAX_MS: Millis = Millis(3_000);
/// Name under which the entry records its own counts for itself.
const OWN: &str = "";

/// A request before its first send.
#[derive(Debug, Clone, Copy)]
pub struct GateRequest<'a> {
    /// Service that is to answer.
    pub service: &'a ServiceName,
    /// Rank, where 0 is the most urgent.
    pub urgency: u8,
    /// Workspace of the caller.
    pub workspace: Option<&'a WorkspaceName>,
}

/// A request is below the admission level.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Time after which the caller may return.
    pub return_ms: Millis,
}

/// A level that began, ended or moved to another urgency, as seen by an entry. The control's view is
/// [`LevelStep`](crate::LevelStep).
#[derive(Debug, Clone, PartialEq)]
pub struct LevelChange {
    /// Name of the service.
    pub service: ServiceName,
    /// Level until now.
    pub from: Option<AdmissionLevel>,
    /// Level from now on.
    pub to: Option<AdmissionLevel>,
    /// Time for which the former level was in force.
    pub age_ms: Millis,
}

#[derive(Debug, Clone)]
struct ToldLevel {
    level: AdmissionLevel,
    told_at: Millis,
    since: Millis,
}

/// Counts of requests and the admission of new ones at one entry.
#[derive(Debug, Default)]
pub struct AdmissionGate {
    seed: u64,
    demand: Vec<ServiceDemand>,
    levels: HashMap<ServiceName, ToldLevel>,
    /// When a control last told which levels there are, or that there are none.
    told_at: Option<Millis>,
    valid_ms: Millis,
    shares: HashMap<(ServiceName, u8), FairShare>,
    own: AdmissionTable,
    own_recorded_at: Millis,
}

impl AdmissionGate {
    /// Creates a gate that admits everything; `seed` differs between entries.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Counts since the entry started.
    #[must_use]
    pub fn demand(&self) -> Vec<ServiceDemand> {
        self.demand.clone()
    }

    /// Counts a new request and decides whether it is admitted. Its digest, which is the same in each
    /// attempt of the caller, is asked for only while a level is in force.
    ///
    /// # Errors
    /// When the request is below the level.
    pub fn admit(
        &mut self,
        request: &GateRequest<'_>,
        digest: impl FnOnce() -> RequestDigest,
        now: Millis,
    ) -> Result<(), AdmissionRefusal> {
        self.counts(request.service, request.urgency).offered += 1;
        self.record_own(now);
        let Some(effective) = self.effective(request, now) else {
            return Ok(());
        };
        let digest = digest();
        let has_turn = has_turn(&digest, effective.phase_ms);
        let key = (request.service.clone(), request.urgency);
        let seed = self.seed.wrapping_add(u64::from(request.urgency));
        let fair = self
            .shares
            .entry(key)
            .or_insert_with(|| FairShare::new(seed));
        if fair.admit(request.workspace, has_turn, effective.share) {
            return Ok(());
        }
        self.counts(request.service, request.urgency).below += 1;
        Err(AdmissionRefusal {
            return_ms: return_ms(&digest, effective.phase_ms, effective.ranks),
        })
    }

    /// Records that the answer to a new request has begun.
    pub fn record_begun(&mut self, service: &ServiceName, urgency: u8) {
        self.counts(service, urgency).begun += 1;
    }

    /// Records that an admitted request was refused for lack of room.
    pub fn record_full(&mut self, service: &ServiceName, urgency: u8) {
        self.counts(service, urgency).full += 1;
    }

    /// Takes the levels that the control told; they are valid for `valid_ms`. Returns those that began, ended
    /// or moved to another urgency; changes of share alone are left out.
    pub fn set_levels(
        &mut self,
        levels: &[AdmissionLevel],
        valid_ms: Millis,
        now: Millis,
    ) -> Vec<LevelChange> {
        self.valid_ms = valid_ms;
        self.told_at = Some(now);
        let mut changes = Vec::new();
        self.levels.retain(|service, told| {
            let is_told = levels.iter().any(|level| level.service == *service);
            if !is_told {
                changes.push(LevelChange {
                    service: service.clone(),
                    from: Some(told.level.clone()),
                    to: None,
                    age_ms: now - told.since,
                });
            }
            is_told
        });
        for level in levels {
            changes.extend(self.set_level(level, now));
        }
        changes
    }

    fn set_level(&mut self, level: &AdmissionLevel, now: Millis) -> Option<LevelChange> {
        let before = self.levels.get(&level.service);
        let is_same = before.is_some_and(|told| told.level.urgency == level.urgency);
        let since = before.map_or(now, |told| told.since);
        let change = (!is_same).then(|| LevelChange {
            service: level.service.clone(),
            from: before.map(|told| told.level.clone()),
            to: Some(level.clone()),
            age_ms: now - since,
        });
        let told = ToldLevel {
            level: level.clone(),
            told_at: now,
            since: if is_same { since } else { now },
        };
        self.levels.insert(level.service.clone(), told);
        change
    }

    /// The share of requests like this one that is admitted; `None` if all are.
    fn effective(&mut self, request: &GateRequest, now: Millis) -> Option<Effective> {
        let told = self.levels.get(request.service);
        let is_valid = self.told_at.is_some_and(|at| now - at <= self.valid_ms);
        let of_told =
            told.map(|told| Effective::of_told(told, request.urgency, self.valid_ms, now));
        let of_own = if is_valid {
            None
        } else {
            let mut own = self.own.levels(OWN_INTERVAL_MS, now).iter();
            let level = own.find(|level| level.service == *request.service);
            level.map(|level| Effective::of_own(level, request.urgency, now))
        };
        let candidates = [of_told, of_own].into_iter().flatten();
        let least = candidates.min_by(|one, other| one.share.total_cmp(&other.share));
        least.filter(|effective| effective.share < 1.0)
    }

    fn record_own(&mut self, now: Millis) {
        if now - self.own_recorded_at < OWN_INTERVAL_MS {
            return;
        }
        self.own_recorded_at = now;
        self.own.record(OWN, &self.demand, RELAX_MS, now);
        self.own.levels(OWN_INTERVAL_MS, now);
    }

    fn counts(&mut self, service: &ServiceName, urgency: u8) -> &mut UrgencyDemand {
        let known = self.demand.iter().position(|it| it.service == *service);
        let index = known.unwrap_or_else(|| {
            self.demand.push(ServiceDemand {
                service: service.clone(),
                by_urgency: Vec::new(),
            });
            self.demand.len() - 1
        });
        let by_urgency = &mut self.demand[index].by_urgency;
        let known = by_urgency.iter().position(|it| it.urgency == urgency);
        let index = known.unwrap_or_else(|| {
            by_urgency.push(UrgencyDemand {
                urgency,
                ..UrgencyDemand::default()
            });
            by_urgency.len() - 1
        });
        &mut by_urgency[index]
    }
}

/// What a level means for one request.
#[derive(Debug, Clone, Copy)]
struct Effective {
    share: f64,
    phase_ms: Millis,
    /// Ranks by which the request is less urgent than the level.
    ranks: u8,
}

impl Effective {
    /// By the control's level, relaxed once it is outdated.
    fn of_told(told: &ToldLevel, urgency: u8, valid_ms: Millis, now: Millis) -> Self {
        let age_ms = now - told.told_at;
        let outdated_ms = (age_ms - valid_ms).min(RELAX_MS);
        let relaxed = outdated_ms.0 as f64 / RELAX_MS.0 as f64;
        let share = told.level.share(urgency);
        Self {
            share: share + (1.0 - share) * relaxed,
            phase_ms: Millis((told.level.phase_ms + age_ms).0 % RETURN_CYCLE_MS.0),
            ranks: urgency.saturating_sub(told.level.urgency),
        }
    }

    fn of_own(level: &AdmissionLevel, urgency: u8, now: Millis) -> Self {
        Self {
            share: level.share(urgency),
            phase_ms: Millis(now.0 % RETURN_CYCLE_MS.0),
            ranks: urgency.saturating_sub(level.urgency),
        }
    }
}
