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

struct Peer {
    running: RunningStandin,
    client: HttpClient,
}

impl Peer {
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

    async fn steps(&self, steps: Vec<StageStep>) -> StepBatchReply {
        let body = postcard::to_stdvec(&StepBatch { steps }).unwrap();
        let (status, bytes) = self.call(Method::POST, STEPS_PATH, body).await;
        assert_eq!(status, StatusCode::OK);
        postcard::from_bytes(&bytes).unwrap()
    }

    async fn journal(&self) -> Vec<JournalLine> {
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

fn expected(prompt: &[u32], count: u32) -> Vec<u32> {
    let seed = model_seed(&"drill".into(), &"v1".into());
    reference_answer(seed, 12, prompt, count)
}

#[tokio::test]
async fn steps_of_a_batch_are_answered_in_their_order_and_journaled_once() {
    let peer = Peer::start().await;
    let replies = peer
        .steps(vec![
            step(key(1, 1), 0, &[1, 2]),
            step(key(2, 1), 5, &[1]),
            step(key(3, 1), 0, &[3]),
        ])
        .await
        .replies;
    let token = |prompt: &[u32]| Ok(StageOutput::Token(expected(prompt, 1)[0]));
    assert_eq!(replies[0].result, token(&[1, 2]));
    assert_eq!(replies[1].result, Err(StepRefusal::NoSession));
    assert_eq!(replies[2].result, token(&[3]));
    assert_eq!(replies[1].session, key(2, 1));
    let journal = peer.journal().await;
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
    let peer = Peer::start().await;
    let replies = peer
        .steps(vec![step(key(1, 1), 0, &[1]), step(key(1, 1), 0, &[1])])
        .await
        .replies;
    assert!(replies[0].result.is_ok());
    let refusal = StepRefusal::WrongPosition { next: Position(1) };
    assert_eq!(replies[1].result, Err(refusal));
    assert_eq!(peer.journal().await.len(), 1);
}

#[tokio::test]
async fn sessions_are_shown_moved_and_freed() {
    let peer = Peer::start().await;
    let path = |prefix: &str, session: SessionKey| format!("{prefix}{session}");
    peer.steps(vec![step(key(1, 1), 0, &[1, 2, 3])]).await;
    let shown = path(SESSIONS_PATH, key(1, 1));
    let (_, text) = peer.call(Method::GET, &shown, Vec::new()).await;
    let standing: SessionStanding = serde_json::from_slice(&text).unwrap();
    assert_eq!((standing.next, standing.running), (Position(3), false));

    let exported = path(KV_PATH, key(1, 1));
    let (status, image) = peer.call(Method::GET, &exported, Vec::new()).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(
        postcard::from_bytes::<KvImage>(&image).unwrap().next,
        Position(3)
    );
    let imported = path(KV_PATH, key(1, 2));
    let (status, _) = peer.call(Method::PUT, &imported, image.clone()).await;
    assert_eq!(status, StatusCode::OK);
    let (status, _) = peer.call(Method::PUT, &imported, image).await;
    assert_eq!(status, StatusCode::CONFLICT);
    let answer = expected(&[1, 2, 3], 2);
    let replies = peer.steps(vec![step(key(1, 2), 3, &[answer[0]])]).await;
    assert_eq!(replies.replies[0].result, Ok(StageOutput::Token(answer[1])));

    let (status, _) = peer.call(Method::DELETE, &shown, Vec::new()).await;
    assert_eq!(status, StatusCode::NO_CONTENT);
    for method in [Method::GET, Method::DELETE] {
        let (status, _) = peer.call(method, &shown, Vec::new()).await;
        assert_eq!(status, StatusCode::NOT_FOUND);
    }
}

#[tokio::test]
async fn an_accepted_order_ends_in_another_incarnation_with_the_new_layers() {
    let peer = Peer::start().await;
    let before = peer.running.standin.context().incarnation();
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
        let (_, text) = peer.call(Method::POST, ORDERS_PATH, body).await;
        serde_json::from_slice::<OrderReply>(&text).unwrap()
    };
    assert_eq!(post(2).await, OrderReply::Accepted);
    let state = loop {
        let (_, text) = peer.call(Method::GET, STATE_PATH, Vec::new()).await;
        let state: EngineState = serde_json::from_slice(&text).unwrap();
        if !state.loading {
            break state;
        }
        tokio::time::sleep(Millis(1).to_duration()).await;
    };
    assert_eq!((state.layers, state.fence), (layers, Some(FenceNumber(2))));
    let newest = FenceNumber(2);
    assert_eq!(post(1).await, OrderReply::Fenced { newest });
    while peer.running.standin.context().incarnation() == before {
        tokio::time::sleep(Millis(1).to_duration()).await;
    }
}

#[tokio::test]
async fn faults_are_changed_while_it_runs() {
    let peer = Peer::start().await;
    let fault = async |text: &str| {
        let (status, _) = peer.call(Method::POST, FAULT_PATH, text.into()).await;
        status
    };
    assert_eq!(fault(r#"{"refuse": true}"#).await, StatusCode::OK);
    let (status, _) = peer.call(Method::GET, STATE_PATH, Vec::new()).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(fault(r#""clear""#).await, StatusCode::OK);
    assert_eq!(fault(r#"{"melt": 1}"#).await, StatusCode::BAD_REQUEST);

    assert_eq!(fault(r#"{"hang": true}"#).await, StatusCode::OK);
    let hanging = peer.call(Method::GET, STATE_PATH, Vec::new());
    let released = async {
        tokio::task::yield_now().await;
        assert_eq!(fault(r#"{"hang": false}"#).await, StatusCode::OK);
    };
    let ((status, _), ()) = futures::join!(hanging, released);
    assert_eq!(status, StatusCode::OK);
}

#[tokio::test]
async fn a_lost_answer_leaves_a_step_that_ran() {
    let peer = Peer::start().await;
    peer.call(Method::POST, FAULT_PATH, r#"{"lose_answers": 1}"#.into())
        .await;
    let lost = peer.steps(vec![step(key(1, 1), 0, &[1, 2])]);
    let seen = async {
        let shown = format!("{SESSIONS_PATH}{}", key(1, 1));
        loop {
            let (status, text) = peer.call(Method::GET, &shown, Vec::new()).await;
            if status == StatusCode::OK {
                let standing: SessionStanding = serde_json::from_slice(&text).unwrap();
                if standing.next == Position(2) {
                    return;
                }
            }
            tokio::time::sleep(Millis(1).to_duration()).await;
        }
    };
    tokio::select! {
        reply = lost => panic!("the answer came: {reply:?}"),
        () = seen => {}
    }
    assert_eq!(peer.journal().await.len(), 1);
}
