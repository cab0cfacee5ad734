//! Dispatch of operators' HTTP requests by method and path.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use mgw_contract::operator::{
    AUDIT_PATH, CONFIG_PATH, DRAIN_PATH, ENTRIES_PATH, LEDGER_PATH, LIMITS_PATH, OperatorError,
    QUARANTINE_PATH, STATUS_PATH, TARGETS_PATH, UNDRAIN_PATH,
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

/// Path at which Prometheus scrapes the metrics.
const METRICS_PATH: &str = "/metrics";

/// Handles one HTTP request.
pub async fn handle_request(app: Arc<App>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, METRICS_PATH) => render_metrics(&app.metrics.registry),
        (&Method::GET, STATUS_PATH) => read_response(read::read_status(&app).await),
        (&Method::GET, CONFIG_PATH) => read_response(read::read_config(&app).await),
        (&Method::GET, AUDIT_PATH) => read_response(read::read_audit(&app).await),
        (&Method::GET, LEDGER_PATH) => read_response(read::read_ledger(&app).await),
        (&Method::GET, QUARANTINE_PATH) => read_response(read::read_quarantine(&app).await),
        (&Method::GET, LIMITS_PATH) => json_response(StatusCode::OK, &read::read_limits(&app)),
        (&Method::GET, ENTRIES_PATH) => json_response(StatusCode::OK, &read::read_entries(&app)),
        (&Method::GET, TARGETS_PATH) => json_response(StatusCode::OK, &read::read_targets(&app)),
        (&Method::POST, CONFIG_PATH) => {
            let credentials = Credentials::from_request(&request);
            match parse_body(request).await {
                Ok(change) => write_response(write::apply_config(&app, &credentials, change).await),
                Err(response) => *response,
            }
        }
        (&Method::POST, DRAIN_PATH) => {
            let credentials = Credentials::from_request(&request);
            match parse_body(request).await {
                Ok(subject) => write_response(write::drain(&app, &credentials, subject).await),
                Err(response) => *response,
            }
        }
        (&Method::POST, UNDRAIN_PATH) => {
            let credentials = Credentials::from_request(&request);
            match parse_body(request).await {
                Ok(subject) => write_response(write::undrain(&app, &credentials, subject).await),
                Err(response) => *response,
            }
        }
        (&Method::POST, QUARANTINE_PATH) => {
            let credentials = Credentials::from_request(&request);
            match parse_body(request).await {
                Ok(lift) => write_response(write::lift_quarantine(&app, &credentials, lift).await),
                Err(response) => *response,
            }
        }
        (&Method::POST, LEDGER_PATH) => {
            let credentials = Credentials::from_request(&request);
            match parse_body(request).await {
                Ok(claim) => write_response(write::resolve(&app, &credentials, claim).await),
                Err(response) => *response,
            }
        }
        _ => error_response(
            StatusCode::NOT_FOUND,
            format!("no such path: {path}"),
            "see mgw --help",
        ),
    }
}

/// Parses a request's body as JSON; fails with the response to send.
async fn parse_body<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Box<Response<Body>>> {
    read_json(request.into_body()).await.map_err(|error| {
        let help = "send the JSON that the operators' page describes";
        Box::new(error_response(
            StatusCode::BAD_REQUEST,
            error.to_string(),
            help,
        ))
    })
}

fn read_response<T: Serialize>(result: Result<T, PeerError>) -> Response<Body> {
    match result {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err(error) => peer_error_response(&error),
    }
}

fn write_response<T: Serialize>(result: Result<T, WriteError>) -> Response<Body> {
    match result {
        Ok(value) => json_response(StatusCode::OK, &value),
        Err(WriteError::Peer(error)) => peer_error_response(&error),
        Err(error @ WriteError::NotAllowed) => {
            let help = "name and key are those of an operator in the configuration";
            error_response(StatusCode::FORBIDDEN, error.to_string(), help)
        }
        Err(error @ WriteError::Refused { .. }) => error_response(
            StatusCode::CONFLICT,
            error.to_string(),
            "see mgw ledger show and mgw quarantine list",
        ),
    }
}

fn peer_error_response(error: &PeerError) -> Response<Body> {
    let help = match error {
        PeerError::NotLeader { .. } => "ask another control",
        PeerError::NotConfirmed => "send it again with the same change id",
        _ => "ask another control or look at its log",
    };
    error_response(StatusCode::SERVICE_UNAVAILABLE, error.to_string(), help)
}

fn error_response(status: StatusCode, message: String, help: &str) -> Response<Body> {
    json_response(
        status,
        &OperatorError {
            message,
            help: help.to_owned(),
        },
    )
}
