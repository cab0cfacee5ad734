//! Finds the route of a request and the workspace that a key belongs to.

use std::collections::HashMap;

use mgw_world::{RoutingVersion, ServiceName};

use crate::{CallerLimits, KeyedWorkspace, Route, RoutedService, Routing};

/// Why a request is not routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum NoRoute {
    /// no route matches this host and path
    NotFound,
    /// the key is missing or belongs to no workspace
    UnknownKey,
}

/// Index over the routes and keys of one version of the routing document.
///
/// ```
/// use mgw_routing::{CallKind, NoRoute, Route, RouteTable, Routing, Split};
/// use mgw_world::Millis;
/// let route = Route {
///     name: "drills".to_owned(),
///     host: "drills.example".to_owned(),
///     path_prefix: "/v1/".to_owned(),
///     kind: CallKind::Idempotent,
///     timeout_ms: Millis(800),
///     priority: 2,
///     splits: vec![Split { service: "pool".into(), weight: 1 }],
///     max_targets: 2,
///     is_public: true,
///     is_resumable: false,
///     max_event_pause_ms: Millis(0),
///     target_latency_ms: Millis(0),
/// };
/// let table = RouteTable::new(Routing { routes: vec![route], ..Routing::default() });
/// assert_eq!(table.find("drills.example:80", "/v1/plan").unwrap().name, "drills");
/// assert_eq!(table.find("drills.example", "/v2/plan").unwrap_err(), NoRoute::NotFound);
/// ```
#[derive(Debug, Default)]
pub struct RouteTable {
    routing: Routing,
    /// Index of a route by lower-case host and path prefix.
    hosts: HashMap<String, HashMap<String, usize>>,
    /// Index of a workspace by key.
    keys: HashMap<String, usize>,
}

impl RouteTable {
    /// Indexes a document that passed [`check_routing`](crate::check_routing). If routes have the same
    /// host and path prefix, the last one takes effect.
    #[must_use]
    pub fn new(routing: Routing) -> Self {
        let mut hosts: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (index, route) in routing.routes.iter().enumerate() {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.path_prefix.clone(), index);
        }
        let mut keys = HashMap::new();
        for (index, workspace) in routing.workspaces.iter().enumerate() {
            keys.extend(workspace.keys.iter().map(|key| (key.clone(), index)));
        }
        Self {
            routing,
            hosts,
            keys,
        }
    }

    /// Version of the document.
    #[must_use]
    pub const fn version(&self) -> RoutingVersion {
        self.routing.version
    }

    /// Limits on what callers may send.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.routing.limits
    }

    /// All services, in the order of the document.
    #[must_use]
    pub fn services(&self) -> &[RoutedService] {
        &self.routing.services
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&RoutedService> {
        self.routing.service(name)
    }

    /// Whether requests to a service may differ in urgency, by their routes or workspaces.
    #[must_use]
    pub fn differs_in_urgency(&self, service: &ServiceName) -> bool {
        self.routing.differs_in_urgency(service)
    }

    /// Finds the route of a host with the longest prefix of `path`. A port in `host` is ignored.
    ///
    /// # Errors
    /// When no route of the host has a prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Result<&Route, NoRoute> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase());
        let routes = routes.ok_or(NoRoute::NotFound)?;
        let prefix_ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        let mut prefixes = prefix_ends.filter_map(|end| path.get(..end));
        let index = prefixes.find_map(|prefix| routes.get(prefix));
        let route = index.and_then(|index| self.routing.routes.get(*index));
        route.ok_or(NoRoute::NotFound)
    }

    /// Finds the workspace that a key belongs to. `None` if the key is unknown or missing but not
    /// required, because the route is public or the document defines no workspaces.
    ///
    /// # Errors
    /// When a key is required, and it is missing or belongs to no workspace.
    pub fn find_workspace(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&KeyedWorkspace>, NoRoute> {
        let index = key.and_then(|key| self.keys.get(key));
        let workspace = index.and_then(|index| self.routing.workspaces.get(*index));
        let is_key_optional = route.is_public || self.routing.workspaces.is_empty();
        match workspace {
            None if !is_key_optional => Err(NoRoute::UnknownKey),
            found => Ok(found),
        }
    }
}
