//! Calls to a running engine over HTTP: steps in batches, sessions, KV transfer, orders and faults.

#![allow(clippy::unwrap_used)]

use hyper::{Method, Request, StatusCode};
use mgw_contract::engine::{
    EngineOrder, EngineState, KV_PATH, KvImage, ORDERS_PATH, OrderReply, SESSIONS_PATH, STATE_PATH,
    STEPS_PATH, SessionKey, SessionStanding, StageInput, StageOutput, StageStep, StepBatch,
    StepBatchReply, StepRefusal,
};
use mgw_serve::http::{HttpClient, full, read_body, shared_client};
use mgw_standin::journal::{JournalEvent, JournalLine};
use mgw_standin::model::{model_seed, reference_answer};
use mgw_standin::settings::{EngineSettings, Settings};
use mgw_standin::{FAULT_PATH, JOURNAL_PATH, RunningStandin, start};
use mgw_world::{Attempt, FenceNumber, LayerRange, Millis, Position, RequestId};

/// A running engine and a client to call it.
struct EngineUnderTest {
    running: RunningStandin,
    client: HttpClient,
}

impl EngineUnderTest {
    async fn start() -> Self {
        let engine = EngineSettings {
            step_ms: Millis(1),
            load_ms: Millis(1),
            ..EngineSettings::default()
        };
        let settings = Settings {
            engine,
            ..Settings::default()
        };
        Self {
            running: start(settings).await.unwrap(),
            client: shared_client(),
        }
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> (StatusCode, Vec<u8>) {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.running.address))
            .body(full(body))
            .unwrap();
        let response = self.client.request(request).await.unwrap();
        let status = response.status();
        (
            status,
            read_body(response.into_body()).await.unwrap().to_vec(),
        )
    }

    async fn run_steps(&self, steps: Vec<StageStep>) -> StepBatchReply {
        let body = postcard::to_stdvec(&StepBatch { steps }).unwrap();
        let (status, bytes) = self.call(Method::POST, STEPS_PATH, body).await;
        assert_eq!(status, StatusCode::OK);
        postcard::from_bytes(&bytes).unwrap()
    }

    async fn read_journal(&self) -> Vec<JournalLine> {
        let (_, text) = self.call(Method::GET, JOURNAL_PATH, Vec::new()).await;
        let text = String::from_utf8(text).unwrap();
        text.lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }
}

fn key(request: u128, attempt: u32) -> SessionKey {
    SessionKey {
        request: RequestId(request),
        attempt: Attempt(attempt),
    }
}

fn step(session: SessionKey, first: u32, tokens: &[u32]) -> StageStep {
    StageStep {
        session,
        version: "v1".into(),
        layers: LayerRange::new(0, 12).unwrap(),
        first: Position(first),
        count: u32::try_from(tokens.len()).unwrap(),
        priority: 0,
        deadline_ms: None,
        input: StageInput::Tokens(tokens.to_vec()),
    }
}

fn expected_answer(prompt: &[u32], count: u32) -> Vec<u32> {
    let seed = model_seed(&"drill".into(), &"v1".into());
    reference_answer(seed, 12, prompt, count)
}

#[tokio::test]
async fn steps_of_a_batch_are_answered_in_their_order_and_journaled_once() {
    let engine = EngineUnderTest::start().await;
    let replies = engine
        .run_steps(vec![
            step(key(1, 1), 0, &[1, 2]),
            step(key(2, 1), 5, &[1]),
            step(key(3, 1), 0, &[3]),
        ])
        .await
        .replies;
    let token = |prompt: &[u32]| Ok(StageOutput::Token(expected_answer(prompt, 1)[0]));
    assert_eq!(replies[0].result, token(&[1, 2]));
    assert_eq!(replies[1].result, Err(StepRefusal::NoSession));
    assert_eq!(replies[2].result, token(&[3]));
    assert_eq!(replies[1].session, key(2, 1));
    let journal = engine.read_journal().await;
    let ran: Vec<_> = journal
        .iter()
        .filter_map(|line| match &line.event {
            JournalEvent::Step(step) => Some((step.session, step.first, step.count)),
            _ => None,
        })
        .collect();
    assert_eq!(
        ran,
        [(key(1, 1), Position(0), 2), (key(3, 1), Position(0), 1)]
    );
}

#[tokio::test]
async fn the_same_step_sent_twice_at_once_runs_once() {
    let engine = EngineUnderTest::start().await;
    let replies = engine
        .run_steps(vec![step(key(1, 1), 0, &[1]), step(key(1, 1), 0, &[1])])
        .await
        .replies;
    assert!(replies[0].result.is_ok());
    let refusal = StepRefusal::WrongPosition { next: Position(1) };
    assert_eq!(replies[1].result, Err(refusal));
    assert_eq!(engine.read_journal().await.len(), 1);
}

#[tokio::test]
async fn sessions_can_be_queried_moved_and_freed() {
    let engine = EngineUnderTest::start().await;
    let path = |prefix: &str, session: SessionKey| format!("{prefix}{session}");
    engine.run_steps(vec![step(key(1, 1), 0, &[1, 2, 3])]).await;
    let session_path = path(SESSIONS_PATH, key(1, 1));
    let (_, text) = engine.call(Method::GET, &session_path, Vec::new()).await;
    let status: SessionStanding = serde_json::from_slice(&text).unwrap();
    assert_eq!((status.next, status.running), (Position(3), false));

    let export_path = path(KV_PATH, key(1, 1));
    let (status, image) = engine.call(Method::GET, &export_path, Vec::new()).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(
        postcard::from_bytes::<KvImage>(&image).unwrap().next,
        Position(3)
    );
    let import_path = path(KV_PATH, key(1, 2));
    let (status, _) = engine.call(Method::PUT, &import_path, image.clone()).await;
    assert_eq!(status, StatusCode::OK);
    let (status, _) = engine.call(Method::PUT, &import_path, image).await;
    assert_eq!(status, StatusCode::CONFLICT);
    let answer = expected_answer(&[1, 2, 3], 2);
    let replies = engine
        .run_steps(vec![step(key(1, 2), 3, &[answer[0]])])
        .await;
    assert_eq!(replies.replies[0].result, Ok(StageOutput::Token(answer[1])));

    let (status, _) = engine.call(Method::DELETE, &session_path, Vec::new()).await;
    assert_eq!(status, StatusCode::NO_CONTENT);
    for method in [Method::GET, Method::DELETE] {
        let (status, _) = engine.call(method, &session_path, Vec::new()).await;
        assert_eq!(status, StatusCode::NOT_FOUND);
    }
}

#[tokio::test]
async fn an_accepted_order_loads_the_new_layers_under_a_new_incarnation() {
    let engine = EngineUnderTest::start().await;
    let before = engine.running.standin.context().incarnation();
    let layers = LayerRange::new(4, 8).unwrap();
    let order = |fence| EngineOrder {
        target: "standin".into(),
        fence: FenceNumber(fence),
        sequence: 1,
        model: "drill".into(),
        version: "v1".into(),
        adapter: None,
        layers,
    };
    let post = async |fence| {
        let body = serde_json::to_vec(&order(fence)).unwrap();
        let (_, text) = engine.call(Method::POST, ORDERS_PATH, body).await;
        serde_json::from_slice::<OrderReply>(&text).unwrap()
    };
    assert_eq!(post(2).await, OrderReply::Accepted);
    let state = loop {
        let (_, text) = engine.call(Method::GET, STATE_PATH, Vec::new()).await;
        let state: EngineState = serde_json::from_slice(&text).unwrap();
        if !state.loading {
            break state;
        }
        tokio::time::sleep(Millis(1).to_duration()).await;
    };
    assert_eq!((state.layers, state.fence), (layers, Some(FenceNumber(2))));
    let newest = FenceNumber(2);
    assert_eq!(post(1).await, OrderReply::Fenced { newest });
    while engine.running.standin.context().incarnation() == before {
        tokio::time::sleep(Millis(1).to_duration()).await;
    }
}

#[tokio::test]
async fn faults_can_be_injected_and_cleared_while_the_engine_runs() {
    let engine = EngineUnderTest::start().await;
    let inject = async |text: &str| {
        let (status, _) = engine.call(Method::POST, FAULT_PATH, text.into()).await;
        status
    };
    assert_eq!(inject(r#"{"refuse": true}"#).await, StatusCode::OK);
    let (status, _) = engine.call(Method::GET, STATE_PATH, Vec::new()).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(inject(r#""clear""#).await, StatusCode::OK);
    assert_eq!(inject(r#"{"melt": 1}"#).await, StatusCode::BAD_REQUEST);

    assert_eq!(inject(r#"{"hang": true}"#).await, StatusCode::OK);
    let hanging = engine.call(Method::GET, STATE_PATH, Vec::new());
    let release = async {
        tokio::task::yield_now().await;
        assert_eq!(inject(r#"{"hang": false}"#).await, StatusCode::OK);
    };
    let ((status, _), ()) = futures::join!(hanging, release);
    assert_eq!(status, StatusCode::OK);
}

#[tokio::test]
async fn a_step_whose_answer_is_lost_has_run() {
    let engine = EngineUnderTest::start().await;
    engine
        .call(Method::POST, FAULT_PATH, r#"{"lose_answers": 1}"#.into())
        .await;
    let lost_call = engine.run_steps(vec![step(key(1, 1), 0, &[1, 2])]);
    let step_ran = async {
        let session_path = format!("{SESSIONS_PATH}{}", key(1, 1));
        loop {
            let (status, text) = engine.call(Method::GET, &session_path, Vec::new()).await;
            if status == StatusCode::OK {
                let session_status: SessionStanding = serde_json::from_slice(&text).unwrap();
                if session_status.next == Position(2) {
                    return;
                }
            }
            tokio::time::sleep(Millis(1).to_duration()).await;
        }
    };
    tokio::select! {
        reply = lost_call => panic!("the answer should be lost, but it was received: {reply:?}"),
        () = step_ran => {}
    }
    assert_eq!(engine.read_journal().await.len(), 1);
}
