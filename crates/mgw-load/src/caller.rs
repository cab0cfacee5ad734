//! A caller: asks for addresses, sends requests to entries, and sends one again only when it
//! certainly didn't run or, where it is told so, when its stream broke off.

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
/// Pause after no entry answered the address call.
const ASK_PAUSE_MS: Millis = Millis(100);
/// Pause after an entry couldn't be reached.
const CONNECT_PAUSE_MS: Millis = Millis(5);
/// Time past a request's deadline that a caller still waits for the final answer.
const GRACE_MS: Millis = Millis(2000);

/// A request as a caller has it.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The request; its deadline is set at each sending.
    pub request: CompletionRequest,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceName>,
    /// The right answer, if it is known.
    pub expected: Option<Vec<u32>>,
    /// Most times that it is sent.
    pub tries: u32,
    /// Whether it is sent again after its stream broke off.
    pub repeat_cut: bool,
    /// When the caller needs the answer.
    pub deadline: Instant,
}

/// What came of a request so far; kept even if the caller gives up.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// The answer received in the last try.
    pub answer: Answer,
    /// When each of its tokens was received.
    pub token_times: Vec<Instant>,
    /// Times that the request was sent.
    pub sent: u32,
    /// Base URL of the entry that it was last sent to.
    pub entry: Option<String>,
}

/// One caller.
#[derive(Debug)]
pub struct Caller {
    client: HttpClient,
    book: Mutex<AddressBook>,
    number: usize,
    start: Instant,
}

/// End of one sending.
enum Sending {
    NotConnected,
    Ended(Verdict),
}

#[derive(Deserialize)]
#[serde(untagged)]
enum WholeReply {
    Final(FinalAnswer),
    Completion(CompletionReply),
}

impl Caller {
    /// A caller that knows only the entries given; its number tells it from other callers, so that
    /// entries can give each other addresses.
    #[must_use]
    pub fn new(client: HttpClient, entries: Vec<String>, number: usize) -> Arc<Self> {
        let book = AddressBook::new(entries, number);
        Arc::new(Self {
            client,
            number,
            book: Mutex::new(book),
            start: Instant::now(),
        })
    }

    /// Has a request answered; `on_token` hears of each token.
    pub async fn complete(
        &self,
        ask: &Ask,
        progress: &mut Progress,
        on_token: impl FnMut(&str),
    ) -> Verdict {
        let limit = ask.deadline + GRACE_MS.to_duration();
        let tries = self.try_entries(ask, progress, on_token);
        timeout_at(limit, tries).await.unwrap_or(Verdict::GaveUp)
    }

    async fn try_entries(
        &self,
        ask: &Ask,
        progress: &mut Progress,
        mut on_token: impl FnMut(&str),
    ) -> Verdict {
        loop {
            let Some(url) = self.find_entry(ask.deadline).await else {
                return Verdict::NoEntry;
            };
            let verdict = match self.send(&url, ask, progress, &mut on_token).await {
                Sending::Ended(verdict) => verdict,
                Sending::NotConnected => {
                    self.book().note_failure(&url, self.now());
                    tokio::time::sleep(CONNECT_PAUSE_MS.to_duration()).await;
                    continue;
                }
            };
            let is_cut = matches!(verdict, Verdict::Truncated | Verdict::Broken);
            if is_cut && ask.repeat_cut && progress.sent < ask.tries {
                self.book().note_failure(&url, self.now());
                continue;
            }
            let ran = verdict.outcome() != Outcome::NotRun || !progress.answer.tokens.is_empty();
            if ran || progress.sent >= ask.tries {
                return verdict;
            }
            let Some(pause) = self.plan_retry(&url, ask, progress) else {
                return verdict;
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// When to send again; none when that is of no use.
    fn plan_retry(&self, url: &str, ask: &Ask, progress: &Progress) -> Option<Duration> {
        let answer = progress.answer.answer.as_ref()?;
        let pause = answer.retry_after_ms?.to_duration();
        if Instant::now() + pause >= ask.deadline {
            return None;
        }
        let now = self.now();
        self.book().note_redirect(url, &answer.retry_at, now);
        Some(pause)
    }

    async fn find_entry(&self, deadline: Instant) -> Option<String> {
        loop {
            let chosen = self.book().choose(self.now()).map(str::to_owned);
            if chosen.is_some() {
                return chosen;
            }
            if Instant::now() >= deadline {
                return None;
            }
            if !self.ask_for_addresses().await {
                tokio::time::sleep(ASK_PAUSE_MS.to_duration()).await;
            }
        }
    }

    /// Asks one entry after another for addresses; returns whether one answered.
    pub async fn ask_for_addresses(&self) -> bool {
        let urls = self.book().urls_to_ask();
        for url in urls {
            let asked = timeout(ADDRESSES_TIMEOUT_MS.to_duration(), self.ask_entry(&url));
            match asked.await.ok().flatten() {
                Some(reply) if !reply.entries.is_empty() => {
                    self.book().learn(&reply, self.now());
                    return true;
                }
                _ => self.book().note_failure(&url, self.now()),
            }
        }
        false
    }

    async fn ask_entry(&self, url: &str) -> Option<AddressesReply> {
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
        ask: &Ask,
        progress: &mut Progress,
        on_token: &mut impl FnMut(&str),
    ) -> Sending {
        let Some(request) = compose(url, ask) else {
            return Sending::Ended(Verdict::NoEntry);
        };
        progress.entry = Some(url.to_owned());
        progress.answer = Answer::default();
        progress.token_times.clear();
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if was_never_sent(&error) => return Sending::NotConnected,
            Err(_) => {
                progress.sent += 1;
                return Sending::Ended(Verdict::Broken);
            }
        };
        progress.sent += 1;
        let content_type = response.headers().get(CONTENT_TYPE);
        let is_stream = content_type
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.starts_with("text/event-stream"));
        let verdict = if is_stream {
            read_stream(response, ask, progress, on_token).await
        } else {
            read_whole(response, ask, progress).await
        };
        Sending::Ended(verdict)
    }

    fn book(&self) -> MutexGuard<'_, AddressBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Millis {
        Millis::from_duration(self.start.elapsed())
    }
}

fn compose(url: &str, ask: &Ask) -> Option<Request<Body>> {
    let left = ask.deadline.saturating_duration_since(Instant::now());
    let request = CompletionRequest {
        deadline_ms: Some(Millis::from_duration(left)),
        ..ask.request.clone()
    };
    let mut builder =
        Request::post(format!("{url}{COMPLETIONS_PATH}")).header(CONTENT_TYPE, "application/json");
    if let Some(workspace) = &ask.workspace {
        builder = builder.header(WORKSPACE_HEADER, workspace.as_str());
    }
    let text = serde_json::to_vec(&request).ok()?;
    builder.body(full(text)).ok()
}

/// Whether a request certainly didn't leave: no connection came about, or a kept one turned out to
/// be closed before the request was written.
fn was_never_sent(error: &hyper_util::client::legacy::Error) -> bool {
    let source = std::error::Error::source(error);
    let cause = source.and_then(|source| source.downcast_ref::<hyper::Error>());
    error.is_connect() || cause.is_some_and(hyper::Error::is_canceled)
}

async fn read_stream(
    response: Response<Incoming>,
    ask: &Ask,
    progress: &mut Progress,
    on_token: &mut impl FnMut(&str),
) -> Verdict {
    let mut body = response.into_body();
    let mut reader = EventReader::default();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        let received = Instant::now();
        let events = match reader.push(&piece) {
            Ok(events) => events,
            Err(error) => {
                return Verdict::Wrong {
                    fault: error.to_string(),
                };
            }
        };
        for event in events {
            if let StreamEvent::Chunk(chunk) = &event {
                on_token(&chunk.text);
            }
            if progress.answer.take(&event, ask.expected.as_deref()) {
                progress.token_times.push(received);
            }
        }
        if progress.answer.ended {
            break;
        }
    }
    judge(&progress.answer, ask.request.max_tokens)
}

fn judge(answer: &Answer, max_tokens: u32) -> Verdict {
    if let Some(fault) = &answer.fault {
        return Verdict::Wrong {
            fault: fault.to_string(),
        };
    }
    match &answer.answer {
        Some(last) if answer.ended && last.outcome != Outcome::Done => Verdict::Answered {
            outcome: last.outcome,
            reason: last.reason,
        },
        Some(_) if answer.is_whole(max_tokens) => Verdict::Whole,
        Some(_) if answer.ended => Verdict::Wrong {
            fault: format!("{} of {max_tokens} tokens", answer.tokens.len()),
        },
        _ => Verdict::Truncated,
    }
}

async fn read_whole(response: Response<Incoming>, ask: &Ask, progress: &mut Progress) -> Verdict {
    let answer = match read_json(response.into_body()).await {
        Ok(WholeReply::Final(answer)) => answer,
        Ok(WholeReply::Completion(reply)) => reply.answer,
        Err(_) => return Verdict::Broken,
    };
    let outcome = answer.outcome;
    let reason = answer.reason;
    progress.answer.take(&StreamEvent::Final(answer), None);
    if outcome == Outcome::Done {
        return Verdict::Wrong {
            fault: format!(
                "{} tokens asked for as a stream came whole",
                ask.request.max_tokens
            ),
        };
    }
    Verdict::Answered { outcome, reason }
}
