//! Routes HTTP requests to their handlers by method and path.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use mgw_contract::caller::{ADDRESSES_PATH, COMPLETIONS_PATH, SERVICES_PATH};
use mgw_contract::operator::OperatorError;
use mgw_contract::target::ANNOUNCE_PATH;
use mgw_serve::http::{Body, json_response};
use mgw_serve::render_metrics;

use crate::app::App;
use crate::{addresses, announce, completions, operator, services};

/// Path at which the metrics are served.
const METRICS_PATH: &str = "/metrics";
/// Path prefix of operator calls.
const OPERATOR_PATH: &str = "/operator/";

/// Passes one HTTP request to the handler of its path.
pub async fn handle_request(app: Arc<App>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, ADDRESSES_PATH) => addresses::handle_addresses(&app, &request),
        (&Method::POST, COMPLETIONS_PATH) => completions::handle_completion(app, request).await,
        (&Method::POST, ANNOUNCE_PATH) => announce::handle_announcement(&app, request).await,
        (&Method::GET, METRICS_PATH) => render_metrics(&app.metrics.registry),
        (_, path) if path.starts_with(SERVICES_PATH) => {
            services::handle_service_call(app, request).await
        }
        (_, path) if path.starts_with(OPERATOR_PATH) => {
            operator::handle_operator(&app, request).await
        }
        _ => unknown_path(&path),
    }
}

/// Answers a request whose path has no handler.
fn unknown_path(path: &str) -> Response<Body> {
    let error = OperatorError {
        message: format!("no such path: {path}"),
        help: format!("callers use {ADDRESSES_PATH}, {COMPLETIONS_PATH} and {SERVICES_PATH}NAME/"),
    };
    json_response(StatusCode::NOT_FOUND, &error)
}
