//! Reads a caller's request and finds its route.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Method, Request};
use mgw_routing::{KeyedWorkspace, NoRoute, Route, RouteTable, Split};
use mgw_world::{Millis, RequestDigest, RoutingVersion, ServiceName, Subject, WorkspaceName};
use rand::Rng;
use tokio::time::timeout;
use tracing::info;

use super::{Refusal, RequestIdentity};
use crate::app::App;
use crate::dialect::CallerHead;

/// Least urgent rank that targets know; higher numbers of workspaces and routes are reduced to it.
const MAX_URGENCY: u8 = 9;

/// A caller's request with its route.
#[derive(Debug, Clone)]
pub struct Call {
    /// Values that the adapter read from the header fields.
    pub head: CallerHead,
    /// Route that the request takes.
    pub route: Route,
    /// Version of the routing document that contains the route.
    pub routing: RoutingVersion,
    /// Service that gets the request.
    pub service: ServiceName,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceName>,
    /// Rank, where 0 is the most urgent.
    pub urgency: u8,
    /// HTTP method.
    pub method: Method,
    /// Host that the caller named.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// Header fields of the request.
    pub headers: HeaderMap,
    /// Whole body of the request.
    pub body: Bytes,
    /// When the head of the request was read.
    pub arrived_at: Millis,
    /// Deadline of the caller or timeout of the route, whichever is first.
    pub ends_at: Millis,
    digest: OnceLock<RequestDigest>,
    subjects: OnceLock<Vec<Subject>>,
}

impl Call {
    /// Reads a request with its body and finds its route.
    ///
    /// # Errors
    /// When the request has no route or workspace, or its body is incomplete or too long.
    pub async fn read(app: &App, request: Request<Incoming>) -> Result<Self, Refusal> {
        let arrived_at = app.clock.now();
        let (parts, body) = request.into_parts();
        let head = (app.adapter.dialect.read_request)(&parts.headers);
        let routing = wait_for_routing(app, &parts, &head).await;
        let log = |refusal: &Refusal| log_refusal(&parts, &head, &routing, *refusal);
        let admitted = admit(&routing, &parts, &head);
        let admitted = match admitted {
            // The missing route or key may be one that a newer document adds.
            Err(_) if routing.version() < app.routing_updates.newest_version() => {
                Err(Refusal::outdated_routing())
            }
            admitted => admitted,
        };
        let Admitted { route, workspace } = admitted.inspect_err(log)?;
        let max_body_bytes = routing.limits().max_body_bytes;
        let timeout_ms = route.timeout_ms;
        let time_ms = head.deadline_ms.unwrap_or(timeout_ms).min(timeout_ms);
        let body = timeout(time_ms.to_duration(), read_body(body, max_body_bytes)).await;
        let body = body.unwrap_or(Err(Refusal::late_body()));
        let body = body.inspect_err(log)?;
        let path = parts.uri.path_and_query();
        let workspace_rank = workspace.and_then(|it| it.priority);
        Ok(Self {
            service: pick_service(&route.splits),
            urgency: workspace_rank.unwrap_or(route.priority).min(MAX_URGENCY),
            workspace: workspace.map(|it| it.name.clone()),
            routing: routing.version(),
            route: route.clone(),
            host: host_of(&parts).to_owned(),
            method: parts.method,
            path: path.map_or("/", |path| path.as_str()).to_owned(),
            headers: parts.headers,
            body,
            arrived_at,
            ends_at: arrived_at + time_ms,
            head,
            digest: OnceLock::new(),
            subjects: OnceLock::new(),
        })
    }

    /// Digest of the request, the same in each attempt of its caller; computed when it is first needed.
    #[must_use]
    pub fn digest(&self) -> RequestDigest {
        let identity = RequestIdentity {
            method: &self.method,
            host: &self.host,
            path: &self.path,
            workspace: self.workspace.as_ref(),
            body: &self.body,
        };
        *self.digest.get_or_init(|| identity.digest())
    }

    /// What a target that ends under this request may have ended for: the request itself, and the parts of
    /// its prompt that other requests may hold as well.
    #[must_use]
    pub fn subjects(&self) -> &[Subject] {
        self.subjects.get_or_init(|| {
            let parts = self.head.shared_parts.iter().copied();
            let parts = parts.map(Subject::from);
            parts.chain([Subject::from(self.digest())]).collect()
        })
    }
}

/// Waits for a routing document. If the request has no route or workspace in it while a control has a
/// newer one, waits for that one as well.
async fn wait_for_routing(app: &App, parts: &Parts, head: &CallerHead) -> Arc<RouteTable> {
    let time_ms = head.deadline_ms.unwrap_or_default();
    let routing = app.wait_for_routing(time_ms).await;
    if !app.is_routing_outdated() || admit(&routing, parts, head).is_ok() {
        return routing;
    }
    let wait_ms = app.wait_limits.capacity_wait_ms(time_ms);
    app.wait_for_newest_routing(wait_ms).await;
    app.routing()
}

/// What admission found for a request.
struct Admitted<'a> {
    route: &'a Route,
    workspace: Option<&'a KeyedWorkspace>,
}

/// Finds route and workspace of a request.
fn admit<'a>(
    routing: &'a RouteTable,
    parts: &Parts,
    head: &CallerHead,
) -> Result<Admitted<'a>, Refusal> {
    if routing.version() == RoutingVersion(0) {
        return Err(Refusal::no_routing());
    }
    let to_refusal = |error: NoRoute| match error {
        NoRoute::NotFound => Refusal::not_found(),
        NoRoute::UnknownKey => Refusal::unknown_key(),
    };
    let found = routing.find(host_of(parts), parts.uri.path());
    let route = found.map_err(to_refusal)?;
    let workspace = routing.find_workspace(route, head.key.as_deref());
    Ok(Admitted {
        route,
        workspace: workspace.map_err(to_refusal)?,
    })
}

fn host_of(parts: &Parts) -> &str {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| parts.uri.host()).unwrap_or_default()
}

fn log_refusal(parts: &Parts, head: &CallerHead, routing: &RouteTable, refusal: Refusal) {
    info!(
        id = %head.id,
        place = %format_args!("{}{}", host_of(parts), parts.uri.path()),
        routing = %routing.version(),
        status = refusal.status.as_u16(),
        failure = refusal.reason,
        "request refused"
    );
}

async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Refusal> {
    let collected = Limited::new(body, max_bytes).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| Refusal::bad_body(error.as_ref()))
}

/// Picks a service at random in proportion to the weights.
fn pick_service(splits: &[Split]) -> ServiceName {
    let total: u64 = splits.iter().map(|split| u64::from(split.weight)).sum();
    let mut remaining_weight = if total > 0 {
        rand::rng().random_range(0..total)
    } else {
        0
    };
    for split in splits {
        let weight = u64::from(split.weight);
        if remaining_weight < weight {
            return split.service.clone();
        }
        remaining_weight -= weight;
    }
    ServiceName::default()
}
