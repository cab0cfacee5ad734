//! Figures of a run, as a table and as JSON.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use mgw_contract::Outcome;
use mgw_world::{Millis, WorkspaceName};
use serde::Serialize;

use crate::results::{RequestResult, Verdict};
use crate::settings::{Action, Settings};

const US_PER_S: u64 = 1_000_000;
const US_PER_MS: f64 = 1e3;
/// Significant digits of latencies.
const DIGITS: u8 = 3;
/// Wrong answers that the table shows.
const MAX_SHOWN: usize = 5;

/// Distribution of a latency in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest value.
    pub max_ms: f64,
}

impl Latency {
    /// Distribution of values in microseconds.
    #[must_use]
    pub fn of(values_us: impl IntoIterator<Item = u64>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new(DIGITS) else {
            return Self::default();
        };
        for value_us in values_us {
            let _ = histogram.record(value_us);
        }
        let quantile = |share: f64| histogram.value_at_quantile(share) as f64 / US_PER_MS;
        Self {
            count: histogram.len(),
            p50_ms: quantile(0.5),
            p90_ms: quantile(0.9),
            p99_ms: quantile(0.99),
            max_ms: histogram.max() as f64 / US_PER_MS,
        }
    }
}

/// Requests that ended alike.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OutcomeCount {
    /// What became of them, as far as the caller knows.
    pub outcome: Outcome,
    /// Why.
    pub cause: String,
    /// How many.
    pub count: u64,
    /// What the final answer of one of them said.
    pub example: Option<String>,
}

/// Figures of some requests.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figures {
    /// Requests.
    pub requests: u64,
    /// Times that they were sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Wrong answers.
    pub wrong: u64,
    /// Tokens a second of whole answers, after the warm-up and until the last arrival was due.
    pub goodput_tokens_per_s: f64,
    /// Time from arrival to first token.
    pub first_token: Latency,
    /// Time between tokens.
    pub between_tokens: Latency,
    /// Longest time between tokens of each request.
    pub longest_gap: Latency,
    /// Time from arrival to the end of whole answers.
    pub whole_answer: Latency,
    /// Requests by outcome and cause.
    pub outcomes: Vec<OutcomeCount>,
}

/// What a fault did to the requests in flight.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FaultFigures {
    /// When it was injected.
    pub at_ms: Millis,
    /// The fault.
    pub action: Action,
    /// Requests in flight then.
    pub in_flight: u64,
    /// Of them, requests without a whole answer.
    pub lost: u64,
    /// Longest time between tokens after the fault, of each of them.
    pub recovery: Latency,
}

/// Figures of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Settings of the run.
    pub settings: Settings,
    /// All requests.
    pub all: Figures,
    /// Requests of each workspace.
    pub workspaces: BTreeMap<WorkspaceName, Figures>,
    /// Goodput as a share of the bound, if that was given.
    pub share_of_bound: Option<f64>,
    /// Requests by the base URL of the entry that they were last sent to.
    pub entries: BTreeMap<String, u64>,
    /// Tokens of whole answers in each second of the run.
    pub tokens_by_second: Vec<u64>,
    /// Each fault.
    pub faults: Vec<FaultFigures>,
    /// Faults that couldn't be injected, in words.
    pub inject_errors: Vec<String>,
    /// Some of the wrong answers, in words.
    pub wrong_answers: Vec<String>,
}

/// Figures of a run's results.
#[must_use]
pub fn build_report(
    settings: &Settings,
    results: &[RequestResult],
    inject_errors: Vec<String>,
) -> Report {
    let all = build_figures(settings, results.iter());
    let names = results.iter().filter_map(|result| result.workspace.clone());
    let names: std::collections::BTreeSet<WorkspaceName> = names.collect();
    let workspaces = names.into_iter().map(|name| {
        let own = results
            .iter()
            .filter(|result| result.workspace.as_ref() == Some(&name));
        let figures = build_figures(settings, own);
        (name, figures)
    });
    let bound = settings.bound_tokens_per_s.filter(|bound| *bound > 0);
    Report {
        settings: settings.clone(),
        workspaces: workspaces.collect(),
        share_of_bound: bound.map(|bound| all.goodput_tokens_per_s / bound as f64),
        entries: count_by_entry(results),
        tokens_by_second: count_by_second(results),
        faults: build_fault_figures(settings, results),
        inject_errors,
        wrong_answers: list_wrong(results),
        all,
    }
}

fn build_figures<'a>(
    settings: &Settings,
    results: impl Iterator<Item = &'a RequestResult> + Clone,
) -> Figures {
    let whole = results.clone().filter(|result| is_whole(result));
    let wrong = results
        .clone()
        .filter(|result| matches!(result.verdict, Verdict::Wrong { .. }));
    let longest_gaps = results.clone().filter_map(|result| result.gaps_us().max());
    Figures {
        requests: results.clone().count() as u64,
        sent: results.clone().map(|result| u64::from(result.sent)).sum(),
        whole: whole.clone().count() as u64,
        wrong: wrong.count() as u64,
        goodput_tokens_per_s: compute_goodput(settings, whole.clone()),
        first_token: Latency::of(results.clone().filter_map(RequestResult::first_token_us)),
        between_tokens: Latency::of(results.clone().flat_map(RequestResult::gaps_us)),
        longest_gap: Latency::of(longest_gaps),
        whole_answer: Latency::of(whole.map(|result| result.ended_us - result.arrived_us)),
        outcomes: count_outcomes(results),
    }
}

fn is_whole(result: &RequestResult) -> bool {
    result.verdict == Verdict::Whole
}

/// Tokens of whole answers that came between warm-up and the end of arrivals; with a fixed number
/// of requests, until the last of them ended.
fn compute_goodput<'a>(
    settings: &Settings,
    whole: impl Iterator<Item = &'a RequestResult> + Clone,
) -> f64 {
    let from_us = settings.warmup_ms.0 * 1000;
    let last_us = whole.clone().map(|result| result.ended_us).max();
    let until_us = match settings.requests {
        None => settings.duration_ms.0 * 1000,
        Some(_) => last_us.unwrap_or_default(),
    };
    if until_us <= from_us {
        return 0.0;
    }
    let times = whole.flat_map(|result| &result.token_us);
    let counted = times.filter(|time_us| (from_us..until_us).contains(time_us));
    counted.count() as f64 * US_PER_S as f64 / (until_us - from_us) as f64
}

fn count_outcomes<'a>(results: impl Iterator<Item = &'a RequestResult>) -> Vec<OutcomeCount> {
    let mut counts = BTreeMap::<(Outcome, String), OutcomeCount>::new();
    for result in results {
        let outcome = result.verdict.outcome();
        let cause = result.verdict.cause();
        let kind = counts
            .entry((outcome, cause.clone()))
            .or_insert_with(|| OutcomeCount {
                outcome,
                cause,
                count: 0,
                example: None,
            });
        kind.count += 1;
        if kind.example.is_none() {
            kind.example = result.answer.as_ref().map(|answer| answer.message.clone());
        }
    }
    counts.into_values().collect()
}

fn count_by_entry(results: &[RequestResult]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for url in results.iter().filter_map(|result| result.entry.clone()) {
        *counts.entry(url).or_default() += 1;
    }
    counts
}

fn count_by_second(results: &[RequestResult]) -> Vec<u64> {
    let mut seconds = Vec::new();
    let whole = results.iter().filter(|result| is_whole(result));
    for time_us in whole.flat_map(|result| &result.token_us) {
        let second = usize::try_from(time_us / US_PER_S).unwrap_or_default();
        if seconds.len() <= second {
            seconds.resize(second + 1, 0);
        }
        seconds[second] += 1;
    }
    seconds
}

fn build_fault_figures(settings: &Settings, results: &[RequestResult]) -> Vec<FaultFigures> {
    let events = settings.timeline.iter();
    events
        .map(|event| {
            let at_us = event.at_ms.0 * 1000;
            let hit = results
                .iter()
                .filter(|result| result.is_in_flight_at(at_us));
            let gaps = hit
                .clone()
                .filter_map(|result| result.longest_gap_after_us(at_us));
            FaultFigures {
                at_ms: event.at_ms,
                action: event.action.clone(),
                in_flight: hit.clone().count() as u64,
                lost: hit.clone().filter(|result| !is_whole(result)).count() as u64,
                recovery: Latency::of(gaps),
            }
        })
        .collect()
}

fn list_wrong(results: &[RequestResult]) -> Vec<String> {
    let faults = results.iter().filter_map(|result| match &result.verdict {
        Verdict::Wrong { fault } => {
            let id = result.id.map(|id| id.to_string()).unwrap_or_default();
            Some(format!("{id}: {fault}"))
        }
        _ => None,
    });
    faults.take(MAX_SHOWN).collect()
}

impl fmt::Display for Latency {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>9}",
            self.p50_ms, self.p90_ms, self.p99_ms, self.max_ms, self.count
        )
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "requests {}  sent {}  whole {}  wrong {}  goodput {:.1} tokens/s",
            self.requests, self.sent, self.whole, self.wrong, self.goodput_tokens_per_s
        )?;
        for outcome in &self.outcomes {
            writeln!(
                formatter,
                "  {:<8} {:<14} {:>9}  {}",
                outcome.outcome.to_string(),
                outcome.cause,
                outcome.count,
                outcome.example.as_deref().unwrap_or_default()
            )?;
        }
        writeln!(
            formatter,
            "  {:<16} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "ms", "p50", "p90", "p99", "max", "count"
        )?;
        let rows = [
            ("first token", self.first_token),
            ("between tokens", self.between_tokens),
            ("longest gap", self.longest_gap),
            ("whole answer", self.whole_answer),
        ];
        for (name, latency) in rows {
            writeln!(formatter, "  {name:<16} {latency}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.all)?;
        if let (Some(bound), Some(share)) = (self.settings.bound_tokens_per_s, self.share_of_bound)
        {
            let percent = share * 100.0;
            writeln!(formatter, "bound {bound} tokens/s, reached {percent:.1}%")?;
        }
        let seconds = self.tokens_by_second.iter().map(u64::to_string);
        let seconds: Vec<_> = seconds.collect();
        writeln!(formatter, "tokens by second: {}", seconds.join(" "))?;
        for (url, count) in &self.entries {
            writeln!(formatter, "  entry {url:<32} {count:>9}")?;
        }
        for (name, figures) in &self.workspaces {
            write!(formatter, "\nworkspace {name}: {figures}")?;
        }
        for fault in &self.faults {
            writeln!(formatter, "\nat {}: {:?}", fault.at_ms, fault.action)?;
            writeln!(
                formatter,
                "  in flight {}  lost {}",
                fault.in_flight, fault.lost
            )?;
            writeln!(formatter, "  {:<16} {}", "recovery", fault.recovery)?;
        }
        for error in &self.inject_errors {
            writeln!(formatter, "not injected: {error}")?;
        }
        for wrong in &self.wrong_answers {
            writeln!(formatter, "wrong: {wrong}")?;
        }
        Ok(())
    }
}
