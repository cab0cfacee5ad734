//! Loads weights after an order was accepted.

use std::sync::Arc;

use hyper::{Request, StatusCode};
use mgw_contract::engine::EngineOrder;
use mgw_serve::http::{client, full, read_body};
use mgw_world::Millis;

use super::server::EngineServer;

/// Interval between checks whether the running steps have finished.
const RUNNING_CHECK_MS: Millis = Millis(1);
/// Delay before the fetch of a layer is retried.
const FETCH_RETRY_MS: Millis = Millis(500);

/// Loads the weights that an order asks for. Once loaded, the engine gets a new incarnation.
pub(super) async fn load_weights(engine: Arc<EngineServer>, order: EngineOrder) {
    if let Some(store) = &engine.settings.weights_url {
        fetch_weights(store, &order).await;
    }
    tokio::time::sleep(engine.settings.load_ms.to_duration()).await;
    while engine.core().sessions().is_running() {
        tokio::time::sleep(RUNNING_CHECK_MS.to_duration()).await;
    }
    let loaded = engine.core().finish_load(&order);
    if loaded {
        engine
            .context
            .advance_incarnation(engine.context.incarnation());
        engine.context.announce_now.notify_one();
        tracing::info!(layers = %order.layers, version = %order.version, "weights loaded");
    }
}

async fn fetch_weights(store: &str, order: &EngineOrder) {
    let client = client();
    for layer in order.layers.first()..order.layers.end() {
        let url = format!("{store}/weights/{}/{}/{layer}", order.model, order.version);
        loop {
            let Ok(request) = Request::get(&url).body(full("")) else {
                tracing::error!(url, "cannot fetch weights: not a valid URL");
                return;
            };
            if let Ok(response) = client.request(request).await
                && response.status() == StatusCode::OK
                && read_body(response.into_body()).await.is_ok()
            {
                break;
            }
            tracing::warn!(url, "fetching the weights of a layer failed; retrying");
            tokio::time::sleep(FETCH_RETRY_MS.to_duration()).await;
        }
    }
}
