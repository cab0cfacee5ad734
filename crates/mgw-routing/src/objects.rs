//! The typed form of a routing document.

use std::collections::BTreeSet;

use mgw_world::{Millis, PipelineModel, RoutingVersion, ServiceName, WorkspaceName};

/// How often a call may run, and how it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum CallKind {
    /// May run any number of times.
    #[display("idempotent")]
    Idempotent,
    /// Must run at most once for each attempt of the caller.
    #[display("non-idempotent")]
    NonIdempotent,
    /// Answered by a stream of events.
    #[display("stream")]
    Stream,
}

/// Share of a route's calls that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight of this split; its share is the weight divided by the sum over the route's splits.
    pub weight: u32,
}

/// Rules for the calls to one path prefix of a host: which services answer them, and with what limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name that callers address; compared without regard to case.
    pub host: String,
    /// Prefix of the request's path; begins and ends with a slash.
    pub path_prefix: String,
    /// Kind of the route's calls; decides whether a call may be repeated.
    pub kind: CallKind,
    /// Longest time that a call may take.
    pub timeout_ms: Millis,
    /// Priority of the calls; 0 is the most urgent.
    pub priority: u8,
    /// Services that answer the calls.
    pub splits: Vec<Split>,
    /// Maximum number of targets that one attempt of a caller may be sent to.
    pub max_targets: u32,
    /// Whether calls are accepted without a key.
    pub is_public: bool,
    /// Whether a broken stream may be resumed after its last event by another target.
    pub is_resumable: bool,
    /// Longest pause between two events of an answer that still counts as in time; zero for no limit.
    pub max_event_pause_ms: Millis,
    /// Time until the first event, or the whole answer, within which it is in time; zero for no limit.
    pub target_latency_ms: Millis,
}

impl Route {
    /// Whether a call may be sent again when it may already have run.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::NonIdempotent => false,
            CallKind::Stream => self.is_resumable,
        }
    }
}

/// A service that routes lead to.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutedService {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Model of the service, if its targets hold ranges of the model's layers.
    pub model: Option<PipelineModel>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's header section.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body.
    pub max_body_bytes: usize,
    /// Time within which a request's header section must arrive.
    pub header_timeout_ms: Millis,
    /// Time after which an idle connection is closed.
    pub idle_timeout_ms: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: Millis(3_000),
            idle_timeout_ms: Millis(15_000),
        }
    }
}

/// A workspace with the keys of its callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedWorkspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Priority that overrides that of the route.
    pub priority: Option<u8>,
}

/// A routing document in typed form.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Routing {
    /// Version that the operator assigned.
    pub version: RoutingVersion,
    /// All routes, in the order of the document.
    pub routes: Vec<Route>,
    /// Services that routes can lead to.
    pub services: Vec<RoutedService>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Workspaces and their keys; empty if callers need no keys.
    pub workspaces: Vec<KeyedWorkspace>,
}

impl Routing {
    /// Whether requests to a service may differ in urgency, by their routes or workspaces.
    #[must_use]
    pub fn differs_in_urgency(&self, service: &ServiceName) -> bool {
        let leads_there = |route: &&Route| {
            let mut splits = route.splits.iter();
            splits.any(|split| split.service == *service && split.weight > 0)
        };
        let routes: Vec<&Route> = self.routes.iter().filter(leads_there).collect();
        if routes.is_empty() {
            return false;
        }
        let of_workspaces = self.workspaces.iter().filter_map(|it| it.priority);
        let keeps_route =
            self.workspaces.is_empty() || self.workspaces.iter().any(|it| it.priority.is_none());
        let of_routes = routes.iter().filter(|it| it.is_public || keeps_route);
        let urgencies = of_workspaces.chain(of_routes.map(|route| route.priority));
        let urgencies: BTreeSet<u8> = urgencies.collect();
        urgencies.len() > 1
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&RoutedService> {
        self.services.iter().find(|service| service.name == *name)
    }
}
