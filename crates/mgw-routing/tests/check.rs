//! Faults that `check_routing` reports for routing documents.

use mgw_routing::{
    CallKind, KeyedWorkspace, Route, RoutedService, Routing, RoutingFinding, Split, check_routing,
};
use mgw_world::Millis;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "drills.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: CallKind::Idempotent,
        timeout_ms: Millis(800),
        priority: 1,
        splits: vec![Split {
            service: "pool".into(),
            weight: 1,
        }],
        max_targets: 2,
        is_public: false,
        is_resumable: false,
        max_event_pause_ms: Millis(0),
        target_latency_ms: Millis(500),
    }
}

fn document(routes: Vec<Route>) -> Routing {
    Routing {
        routes,
        services: vec![RoutedService {
            name: "pool".into(),
            max_connections: 10,
            model: None,
        }],
        ..Routing::default()
    }
}

fn workspace(name: &str, keys: &[&str]) -> KeyedWorkspace {
    KeyedWorkspace {
        name: name.into(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
    }
}

#[test]
fn a_valid_document_has_no_finding() {
    let mut routing = document(vec![route("a", "/a/"), route("b", "/a/b/")]);
    routing.workspaces = vec![workspace("x", &["k1", "k2"]), workspace("y", &["k3"])];
    assert_eq!(check_routing(&routing), Vec::new());
}

#[test]
fn each_fault_is_reported_with_its_location() {
    let mut routing = document(vec![
        route("a", "/a/"),
        Route {
            splits: vec![Split {
                service: "pools".into(),
                weight: 1,
            }],
            ..route("b", "/b/")
        },
        route("c", "/a/"),
        Route {
            splits: vec![Split {
                service: "pool".into(),
                weight: 0,
            }],
            ..route("d", "/d/")
        },
        Route {
            timeout_ms: Millis(0),
            ..route("e", "/e/")
        },
        route("f", "f"),
    ]);
    routing.workspaces = vec![workspace("x", &["k1"]), workspace("y", &["k1"])];
    let lines: Vec<String> = check_routing(&routing)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        lines,
        [
            "routes[1] (b): no service is named \"pools\"",
            "routes[2] (c): routes[0] has the same host and path prefix",
            "routes[3] (d): the weights add up to 0",
            "routes[4] (e): the timeout is 0",
            "routes[5] (f): the path prefix \"f\" doesn't begin and end with a slash",
            "workspaces x and y share a key",
        ]
    );
}

#[test]
fn a_key_listed_twice_by_one_workspace_is_no_fault() {
    let mut routing = document(vec![route("a", "/a/")]);
    routing.workspaces = vec![workspace("x", &["k1", "k1"])];
    assert_eq!(check_routing(&routing), Vec::<RoutingFinding>::new());
}
