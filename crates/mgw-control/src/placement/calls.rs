//! HTTP calls to forwarding engines.

use std::net::SocketAddr;

use hyper::Request;
use mgw_contract::target::{EngineReport, ReportCall};
use mgw_place::{OrderOutcome, PlacementOrder};
use mgw_serve::http::{Body, HttpClient, full, read_answer};
use mgw_world::Millis;
use tokio::time::timeout;
use tracing::{info, warn};

/// Timeout of an order and of a state request.
const CALL_TIMEOUT_MS: Millis = Millis(1_000);

/// How an order to load layers is sent: `POST` of a JSON body to a path.
#[derive(Debug, Clone, Copy)]
pub struct OrderCall {
    /// Path of the request.
    pub path: &'static str,
    /// Encodes the body.
    pub write: fn(&PlacementOrder) -> Vec<u8>,
    /// Derives the outcome from the status code of the response.
    pub read: fn(u16) -> OrderOutcome,
}

/// Calls to forwarding engines in the protocol of an adapter.
#[derive(Debug, Clone, Copy)]
pub struct PlacementCalls {
    /// How orders are sent.
    pub order: OrderCall,
    /// How an engine's state is requested.
    pub report: ReportCall,
}

impl PlacementCalls {
    /// Sends an order. Without a response its outcome is unknown.
    pub(super) async fn send_order(
        &self,
        http: &HttpClient,
        order: &PlacementOrder,
    ) -> OrderOutcome {
        let uri = format!("http://{}{}", order.address, self.order.path);
        let request = Request::post(uri)
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(full((self.order.write)(order)));
        let Ok(request) = request else {
            return OrderOutcome::Refused;
        };
        let response = timeout(CALL_TIMEOUT_MS.to_duration(), http.request(request)).await;
        let status = match &response {
            Ok(Ok(response)) => Some(response.status().as_u16()),
            Ok(Err(_)) | Err(_) => None,
        };
        let outcome = status.map_or(OrderOutcome::Unknown, self.order.read);
        info!(
            target_name = %order.target,
            incarnation = %order.incarnation,
            layers = %order.layers,
            accepted_orders = order.accepted_orders,
            status,
            ?outcome,
            "sent an order to load layers"
        );
        outcome
    }

    /// Requests an engine's report; `None` when there is no response or it can't be decoded.
    pub(super) async fn read_report(
        &self,
        http: &HttpClient,
        address: SocketAddr,
    ) -> Option<EngineReport> {
        let uri = format!("http://{address}{}", self.report.path);
        let request = Request::get(uri).body(Body::default()).ok()?;
        let reading = async {
            let response = http.request(request).await.ok()?;
            read_answer(response.into_body()).await.ok()
        };
        let body = timeout(CALL_TIMEOUT_MS.to_duration(), reading).await;
        let Ok(Some(body)) = body else {
            warn!(%address, "engine didn't respond to a report request");
            return None;
        };
        match (self.report.read)(&body) {
            Ok(report) => Some(report),
            Err(error) => {
                warn!(%address, %error, "can't decode the engine's report");
                None
            }
        }
    }
}
