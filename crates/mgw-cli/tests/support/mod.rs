//! A fake control that gives the same answer to every call, and a runner for the `mgw` binary.

use std::process::{Command, Output};
use std::sync::{Arc, Mutex};

use hyper::{Response, StatusCode};
use mgw_serve::http::{Body, json_response, read_body, serve};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// A call that the fake control received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedCall {
    pub method: String,
    pub path: String,
    /// Value of the header with the operator's name; empty if there was none.
    pub operator: String,
    pub body: String,
}

/// HTTP server that stands for a control; it runs until it is dropped.
pub struct FakeControl {
    pub url: String,
    /// Calls received so far, oldest first.
    pub received: Arc<Mutex<Vec<ReceivedCall>>>,
    _runtime: tokio::runtime::Runtime,
}

impl FakeControl {
    /// Starts a fake control that answers every call with the given status and value.
    pub fn start<T: Serialize>(status: StatusCode, value: &T) -> Self {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let received = Arc::new(Mutex::new(Vec::new()));
        let calls = Arc::clone(&received);
        let answer = serde_json::to_value(value).unwrap();
        let handler = move |request: hyper::Request<hyper::body::Incoming>| {
            let calls = Arc::clone(&calls);
            let answer = answer.clone();
            async move {
                let operator = request.headers().get("x-mgw-operator");
                let mut call = ReceivedCall {
                    method: request.method().to_string(),
                    path: request.uri().path().to_owned(),
                    operator: operator
                        .map_or("", |name| name.to_str().unwrap())
                        .to_owned(),
                    body: String::new(),
                };
                let body = read_body(request.into_body()).await.unwrap();
                call.body = String::from_utf8(body.to_vec()).unwrap();
                calls.lock().unwrap().push(call);
                let response: Response<Body> = json_response(status, &answer);
                response
            }
        };
        let shutdown = CancellationToken::new();
        runtime.spawn(serve(listener, handler, shutdown.clone(), shutdown));
        Self {
            url,
            received,
            _runtime: runtime,
        }
    }

    /// Returns the calls received so far, oldest first.
    pub fn calls(&self) -> Vec<ReceivedCall> {
        self.received.lock().unwrap().clone()
    }
}

/// Runs `mgw` as operator `anika` with the given addresses and arguments.
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

/// Returns the standard output of the command.
pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Returns the standard error of the command.
pub fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}
