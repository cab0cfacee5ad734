//! A control that gives one answer to every call, and the `mgw` binary run against it.

use std::process::{Command, Output};
use std::sync::{Arc, Mutex};

use hyper::{Response, StatusCode};
use mgw_serve::http::{Body, json_response, read_body, serve};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// One call as the control received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    pub method: String,
    pub path: String,
    pub operator: String,
    pub body: String,
}

/// The control.
pub struct FakeControl {
    pub url: String,
    pub received: Arc<Mutex<Vec<Received>>>,
    _runtime: tokio::runtime::Runtime,
}

impl FakeControl {
    /// Starts a control that answers everything with a status and a value.
    pub fn start<T: Serialize>(status: StatusCode, value: &T) -> Self {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let received = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&received);
        let text = serde_json::to_value(value).unwrap();
        let handler = move |request: hyper::Request<hyper::body::Incoming>| {
            let log = Arc::clone(&log);
            let text = text.clone();
            async move {
                let operator = request.headers().get("x-mgw-operator");
                let mut call = Received {
                    method: request.method().to_string(),
                    path: request.uri().path().to_owned(),
                    operator: operator
                        .map_or("", |name| name.to_str().unwrap())
                        .to_owned(),
                    body: String::new(),
                };
                let body = read_body(request.into_body()).await.unwrap();
                call.body = String::from_utf8(body.to_vec()).unwrap();
                log.lock().unwrap().push(call);
                let answer: Response<Body> = json_response(status, &text);
                answer
            }
        };
        let end = CancellationToken::new();
        runtime.spawn(serve(listener, handler, end.clone(), end));
        Self {
            url,
            received,
            _runtime: runtime,
        }
    }

    /// The calls received so far.
    pub fn calls(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }
}

/// Runs `mgw` with addresses to try.
pub fn run_mgw(at: &[&str], args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mgw"));
    command
        .env_remove("MGW_AT")
        .env_remove("MGW_KEY_FILE")
        .env("MGW_OPERATOR", "anika");
    for url in at {
        command.args(["--at", url]);
    }
    command.args(args).output().unwrap()
}

/// What the command printed as its answer.
pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// What the command said beside its answer.
pub fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}
