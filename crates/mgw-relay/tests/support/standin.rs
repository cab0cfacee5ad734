//! A simulated target whose behaviour a test sets for each request.

#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::unfold;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::names;

/// Number of events in a whole answer.
pub const EVENTS: u64 = 6;
const EVENT_PAUSE: Duration = Duration::from_millis(10);
/// Pause of a target that is slow.
const LONG_PAUSE: Duration = Duration::from_millis(190);
/// Time that a slow target takes to answer a call.
const SLOW_CALL: Duration = Duration::from_millis(1_000);
/// Time to a late first event: longer than callers aim for, shorter than they tolerate.
const LATE_FIRST: Duration = Duration::from_millis(1_000);

/// What a target does with its next request. It answers normally once its list is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers normally.
    Normal,
    /// Breaks a stream that isn't resumed, in the middle of the event after this one.
    BreakAfter(u64),
    /// Sends nothing after this event of a stream that isn't resumed.
    SilentAfter(u64),
    /// Sends the first event of a stream late, as under load.
    LateFirst,
    /// Pauses long between the events of a stream, and before it answers a call.
    Slow,
    /// Breaks any stream in the middle of the second event that it sends.
    BreakEarly,
    /// States that it didn't run the request.
    NotRun,
    /// Runs the request and breaks the connection without an answer.
    LoseAnswer,
    /// Answers with a server error.
    Fail,
    /// Answers with the id of another request.
    Foreign,
    /// Answers normally and states that it is leaving.
    Leaving,
    /// States that it didn't run the request and asks for a pause of this length.
    Shed(&'static str),
}

/// A request that the target received.
#[derive(Debug, Clone)]
pub struct Seen {
    pub id: String,
    pub last_event: Option<u64>,
    pub has_key: bool,
    pub workspace: Option<String>,
    pub chain: Option<String>,
    /// Time that the relay says it waits, in milliseconds.
    pub time_left_ms: Option<u64>,
    pub body: String,
}

/// A simulated target; clones share their state.
#[derive(Clone)]
pub struct Standin {
    pub name: String,
    pub address: SocketAddr,
    pub is_engine: bool,
    plan: Arc<Mutex<VecDeque<Behaviour>>>,
    seen: Arc<Mutex<Vec<Seen>>>,
    dropped: Arc<Mutex<u32>>,
    endless: Arc<Mutex<Vec<usize>>>,
}

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Counts an answer as dropped if the relay disconnected before its end.
struct UnfinishedAnswer {
    dropped: Arc<Mutex<u32>>,
    is_finished: bool,
}

impl Drop for UnfinishedAnswer {
    fn drop(&mut self) {
        if !self.is_finished {
            *self.dropped.lock() += 1;
        }
    }
}

pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

impl Standin {
    pub async fn start(name: &str, is_engine: bool, plan: &[Behaviour]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let standin = Self::new(name, listener.local_addr().unwrap(), is_engine, plan);
        tokio::spawn(standin.clone().serve(listener));
        standin
    }

    /// A target that nothing serves yet.
    pub fn new(name: &str, address: SocketAddr, is_engine: bool, plan: &[Behaviour]) -> Self {
        Self {
            name: name.to_owned(),
            address,
            is_engine,
            plan: Arc::new(Mutex::new(plan.iter().copied().collect())),
            seen: Arc::default(),
            dropped: Arc::default(),
            endless: Arc::default(),
        }
    }

    /// Adds what the target does with its next requests.
    pub fn plan(&self, behaviour: Behaviour) {
        self.plan.lock().extend([behaviour; 8]);
    }

    pub fn record(&self, seen: Seen) {
        self.seen.lock().push(seen);
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().clone()
    }

    /// Number of answers that were dropped because the relay disconnected before their end.
    pub fn dropped(&self) -> u32 {
        *self.dropped.lock()
    }

    /// Records how many bytes of an endless answer were sent when the relay gave it up.
    pub fn record_given_up(&self, sent_bytes: usize) {
        self.endless.lock().push(sent_bytes);
    }

    /// Sizes in bytes of the endless answers that the relay gave up.
    pub fn given_up(&self) -> Vec<usize> {
        self.endless.lock().clone()
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let standin = self.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let standin = standin.clone();
                    async move { standin.answer(request).await }
                });
                // Some behaviours break the connection, so an error is expected here.
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<Body>, std::io::Error> {
        if request.uri().path() == "/report" {
            return Ok(Response::new(whole("{}")));
        }
        let (parts, body) = request.into_parts();
        let text = |name| {
            let value = parts.headers.get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let body = body.collect().await.map_err(std::io::Error::other)?;
        let last_event = text(names::LAST_EVENT).and_then(|it| it.parse().ok());
        let id = text(names::ID).unwrap_or_default();
        self.seen.lock().push(Seen {
            id: id.clone(),
            last_event,
            has_key: parts.headers.contains_key(names::KEY),
            workspace: text(names::WORKSPACE),
            chain: text(names::CHAIN),
            time_left_ms: text(names::TIME).and_then(|it| it.parse().ok()),
            body: String::from_utf8(body.to_bytes().to_vec()).unwrap(),
        });
        let behaviour = self.plan.lock().pop_front().unwrap_or(Behaviour::Normal);
        let mut response = Response::new(whole("answer"));
        match behaviour {
            Behaviour::LoseAnswer => return Err(std::io::Error::other("answer lost")),
            Behaviour::NotRun => {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                let not_run = HeaderValue::from_static("1");
                response.headers_mut().insert(names::NOT_RUN, not_run);
            }
            Behaviour::Shed(pause) => {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                let not_run = HeaderValue::from_static("1");
                response.headers_mut().insert(names::NOT_RUN, not_run);
                let pause = HeaderValue::from_static(pause);
                response.headers_mut().insert(names::PAUSE, pause);
            }
            Behaviour::Fail => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
            _ if self.is_engine => {
                *response.body_mut() = self.stream(last_event.unwrap_or(0), behaviour);
            }
            Behaviour::Slow => sleep(SLOW_CALL).await,
            _ => {}
        }
        let answered_id = if behaviour == Behaviour::Foreign {
            "another"
        } else {
            id.as_str()
        };
        let headers = response.headers_mut();
        if behaviour == Behaviour::Leaving {
            headers.insert(names::LEAVING, HeaderValue::from_static("1"));
        }
        headers.insert(names::ID, HeaderValue::from_str(answered_id).unwrap());
        let seal = HeaderValue::from_str(&self.name).unwrap();
        headers.insert(names::SEAL, seal);
        Ok(response)
    }

    /// The body of an answer in events, with the fault that the behaviour asks for.
    fn stream(&self, last_event: u64, behaviour: Behaviour) -> Body {
        let is_not_resumed = last_event == 0;
        let (fault_after, is_silent) = match behaviour {
            Behaviour::BreakAfter(after) if is_not_resumed => (Some(after), false),
            Behaviour::SilentAfter(after) if is_not_resumed => (Some(after), true),
            Behaviour::BreakEarly => (Some(last_event + 1), false),
            _ => (None, false),
        };
        let stream = AnswerStream {
            event_pause: match behaviour {
                Behaviour::Slow => LONG_PAUSE,
                _ => EVENT_PAUSE,
            },
            first_pause: match behaviour {
                Behaviour::LateFirst => LATE_FIRST,
                _ => Duration::ZERO,
            },
            last: last_event,
            fault_after,
            is_silent,
            is_broken: false,
            unfinished: UnfinishedAnswer {
                dropped: Arc::clone(&self.dropped),
                is_finished: false,
            },
        };
        let events = unfold(stream, AnswerStream::next);
        StreamBody::new(events.map(|piece| piece.map(Frame::data))).boxed_unsync()
    }
}

/// State of an answer in events.
struct AnswerStream {
    event_pause: Duration,
    first_pause: Duration,
    last: u64,
    fault_after: Option<u64>,
    is_silent: bool,
    is_broken: bool,
    unfinished: UnfinishedAnswer,
}

impl AnswerStream {
    async fn next(mut self) -> Option<(Result<Bytes, std::io::Error>, Self)> {
        sleep(self.event_pause + std::mem::take(&mut self.first_pause)).await;
        if self.is_broken {
            self.unfinished.is_finished = true;
            return Some((Err(std::io::Error::other("broken off")), self));
        }
        if self.fault_after == Some(self.last) {
            if self.is_silent {
                std::future::pending::<()>().await;
            }
            self.is_broken = true;
            let half = event(self.last + 1)[..7].to_owned();
            return Some((Ok(Bytes::from(half)), self));
        }
        if self.last == EVENTS {
            self.unfinished.is_finished = true;
            return None;
        }
        self.last += 1;
        Some((Ok(Bytes::from(event(self.last))), self))
    }
}

fn whole(text: &'static str) -> Body {
    let full = Full::from(text);
    full.map_err(|never: Infallible| match never {})
        .boxed_unsync()
}
