//! Routing documents: the highest version stays in force, even when lower ones are proposed later.

#![allow(clippy::unwrap_used)]

use mgw_routing::{PackedRouting, RoutingDocument};
use mgw_state::{Action, Command, Reply, State};
use mgw_world::{RoutingVersion, UnixMillis};

fn document(version: u64, text: &str) -> RoutingDocument {
    RoutingDocument {
        version: RoutingVersion(version),
        source: text.as_bytes().into(),
    }
}

fn replace(state: &mut State, index: u64, document: &RoutingDocument) -> Reply {
    let command = Command {
        at_unix_ms: UnixMillis(index),
        action: Action::ReplacePackedRouting(pack(document)),
    };
    state.apply(index, command)
}

fn pack(document: &RoutingDocument) -> PackedRouting {
    PackedRouting::pack(document).unwrap()
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
        let reply = replace(&mut state, index, &document(version, text));
        let version = RoutingVersion(current);
        assert_eq!(reply, Reply::Routing { version });
        assert_eq!(state.routing(), &pack(&document(current, current_text)));
    }
    let audit: Vec<bool> = state.audit().iter().map(|record| record.accepted).collect();
    assert_eq!(audit, [true, true, false, false, true]);
}

#[test]
fn the_document_is_restored_from_a_snapshot() {
    let mut state = State::default();
    replace(&mut state, 1, &document(4, "four"));
    let restored = State::restore(&state.snapshot()).unwrap();
    assert_eq!(restored.routing(), &pack(&document(4, "four")));
}

/// Earlier builds logged the plain document.
#[test]
fn a_plain_document_from_the_log_of_an_earlier_build_is_taken() {
    let mut state = State::default();
    let command = Command {
        at_unix_ms: UnixMillis(1),
        action: Action::ReplaceRouting(document(4, "four")),
    };
    let version = RoutingVersion(4);
    assert_eq!(state.apply(1, command), Reply::Routing { version });
    assert_eq!(state.routing(), &pack(&document(4, "four")));
}

/// Snapshots of formats 2 and 3 have neither a quarantine nor leaving targets at their end; those of format 2 hold the plain bytes
/// of the document where those of format 3 hold the compressed ones.
#[test]
fn a_snapshot_of_an_earlier_build_is_restored() {
    let mut state = State::default();
    replace(&mut state, 1, &document(4, "four"));
    let mut snapshot = state.snapshot();
    let later = mgw_state::encode(&(state.quarantine(), state.leaving()));
    assert!(
        snapshot.ends_with(&later),
        "the quarantine and the leaving targets are stored last"
    );
    snapshot.truncate(snapshot.len() - later.len());
    snapshot[0] = 3;
    assert_eq!(State::restore(&snapshot).unwrap(), state);
    let packed = mgw_state::encode(state.routing());
    let plain = mgw_state::encode(&document(4, "four"));
    assert!(
        snapshot.ends_with(&packed),
        "the document is stored before it"
    );
    snapshot.truncate(snapshot.len() - packed.len());
    snapshot.extend(plain);
    snapshot[0] = 2;
    assert_eq!(State::restore(&snapshot).unwrap(), state);
}
