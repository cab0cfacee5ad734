//! Fetches the throughput bound, the largest token rate that the placement allows, from an entry.

use hyper::{Request, StatusCode};
use mgw_contract::operator::{STATUS_PATH, StatusReply};
use mgw_serve::http::{HttpClient, full, read_json};
use mgw_world::{Millis, ModelName};
use tokio::time::timeout;

/// Time within which an entry must answer the status call.
const STATUS_TIMEOUT_MS: Millis = Millis(1000);

/// Asks entries in turn for the throughput bound of a model, in tokens per second. Returns `None`
/// if no entry reports one.
pub async fn fetch_bound(
    client: &HttpClient,
    entries: &[String],
    model: &ModelName,
) -> Option<u64> {
    for url in entries {
        let reply = timeout(STATUS_TIMEOUT_MS.to_duration(), fetch_status(client, url));
        let Some(status) = reply.await.ok().flatten() else {
            continue;
        };
        if let Some(figures) = status.models.get(model.as_str()) {
            return Some(figures.bound_tokens_per_s);
        }
    }
    None
}

async fn fetch_status(client: &HttpClient, url: &str) -> Option<StatusReply> {
    let request = Request::get(format!("{url}{STATUS_PATH}"))
        .body(full(""))
        .ok()?;
    let response = client.request(request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    read_json(response.into_body()).await.ok()
}
