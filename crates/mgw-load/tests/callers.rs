//! Callers against entries that fail: when a request is sent again, and what is made of its end.

#![allow(clippy::unwrap_used)]

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use hyper::{Response, StatusCode};
use mgw_contract::Outcome;
use mgw_contract::caller::{
    ADDRESSES_PATH, AddressesReply, CompletionChunk, CompletionRequest, EntryAddress, FinalAnswer,
    Reason,
};
use mgw_contract::tokens::{token_text, tokenize};
use mgw_load::arrivals::Arrival;
use mgw_load::caller::{Caller, Progress};
use mgw_load::results::Verdict;
use mgw_load::run::{compose_ask, run};
use mgw_load::settings::Settings;
use mgw_serve::http::{Body, client, full_response, json_response, read_json, serve};
use mgw_standin::model::{model_seed, reference_answer};
use mgw_world::{Millis, RequestId};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// What an entry answers to the completion calls, one after another; the last goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Act {
    Whole,
    WrongToken,
    NoEnd,
    Cut,
    Busy,
    Unknown,
    Garbage,
    Hang,
}

struct Entry {
    url: String,
    calls: Arc<AtomicU32>,
}

fn last(outcome: Outcome, reason: Reason, tokens: u32) -> FinalAnswer {
    FinalAnswer {
        id: RequestId(1),
        outcome,
        reason,
        message: String::new(),
        tokens,
        retry_after_ms: Some(Millis(1)),
        retry_at: Vec::new(),
    }
}

fn stream(request: &CompletionRequest, act: Act) -> Response<Body> {
    let seed = model_seed(&"drill".into(), &"v1".into());
    let prompt = tokenize(&request.prompt);
    let mut tokens = reference_answer(seed, 12, &prompt, request.max_tokens);
    if act == Act::WrongToken {
        tokens[2] += 1;
    }
    if act == Act::Cut {
        tokens.truncate(2);
    }
    let mut text = String::new();
    for (index, token) in (0..).zip(&tokens) {
        let chunk = CompletionChunk {
            id: RequestId(1),
            index,
            text: token_text(*token),
            token: *token,
        };
        text += &format!("data: {}\n\n", serde_json::to_string(&chunk).unwrap());
    }
    if act != Act::Cut {
        let done = last(Outcome::Done, Reason::Complete, request.max_tokens);
        text += &format!("data: {}\n\n", serde_json::to_string(&done).unwrap());
    }
    if !matches!(act, Act::Cut | Act::NoEnd) {
        text += "data: [DONE]\n\n";
    }
    full_response(StatusCode::OK, "text/event-stream", text)
}

async fn answer(act: Act, request: &CompletionRequest) -> Response<Body> {
    let refuse = |outcome, reason| {
        let answer = last(outcome, reason, 0);
        json_response(StatusCode::SERVICE_UNAVAILABLE, &answer)
    };
    match act {
        Act::Busy => refuse(Outcome::NotRun, Reason::Overloaded),
        Act::Unknown => refuse(Outcome::Unknown, Reason::TargetFailed),
        Act::Garbage => full_response(StatusCode::BAD_GATEWAY, "text/plain", "?"),
        Act::Hang => std::future::pending().await,
        act => stream(request, act),
    }
}

/// Starts an entry that gives `others` and itself as addresses.
async fn start_entry(acts: &'static [Act], others: &[&str]) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let calls = Arc::new(AtomicU32::new(0));
    let entries = others.iter().copied().chain([url.as_str()]);
    let entries = entries.map(|url| EntryAddress {
        name: url.into(),
        url: url.to_owned(),
    });
    let addresses = AddressesReply {
        entries: entries.collect(),
        valid_ms: Millis(60_000),
    };
    let counted = Arc::clone(&calls);
    let handler = move |request: hyper::Request<hyper::body::Incoming>| {
        let calls = Arc::clone(&counted);
        let addresses = addresses.clone();
        async move {
            if request.uri().path() == ADDRESSES_PATH {
                return json_response(StatusCode::OK, &addresses);
            }
            let number = calls.fetch_add(1, Ordering::SeqCst) as usize;
            let act = acts[number.min(acts.len() - 1)];
            let request: CompletionRequest = read_json(request.into_body()).await.unwrap();
            assert!(request.stream);
            answer(act, &request).await
        }
    };
    let token = CancellationToken::new();
    tokio::spawn(serve(listener, handler, token.clone(), token));
    Entry { url, calls }
}

fn settings() -> Settings {
    Settings {
        verify: true,
        max_tokens: 4,
        ..Settings::default()
    }
}

async fn complete(entries: Vec<String>, settings: &Settings) -> (Verdict, Progress, String) {
    let caller = Caller::new(client(), entries, 0);
    let arrival = Arrival {
        at_us: 0,
        workspace: Some("w".into()),
        prompt: "explain extinguisher classes".to_owned(),
    };
    let ask = compose_ask(settings, &arrival, Instant::now());
    let mut progress = Progress::default();
    let text = Mutex::new(String::new());
    let verdict = caller
        .complete(&ask, &mut progress, |token| {
            text.lock().unwrap().push_str(token);
        })
        .await;
    (verdict, progress, text.into_inner().unwrap())
}

const fn answered(outcome: Outcome, reason: Reason) -> Verdict {
    Verdict::Answered { outcome, reason }
}

macro_rules! ends {
    ($($name:ident: $acts:expr => $pattern:pat, sent $sent:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let entry = start_entry(&$acts, &[]).await;
            let (verdict, progress, _) = complete(vec![entry.url], &settings()).await;
            assert!(matches!(verdict, $pattern), "{verdict:?}");
            assert_eq!(progress.sent, $sent);
            assert_eq!(entry.calls.load(Ordering::SeqCst), $sent);
        }
    )*};
}

ends! {
    whole_answer: [Act::Whole] => Verdict::Whole, sent 1;
    not_run_is_sent_again: [Act::Busy, Act::Whole] => Verdict::Whole, sent 2;
    not_run_is_sent_again_up_to_the_limit: [Act::Busy]
        => Verdict::Answered { outcome: Outcome::NotRun, .. }, sent 3;
    unknown_is_not_sent_again: [Act::Unknown, Act::Whole]
        => Verdict::Answered { outcome: Outcome::Unknown, .. }, sent 1;
    truncated_is_not_sent_again: [Act::Cut, Act::Whole] => Verdict::Truncated, sent 1;
    all_tokens_without_the_end_are_truncated: [Act::NoEnd, Act::Whole]
        => Verdict::Truncated, sent 1;
    garbage_is_not_sent_again: [Act::Garbage, Act::Whole] => Verdict::Broken, sent 1;
    wrong_token_is_a_wrong_answer: [Act::WrongToken, Act::Whole]
        => Verdict::Wrong { .. }, sent 1;
}

#[tokio::test]
async fn truncated_is_sent_again_where_that_is_wanted() {
    let entry = start_entry(&[Act::Cut, Act::Whole], &[]).await;
    let settings = Settings {
        repeat_cut: true,
        ..settings()
    };
    let (verdict, progress, _) = complete(vec![entry.url], &settings).await;
    assert_eq!((verdict, progress.sent), (Verdict::Whole, 2));
}

#[tokio::test]
async fn an_unreachable_entry_is_passed_over_without_sending() {
    let entry = start_entry(&[Act::Whole], &["http://127.0.0.1:1"]).await;
    let given = vec!["http://127.0.0.1:2".to_owned(), entry.url];
    let (verdict, progress, text) = complete(given, &settings()).await;
    assert_eq!((verdict, progress.sent), (Verdict::Whole, 1));
    assert_eq!(progress.token_times.len(), 4);
    let tokens = progress
        .answer
        .tokens
        .iter()
        .map(|token| token_text(*token));
    assert_eq!(text, tokens.collect::<String>());
}

#[tokio::test]
async fn without_any_entry_nothing_ran() {
    let settings = Settings {
        deadline_ms: Millis(20),
        ..settings()
    };
    let (verdict, ..) = complete(vec!["http://127.0.0.1:1".to_owned()], &settings).await;
    assert_eq!(verdict, Verdict::NoEntry);
    assert_eq!(verdict.outcome(), Outcome::NotRun);
}

#[tokio::test]
async fn a_caller_gives_up_some_time_after_its_deadline() {
    let entry = start_entry(&[Act::Hang], &[]).await;
    let settings = Settings {
        deadline_ms: Millis(500),
        ..settings()
    };
    let (verdict, progress, _) = complete(vec![entry.url], &settings).await;
    assert_eq!(
        (verdict, progress.answer.tokens.len()),
        (Verdict::GaveUp, 0)
    );
}

#[tokio::test]
async fn a_run_gives_a_result_for_each_arrival() {
    let acts = &[Act::Whole, Act::Busy, Act::Whole, Act::Cut, Act::Whole];
    let entry = start_entry(acts, &[]).await;
    let settings = Settings {
        entries: vec![entry.url],
        requests: Some(20),
        rate: 1000.0,
        ..settings()
    };
    let results = run(Arc::new(settings)).await.requests;
    assert_eq!(results.len(), 20);
    let count = |verdict: &Verdict| {
        let alike = results.iter().filter(|result| result.verdict == *verdict);
        alike.count()
    };
    assert_eq!(count(&Verdict::Whole), 19);
    assert_eq!(count(&Verdict::Truncated), 1);
    assert_eq!(count(&answered(Outcome::NotRun, Reason::Overloaded)), 0);
    let sent: u32 = results.iter().map(|result| result.sent).sum();
    assert_eq!(sent, 21);
}
