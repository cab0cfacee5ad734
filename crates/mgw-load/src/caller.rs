//! A caller: asks for addresses, sends requests to entries, and retries a request only when it
//! certainly didn't run or, with `repeat_cut`, when its connection or stream broke off.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response, StatusCode};
use mgw_contract::Outcome;
use mgw_contract::caller::{
    ADDRESSES_PATH, AddressesReply, COMPLETIONS_PATH, CompletionReply, CompletionRequest,
    FinalAnswer, WORKSPACE_HEADER,
};
use mgw_serve::http::{Body, HttpClient, full, read_json};
use mgw_world::{Millis, WorkspaceName};
use serde::Deserialize;
use tokio::time::{Duration, Instant, timeout, timeout_at};

use crate::addresses::AddressBook;
use crate::answer::Answer;
use crate::events::{EventReader, StreamEvent};
use crate::results::Verdict;

/// Time within which an entry must answer the address call.
const ADDRESSES_TIMEOUT_MS: Millis = Millis(1000);
/// Pause before the address call is repeated when no entry answered it.
const ADDRESSES_RETRY_MS: Millis = Millis(100);
/// Pause before another entry is tried when one couldn't be reached.
const CONNECT_RETRY_MS: Millis = Millis(5);
/// Time after a request's deadline for which a caller still waits for the final answer.
const FINAL_ANSWER_GRACE_MS: Millis = Millis(2000);

/// A request, and how its caller sends, retries and checks it.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// Body of the request; its deadline is set whenever it is sent.
    pub request: CompletionRequest,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceName>,
    /// Tokens of the reference answer, if answers are compared with it.
    pub expected: Option<Vec<u32>>,
    /// Maximum number of times that the request is sent.
    pub max_sends: u32,
    /// Pause before a retry, used in place of the one that the final answer asks for.
    pub retry_pause_ms: Option<Millis>,
    /// Whether the request is retried after its connection or stream broke off.
    pub retry_when_broken: bool,
    /// Deadline that the request is sent with.
    pub deadline: Instant,
}

/// State of a request so far; it outlives the call, so it also shows requests that timed out.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// The answer received in the last attempt.
    pub answer: Answer,
    /// When each of its tokens was received.
    pub token_times: Vec<Instant>,
    /// Number of times that the request was sent.
    pub sent: u32,
    /// Base URL of the entry that it was last sent to.
    pub entry: Option<String>,
}

/// A caller with its own entry addresses.
#[derive(Debug)]
pub struct Caller {
    client: HttpClient,
    address_book: Mutex<AddressBook>,
    number: usize,
    /// Zero point of the times in the address book.
    created: Instant,
}

/// Result of sending a request once.
enum SendResult {
    /// The request was certainly not sent.
    NotConnected,
    /// The request may have been sent, and ended with this verdict.
    Ended(Verdict),
}

/// Body of a reply that is not an event stream.
#[derive(Deserialize)]
#[serde(untagged)]
enum UnstreamedReply {
    Final(FinalAnswer),
    Completion(CompletionReply),
}

impl Caller {
    /// Creates a caller that knows only the given entries. It sends its number with the address
    /// call, so that entries can give different addresses to different callers.
    #[must_use]
    pub fn new(client: HttpClient, entries: Vec<String>, number: usize) -> Arc<Self> {
        let address_book = AddressBook::new(entries, number);
        Arc::new(Self {
            client,
            number,
            address_book: Mutex::new(address_book),
            created: Instant::now(),
        })
    }

    /// Sends a request until it has an answer, can't be retried or times out; calls `on_token` with
    /// the text of each token.
    pub async fn complete(
        &self,
        spec: &CallSpec,
        progress: &mut Progress,
        on_token: impl FnMut(&str),
    ) -> Verdict {
        let give_up_at = spec.deadline + FINAL_ANSWER_GRACE_MS.to_duration();
        let attempts = self.send_with_retries(spec, progress, on_token);
        timeout_at(give_up_at, attempts)
            .await
            .unwrap_or(Verdict::TimedOut)
    }

    async fn send_with_retries(
        &self,
        spec: &CallSpec,
        progress: &mut Progress,
        mut on_token: impl FnMut(&str),
    ) -> Verdict {
        loop {
            let Some(url) = self.select_entry(spec.deadline).await else {
                return Verdict::NoEntry;
            };
            let verdict = match self.send(&url, spec, progress, &mut on_token).await {
                SendResult::Ended(verdict) => verdict,
                SendResult::NotConnected => {
                    self.address_book().record_failure(&url, self.now());
                    tokio::time::sleep(CONNECT_RETRY_MS.to_duration()).await;
                    continue;
                }
            };
            let is_broken = matches!(verdict, Verdict::Truncated | Verdict::Broken);
            if is_broken && spec.retry_when_broken && progress.sent < spec.max_sends {
                self.address_book().record_failure(&url, self.now());
                continue;
            }
            let may_have_run =
                verdict.outcome() != Outcome::NotRun || !progress.answer.tokens.is_empty();
            if may_have_run || progress.sent >= spec.max_sends {
                return verdict;
            }
            let Some(pause) = self.prepare_retry(&url, spec, progress) else {
                return verdict;
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Returns the pause before the request is retried, or `None` when the final answer names none
    /// or the deadline would pass during it. Before a retry, the redirect of the final answer is
    /// recorded.
    fn prepare_retry(&self, url: &str, spec: &CallSpec, progress: &Progress) -> Option<Duration> {
        let final_answer = progress.answer.final_answer.as_ref()?;
        let retry_after = final_answer.retry_after_ms?;
        let pause = spec.retry_pause_ms.unwrap_or(retry_after).to_duration();
        if Instant::now() + pause >= spec.deadline {
            return None;
        }
        let now = self.now();
        self.address_book()
            .record_redirect(url, &final_answer.retry_at, now);
        Some(pause)
    }

    /// Returns the entry to send a request to, or `None` when no entry gave addresses before the
    /// deadline.
    async fn select_entry(&self, deadline: Instant) -> Option<String> {
        loop {
            let chosen = self.address_book().choose(self.now()).map(str::to_owned);
            if chosen.is_some() {
                return chosen;
            }
            if Instant::now() >= deadline {
                return None;
            }
            if !self.ask_for_addresses().await {
                tokio::time::sleep(ADDRESSES_RETRY_MS.to_duration()).await;
            }
        }
    }

    /// Asks one entry after another for addresses until one gives some; returns whether one did.
    pub async fn ask_for_addresses(&self) -> bool {
        let urls = self.address_book().urls_to_ask();
        for url in urls {
            let reply = timeout(
                ADDRESSES_TIMEOUT_MS.to_duration(),
                self.fetch_addresses(&url),
            );
            match reply.await.ok().flatten() {
                Some(reply) if !reply.entries.is_empty() => {
                    self.address_book().update(&reply, self.now());
                    return true;
                }
                _ => self.address_book().record_failure(&url, self.now()),
            }
        }
        false
    }

    async fn fetch_addresses(&self, url: &str) -> Option<AddressesReply> {
        let number = self.number;
        let request = Request::get(format!("{url}{ADDRESSES_PATH}?caller={number}"))
            .body(full(""))
            .ok()?;
        let response = self.client.request(request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        read_json(response.into_body()).await.ok()
    }

    async fn send(
        &self,
        url: &str,
        spec: &CallSpec,
        progress: &mut Progress,
        on_token: &mut impl FnMut(&str),
    ) -> SendResult {
        let Some(request) = build_http_request(url, spec) else {
            return SendResult::Ended(Verdict::NoEntry);
        };
        progress.entry = Some(url.to_owned());
        progress.answer = Answer::default();
        progress.token_times.clear();
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if was_never_sent(&error) => return SendResult::NotConnected,
            Err(_) => {
                progress.sent += 1;
                return SendResult::Ended(Verdict::Broken);
            }
        };
        progress.sent += 1;
        let content_type = response.headers().get(CONTENT_TYPE);
        let is_stream = content_type
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.starts_with("text/event-stream"));
        let verdict = if is_stream {
            read_stream(response, spec, progress, on_token).await
        } else {
            read_unstreamed(response, spec, progress).await
        };
        SendResult::Ended(verdict)
    }

    fn address_book(&self) -> MutexGuard<'_, AddressBook> {
        self.address_book
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Millis {
        Millis::from_duration(self.created.elapsed())
    }
}

fn build_http_request(url: &str, spec: &CallSpec) -> Option<Request<Body>> {
    let remaining = spec.deadline.saturating_duration_since(Instant::now());
    let request = CompletionRequest {
        deadline_ms: Some(Millis::from_duration(remaining)),
        ..spec.request.clone()
    };
    let mut builder =
        Request::post(format!("{url}{COMPLETIONS_PATH}")).header(CONTENT_TYPE, "application/json");
    if let Some(workspace) = &spec.workspace {
        builder = builder.header(WORKSPACE_HEADER, workspace.as_str());
    }
    let body = serde_json::to_vec(&request).ok()?;
    builder.body(full(body)).ok()
}

/// Whether a request was certainly not sent: no connection was established, or a reused one turned
/// out to be closed before the request was written.
fn was_never_sent(error: &hyper_util::client::legacy::Error) -> bool {
    let source = std::error::Error::source(error);
    let cause = source.and_then(|source| source.downcast_ref::<hyper::Error>());
    error.is_connect() || cause.is_some_and(hyper::Error::is_canceled)
}

async fn read_stream(
    response: Response<Incoming>,
    spec: &CallSpec,
    progress: &mut Progress,
    on_token: &mut impl FnMut(&str),
) -> Verdict {
    let mut body = response.into_body();
    let mut reader = EventReader::default();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let received_at = Instant::now();
        let events = match reader.push(&bytes) {
            Ok(events) => events,
            Err(error) => {
                return Verdict::Wrong {
                    error: error.to_string(),
                };
            }
        };
        for event in events {
            if let StreamEvent::Chunk(chunk) = &event {
                on_token(&chunk.text);
            }
            if progress.answer.add_event(&event, spec.expected.as_deref()) {
                progress.token_times.push(received_at);
            }
        }
        if progress.answer.ended {
            break;
        }
    }
    classify_answer(&progress.answer, spec.request.max_tokens)
}

fn classify_answer(answer: &Answer, max_tokens: u32) -> Verdict {
    if let Some(error) = &answer.error {
        return Verdict::Wrong {
            error: error.to_string(),
        };
    }
    match &answer.final_answer {
        Some(final_answer) if answer.ended && final_answer.outcome != Outcome::Done => {
            Verdict::NotDone {
                outcome: final_answer.outcome,
                reason: final_answer.reason,
            }
        }
        Some(_) if answer.is_whole(max_tokens) => Verdict::Whole,
        Some(_) if answer.ended => Verdict::Wrong {
            error: format!(
                "received {} of {max_tokens} tokens, but outcome done",
                answer.tokens.len()
            ),
        },
        _ => Verdict::Truncated,
    }
}

async fn read_unstreamed(
    response: Response<Incoming>,
    spec: &CallSpec,
    progress: &mut Progress,
) -> Verdict {
    let final_answer = match read_json(response.into_body()).await {
        Ok(UnstreamedReply::Final(answer)) => answer,
        Ok(UnstreamedReply::Completion(reply)) => reply.answer,
        Err(_) => return Verdict::Broken,
    };
    let outcome = final_answer.outcome;
    let reason = final_answer.reason;
    progress
        .answer
        .add_event(&StreamEvent::Final(final_answer), None);
    if outcome == Outcome::Done {
        return Verdict::Wrong {
            error: format!(
                "expected an event stream of {} tokens, received a single reply",
                spec.request.max_tokens
            ),
        };
    }
    Verdict::NotDone { outcome, reason }
}
