//! Finds all faults of a routing document at once.

use std::collections::{BTreeMap, BTreeSet};

use mgw_world::Millis;

use crate::{KeyedWorkspace, Route, Routing};

/// A fault of a routing document with its place.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum RoutingFinding {
    /// routes[{index}] ({route}): no service is named "{service}"
    UnknownService {
        /// Place in the list of routes.
        index: usize,
        /// Name of the route.
        route: String,
        /// What it leads to.
        service: String,
    },
    /// routes[{index}] ({route}): routes[{first}] has the same host and path prefix
    SamePlace {
        /// Place in the list of routes.
        index: usize,
        /// Name of the route.
        route: String,
        /// Place of the other route.
        first: usize,
    },
    /// routes[{index}] ({route}): the weights add up to 0
    NoWeight {
        /// Place in the list of routes.
        index: usize,
        /// Name of the route.
        route: String,
    },
    /// routes[{index}] ({route}): the timeout is 0
    NoTimeout {
        /// Place in the list of routes.
        index: usize,
        /// Name of the route.
        route: String,
    },
    /// routes[{index}] ({route}): the path prefix "{prefix}" doesn't begin and end with a slash
    BadPrefix {
        /// Place in the list of routes.
        index: usize,
        /// Name of the route.
        route: String,
        /// The prefix.
        prefix: String,
    },
    /// workspaces {first} and {second} share a key
    SharedKey {
        /// One workspace.
        first: String,
        /// The other one.
        second: String,
    },
}

/// All faults of a document, in the order of their places.
#[must_use]
pub fn check_routing(routing: &Routing) -> Vec<RoutingFinding> {
    let services: BTreeSet<&str> = routing
        .services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    let mut places = BTreeMap::new();
    let mut findings = Vec::new();
    for (index, route) in routing.routes.iter().enumerate() {
        check_route(index, route, &services, &mut findings);
        let place = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(first) = places.insert(place, index) {
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
    let weights: u64 = route.splits.iter().map(|it| u64::from(it.weight)).sum();
    if weights == 0 {
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
    let mut holders: BTreeMap<&str, &KeyedWorkspace> = BTreeMap::new();
    for workspace in workspaces {
        for key in &workspace.keys {
            let other = holders.insert(key, workspace);
            if let Some(other) = other.filter(|other| other.name != workspace.name) {
                findings.push(RoutingFinding::SharedKey {
                    first: other.name.to_string(),
                    second: workspace.name.to_string(),
                });
            }
        }
    }
}
