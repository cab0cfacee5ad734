//! Answers the call by which callers learn the addresses of entries.

use hyper::{Request, Response, StatusCode};
use mgw_contract::caller::{PLACE_HEADER, WORKSPACE_HEADER};
use mgw_member::hash_caller;
use mgw_serve::http::{Body, json_response};
use mgw_world::PlaceName;

use crate::app::App;

/// Query field in which a caller gives its name.
const CALLER_FIELD: &str = "caller=";

/// Answers which entries a caller should use.
///
/// A caller that gives its name in the query field `caller` gets the same entries each time; for
/// other callers the entries are drawn at random at each call.
pub fn handle_addresses<B>(app: &App, request: &Request<B>) -> Response<Body> {
    let header = |name| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let place = header(PLACE_HEADER).map(PlaceName::from);
    #[expect(
        clippy::cast_possible_truncation,
        reason = "any 64 random bits will do"
    )]
    let random = app.new_request_id().0 as u64;
    let caller_hash = hash_caller(
        header(WORKSPACE_HEADER),
        find_caller(request.uri().query()),
        random,
    );
    let valid_ms = app.config.load().inventory.rules.requests.address_valid_ms;
    let reply = app
        .members
        .choose_entries(valid_ms, place.as_ref(), caller_hash, app.clock.now());
    json_response(StatusCode::OK, &reply)
}

/// Finds the name of the caller in a query.
fn find_caller(query: Option<&str>) -> Option<&str> {
    let mut fields = query?.split('&');
    let caller = fields.find_map(|field| field.strip_prefix(CALLER_FIELD))?;
    (!caller.is_empty()).then_some(caller)
}
