//! The typed form of a routing document.

use mgw_world::{Millis, PipelineModel, RoutingVersion, ServiceName, WorkspaceName};

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum CallKind {
    /// May run any number of times.
    #[display("idempotent")]
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    #[display("non-idempotent")]
    NonIdempotent,
    /// Answered by a series of events.
    #[display("stream")]
    Stream,
}

/// Part of a route's calls that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// The service.
    pub service: ServiceName,
    /// Share relative to the other parts.
    pub weight: u32,
}

/// Where the calls under one path of a host go, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether calls may be repeated.
    pub kind: CallKind,
    /// Longest time that a call may take.
    pub timeout_ms: Millis,
    /// Rank, where 0 is the most urgent.
    pub priority: u8,
    /// Services that answer.
    pub splits: Vec<Split>,
    /// Most targets that one attempt of a caller may be sent to.
    pub max_targets: u32,
    /// Whether calls need no key.
    pub is_public: bool,
    /// Whether a stream may go on at another target after its last event.
    pub is_resumable: bool,
    /// Longest pause between two events of an answer that is in time; zero for none.
    pub max_event_pause_ms: Millis,
}

impl Route {
    /// Whether a call may be sent again after it may have run.
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
    /// Most connections that one target takes from all callers together.
    pub max_connections: u32,
    /// The model, for a service whose targets hold ranges of its layers.
    pub model: Option<PipelineModel>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub max_header_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time in which a request's head must arrive.
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
    /// Keys that its callers present.
    pub keys: Vec<String>,
    /// Rank that takes precedence over that of the route.
    pub priority: Option<u8>,
}

/// A routing document in typed form.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Routing {
    /// Version given by the operator.
    pub version: RoutingVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<RoutedService>,
    /// Limits of callers.
    pub limits: CallerLimits,
    /// Workspaces; none when no keys are asked for.
    pub workspaces: Vec<KeyedWorkspace>,
}

impl Routing {
    /// The service of a name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&RoutedService> {
        self.services.iter().find(|service| service.name == *name)
    }
}
