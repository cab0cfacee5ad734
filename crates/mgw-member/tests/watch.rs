//! Watches: news of a control's targets reach whoever asked for them at once.

use mgw_contract::target::{Announcement, LoadReport, Readiness};
use mgw_member::{
    AnnounceOutcome, MemberSettings, NodeInfo, NodePhase, NodeRole, View, VouchState,
};
use mgw_world::{Incarnation, Limits, Millis, Revision, Target, TargetKind, TargetName};

fn view(name: &str, role: NodeRole, port: u16, incarnation: u64) -> View {
    let me = NodeInfo {
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
    View::new(MemberSettings::default(), me, &[], 7, Millis(0))
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

fn watch(entry: &mut View, control: &mut View, now: u64) {
    let address = control.me().peer_address;
    let question = entry.open_watch(address);
    let answer = control.answer_watch(&question, Millis(now));
    entry.take_watch(address, &answer, Millis(now), Millis(now));
}

fn state_of(view: &View, name: &str, now: u64) -> Option<VouchState> {
    let targets = view.targets(Millis(now));
    let found = targets.iter().find(|it| it.target.name.as_str() == name);
    found.map(|it| it.state)
}

#[test]
fn one_answer_brings_all_targets_and_the_next_only_what_changed() {
    let mut control = view("control", NodeRole::Control, 1, 1);
    let mut entry = view("entry", NodeRole::Entry, 2, 1);
    announce(&mut control, "a", 1, 10);
    announce(&mut control, "b", 1, 10);
    watch(&mut entry, &mut control, 20);
    assert_eq!(entry.targets(Millis(20)).len(), 2);
    let question = entry.open_watch(control.me().peer_address);
    assert!(!control.has_news(&question));
    announce(&mut control, "a", 2, 30);
    assert!(
        !control.has_news(&question),
        "an announcement that changes nothing is no news"
    );
    control.leave(&"a".into(), Millis(40));
    assert!(control.has_news(&question));
    let answer = control.answer_watch(&question, Millis(40));
    assert_eq!(answer.deltas[0].changes.len(), 1);
}

#[test]
fn a_control_that_restarted_is_heard_from_its_start_on() {
    let mut control = view("control", NodeRole::Control, 1, 1);
    let mut entry = view("entry", NodeRole::Entry, 2, 1);
    announce(&mut control, "a", 1, 10);
    watch(&mut entry, &mut control, 20);
    let mut restarted = view("control", NodeRole::Control, 1, 2);
    announce(&mut restarted, "b", 1, 30);
    watch(&mut entry, &mut restarted, 40);
    assert_eq!(state_of(&entry, "a", 40), None);
    assert!(state_of(&entry, "b", 40).is_some());
}

#[test]
fn a_target_that_left_isnt_brought_back_by_an_announcement_that_was_under_way() {
    let mut control = view("control", NodeRole::Control, 1, 1);
    announce(&mut control, "a", 1, 10);
    assert!(control.leave(&TargetName::from("a"), Millis(20)));
    let late = announce(&mut control, "a", 2, 30);
    assert!(matches!(late, AnnounceOutcome::Outdated { .. }));
    let state = state_of(&control, "a", 30);
    assert_eq!(state, Some(VouchState::Announced(Readiness::Leaving)));
}

#[test]
fn the_word_of_a_leave_at_another_control_counts_at_all_that_watch_both() {
    let mut home = view("home", NodeRole::Control, 1, 1);
    let mut other = view("other", NodeRole::Control, 2, 1);
    let mut entry = view("entry", NodeRole::Entry, 3, 1);
    announce(&mut home, "a", 1, 10);
    watch(&mut other, &mut home, 20);
    watch(&mut entry, &mut home, 20);
    assert!(other.leave(&"a".into(), Millis(30)));
    watch(&mut entry, &mut other, 40);
    let state = state_of(&entry, "a", 40);
    assert_eq!(state, Some(VouchState::Announced(Readiness::Leaving)));
}

#[test]
fn an_unknown_target_cant_leave() {
    let mut control = view("control", NodeRole::Control, 1, 1);
    assert!(!control.leave(&TargetName::from("a"), Millis(20)));
}
