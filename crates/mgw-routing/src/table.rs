//! Finds the route of a request and the workspace of a key.

use std::collections::HashMap;

use mgw_world::{RoutingVersion, ServiceName};

use crate::{CallerLimits, KeyedWorkspace, Route, RoutedService, Routing};

/// Why a request takes no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum NoRoute {
    /// no route begins this path of this host
    NotFound,
    /// no workspace has this key
    UnknownKey,
}

/// Routes and keys of one version, indexed.
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
/// };
/// let table = RouteTable::new(Routing { routes: vec![route], ..Routing::default() });
/// assert_eq!(table.find("drills.example:80", "/v1/plan").unwrap().name, "drills");
/// assert_eq!(table.find("drills.example", "/v2/plan").unwrap_err(), NoRoute::NotFound);
/// ```
#[derive(Debug, Default)]
pub struct RouteTable {
    routing: Routing,
    hosts: HashMap<String, HashMap<String, usize>>,
    keys: HashMap<String, usize>,
}

impl RouteTable {
    /// Indexes a document without faults; of routes at the same place the last one stands.
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

    /// Limits of callers.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.routing.limits
    }

    /// Services, as the document lists them.
    #[must_use]
    pub fn services(&self) -> &[RoutedService] {
        &self.routing.services
    }

    /// The service of a name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&RoutedService> {
        self.routing.service(name)
    }

    /// The route with the longest prefix of a path, whatever the port in the host.
    ///
    /// # Errors
    /// When no route of the host begins the path.
    pub fn find(&self, host: &str, path: &str) -> Result<&Route, NoRoute> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase());
        let routes = routes.ok_or(NoRoute::NotFound)?;
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        let mut prefixes = ends.filter_map(|end| path.get(..end));
        let index = prefixes.find_map(|prefix| routes.get(prefix));
        let route = index.and_then(|index| self.routing.routes.get(*index));
        route.ok_or(NoRoute::NotFound)
    }

    /// The workspace of a key; none when the route or the document asks for no key.
    ///
    /// # Errors
    /// When a key is asked for and no workspace has it.
    pub fn find_workspace(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&KeyedWorkspace>, NoRoute> {
        let held = key.and_then(|key| self.keys.get(key));
        let workspace = held.and_then(|index| self.routing.workspaces.get(*index));
        let is_free = route.is_public || self.routing.workspaces.is_empty();
        match workspace {
            None if !is_free => Err(NoRoute::UnknownKey),
            found => Ok(found),
        }
    }
}
