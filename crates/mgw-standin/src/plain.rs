//! Stand-in for a plain service: answers every path and journals each call that ran.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use mgw_contract::caller::{IDEMPOTENCY_KEY_HEADER, WORKSPACE_HEADER};
use mgw_contract::target::LoadReport;
use mgw_serve::http::{Body, json_response, read_body};
use serde::{Deserialize, Serialize};

use crate::common_routes::error_response;
use crate::context::StandinContext;
use crate::journal::JournalEvent;
use crate::settings::PlainSettings;

/// JSON answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainReply {
    /// Path that was called.
    pub path: String,
    /// Number of the call in this process, counted from one.
    pub count: u64,
    /// Body of the call as text.
    pub echo: String,
}

/// One instance of a plain service.
#[derive(Debug)]
pub struct PlainServer {
    /// Name, clock, faults and journal of the stand-in.
    pub context: Arc<StandinContext>,
    /// Settings of the service.
    pub settings: PlainSettings,
    calls_run: AtomicU64,
    in_flight: AtomicU32,
}

impl PlainServer {
    /// Creates an instance that has not run any call.
    #[must_use]
    pub const fn new(context: Arc<StandinContext>, settings: PlainSettings) -> Self {
        Self {
            context,
            settings,
            calls_run: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
        }
    }

    /// Current load: the calls in flight.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            in_flight: self.in_flight.load(Ordering::Relaxed),
            ..LoadReport::default()
        }
    }

    /// Answers a call. Once its body has been read, a call is run and journaled even if its caller
    /// disconnects.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let Ok(bytes) = read_body(body).await else {
            return error_response(
                StatusCode::BAD_REQUEST,
                "could not read the whole request body",
            );
        };
        let path = head.uri.path().to_owned();
        let echo = String::from_utf8_lossy(&bytes).into_owned();
        let call_task = tokio::spawn(Arc::clone(&self).run(path, echo, head.headers));
        let reply = call_task.await;
        self.context.delay_answer().await;
        match reply {
            Ok(reply) => json_response(StatusCode::OK, &reply),
            Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    async fn run(self: Arc<Self>, path: String, echo: String, headers: HeaderMap) -> PlainReply {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let slow_factor = u64::from(self.context.faults().slow_factor);
        let call_ms = self.settings.call_ms.times(slow_factor);
        tokio::time::sleep(call_ms.to_duration()).await;
        self.context.wait_while_hanging().await;
        let count = self.calls_run.fetch_add(1, Ordering::SeqCst) + 1;
        self.context.record([JournalEvent::Call {
            service: self.settings.service.clone(),
            path: path.clone(),
            key: read_header(&headers, IDEMPOTENCY_KEY_HEADER),
            workspace: read_header(&headers, WORKSPACE_HEADER),
            count,
        }]);
        self.context.count_steps(1);
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        PlainReply { path, count, echo }
    }
}

fn read_header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    value.to_str().ok().map(str::to_owned)
}
