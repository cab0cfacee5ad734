//! The rate limits of all targets, at the control that collects the reports of the entries.

use std::collections::BTreeMap;

use mgw_world::{Incarnation, Millis, TargetName};

use super::rate::RequestRate;
use super::report::{LimitReport, LimitUpdate, StatedRate, TokenDemand, ToldLimit};
use crate::chain::{report_interval_ms, report_valid_ms};
use crate::exclusions::TargetRun;

/// Rate at which tokens are given for a target that takes less: somebody has to ask it from time to time
/// whether its limit still holds.
const MIN_PER_S: f64 = 0.1;
/// Most unspent tokens of a target, at the controls and at all entries together, beside those of
/// [`MAX_UNSPENT_MS`]. A target may get all of them at once.
const MAX_UNSPENT: f64 = 3.0;
/// Span for which unspent tokens are saved: as many as the limit allows in it.
const MAX_UNSPENT_MS: Millis = Millis(1_500);
/// Report intervals after which unspent tokens are void: the next report may be late.
const VALID_INTERVALS: u64 = 2;
/// Shortest time after which unspent tokens are void.
const MIN_VALID_MS: Millis = Millis(1_000);
/// How long an ended limit is told, so that all entries hear of its end.
const TELL_ENDED_MS: Millis = Millis(30_000);
/// How long a limit is kept that no entry has reported.
const REMEMBER_MS: Millis = Millis(600_000);

/// Tokens that an entry was given.
#[derive(Debug, Clone, Copy)]
struct HeldTokens {
    count: u32,
    void_at: Millis,
}

/// A target's limit with its tokens.
#[derive(Debug, Clone)]
struct SharedLimit {
    incarnation: Incarnation,
    rate: Option<RequestRate>,
    stated_at: Millis,
    reported_at: Millis,
    /// Tokens that no entry holds.
    pool: f64,
    /// [`RateLimitTable::covered_ms`] up to which the pool has earned tokens.
    earned_until_ms: f64,
    held: BTreeMap<String, HeldTokens>,
}

impl SharedLimit {
    fn per_s(&self) -> f64 {
        self.rate.map_or(0.0, |rate| rate.per_s().max(MIN_PER_S))
    }

    fn run(&self, name: &TargetName) -> TargetRun {
        TargetRun {
            name: name.clone(),
            incarnation: self.incarnation,
        }
    }

    fn held_count(&self) -> f64 {
        let counts = self.held.values().map(|it| f64::from(it.count));
        counts.sum()
    }

    /// Adds what the limit allowed since the last time. Unspent tokens beyond this control's part
    /// of a small number are lost.
    fn earn(&mut self, covered_ms: f64, reporting_share: f64) {
        let earned = self.per_s() * (covered_ms - self.earned_until_ms) / 1_000.0;
        self.earned_until_ms = covered_ms;
        let max_unspent = MAX_UNSPENT + self.per_s() * MAX_UNSPENT_MS.0 as f64 / 1_000.0;
        let own_part = (max_unspent * reporting_share).max(1.0);
        let room = (own_part - self.held_count()).max(0.0);
        self.pool = (self.pool + earned).min(room);
    }

    /// Takes back the tokens that an entry has reported as unspent, and forgets the void ones.
    fn take_back(&mut self, entry: &str, demand: Option<&TokenDemand>, now: Millis) {
        if let Some(held) = self.held.remove(entry) {
            let returned = demand.map_or(0, |it| it.returned.min(held.count));
            self.pool += f64::from(returned);
        }
        self.held.retain(|_, held| now < held.void_at);
    }

    /// Gives tokens to an entry that wants them.
    fn give(&mut self, entry: &str, wanted: u32, void_at: Millis) -> u32 {
        let count = self.pool.floor().min(f64::from(wanted)) as u32;
        if count > 0 {
            self.pool -= f64::from(count);
            self.held
                .insert(entry.to_owned(), HeldTokens { count, void_at });
        }
        count
    }

    fn told(&self, name: &TargetName, tokens: u32, now: Millis) -> ToldLimit {
        ToldLimit {
            stated: StatedRate {
                run: self.run(name),
                rate: self.rate,
                age_ms: now - self.stated_at,
            },
            tokens,
        }
    }

    /// Whether the limit needn't be told any more.
    fn is_over(&self, now: Millis) -> bool {
        let has_ended = self.rate.is_none() && now - self.stated_at > TELL_ENDED_MS;
        has_ended || now - self.reported_at > REMEMBER_MS
    }
}

/// A target's limit, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitedTarget {
    /// The target.
    pub run: TargetRun,
    /// Its limit.
    pub rate: RequestRate,
    /// Time since it said so, as the entries have reported.
    pub age_ms: Millis,
    /// Tokens that entries hold.
    pub held: u32,
}

/// The limits of targets and their tokens, kept in memory by the control that collects the reports.
///
/// Each report of an entry earns that entry's equal share of each limit for the time since its last
/// report here, and the shares are pooled. Two controls that each hear a part of the entries
/// therefore give out no more together than one that hears all of them, and a control that takes
/// over may begin at once.
#[derive(Debug, Clone, Default)]
pub struct RateLimitTable {
    targets: BTreeMap<TargetName, SharedLimit>,
    /// When each entry last reported here.
    reported_at: BTreeMap<String, Millis>,
    /// Sum over all reports of the time since the last one, divided by the number of entries.
    covered_ms: f64,
}

/// Numbers of entries, as the control knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryCounts {
    /// Entries that report to this control.
    pub reporting: u32,
    /// Entries that the view shows, whether they report here or not.
    pub in_view: u32,
}

impl RateLimitTable {
    /// Takes an entry's report and returns what the entry is to know.
    ///
    /// The limits are shared among as many entries as anyone knows of: too high a number leaves a
    /// part of the limits unused, too low a one breaks them.
    pub fn exchange(
        &mut self,
        entry: &str,
        report: &LimitReport,
        counts: EntryCounts,
        now: Millis,
    ) -> LimitUpdate {
        let reporting = counts.reporting.max(1);
        let entries = reporting.max(counts.in_view).max(report.entries);
        let reporting_share = f64::from(reporting) / f64::from(entries);
        let interval_ms = report_interval_ms(entries);
        self.cover(entry, entries, interval_ms, now);
        for stated in &report.stated {
            self.record(stated, now);
        }
        self.targets.retain(|_, limit| !limit.is_over(now));
        let valid_ms = MIN_VALID_MS.max(interval_ms.times(VALID_INTERVALS));
        let demands: BTreeMap<&TargetName, &TokenDemand> =
            report.demands.iter().map(|it| (&it.run.name, it)).collect();
        let covered_ms = self.covered_ms;
        let limits = self.targets.iter_mut().map(|(name, limit)| {
            let demand = demands.get(name).copied();
            let demand = demand.filter(|it| it.run.incarnation == limit.incarnation);
            limit.take_back(entry, demand, now);
            limit.earn(covered_ms, reporting_share);
            let wanted = demand.map_or(0, |it| it.wanted);
            let tokens = limit.give(entry, wanted, now + valid_ms);
            limit.told(name, tokens, now)
        });
        LimitUpdate {
            limits: limits.collect(),
            valid_ms,
        }
    }

    /// Number of entries that have reported here recently.
    #[must_use]
    pub fn reporting_entries(&self, now: Millis) -> u32 {
        let all = u32::try_from(self.reported_at.len()).unwrap_or(u32::MAX);
        let valid_ms = report_valid_ms(all);
        let times = self.reported_at.values();
        let recent = times.filter(|at| now - **at <= valid_ms).count();
        u32::try_from(recent).unwrap_or(u32::MAX)
    }

    /// The limits in force, in order of the targets' names.
    #[must_use]
    pub fn list(&self, now: Millis) -> Vec<LimitedTarget> {
        let limits = self.targets.iter();
        let listed = limits.filter_map(|(name, limit)| {
            Some(LimitedTarget {
                run: limit.run(name),
                rate: limit.rate?,
                age_ms: now - limit.stated_at,
                held: limit.held_count() as u32,
            })
        });
        listed.collect()
    }

    /// Counts the time since the entry's last report. A report that was late counts as one in time,
    /// as the entry may have reported to another control meanwhile.
    fn cover(&mut self, entry: &str, entries: u32, interval_ms: Millis, now: Millis) {
        let previous = self.reported_at.insert(entry.to_owned(), now);
        let since_ms = previous.map_or(Millis::ZERO, |at| now - at);
        let longest_ms = interval_ms.times(3).0 as f64 / 2.0;
        self.covered_ms += (since_ms.0 as f64).min(longest_ms) / f64::from(entries);
    }

    /// Takes what a target said, unless it has said something else since.
    fn record(&mut self, stated: &StatedRate, now: Millis) {
        let stated_at = now - stated.age_ms;
        let run = &stated.run;
        let covered_ms = self.covered_ms;
        let new = || SharedLimit {
            incarnation: run.incarnation,
            rate: stated.rate,
            stated_at,
            reported_at: now,
            pool: 0.0,
            earned_until_ms: covered_ms,
            held: BTreeMap::new(),
        };
        let limit = self.targets.entry(run.name.clone()).or_insert_with(new);
        if limit.incarnation > run.incarnation {
            return;
        }
        if limit.incarnation < run.incarnation {
            *limit = new();
        }
        limit.reported_at = now;
        if limit.rate == stated.rate {
            limit.stated_at = limit.stated_at.max(stated_at);
        } else if stated_at > limit.stated_at {
            let has_fallen = stated.rate < limit.rate;
            limit.rate = stated.rate;
            limit.stated_at = stated_at;
            if has_fallen {
                limit.pool = 0.0;
            }
        }
    }
}
