//! The stand-in for the weight store: bytes of layers at a limited rate for all readers together.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use mgw_serve::http::{Body, full_response};
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep_until};

use crate::common_routes::error_response;
use crate::settings::WeightsSettings;

/// Path prefix of weights: `GET /weights/MODEL/VERSION/LAYER`.
pub const WEIGHTS_PATH: &str = "/weights/";

/// A weight store.
#[derive(Debug)]
pub struct WeightStore {
    settings: WeightsSettings,
    free_at: Mutex<Instant>,
}

impl WeightStore {
    /// A store that nobody reads yet.
    #[must_use]
    pub fn new(settings: WeightsSettings) -> Self {
        Self {
            settings,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Answers a call once the bytes would have come through.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        if request.method() != Method::GET || !names_layer(path) {
            return error_response(
                StatusCode::NOT_FOUND,
                "use GET /weights/MODEL/VERSION/LAYER",
            );
        }
        let layer_bytes = self.settings.layer_bytes;
        let share = layer_bytes as f64 / self.settings.bytes_per_s as f64;
        sleep_until(self.reserve(Duration::from_secs_f64(share)).await).await;
        let layer = vec![0; usize::try_from(layer_bytes).unwrap_or_default()];
        full_response(StatusCode::OK, "application/octet-stream", layer)
    }

    /// Takes the next span of the store's time and returns its end.
    async fn reserve(&self, span: Duration) -> Instant {
        let mut free_at = self.free_at.lock().await;
        *free_at = Instant::now().max(*free_at) + span;
        *free_at
    }
}

fn names_layer(path: &str) -> bool {
    let Some(rest) = path.strip_prefix(WEIGHTS_PATH) else {
        return false;
    };
    let parts: Vec<&str> = rest.split('/').collect();
    matches!(parts[..], [_, _, layer] if layer.parse::<u16>().is_ok())
}
