//! Checks a routing document and reports all of its faults at once.

use std::collections::{BTreeMap, BTreeSet};

use mgw_world::Millis;

use crate::{KeyedWorkspace, Route, Routing};

/// A fault of a routing document and its position.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum RoutingFinding {
    /// routes[{index}] ({route}): no service is named "{service}"
    UnknownService {
        /// Index of the route in the document.
        index: usize,
        /// Name of the route.
        route: String,
        /// Name of the service, which the document doesn't define.
        service: String,
    },
    /// routes[{index}] ({route}): routes[{first}] has the same host and path prefix
    SamePlace {
        /// Index of the route in the document.
        index: usize,
        /// Name of the route.
        route: String,
        /// Index of the earlier route.
        first: usize,
    },
    /// routes[{index}] ({route}): the weights add up to 0
    NoWeight {
        /// Index of the route in the document.
        index: usize,
        /// Name of the route.
        route: String,
    },
    /// routes[{index}] ({route}): the timeout is 0
    NoTimeout {
        /// Index of the route in the document.
        index: usize,
        /// Name of the route.
        route: String,
    },
    /// routes[{index}] ({route}): the path prefix "{prefix}" doesn't begin and end with a slash
    BadPrefix {
        /// Index of the route in the document.
        index: usize,
        /// Name of the route.
        route: String,
        /// The path prefix as the document states it.
        prefix: String,
    },
    /// workspaces {first} and {second} share a key
    SharedKey {
        /// Name of the workspace that lists the key first.
        first: String,
        /// Name of the other workspace that lists it.
        second: String,
    },
}

/// Returns all faults of a document: those of the routes in the order of the document, then keys that
/// several workspaces share.
#[must_use]
pub fn check_routing(routing: &Routing) -> Vec<RoutingFinding> {
    let services: BTreeSet<&str> = routing
        .services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    let mut route_indexes = BTreeMap::new();
    let mut findings = Vec::new();
    for (index, route) in routing.routes.iter().enumerate() {
        check_route(index, route, &services, &mut findings);
        let host_and_prefix = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(first) = route_indexes.insert(host_and_prefix, index) {
            findings.push(RoutingFinding::SamePlace {
                index,
                route: route.name.clone(),
                first,
            });
        }
    }
    check_keys(&routing.workspaces, &mut findings);
    findings
}

fn check_route(
    index: usize,
    route: &Route,
    services: &BTreeSet<&str>,
    findings: &mut Vec<RoutingFinding>,
) {
    let name = || route.name.clone();
    for split in &route.splits {
        if !services.contains(split.service.as_str()) {
            findings.push(RoutingFinding::UnknownService {
                index,
                route: name(),
                service: split.service.to_string(),
            });
        }
    }
    let total_weight: u64 = route.splits.iter().map(|it| u64::from(it.weight)).sum();
    if total_weight == 0 {
        findings.push(RoutingFinding::NoWeight {
            index,
            route: name(),
        });
    }
    if route.timeout_ms == Millis::ZERO {
        findings.push(RoutingFinding::NoTimeout {
            index,
            route: name(),
        });
    }
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        findings.push(RoutingFinding::BadPrefix {
            index,
            route: name(),
            prefix: prefix.clone(),
        });
    }
}

fn check_keys(workspaces: &[KeyedWorkspace], findings: &mut Vec<RoutingFinding>) {
    let mut owners: BTreeMap<&str, &KeyedWorkspace> = BTreeMap::new();
    for workspace in workspaces {
        for key in &workspace.keys {
            let other = owners.insert(key, workspace);
            if let Some(other) = other.filter(|other| other.name != workspace.name) {
                findings.push(RoutingFinding::SharedKey {
                    first: other.name.to_string(),
                    second: workspace.name.to_string(),
                });
            }
        }
    }
}
