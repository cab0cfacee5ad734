//! HTTP routes of an engine.

use std::sync::Arc;

use futures::future::join_all;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use mgw_contract::engine::{
    EngineOrder, KV_PATH, KvImage, ORDERS_PATH, SESSIONS_PATH, STATE_PATH, STEPS_PATH, SessionKey,
    StepBatch, StepBatchReply, StepRefusal,
};
use mgw_serve::http::{Body, full_response, json_response, read_body, read_json};
use mgw_world::Attempt;
use serde::Serialize;

use super::server::EngineServer;
use super::weight_loading::load_weights;
use crate::common_routes::error_response;
use crate::journal::JournalEvent;

const POSTCARD_CONTENT_TYPE: &str = "application/octet-stream";

/// Answers an HTTP request to the engine.
pub async fn handle(engine: Arc<EngineServer>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, STEPS_PATH) => run_steps(&engine, request.into_body()).await,
        (&Method::GET, STATE_PATH) => {
            let checks_fence = !engine.context.faults().ignore_fencing;
            json_response(StatusCode::OK, &engine.core().state(checks_fence))
        }
        (&Method::POST, ORDERS_PATH) => handle_order(&engine, request.into_body()).await,
        _ => handle_session_route(&engine, &path, request).await,
    }
}

async fn handle_session_route(
    engine: &EngineServer,
    path: &str,
    request: Request<Incoming>,
) -> Response<Body> {
    if let Some(key) = path.strip_prefix(SESSIONS_PATH).and_then(parse_key) {
        return match *request.method() {
            Method::GET => show_session_status(engine, key),
            Method::DELETE => free_session(engine, key),
            _ => error_response(StatusCode::METHOD_NOT_ALLOWED, "use GET or DELETE"),
        };
    }
    if let Some(key) = path.strip_prefix(KV_PATH).and_then(parse_key) {
        return match *request.method() {
            Method::GET => export_kv(engine, key),
            Method::PUT => import_kv(engine, key, request.into_body()).await,
            _ => error_response(StatusCode::METHOD_NOT_ALLOWED, "use GET or PUT"),
        };
    }
    error_response(StatusCode::NOT_FOUND, "no such path")
}

/// Parses a session key of the form `REQUEST/ATTEMPT`.
fn parse_key(text: &str) -> Option<SessionKey> {
    let (request, attempt) = text.split_once('/')?;
    Some(SessionKey {
        request: request.parse().ok()?,
        attempt: Attempt(attempt.parse().ok()?),
    })
}

async fn run_steps(engine: &EngineServer, body: Incoming) -> Response<Body> {
    let Ok(bytes) = read_body(body).await else {
        return error_response(
            StatusCode::BAD_REQUEST,
            "could not read the whole request body",
        );
    };
    let batch: StepBatch = match postcard::from_bytes(&bytes) {
        Ok(batch) => batch,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let steps = batch.steps.into_iter();
    let replies = join_all(steps.map(|step| engine.run_step(step))).await;
    engine.context.delay_answer().await;
    postcard_response(&StepBatchReply { replies })
}

fn postcard_response<T: Serialize>(value: &T) -> Response<Body> {
    match postcard::to_stdvec(value) {
        Ok(bytes) => full_response(StatusCode::OK, POSTCARD_CONTENT_TYPE, bytes),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn show_session_status(engine: &EngineServer, key: SessionKey) -> Response<Body> {
    match engine.core().sessions().session_status(key) {
        Some(status) => json_response(StatusCode::OK, &status),
        None => error_response(StatusCode::NOT_FOUND, "no such session"),
    }
}

fn free_session(engine: &EngineServer, key: SessionKey) -> Response<Body> {
    if engine.free_session(key) {
        full_response(StatusCode::NO_CONTENT, "application/json", "")
    } else {
        error_response(StatusCode::NOT_FOUND, "no such session")
    }
}

fn export_kv(engine: &EngineServer, key: SessionKey) -> Response<Body> {
    let image = engine.core().export(key);
    match image {
        Some(image) => postcard_response(&image),
        None => error_response(StatusCode::NOT_FOUND, "no such session"),
    }
}

async fn import_kv(engine: &EngineServer, key: SessionKey, body: Incoming) -> Response<Body> {
    let Ok(bytes) = read_body(body).await else {
        return error_response(
            StatusCode::BAD_REQUEST,
            "could not read the whole request body",
        );
    };
    let image: KvImage = match postcard::from_bytes(&bytes) {
        Ok(image) => image,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let now = engine.context.clock.now();
    let result = engine.core().import(key, &image, now);
    match result {
        Ok(status) => {
            engine.context.record([JournalEvent::Import {
                session: key,
                layers: image.layers,
                next: image.next,
            }]);
            json_response(StatusCode::OK, &status)
        }
        Err(refusal) => error_response(refusal_status(&refusal), refusal.to_string()),
    }
}

const fn refusal_status(refusal: &StepRefusal) -> StatusCode {
    match refusal {
        StepRefusal::WrongInput => StatusCode::BAD_REQUEST,
        StepRefusal::Full | StepRefusal::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::CONFLICT,
    }
}

async fn handle_order(engine: &Arc<EngineServer>, body: Incoming) -> Response<Body> {
    let order: EngineOrder = match read_json(body).await {
        Ok(order) => order,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, error.to_string()),
    };
    if order.target != engine.context.name {
        return error_response(
            StatusCode::CONFLICT,
            "the order names another target than this engine",
        );
    }
    if order.layers.end() > engine.settings.model_layers {
        return error_response(
            StatusCode::BAD_REQUEST,
            "the ordered layers end beyond the layers of the model",
        );
    }
    let checks_fence = !engine.context.faults().ignore_fencing;
    let decision = engine.core().decide_order(&order, checks_fence);
    if decision.starts_load {
        engine.context.record([JournalEvent::Order {
            fence: order.fence,
            sequence: order.sequence,
            layers: order.layers,
            version: order.version.clone(),
        }]);
        engine.context.announce_now.notify_one();
        tokio::spawn(load_weights(Arc::clone(engine), order));
    }
    json_response(StatusCode::OK, &decision.reply)
}
