//! Watches: changes of a control's targets reach the nodes that watch it at once.

use mgw_contract::target::{Announcement, LoadReport, Readiness};
use mgw_member::{
    AnnounceOutcome, MemberSettings, NodeInfo, NodePhase, NodeRole, View, VouchState,
};
use mgw_world::{Incarnation, Limits, Millis, Revision, Target, TargetKind, TargetName};

fn view(name: &str, role: NodeRole, port: u16, incarnation: u64) -> View {
    let own_info = NodeInfo {
        name: name.into(),
        role,
        place: "home".into(),
        incarnation: Incarnation(incarnation),
        peer_address: ([127, 0, 0, 1], port).into(),
        url: String::new(),
        weight: 1,
        phase: NodePhase::Serving,
        revision: Revision(0),
    };
    View::new(MemberSettings::default(), own_info, &[], 7, Millis(0))
}

fn announce(view: &mut View, name: &str, sequence: u64, now: u64) -> AnnounceOutcome {
    let target = Target {
        name: name.into(),
        incarnation: Incarnation(5),
        vm: "".into(),
        place: "home".into(),
        address: ([127, 0, 0, 1], 8_000).into(),
        duty: TargetKind::Plain {
            service: "records".into(),
        },
        limits: Limits {
            max_requests: 6,
            kv_bytes: 0,
            tokens_per_s: 0,
        },
    };
    let announcement = Announcement {
        target,
        sequence,
        readiness: Readiness::Ready,
        load: LoadReport::default(),
        cache_events: Vec::new(),
    };
    view.announce(&announcement, Millis(now))
}

fn run_watch(entry: &mut View, control: &mut View, now: u64) {
    let address = control.own_info().peer_address;
    let request = entry.watch_request(address);
    let reply = control.handle_watch(&request, Millis(now));
    entry.handle_watch_reply(address, &reply, Millis(now), Millis(now));
}

fn state_of(view: &View, name: &str, now: u64) -> Option<VouchState> {
    let targets = view.targets(Millis(now));
    let found = targets
        .iter()
        .find(|status| status.target.name.as_str() == name);
    found.map(|status| status.state)
}

#[test]
fn first_watch_reply_carries_all_targets_and_the_next_only_changes() {
    let mut control = view("control", NodeRole::Control, 1, 1);
    let mut entry = view("entry", NodeRole::Entry, 2, 1);
    announce(&mut control, "a", 1, 10);
    announce(&mut control, "b", 1, 10);
    run_watch(&mut entry, &mut control, 20);
    assert_eq!(entry.targets(Millis(20)).len(), 2);
    let request = entry.watch_request(control.own_info().peer_address);
    assert!(!control.has_changes_for(&request));
    announce(&mut control, "a", 2, 30);
    assert!(
        !control.has_changes_for(&request),
        "an announcement that changes nothing is not reported"
    );
    let _ = control.mark_leaving(&"a".into(), Millis(40));
    assert!(control.has_changes_for(&request));
    let reply = control.handle_watch(&request, Millis(40));
    assert_eq!(reply.deltas[0].changes.len(), 1);
}

#[test]
fn watch_of_a_restarted_control_replaces_its_earlier_targets() {
    let mut control = view("control", NodeRole::Control, 1, 1);
    let mut entry = view("entry", NodeRole::Entry, 2, 1);
    announce(&mut control, "a", 1, 10);
    run_watch(&mut entry, &mut control, 20);
    let mut restarted = view("control", NodeRole::Control, 1, 2);
    announce(&mut restarted, "b", 1, 30);
    run_watch(&mut entry, &mut restarted, 40);
    assert_eq!(state_of(&entry, "a", 40), None);
    assert!(state_of(&entry, "b", 40).is_some());
}

#[test]
fn delayed_announcement_does_not_make_a_leaving_target_ready_again() {
    let mut control = view("control", NodeRole::Control, 1, 1);
    announce(&mut control, "a", 1, 10);
    assert_eq!(
        control.mark_leaving(&TargetName::from("a"), Millis(20)),
        Some(Incarnation(5))
    );
    let late = announce(&mut control, "a", 2, 30);
    assert!(matches!(late, AnnounceOutcome::Outdated { .. }));
    let state = state_of(&control, "a", 30);
    assert_eq!(state, Some(VouchState::Announced(Readiness::Leaving)));
}

#[test]
fn leave_reported_at_another_control_reaches_nodes_that_watch_both() {
    let mut home = view("home", NodeRole::Control, 1, 1);
    let mut other = view("other", NodeRole::Control, 2, 1);
    let mut entry = view("entry", NodeRole::Entry, 3, 1);
    announce(&mut home, "a", 1, 10);
    run_watch(&mut other, &mut home, 20);
    run_watch(&mut entry, &mut home, 20);
    assert!(other.mark_leaving(&"a".into(), Millis(30)).is_some());
    run_watch(&mut entry, &mut other, 40);
    let state = state_of(&entry, "a", 40);
    assert_eq!(state, Some(VouchState::Announced(Readiness::Leaving)));
}

#[test]
fn an_unknown_target_cannot_be_marked_leaving() {
    let mut control = view("control", NodeRole::Control, 1, 1);
    assert_eq!(
        control.mark_leaving(&TargetName::from("a"), Millis(20)),
        None
    );
}

/// Review case 3: the control that heard the leave restarts, and an older announcement arrives there.
#[test]
fn vouch_by_an_older_announcement_is_marked_as_superseded() {
    let mut control = view("control", NodeRole::Control, 1, 1);
    let mut entry = view("entry", NodeRole::Entry, 2, 1);
    announce(&mut control, "a", 3, 10);
    let _ = control.mark_leaving(&"a".into(), Millis(20));
    run_watch(&mut entry, &mut control, 30);
    let mut restarted = view("control", NodeRole::Control, 1, 2);
    announce(&mut restarted, "a", 2, 40);
    run_watch(&mut entry, &mut restarted, 50);
    let statuses = entry.targets(Millis(50));
    let status = &statuses[0];
    assert_eq!(status.state, VouchState::Announced(Readiness::Ready));
    assert!(status.is_superseded);
}

/// Review case 3: a restarted control learns from the log what it has forgotten, before or after the late
/// announcement arrives.
#[test]
fn target_that_is_leaving_by_the_record_is_not_vouched_for_as_ready() {
    let leaving = [(TargetName::from("a"), Incarnation(5))];
    for is_known_before in [true, false] {
        let mut control = view("control", NodeRole::Control, 1, 2);
        if is_known_before {
            control.set_leaving(leaving.clone().into(), Millis(10));
            let late = announce(&mut control, "a", u64::MAX, 20);
            assert!(matches!(late, AnnounceOutcome::Outdated { .. }));
        } else {
            announce(&mut control, "a", 2, 20);
            control.set_leaving(leaving.clone().into(), Millis(30));
        }
        let state = state_of(&control, "a", 40);
        let is_ready = state == Some(VouchState::Announced(Readiness::Ready));
        assert!(!is_ready, "known before: {is_known_before}");
    }
}

/// A target that starts again under its name is usable at once.
#[test]
fn new_incarnation_of_a_target_that_left_is_vouched_for() {
    let mut control = view("control", NodeRole::Control, 1, 2);
    control.set_leaving([("a".into(), Incarnation(4))].into(), Millis(10));
    announce(&mut control, "a", 1, 20);
    control.set_leaving(
        [("a".into(), Incarnation(4)), ("b".into(), Incarnation(9))].into(),
        Millis(30),
    );
    let state = state_of(&control, "a", 40);
    assert_eq!(state, Some(VouchState::Announced(Readiness::Ready)));
}
