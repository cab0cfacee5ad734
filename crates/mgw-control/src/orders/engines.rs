//! HTTP calls to engines: reads their state and sends orders.

use std::net::SocketAddr;

use hyper::Request;
use mgw_contract::engine::{EngineOrder, EngineState, ORDERS_PATH, OrderReply, STATE_PATH};
use mgw_serve::http::{Body, HttpClient, full, read_json};
use mgw_world::Millis;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// Timeout of a call to an engine.
const CALL_TIMEOUT_MS: Millis = Millis(500);

/// Requests an engine's state; none when there is no response or it can't be decoded.
pub async fn read_state(http: &HttpClient, address: SocketAddr) -> Option<EngineState> {
    let request = Request::get(format!("http://{address}{STATE_PATH}"));
    call(http, request.body(full("")).ok()?).await
}

/// Sends an order; none when there is no response, in which case the engine may have accepted it.
pub async fn send_order(
    http: &HttpClient,
    address: SocketAddr,
    order: &EngineOrder,
) -> Option<OrderReply> {
    let body = serde_json::to_vec(order).ok()?;
    let request = Request::post(format!("http://{address}{ORDERS_PATH}"));
    call(http, request.body(full(body)).ok()?).await
}

async fn call<T: DeserializeOwned>(http: &HttpClient, request: Request<Body>) -> Option<T> {
    let response = timeout(CALL_TIMEOUT_MS.to_duration(), async {
        let response = http.request(request).await.ok()?;
        read_json(response.into_body()).await.ok()
    });
    response.await.ok().flatten()
}
