//! Measures the overhead of the engine client per stage hop, compared with a bare HTTP client:
//! `cargo run --release -p mgw-entry --example hop`.
//!
//! The stand-in engine takes no time for a step, so that all measured time is spent in the calls.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Instant;

use futures::future::{BoxFuture, join_all};
use hyper::{Method, Request};
use mgw_contract::engine::{
    STEPS_PATH, SessionKey, StageInput, StageStep, StepBatch, StepBatchReply,
};
use mgw_entry::engines::{EngineClient, EngineCounts, EngineSettings};
use mgw_serve::http::{HttpClient, full, read_body, shared_client};
use mgw_standin::settings::{EngineSettings as StandinEngine, Settings};
use mgw_standin::start;
use mgw_world::{Attempt, LayerRange, Millis, ModelVersion, Position, RequestId};
use prometheus::IntCounter;

const STEPS: u32 = 200;
const SESSIONS: [u32; 3] = [1, 16, 64];
const ACTIVATION_BYTES: u32 = 8192;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The client that sends the steps.
#[derive(Clone)]
enum StepSender {
    Bare(HttpClient),
    Engines(EngineClient, EngineCounts),
}

impl StepSender {
    fn engines(shared_steps: usize) -> Result<Self, BoxError> {
        let counts = EngineCounts {
            step_messages: IntCounter::new("messages", "messages")?,
            step_bytes: IntCounter::new("bytes", "bytes")?,
        };
        let settings = EngineSettings {
            shared_steps,
            ..EngineSettings::default()
        };
        let client = EngineClient::new(settings, counts.clone(), mgw_world::Clock::monotonic());
        Ok(Self::Engines(client, counts))
    }

    fn step(&self, address: SocketAddr, step: StageStep) -> BoxFuture<'_, Result<(), BoxError>> {
        Box::pin(async move {
            match self {
                Self::Bare(client) => send_bare(client, address, step).await,
                Self::Engines(client, _) => {
                    client.step(address, step).await?;
                    Ok(())
                }
            }
        })
    }
}

async fn send_bare(
    client: &HttpClient,
    address: SocketAddr,
    step: StageStep,
) -> Result<(), BoxError> {
    let body = postcard::to_stdvec(&StepBatch { steps: vec![step] })?;
    let uri = format!("http://{address}{STEPS_PATH}");
    let request = Request::builder().method(Method::POST).uri(uri);
    let response = client.request(request.body(full(body))?).await?;
    let bytes = read_body(response.into_body()).await?;
    let mut reply: StepBatchReply = postcard::from_bytes(&bytes)?;
    reply.replies.pop().ok_or("no reply")?.result?;
    Ok(())
}

fn make_step(request: u128, first: u32) -> Result<StageStep, BoxError> {
    Ok(StageStep {
        session: SessionKey {
            request: RequestId(request),
            attempt: Attempt(0),
        },
        version: ModelVersion::from("v1"),
        layers: LayerRange::new(4, 8)?,
        first: Position(first),
        count: 1,
        priority: 0,
        deadline_ms: None,
        input: StageInput::Activations(vec![0; ACTIVATION_BYTES as usize].into()),
    })
}

/// Runs one session and returns the time of each step in microseconds.
async fn run_session(
    sender: StepSender,
    address: SocketAddr,
    request: u128,
) -> Result<Vec<u64>, BoxError> {
    let mut times = Vec::new();
    for first in 0..STEPS {
        let step = make_step(request, first)?;
        let started = Instant::now();
        sender.step(address, step).await?;
        times.push(u64::try_from(started.elapsed().as_micros())?);
    }
    Ok(times)
}

async fn measure(
    name: &str,
    sender: StepSender,
    address: SocketAddr,
    sessions: u32,
) -> Result<(), BoxError> {
    let first: u128 = rand::random();
    let started = Instant::now();
    let tasks = (0..sessions).map(|session| {
        let request = first.wrapping_add(u128::from(session));
        tokio::spawn(run_session(sender.clone(), address, request))
    });
    let mut times = Vec::new();
    for result in join_all(tasks).await {
        times.extend(result??);
    }
    let took_s = started.elapsed().as_secs_f64();
    times.sort_unstable();
    let steps = times.len();
    let quantile = |percent: usize| times[(steps * percent / 100).min(steps - 1)];
    let (messages, bytes) = match &sender {
        StepSender::Bare(_) => (steps as u64, 0),
        StepSender::Engines(_, counts) => (counts.step_messages.get(), counts.step_bytes.get()),
    };
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "{name:<12} {sessions:>4} sessions  p50 {:>6} us  p99 {:>6} us  {:>9.0} steps/s  \
         {:.3} messages/step  {} bytes/step",
        quantile(50),
        quantile(99),
        steps as f64 / took_s,
        messages as f64 / steps as f64,
        bytes / steps as u64,
    )?;
    Ok(())
}

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let engine = StandinEngine {
        step_ms: Millis(0),
        tokens_per_s: u32::MAX,
        activation_bytes: ACTIVATION_BYTES,
        layers: Some(LayerRange::new(4, 8)?),
        max_requests: u32::MAX,
        kv_bytes: u64::MAX,
        ..StandinEngine::default()
    };
    let settings = Settings {
        engine,
        ..Settings::default()
    };
    let running = start(settings).await?;
    for sessions in SESSIONS {
        let bare = StepSender::Bare(shared_client());
        measure("bare client", bare, running.address, sessions).await?;
        measure(
            "one a step",
            StepSender::engines(1)?,
            running.address,
            sessions,
        )
        .await?;
        measure(
            "shared",
            StepSender::engines(64)?,
            running.address,
            sessions,
        )
        .await?;
    }
    Ok(())
}
