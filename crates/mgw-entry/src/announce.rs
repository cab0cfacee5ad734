//! Answers the announcements by which targets register and renew their leases.

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use mgw_contract::operator::OperatorError;
use mgw_contract::target::{AnnounceReply, Announcement};
use mgw_member::AnnounceOutcome;
use mgw_route::CacheSyncState;
use mgw_serve::http::{Body, json_response, read_json};

use crate::app::App;

/// Applies an announcement to the view and the router, and answers with the lease.
pub async fn handle_announcement(app: &App, request: Request<Incoming>) -> Response<Body> {
    let announcement: Announcement = match read_json(request.into_body()).await {
        Ok(announcement) => announcement,
        Err(error) => {
            let help = "send an announcement in the JSON form that the interface page describes"
                .to_owned();
            let error_reply = OperatorError {
                message: error.to_string(),
                help,
            };
            return json_response(StatusCode::BAD_REQUEST, &error_reply);
        }
    };
    let now = app.clock.now();
    let target = &announcement.target;
    let (outcome, lease_ms, renew_ms) = {
        let mut view = app.members.view.lock();
        let outcome = view.announce(&announcement, now);
        (outcome, view.settings().lease_ms, view.settings().renew_ms)
    };
    let cache_sync = app.router.lock().apply_cache_events(
        &target.name,
        target.incarnation,
        &announcement.cache_events,
    );
    let (incarnation, drain) = match outcome {
        AnnounceOutcome::Renewed { drain } => (target.incarnation, drain),
        AnnounceOutcome::Outdated { newest } => (newest, false),
    };
    let alternatives = app
        .other_entries()
        .into_iter()
        .map(|entry| entry.url)
        .collect();
    let reply = AnnounceReply {
        name: target.name.clone(),
        incarnation,
        lease_ms,
        renew_ms,
        alternatives,
        drain,
        resend_cache: cache_sync != CacheSyncState::Current,
    };
    json_response(StatusCode::OK, &reply)
}
