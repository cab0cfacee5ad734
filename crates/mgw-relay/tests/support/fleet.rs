//! Several relays before engines that end when they begin to answer a request with a certain part.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream::{StreamExt, unfold};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mgw_contract::operator::{CONFIG_PATH, OPERATOR_HEADER, OPERATOR_KEY_HEADER};
use mgw_contract::target::{Announcement, LoadReport, Readiness};
use mgw_control::{Control, ControlHandle, Founding};
use mgw_relay::{Relay, RelaySettings};
use mgw_routing::RoutingDocument;
use mgw_serve::Shutdown;
use mgw_serve::http::{client, full, read_body};
use mgw_testkit::free_address;
use mgw_world::{
    ForwardingEngine, Incarnation, LayerRange, Limits, RoutingVersion, Target, TargetKind,
};
use parking_lot::Mutex;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::standin::{EVENTS, event};
use super::{
    ADAPTER, Answer, LAYERS, POLL_INTERVAL, TEST_TIMEOUT, call, names, relay_settings, request,
    start_control_for_operators,
};

/// A part of prompts that ends each engine which begins to answer a request with it.
pub const HARMFUL_PART: &str = "bad";
/// End of the path of a request that ends each target which begins to run it.
pub const HARMFUL_PATH: &str = "harmful";
/// The first part of all prompts.
pub const SHARED_PART: &str = "a";
const OPERATOR: &str = "ana";
const OPERATOR_KEY: &str = "ana-key";
/// Time for which an engine reads a prompt before it begins to answer.
const READING: Duration = Duration::from_millis(30);
/// Time from the end of an engine to its next start.
const RESTART: Duration = Duration::from_millis(400);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);
const EVENT_PAUSE: Duration = Duration::from_millis(10);

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// What engines have seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// When a harmful request reached an engine.
    pub reached: Vec<Instant>,
    /// When an engine ended under such a request.
    pub ends: Vec<Instant>,
    /// When requests reached each target, by the target's number.
    pub arrivals: BTreeMap<usize, Vec<Instant>>,
}

/// Which processes a fleet consists of.
#[derive(Debug, Clone, Copy)]
pub struct FleetSettings {
    pub relays: usize,
    pub targets: usize,
    /// Whether the targets serve plain calls instead of streams.
    pub is_plain: bool,
    /// Rate limit that all targets state, as written on the wire.
    pub limit: Option<&'static str>,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            relays: 3,
            targets: 10,
            is_plain: false,
            limit: None,
        }
    }
}

/// A target: an engine that holds all layers, or one that serves plain calls.
pub struct Engine {
    number: usize,
    is_plain: bool,
    limit: Arc<Mutex<Option<&'static str>>>,
    address: SocketAddr,
    handle: ControlHandle,
    seen: Arc<Mutex<Seen>>,
}

impl Engine {
    /// Serves one incarnation after the other.
    async fn run(self: Arc<Self>) {
        for incarnation in 1.. {
            let listener = TcpListener::bind(self.address).await.unwrap();
            let ended = CancellationToken::new();
            let announcing = Arc::clone(&self).announce(incarnation, ended.clone());
            tokio::spawn(announcing);
            let serving = Arc::clone(&self).serve(listener, ended.clone());
            ended.run_until_cancelled(serving).await;
            sleep(RESTART).await;
        }
    }

    fn duty(&self) -> TargetKind {
        if self.is_plain {
            return TargetKind::Plain {
                service: "records".into(),
            };
        }
        TargetKind::Forwarding(ForwardingEngine {
            service: "pool".into(),
            accelerator: "card".into(),
            layers: LayerRange::new(0, LAYERS).ok(),
        })
    }

    async fn announce(self: Arc<Self>, incarnation: u64, ended: CancellationToken) {
        let target = Target {
            name: format!("engine-{}-{incarnation}", self.number)
                .as_str()
                .into(),
            incarnation: Incarnation(incarnation),
            vm: "vm".into(),
            place: "home".into(),
            address: self.address,
            duty: self.duty(),
            limits: Limits {
                max_requests: 100,
                kv_bytes: 0,
                tokens_per_s: 0,
            },
        };
        for sequence in 1.. {
            let announcement = Announcement {
                target: target.clone(),
                sequence,
                readiness: Readiness::Ready,
                load: LoadReport::default(),
                cache_events: Vec::new(),
            };
            self.handle.announce(&announcement).await.unwrap();
            let pausing = ended.run_until_cancelled(sleep(ANNOUNCE_INTERVAL));
            if pausing.await.is_none() {
                return;
            }
        }
    }

    async fn serve(self: Arc<Self>, listener: TcpListener, ended: CancellationToken) {
        while let Ok((stream, _)) = listener.accept().await {
            let (engine, ended) = (Arc::clone(&self), ended.clone());
            tokio::spawn(async move {
                let answering = ended.clone();
                let service = service_fn(move |request| {
                    let (engine, ended) = (Arc::clone(&engine), answering.clone());
                    async move { Ok::<_, Infallible>(engine.answer(request, &ended).await) }
                });
                let serving = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                // The engine's end breaks its connections.
                let _ = ended.run_until_cancelled(serving).await;
            });
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        ended: &CancellationToken,
    ) -> Response<Body> {
        if request.uri().path() == "/report" {
            return Response::new(Full::from("{}").boxed_unsync());
        }
        self.record_arrival();
        let mut response = self.serve_request(&request, ended).await;
        let limit = *self.limit.lock();
        if let Some(limit) = limit {
            let headers = response.headers_mut();
            headers.insert(names::LIMIT, HeaderValue::from_static(limit));
        }
        response
    }

    fn record_arrival(&self) {
        let mut seen = self.seen.lock();
        let arrivals = seen.arrivals.entry(self.number).or_default();
        arrivals.push(Instant::now());
    }

    async fn serve_request(
        &self,
        request: &Request<Incoming>,
        ended: &CancellationToken,
    ) -> Response<Body> {
        let is_harmful = is_harmful(request);
        if is_harmful {
            self.seen.lock().reached.push(Instant::now());
        }
        if is_harmful || !self.is_plain {
            sleep(READING).await;
        }
        if is_harmful {
            self.seen.lock().ends.push(Instant::now());
            ended.cancel();
            return pending().await;
        }
        let id = request.headers()[names::ID].clone();
        if self.is_plain {
            let mut response = Response::new(Full::from("answer").boxed_unsync());
            response.headers_mut().insert(names::ID, id);
            let seal = HeaderValue::from_static("fleet");
            response.headers_mut().insert(names::SEAL, seal);
            return response;
        }
        let events = unfold(1, |number| async move {
            sleep(EVENT_PAUSE).await;
            (number <= EVENTS).then(|| (Ok(Frame::data(event(number).into())), number + 1))
        });
        let mut response = Response::new(StreamBody::new(events.boxed()).boxed_unsync());
        response.headers_mut().insert(names::ID, id);
        let seal = HeaderValue::from_static("fleet");
        response.headers_mut().insert(names::SEAL, seal);
        response
    }
}

/// Whether a request ends the targets that begin to run it.
fn is_harmful(request: &Request<Incoming>) -> bool {
    let parts = request.headers().get(names::PARTS);
    let parts = parts.map_or("", |parts| parts.to_str().unwrap());
    let has_harmful_part = parts.split(',').any(|part| part == HARMFUL_PART);
    has_harmful_part || request.uri().path().ends_with(HARMFUL_PATH)
}

/// Relays and engines with one control.
pub struct Fleet {
    pub relays: Vec<Relay>,
    /// Addresses at which the relays serve callers.
    pub entries: Vec<SocketAddr>,
    pub seen: Arc<Mutex<Seen>>,
    /// Rate limit that all targets state from now on.
    pub limit: Arc<Mutex<Option<&'static str>>>,
    /// Address at which the control serves operators.
    operators_at: SocketAddr,
    _control: Control,
    _data: TempDir,
}

impl Fleet {
    /// Starts all processes and waits until the relays know routes and engines.
    pub async fn start(settings: FleetSettings) -> Self {
        let (at, operators_at) = (free_address(), free_address());
        let started = start_control_for_operators(operators_at, at, vec![at], Founding::Alone);
        let (control, data) = started.await;
        let handle = control.handle();
        let seen = Arc::new(Mutex::new(Seen::default()));
        let limit = Arc::new(Mutex::new(settings.limit));
        for number in 0..settings.targets {
            let engine = Engine {
                number,
                is_plain: settings.is_plain,
                limit: Arc::clone(&limit),
                address: free_address(),
                handle: handle.clone(),
                seen: Arc::clone(&seen),
            };
            tokio::spawn(Arc::new(engine).run());
        }
        let mut fleet = Self {
            relays: Vec::new(),
            entries: Vec::new(),
            seen,
            limit,
            operators_at,
            _control: control,
            _data: data,
        };
        for number in 0..settings.relays {
            fleet.add_relay(number, at).await;
        }
        accept_routing(&handle).await;
        let from = Instant::now();
        while !fleet.relays.iter().all(Relay::is_ready) {
            assert!(from.elapsed() < TEST_TIMEOUT, "not ready in time");
            sleep(POLL_INTERVAL).await;
        }
        fleet
    }

    async fn add_relay(&mut self, number: usize, control: SocketAddr) {
        let settings = RelaySettings {
            name: format!("entry-{number}").as_str().into(),
            controls: vec![control],
            ..relay_settings()
        };
        self.entries.push(settings.listen);
        let shutdown = Shutdown::default();
        let relay = Relay::start(settings, ADAPTER, Box::new(Vec::new), shutdown).await;
        self.relays.push(relay.unwrap());
    }

    /// Sends a plain request.
    pub async fn call_plain(&self, entry: usize, id: &str) -> Answer {
        self.call_path(entry, id, "/read/x").await
    }

    /// Sends a request without body to this path.
    pub async fn call_path(&self, entry: usize, id: &str, path: &str) -> Answer {
        call(self.entries[entry], request(id, path)).await
    }

    /// Sends a stream request whose prompt consists of these parts and one of its own.
    pub async fn call(&self, entry: usize, id: &str, parts: &[&str]) -> Answer {
        let mut request = request(id, "/stream/x");
        let parts = format!("{},0", parts.join(","));
        let parts = HeaderValue::from_str(&parts).unwrap();
        request.headers_mut().insert(names::PARTS, parts);
        call(self.entries[entry], request).await
    }

    /// Sends an operator's request to the control; a body makes it a `POST`.
    pub async fn operate(&self, path: &str, body: Option<String>) -> (StatusCode, String) {
        let method = if body.is_some() {
            Method::POST
        } else {
            Method::GET
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.operators_at))
            .header(OPERATOR_HEADER, OPERATOR)
            .header(OPERATOR_KEY_HEADER, OPERATOR_KEY)
            .body(full(body.unwrap_or_default()))
            .unwrap();
        let response = client().request(request).await.unwrap();
        let status = response.status();
        let body = read_body(response.into_body()).await.unwrap();
        (status, String::from_utf8(body.to_vec()).unwrap())
    }

    /// Has the control accept an inventory that names the operator.
    pub async fn add_operator(&self) {
        let hash = mgw_state::hash_key(OPERATOR_KEY);
        let text = format!("operators = [{{ name = '{OPERATOR}', key_sha256 = '{hash}' }}]");
        let change = format!(r#"{{"base":0,"change_id":"first","text":"{text}"}}"#);
        let (status, answer) = self.operate(CONFIG_PATH, Some(change)).await;
        assert_eq!(status, StatusCode::OK, "{answer}");
        assert!(answer.contains("accepted"), "{answer}");
    }
}

async fn accept_routing(handle: &ControlHandle) {
    let document = RoutingDocument {
        version: RoutingVersion(1),
        source: b"1".to_vec().into(),
    };
    let from = Instant::now();
    while handle.replace_routing(document.clone()).await.is_err() {
        assert!(from.elapsed() < TEST_TIMEOUT, "no leader");
        sleep(POLL_INTERVAL).await;
    }
}
