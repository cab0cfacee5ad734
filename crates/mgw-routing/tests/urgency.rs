//! Whether the requests of a service differ in urgency, by routes and workspaces.

use mgw_routing::{CallKind, KeyedWorkspace, Route, Routing, Split};
use mgw_world::Millis;

fn route(service: &str, weight: u32, priority: u8, is_public: bool) -> Route {
    Route {
        name: service.into(),
        host: "drills.example".into(),
        path_prefix: "/v1/".into(),
        kind: CallKind::Stream,
        timeout_ms: Millis(20_000),
        priority,
        splits: vec![Split {
            service: service.into(),
            weight,
        }],
        max_targets: 2,
        is_public,
        is_resumable: true,
        max_event_pause_ms: Millis(200),
        target_latency_ms: Millis(500),
    }
}

fn workspace(priority: Option<u8>) -> KeyedWorkspace {
    KeyedWorkspace {
        name: "caroni".into(),
        keys: vec!["key".into()],
        priority,
    }
}

#[test]
fn urgencies_of_routes_and_workspaces_are_compared() {
    let two = vec![route("lm", 1, 0, false), route("lm", 1, 2, false)];
    let same = vec![route("lm", 1, 1, false), route("lm", 1, 1, false)];
    let elsewhere = vec![route("lm", 1, 1, false), route("app", 1, 2, false)];
    let unused = vec![route("lm", 1, 1, false), route("lm", 0, 2, false)];
    let public = vec![route("lm", 1, 1, true)];
    let none = vec![route("app", 1, 1, false)];
    let cases = [
        ("two routes", &two, vec![], true),
        ("workspaces that keep the route's", &two, vec![None], true),
        ("one priority of all workspaces", &two, vec![Some(1)], false),
        (
            "workspaces that differ",
            &same,
            vec![Some(1), Some(2)],
            true,
        ),
        ("one workspace differs", &same, vec![None, Some(2)], true),
        ("nothing differs", &same, vec![None, Some(1)], false),
        ("another service", &elsewhere, vec![], false),
        ("a split without weight", &unused, vec![], false),
        ("callers without key", &public, vec![Some(2)], true),
        ("no route", &none, vec![Some(1), Some(2)], false),
    ];
    for (name, routes, priorities, differs) in cases {
        let routing = Routing {
            routes: routes.clone(),
            workspaces: priorities.into_iter().map(workspace).collect(),
            ..Routing::default()
        };
        assert_eq!(routing.differs_in_urgency(&"lm".into()), differs, "{name}");
    }
}
