//! From an HTTP request to a running pipeline.

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
use crate::app::App;
use crate::gate::{Admitted, admit};
use crate::paths::PathLease;

/// A request that was checked.
struct Checked {
    id: RequestId,
    call: CompletionRequest,
    workspace: Workspace,
    model: Model,
    prompt: Vec<u32>,
    deadline_ms: Millis,
}

impl Checked {
    fn tokens(&self) -> u32 {
        let prompt = u32::try_from(self.prompt.len()).unwrap_or(u32::MAX);
        prompt.saturating_add(self.call.max_tokens)
    }

    fn order(&self) -> GenerationRequest {
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

/// A request that ends without having run.
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

/// Answers a completion call.
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
    if app.refuses_new_work() {
        return Err(not_run(
            id,
            Reason::Leaving,
            "this entry is leaving; use another one",
        ));
    }
    let checked = check_request(app, id, request).await?;
    app.retries.lock().count_request();
    let admitted = admit_request(app, &checked).await?;
    let path = choose_path(app, &checked)?;
    let (items, received) = mpsc::channel(app.settings.callers.stream_tokens);
    let model = checked.model.name.clone();
    let run = RunRequest {
        order: checked.order(),
        model,
        path,
        items,
    };
    spawn_run(app, run, admitted);
    if checked.call.stream {
        return Ok(stream_answer(Arc::clone(app), id, received));
    }
    Ok(collect_answer(app, id, received).await)
}

/// Runs a request as a task of its own, counted until it has ended.
fn spawn_run(app: &Arc<App>, run: RunRequest, admitted: Admitted) {
    let counted = app.count_in_flight(run.order.request_id);
    let app = Arc::clone(app);
    app.runs.clone().spawn(async move {
        app.metrics.in_flight.inc();
        let outcome = run_request(Arc::clone(&app), run).await;
        app.metrics.in_flight.dec();
        if outcome == Some(Outcome::Done) {
            admitted.finish();
        } else {
            drop(admitted);
        }
        drop(counted);
    });
}

async fn check_request(
    app: &App,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<Checked, Box<FinalFields>> {
    let bad = |message: String| not_run(id, Reason::BadRequest, message);
    let named = app.named_workspace(&request);
    let call: CompletionRequest = read_json(request.into_body())
        .await
        .map_err(|error| bad(error.to_string()))?;
    let config = app.config.load();
    let name = named.or_else(|| call.workspace.clone()).unwrap_or_default();
    let Some(workspace) = config.find_workspace(&name) else {
        return Err(bad(format!("workspace: no workspace is named \"{name}\"")));
    };
    let Some(model) = config.find_model(&call.model) else {
        return Err(bad(format!("model: no model is named \"{}\"", call.model)));
    };
    let limits = &app.settings.callers;
    if call.max_tokens == 0 || call.max_tokens > limits.max_tokens {
        return Err(bad(format!(
            "max_tokens: must be from 1 to {}",
            limits.max_tokens
        )));
    }
    let prompt = tokenize(&call.prompt);
    if prompt.len() > limits.max_prompt_tokens {
        return Err(bad(format!(
            "prompt: holds over {} tokens",
            limits.max_prompt_tokens
        )));
    }
    let rules = &config.inventory.rules.requests;
    let span = call.deadline_ms.unwrap_or(rules.default_deadline_ms);
    if span > rules.max_deadline_ms {
        return Err(bad(format!(
            "deadline_ms: may be {} at the most",
            rules.max_deadline_ms.0
        )));
    }
    let deadline_ms = app.clock.now() + span;
    Ok(Checked {
        id,
        workspace,
        model,
        prompt,
        deadline_ms,
        call,
    })
}

async fn admit_request(app: &Arc<App>, checked: &Checked) -> Result<Admitted, Box<FinalFields>> {
    let tokens = checked.tokens();
    let per_token = u64::from(checked.model.kv_bytes_per_layer) * u64::from(checked.model.layers);
    let request = AdmissionRequest {
        id: checked.id,
        workspace: checked.workspace.name.clone(),
        weight: checked.workspace.weight,
        priority: checked.workspace.priority,
        deadline_ms: Some(checked.deadline_ms),
        tokens,
        kv_bytes: u64::from(tokens) * per_token,
    };
    admit(app, &checked.model.name, request)
        .await
        .map_err(|refused| {
            let mut fields = not_run(checked.id, refused.reason, "not admitted; nothing ran");
            fields.retry_after_ms = Some(refused.retry_after_ms);
            fields
        })
}

fn choose_path(app: &Arc<App>, checked: &Checked) -> Result<PathLease, Box<FinalFields>> {
    let request = PathRequest {
        model: checked.model.name.clone(),
        version: checked.model.version.clone(),
        adapter: None,
        workspace: checked.workspace.name.clone(),
        prefixes: digest_prefixes(&checked.prompt),
        tokens: checked.tokens(),
    };
    PathLease::choose(app, &request).map_err(|error| {
        let reason = match error {
            NoPath::Full { .. } => Reason::Overloaded,
            _ => Reason::NoPath,
        };
        let mut fields = not_run(checked.id, reason, error.to_string());
        if let NoPath::Full { retry_after_ms, .. } = error {
            fields.retry_after_ms = Some(retry_after_ms);
        }
        fields
    })
}
