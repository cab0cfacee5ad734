//! Stand-in for the weight store: serves zero bytes for each layer at a rate that is shared by all
//! readers.

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

/// Serves layers of any model at a limited rate.
#[derive(Debug)]
pub struct WeightStore {
    settings: WeightsSettings,
    busy_until: Mutex<Instant>,
}

impl WeightStore {
    /// Creates a store without transfers.
    #[must_use]
    pub fn new(settings: WeightsSettings) -> Self {
        Self {
            settings,
            busy_until: Mutex::new(Instant::now()),
        }
    }

    /// Answers a call at the time at which the transfer of the layer would be complete.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        if request.method() != Method::GET || !is_layer_path(path) {
            return error_response(
                StatusCode::NOT_FOUND,
                "use GET /weights/MODEL/VERSION/LAYER",
            );
        }
        let layer_bytes = self.settings.layer_bytes;
        let transfer_s = layer_bytes as f64 / self.settings.bytes_per_s as f64;
        sleep_until(self.reserve(Duration::from_secs_f64(transfer_s)).await).await;
        let layer = vec![0; usize::try_from(layer_bytes).unwrap_or_default()];
        full_response(StatusCode::OK, "application/octet-stream", layer)
    }

    /// Reserves the next time slot of length `duration` and returns its end.
    async fn reserve(&self, duration: Duration) -> Instant {
        let mut busy_until = self.busy_until.lock().await;
        *busy_until = Instant::now().max(*busy_until) + duration;
        *busy_until
    }
}

fn is_layer_path(path: &str) -> bool {
    let Some(rest) = path.strip_prefix(WEIGHTS_PATH) else {
        return false;
    };
    let parts: Vec<&str> = rest.split('/').collect();
    matches!(parts[..], [_, _, layer] if layer.parse::<u16>().is_ok())
}
