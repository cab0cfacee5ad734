//! Renders the metrics page in the Prometheus text format.

use hyper::Response;
use prometheus::{Registry, TextEncoder};

use crate::http::{Body, full_response};

/// Renders the metrics of `registry` and those of the default registry, which has those of the log.
#[must_use]
pub fn render_metrics(registry: &Registry) -> Response<Body> {
    let families = [registry.gather(), prometheus::gather()].concat();
    let text = TextEncoder::new()
        .encode_to_string(&families)
        .unwrap_or_else(|error| format!("# metrics can't be written: {error}\n"));
    full_response(hyper::StatusCode::OK, "text/plain; version=0.0.4", text)
}
