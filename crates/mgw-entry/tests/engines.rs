//! Steps of many requests for one engine share messages, and each step succeeds or fails by itself.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use futures::future::join_all;
use mgw_contract::engine::{SessionKey, StageInput, StageOutput, StageStep, StepRefusal};
use mgw_entry::engines::{CallError, EngineClient, EngineCounts, EngineSettings, StepError};
use mgw_standin::settings::{EngineSettings as StandinEngine, Settings};
use mgw_standin::{RunningStandin, start};
use mgw_world::{Attempt, LayerRange, Millis, ModelVersion, Position, RequestId};
use prometheus::IntCounter;

const SESSIONS: u128 = 40;

fn make_client(shared_steps: usize) -> (EngineClient, EngineCounts) {
    let counter = |name: &str| IntCounter::new(name, name).unwrap();
    let counts = EngineCounts {
        step_messages: counter("messages"),
        step_bytes: counter("bytes"),
    };
    // The window never limits steps, so that the message counts don't depend on timing.
    let settings = EngineSettings {
        shared_steps,
        least_steps_out: 1024,
    };
    (
        EngineClient::new(settings, counts.clone(), mgw_world::Clock::monotonic()),
        counts,
    )
}

async fn start_engine() -> RunningStandin {
    let engine = StandinEngine {
        step_ms: Millis(1),
        max_requests: 1024,
        ..StandinEngine::default()
    };
    let settings = Settings {
        engine,
        ..Settings::default()
    };
    start(settings).await.unwrap()
}

fn make_step(request: u128, first: u32, count: u32) -> StageStep {
    let request = RequestId(request);
    StageStep {
        session: SessionKey {
            request,
            attempt: Attempt(0),
        },
        version: ModelVersion::from("v1"),
        layers: LayerRange::new(0, 12).unwrap(),
        first: Position(first),
        count,
        priority: 0,
        deadline_ms: None,
        input: StageInput::Tokens(vec![7; count as usize]),
    }
}

/// Opens a session for each request.
async fn open_sessions(client: &EngineClient, address: SocketAddr) {
    let steps = (0..SESSIONS).map(|request| client.step(address, make_step(request, 0, 1)));
    for result in join_all(steps).await {
        result.unwrap();
    }
}

async fn step_all(
    client: &EngineClient,
    address: SocketAddr,
    first: u32,
) -> Vec<Result<StageOutput, StepError>> {
    let steps = (0..SESSIONS).map(|request| client.step(address, make_step(request, first, 1)));
    join_all(steps).await
}

#[tokio::test]
async fn steps_that_are_ready_together_share_messages() {
    let engine = start_engine().await;
    // Maximum steps of a message, and the number of messages for one step of each session.
    for (shared_steps, messages) in [(1, 40), (8, 5), (64, 1)] {
        let (client, counts) = make_client(shared_steps);
        let sessions = u64::try_from(SESSIONS).unwrap();
        let offset = u128::try_from(shared_steps).unwrap() * 1000;
        let open =
            (0..SESSIONS).map(|id| client.step(engine.address, make_step(id + offset, 0, 1)));
        assert!(join_all(open).await.iter().all(Result::is_ok));
        assert_eq!(
            counts.step_messages.get(),
            sessions,
            "a step that opens a session is sent in a message of its own"
        );
        let steps =
            (0..SESSIONS).map(|id| client.step(engine.address, make_step(id + offset, 1, 1)));
        assert!(join_all(steps).await.iter().all(Result::is_ok));
        assert_eq!(counts.step_messages.get() - sessions, messages);
    }
}

#[tokio::test]
async fn steps_of_several_positions_are_sent_in_their_own_messages() {
    let engine = start_engine().await;
    let (client, counts) = make_client(64);
    open_sessions(&client, engine.address).await;
    let before = counts.step_messages.get();
    let steps = (0..4).map(|request| client.step(engine.address, make_step(request, 1, 3)));
    assert!(join_all(steps).await.iter().all(Result::is_ok));
    assert_eq!(counts.step_messages.get() - before, 4);
}

#[tokio::test]
async fn a_refused_step_does_not_fail_other_steps_of_its_message() {
    let engine = start_engine().await;
    let (client, counts) = make_client(64);
    open_sessions(&client, engine.address).await;
    let before = counts.step_messages.get();
    let wrong_position = 5;
    let steps = (0..SESSIONS).map(|request| {
        let first = if request == wrong_position { 9 } else { 1 };
        client.step(engine.address, make_step(request, first, 1))
    });
    let results = join_all(steps).await;
    assert_eq!(counts.step_messages.get() - before, 1);
    let refused = StepError::Refused(StepRefusal::WrongPosition { next: Position(1) });
    for (request, result) in (0..SESSIONS).zip(results) {
        if request == wrong_position {
            assert_eq!(result, Err(refused.clone()));
        } else {
            assert!(result.is_ok(), "request {request}: {result:?}");
        }
    }
}

#[tokio::test]
async fn a_step_cancelled_before_sending_affects_neither_other_steps_nor_its_session() {
    let engine = start_engine().await;
    let (client, _) = make_client(64);
    open_sessions(&client, engine.address).await;
    let cancelled = 0;
    {
        let dropped = client.step(engine.address, make_step(cancelled, 1, 1));
        let other = client.step(engine.address, make_step(1, 1, 1));
        tokio::pin!(other);
        assert!(futures::poll!(Box::pin(dropped)).is_pending());
        assert!(other.await.is_ok());
    }
    // The step was cancelled before its message was sent, so the session has not moved on.
    let retried = client
        .step(engine.address, make_step(cancelled, 1, 1))
        .await;
    assert!(retried.is_ok(), "{retried:?}");
}

#[tokio::test]
async fn a_step_cancelled_in_flight_does_not_fail_other_steps_of_its_message() {
    let engine = start_engine().await;
    let (client, counts) = make_client(64);
    open_sessions(&client, engine.address).await;
    let before = counts.step_messages.get();
    let mut dropped = Box::pin(client.step(engine.address, make_step(0, 1, 1)));
    let mut other = Box::pin(client.step(engine.address, make_step(1, 1, 1)));
    assert!(futures::poll!(&mut dropped).is_pending());
    assert!(futures::poll!(&mut other).is_pending());
    while counts.step_messages.get() == before {
        tokio::task::yield_now().await;
    }
    drop(dropped);
    assert!(other.await.is_ok());
}

#[tokio::test]
async fn a_message_that_cannot_connect_fails_each_of_its_steps() {
    let unused = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    let (client, counts) = make_client(64);
    let results = step_all(&client, unused, 1).await;
    let lost = Err(StepError::NoAnswer(CallError::NotConnected));
    assert!(results.iter().all(|result| *result == lost), "{results:?}");
    assert_eq!(counts.step_messages.get(), 1);
}
