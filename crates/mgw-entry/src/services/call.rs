//! Sends one call to a plain service, trying several targets where that is safe.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Method, Request, StatusCode};
use mgw_contract::caller::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, WORKSPACE_HEADER};
use mgw_serve::http::{HttpClient, full, read_answer};
use mgw_world::{Millis, RequestId, ServiceName, TargetName, WorkspaceName};
use tokio::time::timeout;
use tracing::warn;

use super::balance::choose_target;
use crate::app::App;

/// A call to a plain service as the caller made it.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Id of the request.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Service that is called.
    pub service: ServiceName,
    /// HTTP method.
    pub method: Method,
    /// Path and query as sent to the service.
    pub path: String,
    /// Content type of the request body.
    pub content_type: String,
    /// Idempotency key, if the caller gave one.
    pub key: Option<String>,
    /// Request body.
    pub body: Bytes,
}

/// A complete answer of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Content type of the answer.
    pub content_type: String,
    /// Body of the answer.
    pub body: Bytes,
}

/// Whether a call without an answer may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServiceFailure {
    /// No byte was sent: there was no eligible target, or no connection to one succeeded.
    NotSent,
    /// The call may have run.
    Unknown,
}

/// Sends a call to one target after another until one was reached, or, if the call is idempotent,
/// until one answered. Sends nothing from the time `send_before` on.
pub async fn call_service(
    app: &App,
    http: &HttpClient,
    call: &ServiceCall,
    is_idempotent: bool,
    send_before: Option<Millis>,
) -> Result<ServiceAnswer, ServiceFailure> {
    let mut failed: Vec<TargetName> = Vec::new();
    let mut may_have_run = false;
    loop {
        if send_before.is_some_and(|limit| app.clock.now() >= limit) {
            break;
        }
        if !failed.is_empty() && !app.retries.lock().try_retry() {
            break;
        }
        let Some(chosen) = choose_target(app, &call.service, &failed) else {
            break;
        };
        match call_target(app, http, call, &chosen.address.to_string()).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => {
                warn!(target = %chosen.target, request = %call.id, "no answer to a service call");
                app.members
                    .view
                    .lock()
                    .target_failed(&chosen.target, app.clock.now());
                may_have_run |= failure == ServiceFailure::Unknown;
                failed.push(chosen.target.clone());
            }
        }
        if may_have_run && !is_idempotent {
            break;
        }
    }
    Err(if may_have_run {
        ServiceFailure::Unknown
    } else {
        ServiceFailure::NotSent
    })
}

/// Sends a call to one target.
async fn call_target(
    app: &App,
    http: &HttpClient,
    call: &ServiceCall,
    authority: &str,
) -> Result<ServiceAnswer, ServiceFailure> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{authority}{}", call.path))
        .header(REQUEST_ID_HEADER, call.id.to_string())
        .header(WORKSPACE_HEADER, call.workspace.as_str())
        .header(CONTENT_TYPE, &call.content_type);
    if let Some(key) = &call.key {
        request = request.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    let request = request
        .body(full(call.body.clone()))
        .map_err(|_| ServiceFailure::NotSent)?;
    let limit = app.settings.callers.service_limit_ms.to_duration();
    let answer = timeout(limit, async {
        let response = http.request(request).await.map_err(|error| {
            if error.is_connect() {
                ServiceFailure::NotSent
            } else {
                ServiceFailure::Unknown
            }
        })?;
        let status = response.status();
        let content_type = read_content_type(response.headers());
        let body = read_answer(response.into_body())
            .await
            .map_err(|_| ServiceFailure::Unknown)?;
        Ok(ServiceAnswer {
            status,
            content_type,
            body,
        })
    });
    answer.await.unwrap_or(Err(ServiceFailure::Unknown))
}

/// Reads the content type from the headers of a message.
pub fn read_content_type(headers: &HeaderMap) -> String {
    let value = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").to_owned()
}
