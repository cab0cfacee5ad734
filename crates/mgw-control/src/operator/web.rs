//! Dispatch of HTTP requests by path.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use mgw_contract::operator::{
    AUDIT_PATH, CONFIG_PATH, DRAIN_PATH, ENTRIES_PATH, LEDGER_PATH, OperatorError, STATUS_PATH,
    TARGETS_PATH, UNDRAIN_PATH,
};
use mgw_peer::PeerError;
use mgw_serve::http::{Body, json_response, read_json};
use mgw_serve::render_metrics;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::auth::Credentials;
use super::write::WriteError;
use super::{read, write};
use crate::app::App;

/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Answers one HTTP request.
pub async fn handle_request(app: Arc<App>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, METRICS_PATH) => render_metrics(&app.metrics.registry),
        (&Method::GET, STATUS_PATH) => answer_read(read::read_status(&app).await),
        (&Method::GET, CONFIG_PATH) => answer_read(read::read_config(&app).await),
        (&Method::GET, AUDIT_PATH) => answer_read(read::read_audit(&app).await),
        (&Method::GET, LEDGER_PATH) => answer_read(read::read_ledger(&app).await),
        (&Method::GET, ENTRIES_PATH) => json_response(StatusCode::OK, &read::read_entries(&app)),
        (&Method::GET, TARGETS_PATH) => json_response(StatusCode::OK, &read::read_targets(&app)),
        (&Method::POST, CONFIG_PATH) => {
            let credentials = Credentials::of(&request);
            match take_body(request).await {
                Ok(change) => answer_write(write::apply_config(&app, &credentials, change).await),
                Err(response) => *response,
            }
        }
        (&Method::POST, DRAIN_PATH) => {
            let credentials = Credentials::of(&request);
            match take_body(request).await {
                Ok(subject) => answer_write(write::drain(&app, &credentials, subject).await),
                Err(response) => *response,
            }
        }
        (&Method::POST, UNDRAIN_PATH) => {
            let credentials = Credentials::of(&request);
            match take_body(request).await {
                Ok(subject) => answer_write(write::undrain(&app, &credentials, subject).await),
                Err(response) => *response,
            }
        }
        (&Method::POST, LEDGER_PATH) => {
            let credentials = Credentials::of(&request);
            match take_body(request).await {
                Ok(claim) => answer_write(write::resolve(&app, &credentials, claim).await),
                Err(response) => *response,
            }
        }
        _ => refuse(
            StatusCode::NOT_FOUND,
            format!("no such path: {path}"),
            "see mgw --help",
        ),
    }
}

async fn take_body<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Box<Response<Body>>> {
    read_json(request.into_body()).await.map_err(|error| {
        let help = "send the JSON that the operators' page describes";
        Box::new(refuse(StatusCode::BAD_REQUEST, error.to_string(), help))
    })
}

fn answer_read<T: Serialize>(result: Result<T, PeerError>) -> Response<Body> {
    match result {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err(error) => answer_peer_error(&error),
    }
}

fn answer_write<T: Serialize>(result: Result<T, WriteError>) -> Response<Body> {
    match result {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err(WriteError::Peer(error)) => answer_peer_error(&error),
        Err(error @ WriteError::NotAllowed) => {
            let help = "name and key are those of an operator in the configuration";
            refuse(StatusCode::FORBIDDEN, error.to_string(), help)
        }
        Err(error @ WriteError::Refused { .. }) => refuse(
            StatusCode::CONFLICT,
            error.to_string(),
            "see mgw ledger show",
        ),
    }
}

fn answer_peer_error(error: &PeerError) -> Response<Body> {
    let help = match error {
        PeerError::NotLeader { .. } => "ask another control",
        PeerError::NotConfirmed => "send it again with the same change id",
        _ => "ask another control or look at its log",
    };
    refuse(StatusCode::SERVICE_UNAVAILABLE, error.to_string(), help)
}

fn refuse(status: StatusCode, message: String, help: &str) -> Response<Body> {
    json_response(
        status,
        &OperatorError {
            message,
            help: help.to_owned(),
        },
    )
}
