//! Calls to engines: reads their state and sends orders.

use std::net::SocketAddr;

use hyper::Request;
use mgw_contract::engine::{EngineOrder, EngineState, ORDERS_PATH, OrderReply, STATE_PATH};
use mgw_serve::http::{Body, HttpClient, full, read_json};
use mgw_world::Millis;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// Time within which an engine must answer.
const ENGINE_LIMIT_MS: Millis = Millis(500);

/// Asks an engine what it holds; none when it gives no answer that can be understood.
pub async fn read_state(http: &HttpClient, address: SocketAddr) -> Option<EngineState> {
    let request = Request::get(format!("http://{address}{STATE_PATH}"));
    call(http, request.body(full("")).ok()?).await
}

/// Sends an order; none when no answer came, in which case it may have been taken.
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
    let answered = timeout(ENGINE_LIMIT_MS.to_duration(), async {
        let response = http.request(request).await.ok()?;
        read_json(response.into_body()).await.ok()
    });
    answered.await.ok().flatten()
}
