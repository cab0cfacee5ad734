//! The open loop: each request is sent at its planned arrival, whether or not earlier ones have
//! ended.

use std::sync::Arc;

use mgw_contract::caller::CompletionRequest;
use mgw_contract::tokens::tokenize;
use mgw_serve::http::client;
use mgw_standin::model::{model_seed, reference_answer};
use mgw_world::Millis;
use tokio::task::JoinSet;
use tokio::time::{Duration, Instant, sleep_until};

use crate::arrivals::{Arrival, plan_arrivals};
use crate::caller::{CallSpec, Caller, Progress};
use crate::results::RequestResult;
use crate::settings::Settings;
use crate::timeline::{InjectError, inject_faults};

/// Time between the end of planning and the start of the run.
const START_DELAY_MS: Millis = Millis(50);

/// Results of a run.
#[derive(Debug)]
pub struct RunResults {
    /// Results of the requests, in the order in which these ended.
    pub requests: Vec<RequestResult>,
    /// Faults that couldn't be injected.
    pub inject_errors: Vec<InjectError>,
}

/// Runs an experiment until all of its requests have ended and all of its faults are injected.
pub async fn run(settings: Arc<Settings>) -> RunResults {
    let arrivals = plan_arrivals(&settings);
    let client = client();
    let callers: Vec<Arc<Caller>> = (0..settings.callers as usize)
        .map(|number| Caller::new(client.clone(), settings.entries.clone(), number))
        .collect();
    let start = Instant::now() + START_DELAY_MS.to_duration();
    let injection = {
        let settings = Arc::clone(&settings);
        let client = client.clone();
        tokio::spawn(async move { inject_faults(&settings, &client, start).await })
    };
    let mut in_flight = JoinSet::new();
    let mut requests = Vec::with_capacity(arrivals.len());
    for (number, arrival) in arrivals.into_iter().enumerate() {
        sleep_until(start + Duration::from_micros(arrival.at_us)).await;
        let caller = Arc::clone(&callers[number % callers.len()]);
        let settings = Arc::clone(&settings);
        in_flight.spawn(run_request(caller, settings, arrival, start));
        while let Some(Ok(result)) = in_flight.try_join_next() {
            requests.push(result);
        }
    }
    while let Some(ended) = in_flight.join_next().await {
        requests.extend(ended.ok());
    }
    RunResults {
        requests,
        inject_errors: injection.await.unwrap_or_default(),
    }
}

/// Builds the request for an arrival; its deadline counts from `arrived`.
#[must_use]
pub fn build_call_spec(settings: &Settings, arrival: &Arrival, arrived: Instant) -> CallSpec {
    let expected = settings.verify.then(|| {
        let seed = model_seed(&settings.model, &settings.model_version);
        let prompt = tokenize(&arrival.prompt);
        reference_answer(seed, settings.model_layers, &prompt, settings.max_tokens)
    });
    CallSpec {
        request: CompletionRequest {
            model: settings.model.clone(),
            prompt: arrival.prompt.clone(),
            max_tokens: settings.max_tokens,
            stream: true,
            workspace: arrival.workspace.clone(),
            deadline_ms: None,
        },
        workspace: arrival.workspace.clone(),
        expected,
        max_sends: settings.tries,
        retry_pause_ms: settings.impatient_ms,
        retry_when_broken: settings.repeat_cut,
        deadline: arrived + settings.deadline_ms.to_duration(),
    }
}

async fn run_request(
    caller: Arc<Caller>,
    settings: Arc<Settings>,
    arrival: Arrival,
    start: Instant,
) -> RequestResult {
    let arrived = start + Duration::from_micros(arrival.at_us);
    let spec = build_call_spec(&settings, &arrival, arrived);
    let mut progress = Progress::default();
    let verdict = caller.complete(&spec, &mut progress, |_| {}).await;
    let since_start = |time: &Instant| duration_us(time.saturating_duration_since(start));
    let prompt_tokens = tokenize(&arrival.prompt).len();
    RequestResult {
        workspace: arrival.workspace,
        entry: progress.entry,
        id: progress.answer.id(),
        verdict,
        final_answer: progress.answer.final_answer.clone(),
        sent: progress.sent,
        prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
        arrived_us: arrival.at_us,
        token_us: progress.token_times.iter().map(since_start).collect(),
        ended_us: since_start(&Instant::now()),
    }
}

fn duration_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
