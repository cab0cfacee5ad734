//! A worker as the pages describe it: it registers, reports its state, takes orders to load layers and runs
//! requests. It has no trouble of its own; a script ends it or lets it answer otherwise.

use std::io::{BufReader, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, answer, call, json_number, read_request};
use crate::record::Record;

/// Time between two heartbeats, as in the settings of the system's processes.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time to load all layers of a model, as the configuration states it.
const LOAD_MS: u64 = 2_000;

/// What the worker is.
#[derive(Debug, Clone)]
pub struct Description {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    /// Kind of card and its memory; none for a worker without a model.
    pub card: Option<(&'static str, u64)>,
    /// Number of layers of its model.
    pub model_layers: u64,
    /// Size of one layer, as the configuration states it.
    pub layer_mb: u64,
}

#[derive(Debug, Default)]
struct State {
    layers: Option<(u64, u64)>,
    loading: Option<((u64, u64), Instant)>,
    orders: u64,
    heartbeats: u64,
}

/// How a worker answers a call in place of what it does usually. Returns whether it has answered.
pub type Behaviour = dyn Fn(&Worker, &Request, &TcpStream) -> bool + Send + Sync;

/// A running worker.
pub struct Worker {
    pub description: Description,
    born_ms: u64,
    state: Mutex<State>,
    /// Set once the worker has ended: it sends and answers nothing any more.
    pub has_ended: AtomicBool,
    /// Set once it says that it leaves.
    pub is_draining: AtomicBool,
    /// Orders that asked for more layers than its card holds.
    pub oversized: AtomicU64,
    /// Requests that it ran.
    pub runs: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    controls: Vec<SocketAddr>,
    record: Arc<Record>,
    behaviour: Option<Box<Behaviour>>,
}

impl Worker {
    /// Starts a worker; it registers at once.
    pub fn start(
        description: Description,
        controls: Vec<SocketAddr>,
        record: Arc<Record>,
        behaviour: Option<Box<Behaviour>>,
    ) -> Result<Arc<Self>> {
        let listener = TcpListener::bind(description.address)?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let worker = Arc::new(Self {
            born_ms: u64::try_from(born.as_millis()).unwrap_or_default(),
            state: Mutex::default(),
            has_ended: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            oversized: AtomicU64::new(0),
            runs: AtomicU64::new(0),
            connections: Mutex::default(),
            controls,
            record,
            behaviour,
            description,
        });
        let name = &worker.description;
        worker.record.line(&format!(
            "worker {} of {} starts at {} ({:?})",
            name.id, name.service, name.address, name.card
        ));
        let accepting = Arc::clone(&worker);
        thread::spawn(move || accepting.accept(&listener));
        let beating = Arc::clone(&worker);
        thread::spawn(move || beating.send_heartbeats());
        Ok(worker)
    }

    /// Ends the worker like a crash: its connections close and nothing listens any more.
    pub fn crash(&self) {
        if self.has_ended.swap(true, Ordering::SeqCst) {
            return;
        }
        for connection in self.connections().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the thread that accepts, so that it closes the listener.
        let _ = TcpStream::connect(self.description.address);
        self.record
            .line(&format!("worker {} has crashed", self.description.id));
    }

    /// Adds a line about this worker to the record.
    pub fn note(&self, text: &str) {
        self.record
            .line(&format!("worker {} {text}", self.description.id));
    }

    /// Layers that the worker holds.
    pub fn layers(&self) -> Option<(u64, u64)> {
        self.settled().layers
    }

    fn connections(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.connections
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// The state, with a load that has ended carried out.
    fn settled(&self) -> std::sync::MutexGuard<'_, State> {
        let mut state = self
            .state
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        if let Some((layers, _)) = state.loading.filter(|(_, ends)| Instant::now() >= *ends) {
            state.layers = Some(layers);
            state.loading = None;
        }
        state
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for accepted in listener.incoming() {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = accepted else {
                continue;
            };
            if let Ok(copy) = stream.try_clone() {
                self.connections().push(copy);
            }
            let worker = Arc::clone(self);
            thread::spawn(move || worker.serve(&stream));
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let has_ended = self.has_ended.load(Ordering::SeqCst);
            if has_ended || self.handle(&request, stream).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Request, stream: &TcpStream) -> Result<()> {
        if let Some(behaviour) = &self.behaviour
            && behaviour(self, request, stream)
        {
            return Err(ErrorKind::Other.into());
        }
        let json = ("Content-Type", "application/json");
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/masticgw/report") => answer(stream, 200, &[json], self.report().as_bytes()),
            ("POST", "/masticgw/order") => {
                let status = self.take_order(request);
                let answered = answer(stream, status, &[json], b"{}");
                if self.oversized.load(Ordering::SeqCst) > 0 {
                    self.crash();
                }
                answered
            }
            ("GET", "/health") => answer(
                stream,
                200,
                &[("Masticgw-Instance-Id", self.description.id.as_str())],
                b"",
            ),
            _ => self.run(request, stream),
        }
    }

    /// Runs a request: a stream of a few events.
    fn run(&self, request: &Request, mut stream: &TcpStream) -> Result<()> {
        let id = request
            .header("masticgw-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let expected = request.header("masticgw-expect-instance");
        if expected.is_some_and(|it| it != self.description.id) {
            let headers = [
                ("Masticgw-Attempt-Id", id.as_str()),
                ("Masticgw-Not-Executed", "1"),
            ];
            return answer(stream, 421, &headers, b"");
        }
        self.runs.fetch_add(1, Ordering::SeqCst);
        self.record
            .line(&format!("worker {} runs {id}", self.description.id));
        let seal = format!("{}.{id}", self.description.id);
        if self.description.card.is_none() {
            let headers = [
                ("Masticgw-Attempt-Id", id.as_str()),
                ("Masticgw-Response-Seal", seal.as_str()),
            ];
            return answer(stream, 200, &headers, b"done");
        }
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMasticgw-Attempt-Id: {id}\r\n\
             Masticgw-Response-Seal: {seal}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for event in 1..=5 {
            thread::sleep(Duration::from_millis(20));
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
        }
        write!(stream, "0\r\n\r\n")
    }

    fn report(&self) -> String {
        let state = self.settled();
        let layers = state.layers.unwrap_or_default();
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":{},\"sequence\":{},\"waiting\":0,\"running\":0,\"kvCacheUsed\":0,\
             \"kvCacheTotal\":90000,\"handles\":0,\"pace\":1.0,\"born\":{},\"kind\":\"{}\",\
             \"layers\":{{\"from\":{},\"to\":{},\"version\":1}},\"stalled\":[]}}",
            state.loading.is_some(),
            state.orders,
            self.born_ms,
            self.description.card.map_or("", |(kind, _)| kind),
            layers.0,
            layers.1,
        )
    }

    /// Takes an order to load layers, as the pages describe it; returns the status of the answer.
    fn take_order(&self, request: &Request) -> u16 {
        let text = request.text();
        let id = &self.description.id;
        let expected = request.header("masticgw-expect-instance");
        let range = json_number(&text, "from").zip(json_number(&text, "to"));
        let status = match (range, self.description.card) {
            _ if expected.is_some_and(|it| it != *id) => 421,
            (Some((from, to)), Some((_, memory_mb))) => {
                self.place(from, to, memory_mb, json_number(&text, "precondition"))
            }
            _ => 400,
        };
        self.record.line(&format!(
            "worker {id} got the order {} {text} (Masticgw-Expect-Instance: {}) and answers {status}",
            request.path,
            expected.unwrap_or("none"),
        ));
        status
    }

    fn place(&self, from: u64, to: u64, memory_mb: u64, precondition: Option<u64>) -> u16 {
        let mut state = self.settled();
        if precondition.is_some_and(|it| it != state.orders) || state.loading.is_some() {
            return 409;
        }
        if state.layers == Some((from, to)) {
            return 200;
        }
        state.orders += 1;
        let layers = to.saturating_sub(from);
        if layers * self.description.layer_mb > memory_mb {
            self.oversized.fetch_add(1, Ordering::SeqCst);
        }
        let load_ms = LOAD_MS * layers / self.description.model_layers.max(1);
        state.loading = Some(((from, to), Instant::now() + Duration::from_millis(load_ms)));
        202
    }

    fn send_heartbeats(&self) {
        let mut last_layers = None;
        let mut last_sent: Option<Instant> = None;
        while !self.has_ended.load(Ordering::SeqCst) {
            let layers = self.layers();
            let is_due = last_sent.is_none_or(|at| at.elapsed() >= HEARTBEAT);
            if is_due || layers != last_layers {
                self.send_heartbeat();
                last_layers = layers;
                last_sent = Some(Instant::now());
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends a heartbeat to one control after the other until one acknowledges it.
    pub fn send_heartbeat(&self) -> bool {
        let body = self.heartbeat();
        let path = format!("/masticgw/Instances.Heartbeat/{}", self.description.id);
        let turn = usize::try_from(json_number(&body, "sequence").unwrap_or_default());
        let turn = turn.unwrap_or_default();
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let controls = self
            .controls
            .iter()
            .cycle()
            .skip(turn % self.controls.len().max(1));
        for control in controls.take(self.controls.len()).copied() {
            let limit = Duration::from_millis(1_000);
            let sent = call(control, "POST", &path, &headers, body.as_bytes(), limit);
            if sent.is_ok_and(|it| it.status == 200) {
                return true;
            }
        }
        false
    }

    fn heartbeat(&self) -> String {
        let mut state = self.settled();
        state.heartbeats += 1;
        let description = &self.description;
        let readiness = if self.is_draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let model = description.card.map(|(kind, _)| {
            let (from, to) = state.layers.unwrap_or_default();
            format!(
                ",\"stage\":\"both\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\
                 \"kind\":\"{kind}\",\"layers\":{{\"from\":{from},\"to\":{to},\"version\":1}}"
            )
        });
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":192,\"state\":\"{readiness}\",\"coldRemainingMs\":0,\"sequence\":{},\
             \"born\":{}{}}}",
            description.service,
            description.address,
            description.zone,
            state.heartbeats,
            self.born_ms,
            model.unwrap_or_default(),
        )
    }
}
