//! The rate at which requests of one service are admitted while not all of them find room.
//!
//! The rate follows what targets began lately: it is cut to that where they refuse too much, and grows
//! by small steps otherwise. A cut is seen in reports only after a while, so that the next change waits.

use mgw_world::{Millis, ServiceName};

use super::level::{AdmissionLevel, RETURN_CYCLE_MS, WHOLE_PERMILLE};

/// Requests of one urgency, as rates.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UrgencyRate {
    /// Rank, where 0 is the most urgent.
    pub urgency: u8,
    /// Requests that callers sent.
    pub offered_per_s: f64,
    /// Requests whose answer began.
    pub begun_per_s: f64,
    /// Requests that were refused for lack of room.
    pub full_per_s: f64,
    /// Requests that were below the level.
    pub below_per_s: f64,
}

/// What was observed for one decision.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observed<'a> {
    /// Rates of the last seconds, the most urgent first.
    pub(super) rates: &'a [UrgencyRate],
    /// Time after which a change shows in the rates.
    pub(super) settle_ms: Millis,
    /// Whether nothing was observed before, so that entries may still obey another control's level.
    pub(super) is_first: bool,
    /// Whether clearly less is offered than before.
    pub(super) is_falling: bool,
}

/// Settings of the admitted rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRateSettings {
    /// Fraction of the admitted requests that may be refused for lack of room before the rate is cut.
    pub full_fraction: f64,
    /// Fewest refusals a second that count: a single one is no evidence.
    pub min_full_per_s: f64,
    /// Growth per second, as a fraction of the rate, while few are refused for lack of room.
    pub growth_per_s: f64,
    /// Largest growth per second, reached where hardly any are refused for long.
    pub max_growth_per_s: f64,
    /// Largest cut at once while a level is in force, as a fraction of the rate.
    pub max_cut: f64,
    /// Largest factor by which the rate is raised while fewer requests are admitted than it allows.
    pub max_correction: f64,
    /// Fraction admitted of the requests less urgent than the level, divided by the fraction admitted of all.
    /// Keeps each urgency served at least a quarter as often as all.
    pub least_fraction: f64,
    /// Rate above what is offered at which the level is dropped, as a fraction of what is offered.
    pub drop_margin: f64,
    /// How far back the best rate of begun requests counts when a level begins.
    pub best_valid_ms: Millis,
}

impl Default for AdmissionRateSettings {
    fn default() -> Self {
        Self {
            full_fraction: 0.03,
            min_full_per_s: 2.0,
            growth_per_s: 0.03,
            max_growth_per_s: 0.3,
            max_cut: 0.08,
            max_correction: 1.3,
            least_fraction: 0.35,
            drop_margin: 0.05,
            best_valid_ms: Millis(3_000),
        }
    }
}

/// The best rate of begun requests seen lately.
#[derive(Debug, Clone, Copy, Default)]
struct Best {
    at: Millis,
    begun_per_s: f64,
}

/// The admitted rate of one service; none while everything is admitted.
#[derive(Debug, Clone, Default)]
pub(super) struct AdmissionRate {
    settings: AdmissionRateSettings,
    per_s: Option<f64>,
    best: Best,
    changed_at: Millis,
    stepped_at: Millis,
    /// When a noticeable part was last refused for lack of room.
    refused_at: Millis,
}

/// Sums over all urgencies.
#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    offered: f64,
    begun: f64,
    full: f64,
    below: f64,
}

impl Totals {
    /// Requests that had their answer or a refusal of targets.
    fn admitted(self) -> f64 {
        self.begun + self.full
    }

    fn of(rates: &[UrgencyRate]) -> Self {
        rates.iter().fold(Self::default(), |sum, rate| Self {
            offered: sum.offered + rate.offered_per_s,
            begun: sum.begun + rate.begun_per_s,
            full: sum.full + rate.full_per_s,
            below: sum.below + rate.below_per_s,
        })
    }
}

impl AdmissionRate {
    /// The admitted rate; `None` while everything is admitted.
    pub(super) const fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Changes the rate by what was observed.
    pub(super) fn step(&mut self, observed: &Observed<'_>, now: Millis) {
        let totals = Totals::of(observed.rates);
        let elapsed_ms = now - self.stepped_at;
        self.stepped_at = now;
        if totals.full > totals.admitted() * self.settings.full_fraction / 2.0 {
            self.refused_at = now;
        }
        let is_settled = now - self.changed_at >= observed.settle_ms;
        self.per_s = match self.per_s {
            None => self.begin(totals, observed.is_first, now),
            Some(per_s) if self.is_too_full(totals) && is_settled => {
                self.changed_at = now;
                let floor = per_s * (1.0 - self.settings.max_cut);
                Some(totals.begun.max(floor).min(per_s))
            }
            Some(per_s) if self.is_too_full(totals) || !is_settled => Some(per_s),
            Some(per_s) => {
                let quiet_ms = now - self.refused_at - observed.settle_ms;
                let growth_per_s = self.growth_per_s(quiet_ms, observed.is_falling);
                let elapsed_ms = elapsed_ms.min(RETURN_CYCLE_MS);
                self.grow(per_s, totals, growth_per_s * elapsed_ms.0 as f64 / 1_000.0)
            }
        };
        self.record_best(totals, now);
    }

    /// The level by which entries admit the rate.
    pub(super) fn level(
        &self,
        service: &ServiceName,
        rates: &[UrgencyRate],
        now: Millis,
    ) -> Option<AdmissionLevel> {
        let totals = Totals::of(rates);
        let per_s = self.budget_per_s(self.per_s?, totals);
        let offered = totals.offered;
        if offered <= per_s {
            return None;
        }
        let least = self.settings.least_fraction * per_s / offered;
        let mut left = per_s - offered * least;
        let mut level = None;
        for rate in rates {
            let wanted = rate.offered_per_s * (1.0 - least);
            if wanted > left {
                level = Some((rate, left.max(0.0)));
                break;
            }
            left -= wanted;
        }
        let (rate, left) = level?;
        let share = least + left / rate.offered_per_s.max(f64::MIN_POSITIVE);
        Some(AdmissionLevel {
            service: service.clone(),
            urgency: rate.urgency,
            share_permille: to_permille(share),
            least_permille: to_permille(least),
            phase_ms: Millis(now.0 % RETURN_CYCLE_MS.0),
        })
    }

    /// The rate to divide: more than the admitted one if fewer were admitted lately, since what is offered
    /// falls faster than reports tell. The root keeps reports of different age from adding up.
    fn budget_per_s(&self, per_s: f64, totals: Totals) -> f64 {
        let ratio = per_s / totals.admitted().max(f64::MIN_POSITIVE);
        per_s * ratio.sqrt().clamp(1.0, self.settings.max_correction)
    }

    /// Begins a level where too much is refused for lack of room. A control that has just begun to
    /// observe may find that entries admit a part only, by a level that another control has told.
    fn begin(&mut self, totals: Totals, is_first: bool, now: Millis) -> Option<f64> {
        let is_held = is_first && totals.below > totals.offered * self.settings.full_fraction;
        if !is_held && !self.is_too_full(totals) {
            return None;
        }
        self.changed_at = now;
        Some(totals.begun.max(self.best.begun_per_s))
    }

    /// Faster the longer there was room, and at once where the load falls.
    fn growth_per_s(&self, quiet_ms: Millis, is_falling: bool) -> f64 {
        if is_falling {
            return self.settings.max_growth_per_s;
        }
        let quiet_s = quiet_ms.0 as f64 / 1_000.0;
        let growth_per_s = self.settings.growth_per_s * (1.0 + quiet_s).powi(2);
        growth_per_s.min(self.settings.max_growth_per_s)
    }

    /// Drops the level once the rate exceeds what is offered.
    fn grow(&self, per_s: f64, totals: Totals, growth: f64) -> Option<f64> {
        let grown = per_s * (1.0 + growth);
        let is_enough = grown > totals.offered * (1.0 + self.settings.drop_margin);
        (!is_enough).then_some(grown)
    }

    fn is_too_full(&self, totals: Totals) -> bool {
        totals.full > totals.admitted() * self.settings.full_fraction
            && totals.full >= self.settings.min_full_per_s
    }

    fn record_best(&mut self, totals: Totals, now: Millis) {
        let is_old = now - self.best.at > self.settings.best_valid_ms;
        if is_old || totals.begun >= self.best.begun_per_s {
            self.best = Best {
                at: now,
                begun_per_s: totals.begun,
            };
        }
    }
}

fn to_permille(share: f64) -> u16 {
    (share.clamp(0.0, 1.0) * f64::from(WHOLE_PERMILLE)).round() as u16
}
