//! Tests of callers with entries that fail: when a request is retried, and which verdict it gets.

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
use mgw_load::run::{build_call_spec, run};
use mgw_load::settings::Settings;
use mgw_serve::http::{Body, client, full_response, json_response, read_json, serve};
use mgw_standin::model::{model_seed, reference_answer};
use mgw_world::{Millis, RequestId};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// How a test entry answers a completion call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryReply {
    Whole,
    /// A stream whose third token is wrong.
    WrongToken,
    /// A stream without the end mark.
    NoEndMark,
    /// A stream that ends after two tokens.
    Truncated,
    /// A refusal with outcome `not_run`.
    Overloaded,
    /// A refusal with outcome `unknown`.
    Unknown,
    /// A body that is neither a stream nor JSON.
    Garbage,
    /// No reply at all.
    Hang,
}

/// A test entry, and the number of completion calls that it received.
struct Entry {
    url: String,
    calls: Arc<AtomicU32>,
}

fn final_answer(outcome: Outcome, reason: Reason, tokens: u32) -> FinalAnswer {
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

fn stream_response(request: &CompletionRequest, reply: EntryReply) -> Response<Body> {
    let seed = model_seed(&"drill".into(), &"v1".into());
    let prompt = tokenize(&request.prompt);
    let mut tokens = reference_answer(seed, 12, &prompt, request.max_tokens);
    if reply == EntryReply::WrongToken {
        tokens[2] += 1;
    }
    if reply == EntryReply::Truncated {
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
    if reply != EntryReply::Truncated {
        let done = final_answer(Outcome::Done, Reason::Complete, request.max_tokens);
        text += &format!("data: {}\n\n", serde_json::to_string(&done).unwrap());
    }
    if !matches!(reply, EntryReply::Truncated | EntryReply::NoEndMark) {
        text += "data: [DONE]\n\n";
    }
    full_response(StatusCode::OK, "text/event-stream", text)
}

async fn respond(reply: EntryReply, request: &CompletionRequest) -> Response<Body> {
    let refuse = |outcome, reason| {
        let answer = final_answer(outcome, reason, 0);
        json_response(StatusCode::SERVICE_UNAVAILABLE, &answer)
    };
    match reply {
        EntryReply::Overloaded => refuse(Outcome::NotRun, Reason::Overloaded),
        EntryReply::Unknown => refuse(Outcome::Unknown, Reason::TargetFailed),
        EntryReply::Garbage => full_response(StatusCode::BAD_GATEWAY, "text/plain", "?"),
        EntryReply::Hang => std::future::pending().await,
        reply => stream_response(request, reply),
    }
}

/// Starts an entry that lists `other_urls` and itself as addresses. It answers completion calls
/// with `replies` in order, and every further one with the last of them.
async fn start_entry(replies: &'static [EntryReply], other_urls: &[&str]) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let calls = Arc::new(AtomicU32::new(0));
    let entries = other_urls.iter().copied().chain([url.as_str()]);
    let entries = entries.map(|url| EntryAddress {
        name: url.into(),
        url: url.to_owned(),
    });
    let addresses = AddressesReply {
        entries: entries.collect(),
        valid_ms: Millis(60_000),
    };
    let handler_calls = Arc::clone(&calls);
    let handler = move |request: hyper::Request<hyper::body::Incoming>| {
        let calls = Arc::clone(&handler_calls);
        let addresses = addresses.clone();
        async move {
            if request.uri().path() == ADDRESSES_PATH {
                return json_response(StatusCode::OK, &addresses);
            }
            let number = calls.fetch_add(1, Ordering::SeqCst) as usize;
            let reply = replies[number.min(replies.len() - 1)];
            let request: CompletionRequest = read_json(request.into_body()).await.unwrap();
            assert!(request.stream);
            respond(reply, &request).await
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
    let spec = build_call_spec(settings, &arrival, Instant::now());
    let mut progress = Progress::default();
    let text = Mutex::new(String::new());
    let verdict = caller
        .complete(&spec, &mut progress, |token| {
            text.lock().unwrap().push_str(token);
        })
        .await;
    (verdict, progress, text.into_inner().unwrap())
}

const fn not_done(outcome: Outcome, reason: Reason) -> Verdict {
    Verdict::NotDone { outcome, reason }
}

/// Defines a test for each list of replies: a request gets the given verdict after being sent the
/// given number of times.
macro_rules! verdicts {
    ($($name:ident: $replies:expr => $pattern:pat, sent $sent:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let entry = start_entry(&$replies, &[]).await;
            let (verdict, progress, _) = complete(vec![entry.url], &settings()).await;
            assert!(matches!(verdict, $pattern), "{verdict:?}");
            assert_eq!(progress.sent, $sent);
            assert_eq!(entry.calls.load(Ordering::SeqCst), $sent);
        }
    )*};
}

verdicts! {
    whole_answer: [EntryReply::Whole] => Verdict::Whole, sent 1;
    not_run_is_sent_again: [EntryReply::Overloaded, EntryReply::Whole] => Verdict::Whole, sent 2;
    not_run_is_sent_again_up_to_the_limit: [EntryReply::Overloaded]
        => Verdict::NotDone { outcome: Outcome::NotRun, .. }, sent 3;
    unknown_is_not_sent_again: [EntryReply::Unknown, EntryReply::Whole]
        => Verdict::NotDone { outcome: Outcome::Unknown, .. }, sent 1;
    truncated_is_not_sent_again: [EntryReply::Truncated, EntryReply::Whole]
        => Verdict::Truncated, sent 1;
    all_tokens_without_the_end_are_truncated: [EntryReply::NoEndMark, EntryReply::Whole]
        => Verdict::Truncated, sent 1;
    garbage_is_not_sent_again: [EntryReply::Garbage, EntryReply::Whole] => Verdict::Broken, sent 1;
    wrong_token_is_a_wrong_answer: [EntryReply::WrongToken, EntryReply::Whole]
        => Verdict::Wrong { .. }, sent 1;
}

#[tokio::test]
async fn truncated_is_sent_again_where_that_is_wanted() {
    let entry = start_entry(&[EntryReply::Truncated, EntryReply::Whole], &[]).await;
    let settings = Settings {
        repeat_cut: true,
        ..settings()
    };
    let (verdict, progress, _) = complete(vec![entry.url], &settings).await;
    assert_eq!((verdict, progress.sent), (Verdict::Whole, 2));
}

#[tokio::test]
async fn an_unreachable_entry_is_passed_over_without_sending() {
    let entry = start_entry(&[EntryReply::Whole], &["http://127.0.0.1:1"]).await;
    let entries = vec!["http://127.0.0.1:2".to_owned(), entry.url];
    let (verdict, progress, text) = complete(entries, &settings()).await;
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
    let entry = start_entry(&[EntryReply::Hang], &[]).await;
    let settings = Settings {
        deadline_ms: Millis(500),
        ..settings()
    };
    let (verdict, progress, _) = complete(vec![entry.url], &settings).await;
    assert_eq!(
        (verdict, progress.answer.tokens.len()),
        (Verdict::TimedOut, 0)
    );
}

#[tokio::test]
async fn a_run_gives_a_result_for_each_arrival() {
    let replies = &[
        EntryReply::Whole,
        EntryReply::Overloaded,
        EntryReply::Whole,
        EntryReply::Truncated,
        EntryReply::Whole,
    ];
    let entry = start_entry(replies, &[]).await;
    let settings = Settings {
        entries: vec![entry.url],
        requests: Some(20),
        rate: 1000.0,
        ..settings()
    };
    let results = run(Arc::new(settings)).await.requests;
    assert_eq!(results.len(), 20);
    let count = |verdict: &Verdict| {
        let matching = results.iter().filter(|result| result.verdict == *verdict);
        matching.count()
    };
    assert_eq!(count(&Verdict::Whole), 19);
    assert_eq!(count(&Verdict::Truncated), 1);
    assert_eq!(count(&not_done(Outcome::NotRun, Reason::Overloaded)), 0);
    let sent: u32 = results.iter().map(|result| result.sent).sum();
    assert_eq!(sent, 21);
}
