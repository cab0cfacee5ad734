//! Calls to forwarding engines.

use std::net::SocketAddr;

use hyper::Request;
use mgw_contract::target::{EngineReport, ReportCall};
use mgw_place::{OrderOutcome, PlacementOrder};
use mgw_serve::http::{Body, HttpClient, full, read_body};
use mgw_world::Millis;
use tokio::time::timeout;
use tracing::{info, warn};

/// Time within which an engine must answer an order or a question.
const CALL_LIMIT_MS: Millis = Millis(1_000);

/// How orders to hold layers are sent: `POST` a body in JSON to a path.
#[derive(Debug, Clone, Copy)]
pub struct OrderCall {
    /// The path.
    pub path: &'static str,
    /// Writes the body.
    pub write: fn(&PlacementOrder) -> Vec<u8>,
    /// Reads the status of the answer.
    pub read: fn(u16) -> OrderOutcome,
}

/// Calls to forwarding engines in an adapter's dialect.
#[derive(Debug, Clone, Copy)]
pub struct PlacementCalls {
    /// Orders.
    pub order: OrderCall,
    /// Questions for their state.
    pub report: ReportCall,
}

impl PlacementCalls {
    /// Sends an order.
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
        let answer = timeout(CALL_LIMIT_MS.to_duration(), http.request(request)).await;
        let status = match &answer {
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
            "ordered layers"
        );
        outcome
    }

    /// Asks an engine for its state; none when it gave no good answer.
    pub(super) async fn read_report(
        &self,
        http: &HttpClient,
        address: SocketAddr,
    ) -> Option<EngineReport> {
        let uri = format!("http://{address}{}", self.report.path);
        let request = Request::get(uri).body(Body::default()).ok()?;
        let asking = async {
            let response = http.request(request).await.ok()?;
            read_body(response.into_body()).await.ok()
        };
        let body = timeout(CALL_LIMIT_MS.to_duration(), asking).await;
        let Ok(Some(body)) = body else {
            warn!(%address, "engine didn't report its state");
            return None;
        };
        match (self.report.read)(&body) {
            Ok(report) => Some(report),
            Err(error) => {
                warn!(%address, %error, "engine's report can't be read");
                None
            }
        }
    }
}
