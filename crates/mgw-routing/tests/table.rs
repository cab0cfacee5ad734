//! Lookup of routes by host and path, and of workspaces by key.

use mgw_routing::{CallKind, KeyedWorkspace, NoRoute, Route, RouteTable, Routing, Split};
use mgw_world::Millis;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: CallKind::Stream,
        timeout_ms: Millis(20_000),
        priority: 1,
        splits: vec![Split {
            service: "pool".into(),
            weight: 1,
        }],
        max_targets: 2,
        is_public: name == "public",
        is_resumable: true,
        max_event_pause_ms: Millis(200),
        target_latency_ms: Millis(500),
    }
}

fn table() -> RouteTable {
    RouteTable::new(Routing {
        routes: vec![
            route("short", "drills.example", "/a/"),
            route("long", "drills.example", "/a/b/"),
            route("root", "marks.example", "/"),
            route("public", "open.example", "/"),
        ],
        workspaces: vec![KeyedWorkspace {
            name: "marshals".into(),
            keys: vec!["k1".to_owned(), "k2".to_owned()],
            priority: Some(0),
        }],
        ..Routing::default()
    })
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let cases = [
        ("drills.example", "/a/x", Some("short")),
        ("drills.example", "/a/b/x/y", Some("long")),
        ("DRILLS.example:8080", "/a/b/", Some("long")),
        ("drills.example", "/a/bx", Some("short")),
        ("drills.example", "/a", None),
        ("marks.example", "/anything", Some("root")),
        ("other.example", "/a/", None),
    ];
    let table = table();
    for (host, path, expected) in cases {
        let found = table.find(host, path).ok().map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn a_route_that_is_not_public_needs_a_known_key() {
    let table = table();
    let cases = [
        ("drills.example", Some("k2"), Ok(Some("marshals"))),
        ("drills.example", Some("k3"), Err(NoRoute::UnknownKey)),
        ("drills.example", None, Err(NoRoute::UnknownKey)),
        ("open.example", None, Ok(None)),
        ("open.example", Some("k9"), Ok(None)),
    ];
    for (host, key, expected) in cases {
        let route = table.find(host, "/a/").unwrap();
        let found = table.find_workspace(route, key);
        let found = found.map(|it| it.map(|workspace| workspace.name.as_str()));
        assert_eq!(found, expected, "{host} {key:?}");
    }
}
