//! Operator calls that an entry answers from its own view of the system.

use std::collections::BTreeMap;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use mgw_contract::operator::{
    ENTRIES_PATH, EntryStatus, ModelStatus, OperatorError, STATUS_PATH, StatusReply, TARGETS_PATH,
    TargetStatus,
};
use mgw_member::{Availability, determine_availability};
use mgw_serve::http::{Body, json_response};
use mgw_world::TargetName;

use crate::app::App;

/// Answers an operator's call: status, entries or targets; other paths are answered with 404.
pub async fn handle_operator(app: &App, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, STATUS_PATH) => json_response(StatusCode::OK, &read_status(app)),
        (&Method::GET, ENTRIES_PATH) => json_response(StatusCode::OK, &read_entries(app)),
        (&Method::GET, TARGETS_PATH) => json_response(StatusCode::OK, &read_targets(app)),
        (_, path) => {
            let error_reply = OperatorError {
                message: format!("an entry has no operator call {path}"),
                help: "send this call to a control".to_owned(),
            };
            json_response(StatusCode::NOT_FOUND, &error_reply)
        }
    }
}

/// The entries in the view, with the number of requests in flight at this one.
fn read_entries(app: &App) -> Vec<EntryStatus> {
    let mut entries = app.members.view.lock().describe_entries(app.clock.now());
    if let Some(own) = entries
        .iter_mut()
        .find(|entry| entry.name == app.settings.name)
    {
        let in_flight = app.in_flight.lock().len();
        own.in_flight = Some(u32::try_from(in_flight).unwrap_or(u32::MAX));
    }
    entries
}

/// The targets in the view, with the number of requests that this entry has in flight at each.
fn read_targets(app: &App) -> Vec<TargetStatus> {
    let routed = app.router.lock().targets();
    let in_flight: BTreeMap<TargetName, u32> = routed
        .into_iter()
        .map(|target| (target.name, target.in_flight))
        .collect();
    let mut targets = app.members.view.lock().describe_targets(app.clock.now());
    for target in &mut targets {
        target.in_flight = in_flight.get(&target.name).copied().unwrap_or_default();
    }
    targets
}

/// Status of the system as this entry sees it.
fn read_status(app: &App) -> StatusReply {
    let now = app.clock.now();
    let config = app.config.load();
    let entries = read_entries(app);
    let targets = read_targets(app);
    let availability = determine_availability(&app.members.view.lock(), now);
    let attention = list_attention(app, availability);
    let node = app.members.view.lock().own_info().name.clone();
    let token_rates = app.token_rate();
    let mut models = BTreeMap::new();
    for model in &config.inventory.models {
        let bound = app
            .router
            .lock()
            .bound(&model.name, &model.version, None, now);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let bound_tokens_per_s = bound.map_or(0, |bound| bound.tokens_per_s as u64);
        let reached_tokens_per_s = token_rates.get(&model.name).copied().unwrap_or_default();
        let status = ModelStatus {
            bound_tokens_per_s,
            reached_tokens_per_s,
        };
        models.insert(model.name.to_string(), status);
    }
    StatusReply {
        node,
        revision: config.revision,
        leader: None,
        has_quorum: app.has_quorum(),
        replicas: Vec::new(),
        entries: u32::try_from(entries.len()).unwrap_or(u32::MAX),
        targets: u32::try_from(targets.iter().filter(|target| target.in_choice).count())
            .unwrap_or(u32::MAX),
        models,
        ledger_unknown: 0,
        attention,
    }
}

/// Findings that an operator should look at.
fn list_attention(app: &App, availability: Availability) -> Vec<String> {
    let mut attention = vec![format!("this entry's availability: {availability}")];
    let places = app.members.view.lock().places(app.clock.now());
    let cut_off = places.iter().filter(|place| place.is_cut_off);
    attention.extend(cut_off.map(|place| {
        format!(
            "place {} is silent as a whole ({} nodes, {} targets): check its network first",
            place.place, place.silent_nodes, place.silent_targets
        )
    }));
    attention
}
