//! The metrics page.

use hyper::Response;
use prometheus::{Registry, TextEncoder};

use crate::http::{Body, full_response};

/// Answers a request for the metrics page with all metrics of a registry.
#[must_use]
pub fn render_metrics(registry: &Registry) -> Response<Body> {
    let text = TextEncoder::new()
        .encode_to_string(&registry.gather())
        .unwrap_or_default();
    full_response(hyper::StatusCode::OK, "text/plain; version=0.0.4", text)
}
