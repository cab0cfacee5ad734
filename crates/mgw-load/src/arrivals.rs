//! When requests arrive, for whom, and with which prompt: fixed by the seed alone.

use mgw_world::{Millis, WorkspaceName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::prompts::PromptMaker;
use crate::settings::{Settings, Spacing};

const US_PER_S: f64 = 1e6;
const US_PER_MS: u64 = 1000;

/// One request to come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start of the run in microseconds.
    pub at_us: u64,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceName>,
    /// Prompt.
    pub prompt: String,
}

/// All arrivals of a run, in order.
///
/// ```
/// use mgw_load::arrivals::plan_arrivals;
/// use mgw_load::settings::Settings;
/// let settings = Settings { requests: Some(5), ..Settings::default() };
/// assert_eq!(plan_arrivals(&settings).len(), 5);
/// assert_eq!(plan_arrivals(&settings), plan_arrivals(&settings));
/// ```
#[must_use]
pub fn plan_arrivals(settings: &Settings) -> Vec<Arrival> {
    let mut times = Vec::new();
    for (number, stream) in (0..).zip(streams(settings)) {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        random.set_stream(number);
        for at_us in plan_times(settings, &stream, &mut random) {
            times.push((at_us, stream.workspace.clone()));
        }
    }
    times.sort();
    let limit = settings.requests.unwrap_or(u64::MAX);
    times.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    let mut prompts = PromptMaker::new(settings);
    times
        .into_iter()
        .map(|(at_us, workspace)| Arrival {
            at_us,
            workspace,
            prompt: prompts.next_prompt(),
        })
        .collect()
}

/// Requests of one load.
struct Stream {
    workspace: Option<WorkspaceName>,
    rate: f64,
    from_us: u64,
    until_us: u64,
}

fn streams(settings: &Settings) -> Vec<Stream> {
    let end = settings.duration_ms;
    if settings.workspaces.is_empty() {
        return vec![Stream {
            workspace: None,
            rate: settings.rate,
            from_us: 0,
            until_us: micros(end),
        }];
    }
    let loads = settings.workspaces.iter();
    loads
        .map(|load| Stream {
            workspace: Some(load.name.clone()),
            rate: load.rate,
            from_us: micros(load.from_ms),
            until_us: micros(load.until_ms.map_or(end, |until| until.min(end))),
        })
        .collect()
}

const fn micros(span: Millis) -> u64 {
    span.0.saturating_mul(US_PER_MS)
}

fn plan_times(settings: &Settings, stream: &Stream, random: &mut ChaCha8Rng) -> Vec<u64> {
    let mean_us = US_PER_S / stream.rate;
    let mut at_us = stream.from_us as f64;
    let mut times = Vec::new();
    while (at_us as u64) < stream.until_us {
        times.push(at_us as u64);
        at_us += match settings.spacing {
            Spacing::Fixed => mean_us,
            Spacing::Poisson => draw_distance(mean_us, random),
        };
    }
    times
}

/// An exponentially distributed distance.
fn draw_distance(mean_us: f64, random: &mut ChaCha8Rng) -> f64 {
    let uniform: f64 = random.random();
    -mean_us * (1.0 - uniform).ln()
}
