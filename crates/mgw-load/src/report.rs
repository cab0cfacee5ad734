//! The report of a run: figures computed from its results, shown as a table or as JSON.

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
/// Precision of the latency histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Maximum number of wrong answers that a report lists.
const MAX_WRONG_ANSWERS: usize = 5;

/// Distribution of a latency, in milliseconds.
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
    /// Computes the distribution of values in microseconds, without those that the histogram can't
    /// hold.
    #[must_use]
    pub fn from_values_us(values_us: impl IntoIterator<Item = u64>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new(SIGNIFICANT_DIGITS) else {
            return Self::default();
        };
        for value_us in values_us {
            let _ = histogram.record(value_us);
        }
        let quantile_ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / US_PER_MS;
        Self {
            count: histogram.len(),
            p50_ms: quantile_ms(0.5),
            p90_ms: quantile_ms(0.9),
            p99_ms: quantile_ms(0.99),
            max_ms: histogram.max() as f64 / US_PER_MS,
        }
    }
}

/// Number of requests with the same outcome and cause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OutcomeCount {
    /// Outcome as far as the caller can know it.
    pub outcome: Outcome,
    /// Cause, as [`Verdict::cause`] gives it.
    pub cause: String,
    /// Number of requests.
    pub count: u64,
    /// Message in the final answer of the first of these requests that has one.
    pub example: Option<String>,
}

/// Figures of all requests or of those of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figures {
    /// Number of requests.
    pub requests: u64,
    /// Number of times that requests were sent, retries included.
    pub sent: u64,
    /// Number of whole answers.
    pub whole: u64,
    /// Number of wrong answers.
    pub wrong: u64,
    /// Tokens of whole answers per second, received between the warm-up and the end of arrivals.
    pub goodput_tokens_per_s: f64,
    /// Time from the planned arrival to the first token.
    pub first_token: Latency,
    /// Time between consecutive tokens.
    pub between_tokens: Latency,
    /// Longest time between consecutive tokens of each request.
    pub longest_gap: Latency,
    /// Time from the planned arrival to the end of a whole answer.
    pub whole_answer: Latency,
    /// Requests by outcome and cause.
    pub outcomes: Vec<OutcomeCount>,
}

/// Effect of a fault on the requests that were in flight when it was injected.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FaultFigures {
    /// Planned time of the fault since the start of the run.
    pub at_ms: Millis,
    /// The injected fault.
    pub action: Action,
    /// Number of requests in flight at that time.
    pub in_flight: u64,
    /// Number of those requests that got no whole answer.
    pub lost: u64,
    /// Longest time between consecutive tokens after the fault, of each of those requests.
    pub recovery: Latency,
}

/// Report of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Settings of the run.
    pub settings: Settings,
    /// Figures of all requests.
    pub all: Figures,
    /// Figures of the requests of each workspace.
    pub workspaces: BTreeMap<WorkspaceName, Figures>,
    /// Goodput as a share of the throughput bound, if that is known.
    pub share_of_bound: Option<f64>,
    /// Number of requests by the base URL of the entry that they were last sent to.
    pub entries: BTreeMap<String, u64>,
    /// Number of tokens of whole answers received in each second of the run.
    pub tokens_by_second: Vec<u64>,
    /// Effect of each fault of the timeline.
    pub faults: Vec<FaultFigures>,
    /// Error messages of faults that couldn't be injected.
    pub inject_errors: Vec<String>,
    /// The first few wrong answers, each as request id and error.
    pub wrong_answers: Vec<String>,
}

/// Builds the report from the results of a run.
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
        let workspace_results = results
            .iter()
            .filter(|result| result.workspace.as_ref() == Some(&name));
        let figures = build_figures(settings, workspace_results);
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
        wrong_answers: list_wrong_answers(results),
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
        first_token: Latency::from_values_us(
            results.clone().filter_map(RequestResult::first_token_us),
        ),
        between_tokens: Latency::from_values_us(results.clone().flat_map(RequestResult::gaps_us)),
        longest_gap: Latency::from_values_us(longest_gaps),
        whole_answer: Latency::from_values_us(
            whole.map(|result| result.ended_us - result.arrived_us),
        ),
        outcomes: count_outcomes(results),
    }
}

fn is_whole(result: &RequestResult) -> bool {
    result.verdict == Verdict::Whole
}

/// Computes the tokens of whole answers per second, received between the warm-up and the end of
/// arrivals or, with a fixed number of requests, the end of the last whole answer.
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
    let token_times = whole.flat_map(|result| &result.token_us);
    let counted = token_times.filter(|time_us| (from_us..until_us).contains(time_us));
    counted.count() as f64 * US_PER_S as f64 / (until_us - from_us) as f64
}

fn count_outcomes<'a>(results: impl Iterator<Item = &'a RequestResult>) -> Vec<OutcomeCount> {
    let mut counts = BTreeMap::<(Outcome, String), OutcomeCount>::new();
    for result in results {
        let outcome = result.verdict.outcome();
        let cause = result.verdict.cause();
        let group = counts
            .entry((outcome, cause.clone()))
            .or_insert_with(|| OutcomeCount {
                outcome,
                cause,
                count: 0,
                example: None,
            });
        group.count += 1;
        if group.example.is_none() {
            group.example = result
                .final_answer
                .as_ref()
                .map(|answer| answer.message.clone());
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
            let in_flight = results
                .iter()
                .filter(|result| result.is_in_flight_at(at_us));
            let gaps = in_flight
                .clone()
                .filter_map(|result| result.longest_gap_after_us(at_us));
            FaultFigures {
                at_ms: event.at_ms,
                action: event.action.clone(),
                in_flight: in_flight.clone().count() as u64,
                lost: in_flight.clone().filter(|result| !is_whole(result)).count() as u64,
                recovery: Latency::from_values_us(gaps),
            }
        })
        .collect()
}

fn list_wrong_answers(results: &[RequestResult]) -> Vec<String> {
    let wrong_answers = results.iter().filter_map(|result| match &result.verdict {
        Verdict::Wrong { error } => {
            let id = result.id.map(|id| id.to_string()).unwrap_or_default();
            Some(format!("{id}: {error}"))
        }
        _ => None,
    });
    wrong_answers.take(MAX_WRONG_ANSWERS).collect()
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
