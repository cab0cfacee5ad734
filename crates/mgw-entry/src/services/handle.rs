//! From an HTTP request to a call of a plain service.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response};
use mgw_contract::caller::{
    IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, Outcome, REQUEST_ID_HEADER, Reason, SERVICES_PATH,
};
use mgw_serve::http::{Body, full_response, read_body};
use mgw_world::{KeyName, RequestId, ServiceKind, ServiceName};

use super::call::{ServiceAnswer, ServiceCall, ServiceFailure, call_service, read_content_type};
use super::once::{OnceEnd, call_once};
use crate::app::App;
use crate::completions::{FinalFields, refuse_request};

fn fields(
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
    // The call goes on when the caller goes away, so that its outcome is known.
    let for_call = Arc::clone(&app);
    let running = app
        .runs
        .spawn(async move { run_call(&for_call, id, request).await });
    let lost = || fields(id, Outcome::Unknown, Reason::Leaving, "the entry ended");
    match running.await.unwrap_or_else(|_| Err(lost())) {
        Ok(answer) => pass_answer(&app, id, answer),
        Err(fields) => refuse_request(&app, *fields),
    }
}

async fn run_call(
    app: &Arc<App>,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<ServiceAnswer, Box<FinalFields>> {
    if app.refuses_new_work() {
        let message = "this entry is leaving; use another one";
        return Err(fields(id, Outcome::NotRun, Reason::Leaving, message));
    }
    let _counted = app.count_in_flight(id);
    let (call, runs_once) = read_call(app, id, request).await?;
    app.retries.lock().count_request();
    if !runs_once {
        let is_harmless = matches!(call.method, Method::GET | Method::HEAD);
        let answer = call_service(app, &app.plain_client, &call, is_harmless, None).await;
        return answer.map_err(|failure| match failure {
            ServiceFailure::NotSent => fields(
                id,
                Outcome::NotRun,
                Reason::NoPath,
                "no target could be reached",
            ),
            ServiceFailure::Unknown => fields(
                id,
                Outcome::Unknown,
                Reason::TargetFailed,
                "the service didn't answer",
            ),
        });
    }
    let Some(key) = call.key.as_deref().map(KeyName::from) else {
        let message = format!("header {IDEMPOTENCY_KEY_HEADER}: calls of this path need one");
        return Err(fields(id, Outcome::NotRun, Reason::BadRequest, message));
    };
    match call_once(Arc::clone(app), call, key).await {
        OnceEnd::Answered(answer) => Ok(answer),
        OnceEnd::Ended {
            outcome,
            reason,
            message,
            retry_after_ms,
        } => {
            let mut fields = fields(id, outcome, reason, message);
            fields.retry_after_ms = retry_after_ms;
            Err(fields)
        }
    }
}

/// Reads a call and whether it runs at most once.
async fn read_call(
    app: &App,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<(ServiceCall, bool), Box<FinalFields>> {
    let bad = |message: String| fields(id, Outcome::NotRun, Reason::BadRequest, message);
    let config = app.config.load();
    let workspace = app.named_workspace(&request).unwrap_or_default();
    if config.find_workspace(&workspace).is_none() {
        return Err(bad(format!(
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
    let runs_once = match config
        .inventory
        .service(&service)
        .map(|service| &service.kind)
    {
        Some(ServiceKind::Plain { once_paths }) => {
            once_paths.iter().any(|prefix| is_under(&path, prefix))
        }
        _ => {
            return Err(bad(format!(
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
        .map_err(|error| bad(error.to_string()))?;
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
    Ok((call, runs_once))
}

/// Whether a path is a prefix itself or lies below it.
fn is_under(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn pass_answer(app: &App, id: RequestId, answer: ServiceAnswer) -> Response<Body> {
    app.metrics.count_outcome(Outcome::Done, Reason::Complete);
    let mut response = full_response(answer.status, "application/octet-stream", answer.body);
    let headers = response.headers_mut();
    let mut put = |name: &'static str, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name, value);
        }
    };
    put("content-type", &answer.content_type);
    put(REQUEST_ID_HEADER, &id.to_string());
    put(OUTCOME_HEADER, &Outcome::Done.to_string());
    response
}
