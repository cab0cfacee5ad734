//! One call of a plain service.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Method, Request, StatusCode};
use mgw_contract::caller::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, WORKSPACE_HEADER};
use mgw_serve::http::{HttpClient, full, read_body};
use mgw_world::{Millis, RequestId, ServiceName, TargetName, WorkspaceName};
use tokio::time::timeout;
use tracing::warn;

use super::balance::choose_plain;
use crate::app::App;

/// A call as the caller made it.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The request.
    pub id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Service called.
    pub service: ServiceName,
    /// Method.
    pub method: Method,
    /// Path and query at the service.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Idempotency key, if given.
    pub key: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// A whole answer of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

/// What a call without an answer means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServiceFailure {
    /// No byte was sent: there was no target, or no connection to any.
    NotSent,
    /// The call may have run.
    Unknown,
}

/// Tries targets until one was reached, or until one answered where a repeated call is harmless;
/// nothing is sent from `send_before` on.
pub async fn call_service(
    app: &App,
    http: &HttpClient,
    call: &ServiceCall,
    is_harmless: bool,
    send_before: Option<Millis>,
) -> Result<ServiceAnswer, ServiceFailure> {
    let mut failed: Vec<TargetName> = Vec::new();
    let mut may_have_run = false;
    loop {
        if send_before.is_some_and(|end| app.clock.now() >= end) {
            break;
        }
        if !failed.is_empty() && !app.retries.lock().try_retry() {
            break;
        }
        let Some(choice) = choose_plain(app, &call.service, &failed) else {
            break;
        };
        match call_target(app, http, call, &choice.address.to_string()).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => {
                warn!(target = %choice.target, request = %call.id, "service gave no answer");
                app.members
                    .view
                    .lock()
                    .target_failed(&choice.target, app.clock.now());
                may_have_run |= failure == ServiceFailure::Unknown;
                failed.push(choice.target.clone());
            }
        }
        if may_have_run && !is_harmless {
            break;
        }
    }
    Err(if may_have_run {
        ServiceFailure::Unknown
    } else {
        ServiceFailure::NotSent
    })
}

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
    let answered = timeout(limit, async {
        let response = http.request(request).await.map_err(|error| {
            if error.is_connect() {
                ServiceFailure::NotSent
            } else {
                ServiceFailure::Unknown
            }
        })?;
        let status = response.status();
        let content_type = read_content_type(response.headers());
        let body = read_body(response.into_body())
            .await
            .map_err(|_| ServiceFailure::Unknown)?;
        Ok(ServiceAnswer {
            status,
            content_type,
            body,
        })
    });
    answered.await.unwrap_or(Err(ServiceFailure::Unknown))
}

/// The content type of a message.
pub fn read_content_type(headers: &HeaderMap) -> String {
    let value = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").to_owned()
}
