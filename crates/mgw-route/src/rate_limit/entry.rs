//! The rate limits of targets as one entry keeps them.

use std::collections::{HashMap, HashSet};

use mgw_world::{Incarnation, Millis, TargetName};

use super::rate::RequestRate;
use super::report::{LimitReport, LimitUpdate, StatedRate, TokenDemand, ToldLimit};
use crate::exclusions::TargetRun;

/// An answer without a limit ends the limit only if it came so long after the target last stated it:
/// answers on different connections overtake each other, and ages that processes tell are inexact.
const END_SLACK_MS: Millis = Millis(500);
/// How long an ended limit is remembered that no control tells any more.
const REMEMBER_ENDED_MS: Millis = Millis(30_000);
/// Part of the demand for a target that counts on from one report to the next, so that an entry
/// with few requests asks for a token before the next one comes.
const DEMAND_KEPT: f64 = 0.7;
/// Least demand for which a token is asked.
const MIN_DEMAND: f64 = 0.1;
/// Tokens asked for each request that is expected until the next report, as requests come at random.
const ASKED_PER_EXPECTED: f64 = 2.0;
/// How long a target is remembered after it was last listed. A view may list it again after its home
/// node has restarted.
const REMEMBER_MS: Millis = Millis(300_000);

/// What an entry knows of the limit of one run of a target.
#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    incarnation: Incarnation,
    /// `None` after the target has answered without a limit.
    rate: Option<RequestRate>,
    /// When the target last said so.
    stated_at: Millis,
    /// Whether the control has told the same.
    is_told: bool,
    /// Requests that may be sent to the target until then.
    tokens: u32,
    tokens_until: Millis,
    /// Requests for the target in a report interval, with or without a token: a decaying sum.
    demand: f64,
    /// When the target was last in the list of usable ones.
    listed_at: Millis,
}

impl KnownLimit {
    const fn new(incarnation: Incarnation, now: Millis) -> Self {
        Self {
            incarnation,
            rate: None,
            stated_at: Millis::ZERO,
            is_told: false,
            tokens: 0,
            tokens_until: Millis::ZERO,
            demand: 0.0,
            listed_at: now,
        }
    }

    fn has_token(&self, now: Millis) -> bool {
        self.tokens > 0 && now < self.tokens_until
    }

    /// Tokens to ask for until the next report.
    fn ask(&mut self) -> u32 {
        let demand = self.demand;
        self.demand *= DEMAND_KEPT;
        if demand < MIN_DEMAND {
            return 0;
        }
        let expected = demand * (1.0 - DEMAND_KEPT);
        (expected * ASKED_PER_EXPECTED).ceil() as u32
    }

    /// Replaces the limit. Tokens of a higher one are void.
    fn set(&mut self, rate: Option<RequestRate>, stated_at: Millis) {
        let has_fallen = match (self.rate, rate) {
            (Some(from), Some(to)) => to < from,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if has_fallen {
            self.tokens = 0;
        }
        self.rate = rate;
        self.stated_at = stated_at;
    }
}

/// A limit that is new, has another value or has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitChange {
    /// The target.
    pub run: TargetRun,
    /// The limit before.
    pub from: Option<RequestRate>,
    /// The limit from now on.
    pub to: Option<RequestRate>,
    /// Time since the target said so.
    pub age_ms: Millis,
}

/// The rate limits of targets as one entry keeps them. It sends a request to a target with a limit
/// only for a token of the control that collects the entries' reports. Without one it sends nothing
/// there, so that the sum over all entries is kept whatever an entry or a control doesn't know.
#[derive(Debug, Clone, Default)]
pub struct EntryRateLimits {
    targets: HashMap<TargetName, KnownLimit>,
    /// Whether a control has told the limits since the entry started.
    is_informed: bool,
}

impl EntryRateLimits {
    /// Whether a control has told the limits since the entry started.
    #[must_use]
    pub const fn is_informed(&self) -> bool {
        self.is_informed
    }

    /// Number of targets with a limit.
    #[must_use]
    pub fn len(&self) -> usize {
        let limits = self.targets.values();
        limits.filter(|it| it.rate.is_some()).count()
    }

    /// Whether no target has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.values().all(|it| it.rate.is_none())
    }

    /// The limit of a run of a target.
    #[must_use]
    pub fn rate(&self, name: &TargetName, incarnation: Incarnation) -> Option<RequestRate> {
        self.known(name, incarnation).and_then(|it| it.rate)
    }

    /// Time since a target last stated its limit; `None` if it has none.
    #[must_use]
    pub fn stated_age_ms(&self, run: &TargetRun, now: Millis) -> Option<Millis> {
        let known = self.known(&run.name, run.incarnation);
        let limited = known.filter(|it| it.rate.is_some());
        limited.map(|it| now - it.stated_at)
    }

    /// Whether a request may be sent to a run of a target now.
    #[must_use]
    pub fn may_send(&self, name: &TargetName, incarnation: Incarnation, now: Millis) -> bool {
        let known = self.known(name, incarnation);
        let limited = known.filter(|it| it.rate.is_some());
        limited.is_none_or(|it| it.has_token(now))
    }

    /// Spends a token for a request to a target; `false` if it has a limit and no token is left.
    pub fn take(&mut self, run: &TargetRun, now: Millis) -> bool {
        let Some(known) = self.limited(run) else {
            return true;
        };
        if !known.has_token(now) {
            return false;
        }
        known.tokens -= 1;
        known.demand += 1.0;
        true
    }

    /// Records that a request would be sent to a target if there were a token for it.
    pub fn want(&mut self, run: &TargetRun) {
        if let Some(known) = self.limited(run) {
            known.demand += 1.0;
        }
    }

    /// Records what an answer of a target stated: its limit, or that it has none. Returns the change,
    /// if it is one.
    pub fn record_answer(
        &mut self,
        run: &TargetRun,
        rate: Option<RequestRate>,
        now: Millis,
    ) -> Option<LimitChange> {
        if rate.is_none() && !self.may_end(run, now) {
            return None;
        }
        let stated = StatedRate {
            run: run.clone(),
            rate,
            age_ms: Millis::ZERO,
        };
        self.record(&stated, now, now)
    }

    /// This entry's report. The entry has no tokens from now until the control's update.
    pub fn report(&mut self, entries: u32, now: Millis) -> LimitReport {
        let mut report = LimitReport {
            entries,
            ..LimitReport::default()
        };
        for (name, known) in &mut self.targets {
            let run = TargetRun {
                name: name.clone(),
                incarnation: known.incarnation,
            };
            let returned = if known.has_token(now) {
                known.tokens
            } else {
                0
            };
            let wanted = if known.rate.is_some() { known.ask() } else { 0 };
            known.tokens = 0;
            if !known.is_told {
                report.stated.push(StatedRate {
                    run: run.clone(),
                    rate: known.rate,
                    age_ms: now - known.stated_at,
                });
            }
            if returned > 0 || wanted > 0 {
                report.demands.push(TokenDemand {
                    run,
                    returned,
                    wanted,
                });
            }
        }
        report
    }

    /// Applies the control's update on the report of `asked_at`. Returns what has changed.
    pub fn apply(
        &mut self,
        update: &LimitUpdate,
        asked_at: Millis,
        now: Millis,
    ) -> Vec<LimitChange> {
        self.is_informed = true;
        for known in self.targets.values_mut() {
            known.is_told = false;
        }
        let tokens_until = asked_at + update.valid_ms;
        let told = update.limits.iter();
        told.filter_map(|told| self.apply_told(told, tokens_until, now))
            .collect()
    }

    fn apply_told(
        &mut self,
        told: &ToldLimit,
        tokens_until: Millis,
        now: Millis,
    ) -> Option<LimitChange> {
        let stated = &told.stated;
        let run = &stated.run;
        if stated.rate.is_none() && !self.targets.contains_key(&run.name) {
            return None;
        }
        let change = self.record(stated, now - stated.age_ms, now);
        let known = self.targets.get_mut(&run.name)?;
        if known.incarnation != run.incarnation {
            return change;
        }
        known.is_told = known.rate == stated.rate;
        // The tokens of a limit that has fallen since are void.
        if stated.rate <= known.rate {
            known.tokens = told.tokens;
            known.tokens_until = tokens_until;
        }
        change
    }

    /// Takes what a target said at `stated_at`, unless it has said something else since.
    fn record(
        &mut self,
        stated: &StatedRate,
        stated_at: Millis,
        now: Millis,
    ) -> Option<LimitChange> {
        let run = &stated.run;
        let new = || KnownLimit::new(run.incarnation, now);
        let known = self.targets.entry(run.name.clone()).or_insert_with(new);
        if known.incarnation > run.incarnation {
            return None;
        }
        if known.incarnation < run.incarnation {
            *known = new();
        }
        if known.rate == stated.rate {
            known.stated_at = known.stated_at.max(stated_at);
            return None;
        }
        if stated_at < known.stated_at {
            return None;
        }
        let from = known.rate;
        known.set(stated.rate, stated_at);
        known.is_told = false;
        Some(LimitChange {
            run: run.clone(),
            from,
            to: stated.rate,
            age_ms: now - stated_at,
        })
    }

    /// Drops targets that weren't listed for long, and limits that have ended and that the control
    /// knows of.
    pub fn expire<'a>(&mut self, listed: impl Iterator<Item = &'a TargetRun>, now: Millis) {
        let listed: HashSet<&TargetName> = listed.map(|run| &run.name).collect();
        self.targets.retain(|name, known| {
            if listed.contains(name) {
                known.listed_at = now;
            }
            let is_known_to_all = known.is_told || now - known.stated_at > REMEMBER_ENDED_MS;
            let is_over = known.rate.is_none() && is_known_to_all;
            now - known.listed_at <= REMEMBER_MS && !is_over
        });
    }

    /// Whether an answer without a limit that came now ends the target's limit.
    fn may_end(&self, run: &TargetRun, now: Millis) -> bool {
        let known = self.known(&run.name, run.incarnation);
        known.is_some_and(|it| it.rate.is_some() && now >= it.stated_at + END_SLACK_MS)
    }

    fn known(&self, name: &TargetName, incarnation: Incarnation) -> Option<&KnownLimit> {
        let known = self.targets.get(name)?;
        (known.incarnation == incarnation).then_some(known)
    }

    fn limited(&mut self, run: &TargetRun) -> Option<&mut KnownLimit> {
        let known = self.targets.get_mut(&run.name)?;
        (known.incarnation == run.incarnation && known.rate.is_some()).then_some(known)
    }
}
