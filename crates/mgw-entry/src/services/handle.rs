//! Handles requests to plain services: reads the call, makes it and forwards the answer.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response};
use mgw_contract::caller::{
    IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER, Reason, SERVICES_PATH,
};
use mgw_serve::http::{Body, full_response, read_body};
use mgw_world::{KeyName, RequestId, ServiceKind, ServiceName};

use super::at_most_once::{AtMostOnceResult, call_at_most_once};
use super::call::{ServiceAnswer, ServiceCall, ServiceFailure, call_service, read_content_type};
use crate::app::App;
use crate::completions::{FinalFields, refuse_request};

/// Final answer fields of a request without an answer of the service.
fn final_fields(
    id: RequestId,
    outcome: Outcome,
    reason: Reason,
    message: impl Into<String>,
) -> Box<FinalFields> {
    let message = message.into();
    Box::new(FinalFields {
        id,
        outcome,
        reason,
        message,
        tokens: 0,
        retry_after_ms: None,
    })
}

/// Answers a call to a plain service.
pub async fn handle_service_call(app: Arc<App>, request: Request<Incoming>) -> Response<Body> {
    let id = app.new_request_id();
    // The call continues when the caller disconnects, so that its outcome becomes known.
    let call_app = Arc::clone(&app);
    let running = app
        .tasks
        .spawn(async move { run_call(&call_app, id, request).await });
    let aborted = || {
        final_fields(
            id,
            Outcome::Unknown,
            Reason::Leaving,
            "the entry stopped before the call ended",
        )
    };
    match running.await.unwrap_or_else(|_| Err(aborted())) {
        Ok(answer) => forward_answer(&app, id, answer),
        Err(fields) => refuse_request(&app, *fields),
    }
}

async fn run_call(
    app: &Arc<App>,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<ServiceAnswer, Box<FinalFields>> {
    if app.refuses_requests() {
        let message = "this entry is leaving; use another one";
        return Err(final_fields(id, Outcome::NotRun, Reason::Leaving, message));
    }
    let _in_flight = app.count_in_flight(id);
    let (call, is_at_most_once) = read_call(app, id, request).await?;
    app.retries.lock().count_request();
    if !is_at_most_once {
        let is_idempotent = matches!(call.method, Method::GET | Method::HEAD);
        let answer = call_service(app, &app.service_client, &call, is_idempotent, None).await;
        return answer.map_err(|failure| match failure {
            ServiceFailure::NotSent => final_fields(
                id,
                Outcome::NotRun,
                Reason::NoPath,
                "no target of the service could be reached",
            ),
            ServiceFailure::Unknown => final_fields(
                id,
                Outcome::Unknown,
                Reason::TargetFailed,
                "the service didn't answer",
            ),
        });
    }
    let Some(key) = call.key.as_deref().map(KeyName::from) else {
        let message = format!(
            "header {IDEMPOTENCY_KEY_HEADER}: calls to this path run at most once and need a key"
        );
        return Err(final_fields(
            id,
            Outcome::NotRun,
            Reason::BadRequest,
            message,
        ));
    };
    match call_at_most_once(Arc::clone(app), call, key).await {
        AtMostOnceResult::Answered(answer) => Ok(answer),
        AtMostOnceResult::Ended {
            outcome,
            reason,
            message,
            retry_after_ms,
        } => {
            let mut fields = final_fields(id, outcome, reason, message);
            fields.retry_after_ms = retry_after_ms;
            Err(fields)
        }
    }
}

/// Reads a call from a request; the `bool` says whether it runs at most once.
async fn read_call(
    app: &App,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<(ServiceCall, bool), Box<FinalFields>> {
    let bad_request =
        |message: String| final_fields(id, Outcome::NotRun, Reason::BadRequest, message);
    let config = app.config.load();
    let workspace = app.workspace_header(&request).unwrap_or_default();
    if config.find_workspace(&workspace).is_none() {
        return Err(bad_request(format!(
            "workspace: no workspace is named \"{workspace}\""
        )));
    }
    let rest = request
        .uri()
        .path()
        .strip_prefix(SERVICES_PATH)
        .unwrap_or_default();
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let service = ServiceName::from(name);
    let path = format!("/{rest}");
    let is_at_most_once = match config
        .inventory
        .service(&service)
        .map(|service| &service.kind)
    {
        Some(ServiceKind::Plain { once_paths }) => once_paths
            .iter()
            .any(|prefix| is_at_or_below(&path, prefix)),
        _ => {
            return Err(bad_request(format!(
                "path: no plain service is named \"{service}\""
            )));
        }
    };
    let path = match request.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    let key = request.headers().get(IDEMPOTENCY_KEY_HEADER);
    let key = key.and_then(|key| key.to_str().ok()).map(ToOwned::to_owned);
    let method = request.method().clone();
    let content_type = read_content_type(request.headers());
    let body = read_body(request.into_body())
        .await
        .map_err(|error| bad_request(error.to_string()))?;
    let call = ServiceCall {
        id,
        workspace,
        service,
        method,
        path,
        content_type,
        key,
        body,
    };
    Ok((call, is_at_most_once))
}

/// Whether a path equals `prefix` or is below it.
fn is_at_or_below(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Forwards the answer of a service to the caller.
fn forward_answer(app: &App, id: RequestId, answer: ServiceAnswer) -> Response<Body> {
    app.metrics.count_outcome(Outcome::Done, Reason::Complete);
    let mut response = full_response(answer.status, "application/octet-stream", answer.body);
    let headers = response.headers_mut();
    let mut set_header = |name: &'static str, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name, value);
        }
    };
    set_header("content-type", &answer.content_type);
    set_header(REQUEST_ID_HEADER, &id.to_string());
    set_header(OUTCOME_HEADER, &Outcome::Done.to_string());
    response
}
