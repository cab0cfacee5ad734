//! Plan of the arrivals of a run: when each request arrives, for which workspace and with which
//! prompt. The plan depends only on the settings, which include the seed.

use mgw_world::{Millis, WorkspaceName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::prompts::PromptGenerator;
use crate::settings::{Settings, Spacing};

const US_PER_S: f64 = 1e6;
const US_PER_MS: u64 = 1000;

/// A planned request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Planned time since the start of the run, in microseconds.
    pub at_us: u64,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceName>,
    /// Prompt of the request.
    pub prompt: String,
}

/// Plans all arrivals of a run, in order of time.
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
    for (number, stream) in (0..).zip(arrival_streams(settings)) {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        rng.set_stream(number);
        for at_us in plan_times(settings, &stream, &mut rng) {
            times.push((at_us, stream.workspace.clone()));
        }
    }
    times.sort();
    let limit = settings.requests.unwrap_or(u64::MAX);
    times.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    let mut prompts = PromptGenerator::new(settings);
    times
        .into_iter()
        .map(|(at_us, workspace)| Arrival {
            at_us,
            workspace,
            prompt: prompts.next_prompt(),
        })
        .collect()
}

/// Arrivals at one rate within one time span.
struct ArrivalStream {
    workspace: Option<WorkspaceName>,
    rate: f64,
    from_us: u64,
    until_us: u64,
}

fn arrival_streams(settings: &Settings) -> Vec<ArrivalStream> {
    let end = settings.duration_ms;
    if settings.workspaces.is_empty() {
        return vec![ArrivalStream {
            workspace: None,
            rate: settings.rate,
            from_us: 0,
            until_us: to_us(end),
        }];
    }
    let loads = settings.workspaces.iter();
    loads
        .map(|load| ArrivalStream {
            workspace: Some(load.name.clone()),
            rate: load.rate,
            from_us: to_us(load.from_ms),
            until_us: to_us(load.until_ms.map_or(end, |until| until.min(end))),
        })
        .collect()
}

const fn to_us(span: Millis) -> u64 {
    span.0.saturating_mul(US_PER_MS)
}

fn plan_times(settings: &Settings, stream: &ArrivalStream, rng: &mut ChaCha8Rng) -> Vec<u64> {
    let mean_us = US_PER_S / stream.rate;
    let mut at_us = stream.from_us as f64;
    let mut times = Vec::new();
    while (at_us as u64) < stream.until_us {
        times.push(at_us as u64);
        at_us += match settings.spacing {
            Spacing::Fixed => mean_us,
            Spacing::Poisson => draw_interarrival_us(mean_us, rng),
        };
    }
    times
}

/// Draws an exponentially distributed time between two arrivals.
fn draw_interarrival_us(mean_us: f64, rng: &mut ChaCha8Rng) -> f64 {
    let uniform: f64 = rng.random();
    -mean_us * (1.0 - uniform).ln()
}
