//! The address call.

use std::hash::{DefaultHasher, Hash, Hasher};

use hyper::{Request, Response, StatusCode};
use mgw_contract::caller::{PLACE_HEADER, WORKSPACE_HEADER};
use mgw_serve::http::{Body, json_response};
use mgw_world::PlaceName;

use crate::app::App;

/// Answers which entries a caller shall use.
///
/// Callers of one workspace are spread by the `caller` in the query, if they name one.
pub fn handle_addresses<B>(app: &App, request: &Request<B>) -> Response<Body> {
    let header = |name| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let place = header(PLACE_HEADER).map(PlaceName::from);
    let mut hasher = DefaultHasher::new();
    header(WORKSPACE_HEADER).hash(&mut hasher);
    request.uri().query().hash(&mut hasher);
    let valid_ms = app.config.load().inventory.rules.requests.address_valid_ms;
    let reply = app
        .members
        .choose(valid_ms, place.as_ref(), hasher.finish(), app.clock.now());
    json_response(StatusCode::OK, &reply)
}
