//! Routing documents: the highest version stays in force, even when lower ones are proposed later.

use mgw_routing::RoutingDocument;
use mgw_state::{Action, Command, Reply, State};
use mgw_world::{RoutingVersion, UnixMillis};

fn document(version: u64, text: &str) -> RoutingDocument {
    RoutingDocument {
        version: RoutingVersion(version),
        source: text.as_bytes().into(),
    }
}

fn replace(state: &mut State, index: u64, document: RoutingDocument) -> Reply {
    let command = Command {
        at_unix_ms: UnixMillis(index),
        action: Action::ReplaceRouting(document),
    };
    state.apply(index, command)
}

#[test]
fn only_a_higher_version_replaces_the_document() {
    let mut state = State::default();
    let cases = [
        (3, "three", 3, "three"),
        (7, "seven", 7, "seven"),
        (5, "five", 7, "seven"),
        (7, "other seven", 7, "seven"),
        (8, "eight", 8, "eight"),
    ];
    for (index, (version, text, current, current_text)) in (1..).zip(cases) {
        let reply = replace(&mut state, index, document(version, text));
        let version = RoutingVersion(current);
        assert_eq!(reply, Reply::Routing { version });
        assert_eq!(state.routing(), &document(current, current_text));
    }
    let audit: Vec<bool> = state.audit().iter().map(|record| record.accepted).collect();
    assert_eq!(audit, [true, true, false, false, true]);
}

#[test]
fn the_document_is_restored_from_a_snapshot() {
    let mut state = State::default();
    replace(&mut state, 1, document(4, "four"));
    let restored = State::restore(&state.snapshot()).unwrap();
    assert_eq!(restored.routing(), &document(4, "four"));
}
