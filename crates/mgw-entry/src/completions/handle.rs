//! Handles completion requests: validates and admits them, chooses a path and starts the run.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response};
use mgw_contract::caller::{CompletionRequest, Outcome, Reason};
use mgw_contract::tokens::tokenize;
use mgw_pipe::GenerationRequest;
use mgw_route::{AdmissionRequest, NoPath, PathRequest, digest_prefixes};
use mgw_serve::http::{Body, read_json};
use mgw_world::{Millis, Model, RequestId, Workspace};
use tokio::sync::mpsc;

use super::answer::{FinalFields, refuse_request};
use super::run::{RunRequest, run_request};
use super::stream::{collect_answer, stream_answer};
use crate::admission::{AdmissionGuard, admit};
use crate::app::App;
use crate::paths::PathLease;

/// A request that passed validation.
struct ValidRequest {
    id: RequestId,
    call: CompletionRequest,
    workspace: Workspace,
    model: Model,
    prompt: Vec<u32>,
    deadline_ms: Millis,
}

impl ValidRequest {
    /// Maximum number of tokens of prompt and answer together.
    fn max_total_tokens(&self) -> u32 {
        let prompt = u32::try_from(self.prompt.len()).unwrap_or(u32::MAX);
        prompt.saturating_add(self.call.max_tokens)
    }

    fn to_generation_request(&self) -> GenerationRequest {
        GenerationRequest {
            request_id: self.id,
            prompt: self.prompt.clone(),
            max_tokens: self.call.max_tokens,
            activation_bytes: self.model.activation_bytes,
            priority: self.workspace.priority,
            deadline_ms: Some(self.deadline_ms),
        }
    }
}

/// Final answer fields of a request that did not run.
fn not_run(id: RequestId, reason: Reason, message: impl Into<String>) -> Box<FinalFields> {
    Box::new(FinalFields {
        id,
        outcome: Outcome::NotRun,
        reason,
        message: message.into(),
        tokens: 0,
        retry_after_ms: None,
    })
}

/// Answers a completion request.
pub async fn handle_completion(app: Arc<App>, request: Request<Incoming>) -> Response<Body> {
    let id = app.new_request_id();
    match start_completion(&app, id, request).await {
        Ok(response) => response,
        Err(fields) => refuse_request(&app, *fields),
    }
}

async fn start_completion(
    app: &Arc<App>,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<Response<Body>, Box<FinalFields>> {
    if app.refuses_requests() {
        return Err(not_run(
            id,
            Reason::Leaving,
            "this entry is leaving; use another one",
        ));
    }
    let valid = validate_request(app, id, request).await?;
    app.retries.lock().count_request();
    let admission = admit_request(app, &valid).await?;
    let path = choose_path(app, &valid)?;
    let (items, received) = mpsc::channel(app.settings.callers.stream_tokens);
    let model = valid.model.name.clone();
    let run = RunRequest {
        generation: valid.to_generation_request(),
        model,
        path,
        items,
    };
    spawn_run(app, run, admission);
    if valid.call.stream {
        return Ok(stream_answer(Arc::clone(app), id, received));
    }
    Ok(collect_answer(app, id, received).await)
}

/// Runs a request in a task of its own, and counts it as in flight until it has ended.
fn spawn_run(app: &Arc<App>, run: RunRequest, admission: AdmissionGuard) {
    let in_flight = app.count_in_flight(run.generation.request_id);
    let app = Arc::clone(app);
    app.tasks.clone().spawn(async move {
        app.metrics.in_flight.inc();
        let outcome = run_request(Arc::clone(&app), run).await;
        app.metrics.in_flight.dec();
        if outcome == Some(Outcome::Done) {
            admission.complete();
        } else {
            drop(admission);
        }
        drop(in_flight);
    });
}

async fn validate_request(
    app: &App,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<ValidRequest, Box<FinalFields>> {
    let bad_request = |message: String| not_run(id, Reason::BadRequest, message);
    let from_header = app.workspace_header(&request);
    let call: CompletionRequest = read_json(request.into_body())
        .await
        .map_err(|error| bad_request(error.to_string()))?;
    let config = app.config.load();
    let name = from_header
        .or_else(|| call.workspace.clone())
        .unwrap_or_default();
    let Some(workspace) = config.find_workspace(&name) else {
        return Err(bad_request(format!(
            "workspace: no workspace is named \"{name}\""
        )));
    };
    let Some(model) = config.find_model(&call.model) else {
        return Err(bad_request(format!(
            "model: no model is named \"{}\"",
            call.model
        )));
    };
    let limits = &app.settings.callers;
    if call.max_tokens == 0 || call.max_tokens > limits.max_tokens {
        return Err(bad_request(format!(
            "max_tokens: must be from 1 to {}",
            limits.max_tokens
        )));
    }
    let prompt = tokenize(&call.prompt);
    if prompt.len() > limits.max_prompt_tokens {
        return Err(bad_request(format!(
            "prompt: has more than {} tokens",
            limits.max_prompt_tokens
        )));
    }
    let rules = &config.inventory.rules.requests;
    let time_limit = call.deadline_ms.unwrap_or(rules.default_deadline_ms);
    if time_limit > rules.max_deadline_ms {
        return Err(bad_request(format!(
            "deadline_ms: must be at most {}",
            rules.max_deadline_ms.0
        )));
    }
    let deadline_ms = app.clock.now() + time_limit;
    Ok(ValidRequest {
        id,
        workspace,
        model,
        prompt,
        deadline_ms,
        call,
    })
}

async fn admit_request(
    app: &Arc<App>,
    request: &ValidRequest,
) -> Result<AdmissionGuard, Box<FinalFields>> {
    let tokens = request.max_total_tokens();
    let kv_bytes_per_token =
        u64::from(request.model.kv_bytes_per_layer) * u64::from(request.model.layers);
    let admission = AdmissionRequest {
        id: request.id,
        workspace: request.workspace.name.clone(),
        weight: request.workspace.weight,
        priority: request.workspace.priority,
        deadline_ms: Some(request.deadline_ms),
        tokens,
        kv_bytes: u64::from(tokens) * kv_bytes_per_token,
    };
    admit(app, &request.model.name, admission)
        .await
        .map_err(|refused| {
            let mut fields = not_run(
                request.id,
                refused.reason,
                "the request was not admitted and did not run",
            );
            fields.retry_after_ms = Some(refused.retry_after_ms);
            fields
        })
}

fn choose_path(app: &Arc<App>, request: &ValidRequest) -> Result<PathLease, Box<FinalFields>> {
    let path_request = PathRequest {
        model: request.model.name.clone(),
        version: request.model.version.clone(),
        adapter: None,
        workspace: request.workspace.name.clone(),
        prefixes: digest_prefixes(&request.prompt),
        tokens: request.max_total_tokens(),
    };
    PathLease::choose(app, &path_request).map_err(|error| {
        let reason = match error {
            NoPath::Full { .. } => Reason::Overloaded,
            _ => Reason::NoPath,
        };
        let mut fields = not_run(request.id, reason, error.to_string());
        if let NoPath::Full { retry_after_ms, .. } = error {
            fields.retry_after_ms = Some(retry_after_ms);
        }
        fields
    })
}
