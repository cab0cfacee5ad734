//! Decisions without I/O: how often a request is sent, what is done about a pause, which targets
//! may get new work, which one a call goes to, how long requests wait, and when callers are sent to other entries.

#![allow(clippy::unwrap_used)]

use mgw_contract::target::{Announcement, LoadReport, Readiness};
use mgw_member::{MemberSettings, NodeInfo, NodePhase, NodeRole, View};
use mgw_relay::{
    LinkChange, LinkCheck, LinkHealth, NoTarget, OtherEntriesRequests, PauseAction, PauseLimits,
    PlainBalancer, RequestSends, SendOutcome, UsableTargets, WaitLimits,
};
use mgw_route::{EntryRateLimits, RequestRate, TargetRun};
use mgw_world::{
    Incarnation, Limits, Millis, Revision, ServiceName, Target, TargetKind, TargetName,
};

#[test]
fn sending_stops_if_a_non_repeatable_request_may_have_run_or_enough_targets_were_tried() {
    use SendOutcome::{NotRun, NotSent, TargetLost, Unknown};
    let cases: [(u32, bool, &[SendOutcome], bool); 13] = [
        (1, false, &[], true),
        (1, false, &[NotSent], true),
        (1, false, &[NotSent, NotSent, NotSent], false),
        (1, false, &[NotRun], false),
        (2, false, &[NotRun], true),
        (2, false, &[Unknown], false),
        (2, false, &[TargetLost], false),
        (2, true, &[Unknown], true),
        (2, true, &[Unknown, Unknown], false),
        (2, true, &[TargetLost], true),
        (2, true, &[TargetLost, Unknown], false),
        (2, true, &[NotRun, Unknown], true),
        (2, true, &[NotRun, NotRun, NotRun], false),
    ];
    for (max_targets, may_repeat, outcomes, expected) in cases {
        let mut sends = RequestSends::new(max_targets, may_repeat);
        outcomes.iter().for_each(|outcome| sends.record(*outcome));
        assert_eq!(
            sends.may_send(),
            expected,
            "{max_targets} {may_repeat} {outcomes:?}"
        );
    }
}

#[test]
fn a_request_may_have_run_only_after_a_lost_target_or_an_unknown_outcome() {
    let cases = [
        (SendOutcome::NotSent, false),
        (SendOutcome::NotRun, false),
        (SendOutcome::TargetLost, true),
        (SendOutcome::Unknown, true),
    ];
    for (outcome, may_have_run) in cases {
        let mut sends = RequestSends::new(2, true);
        sends.record(outcome);
        assert_eq!(sends.may_have_run(), may_have_run, "{outcome}");
    }
}

#[test]
fn a_pause_is_checked_repeatedly_until_it_is_too_long() {
    let limits = PauseLimits::default();
    let mut pause = Millis::ZERO;
    let mut actions = Vec::new();
    while actions.last() != Some(&PauseAction::Move) {
        pause += limits.time_to_next_check(pause, true);
        actions.push(limits.action_for(pause, true));
    }
    let probes = actions.iter().filter(|it| **it == PauseAction::Probe);
    assert!(probes.count() >= 3);
    assert!(
        pause < Millis(2_000),
        "callers disconnect after two seconds"
    );
}

fn view(name: &str) -> View {
    let own_info = NodeInfo {
        name: name.into(),
        role: NodeRole::Control,
        place: "home".into(),
        incarnation: Incarnation(1),
        peer_address: ([127, 0, 0, 1], 7_000).into(),
        url: String::new(),
        weight: 0,
        phase: NodePhase::Serving,
        revision: Revision(0),
    };
    View::new(MemberSettings::default(), own_info, &[], 7, Millis(0))
}

fn announce(view: &mut View, name: &str, incarnation: u64, readiness: Readiness, now: u64) {
    let target = Target {
        name: name.into(),
        incarnation: Incarnation(incarnation),
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
        sequence: now,
        readiness,
        load: LoadReport::default(),
        cache_events: Vec::new(),
    };
    view.announce(&announcement, Millis(now));
}

fn names(usable: &UsableTargets) -> Vec<String> {
    usable
        .iter()
        .map(|target| target.name.to_string())
        .collect()
}

#[test]
fn targets_stay_usable_for_a_while_after_their_control_restarts() {
    let mut view_before = view("control");
    announce(&mut view_before, "a", 1, Readiness::Ready, 10);
    let mut usable = UsableTargets::default();
    usable.update(&view_before.targets(Millis(10)), |_| true, Millis(10));
    let restarted = view("control");
    usable.update(&restarted.targets(Millis(20)), |_| true, Millis(2_000));
    assert_eq!(names(&usable), ["a"]);
    usable.update(&restarted.targets(Millis(20)), |_| true, Millis(6_000));
    assert!(names(&usable).is_empty());
}

#[test]
fn a_leaving_target_is_unusable_at_once() {
    let mut view = view("control");
    announce(&mut view, "a", 1, Readiness::Ready, 10);
    let mut usable = UsableTargets::default();
    usable.update(&view.targets(Millis(10)), |_| true, Millis(10));
    announce(&mut view, "a", 1, Readiness::Leaving, 20);
    usable.update(&view.targets(Millis(20)), |_| true, Millis(20));
    assert!(names(&usable).is_empty());
}

#[test]
fn of_two_targets_at_one_address_the_newer_incarnation_is_used() {
    let mut view = view("control");
    announce(&mut view, "new", 2, Readiness::Ready, 10);
    announce(&mut view, "old", 1, Readiness::Ready, 20);
    let mut usable = UsableTargets::default();
    usable.update(&view.targets(Millis(20)), |_| true, Millis(20));
    assert_eq!(names(&usable), ["new"]);
}

/// One odd entry with the address of a sound target kept all requests from that one.
#[test]
fn target_of_an_unknown_service_takes_no_address_from_others() {
    let mut view = view("control");
    announce(&mut view, "sound", 1, Readiness::Ready, 10);
    announce(&mut view, "odd", 2, Readiness::Ready, 20);
    let mut statuses = view.targets(Millis(20));
    let mut odd = statuses[0].target.clone();
    odd.duty = TargetKind::Plain {
        service: "nobody knows it".into(),
    };
    statuses[0].target = &odd;
    let mut usable = UsableTargets::default();
    let knows_service = |name: &ServiceName| name.as_str() == "records";
    usable.update(&statuses, knows_service, Millis(20));
    assert_eq!(names(&usable), ["sound"]);
}

/// Load pattern: all processes restart, and callers that were disconnected retry at once.
#[test]
fn only_a_process_that_has_just_started_lets_requests_wait_for_routes() {
    let wait_limits = WaitLimits::default();
    assert_eq!(
        wait_limits.startup_wait_ms(Millis(20_000), Millis(200)),
        Millis(1_400)
    );
    assert_eq!(
        wait_limits.startup_wait_ms(Millis(1_500), Millis(200)),
        Millis(300)
    );
    assert_eq!(
        wait_limits.startup_wait_ms(Millis(20_000), Millis(60_000)),
        Millis(0)
    );
}

/// Load pattern: a burst fills the targets, and capacity becomes free many times a second.
#[test]
fn a_request_waits_for_capacity_for_a_small_part_of_its_time() {
    let wait_limits = WaitLimits::default();
    assert_eq!(wait_limits.capacity_wait_ms(Millis(20_000)), Millis(800));
    assert_eq!(wait_limits.capacity_wait_ms(Millis(4_000)), Millis(200));
    assert_eq!(wait_limits.capacity_wait_ms(Millis(0)), Millis(0));
}

/// Load pattern: entries restart one after the other, and callers keep their connections to those
/// that were up at the time.
#[test]
fn an_entry_exceeds_the_others_only_with_far_more_requests_and_a_recent_report() {
    let others = OtherEntriesRequests {
        received_at: Millis(1_000),
        entries: 5,
        requests: 100,
    };
    let cases = [
        (20, 1_100, false),
        (30, 1_100, false),
        (31, 1_100, true),
        (90, 9_000, false),
    ];
    for (requests, now, expected) in cases {
        let exceeded = others.is_exceeded_by(requests, Millis(now));
        assert_eq!(exceeded, expected, "{requests} at {now}");
    }
    let alone = OtherEntriesRequests {
        entries: 0,
        requests: 0,
        ..others
    };
    assert!(!alone.is_exceeded_by(90, Millis(1_100)));
}

fn plain_target(name: &str) -> Target {
    Target {
        name: name.into(),
        incarnation: Incarnation(1),
        vm: "vm".into(),
        place: "home".into(),
        address: ([127, 0, 0, 1], 1_000).into(),
        duty: TargetKind::Plain {
            service: "records".into(),
        },
        limits: Limits {
            max_requests: 6,
            kv_bytes: 0,
            tokens_per_s: 0,
        },
    }
}

#[test]
fn a_call_goes_to_a_target_without_a_rate_limit_and_is_refused_if_there_is_none() {
    let targets = [plain_target("one"), plain_target("two")];
    let mut balancer = PlainBalancer::default();
    balancer.set_targets(targets.iter(), &"home".into());
    let mut limits = EntryRateLimits::default();
    let rate = RequestRate::from_per_s(2.0);
    limits.record_answer(&TargetRun::from(&targets[0]), rate, Millis(0));
    let mut choose = |limits: &mut EntryRateLimits, avoid: &[TargetName]| {
        let chosen = balancer.choose(&"records".into(), avoid, limits, Millis(100));
        chosen.map(|reservation| reservation.run.name)
    };
    for _ in 0..4 {
        assert_eq!(choose(&mut limits, &[]), Ok("two".into()));
    }
    // The further attempt of an idempotent call avoids the first target.
    assert_eq!(choose(&mut limits, &["two".into()]), Err(NoTarget::Limited));
    limits.record_answer(&TargetRun::from(&targets[1]), rate, Millis(0));
    assert_eq!(choose(&mut limits, &[]), Err(NoTarget::Limited));
    let wanted = limits.report(1, Millis(200)).demands;
    // It has no call in flight, so all calls would have gone there.
    assert_eq!(wanted[0].run.name, "one".into());
    assert!(wanted[0].wanted > 0);
}

/// One target that is reached shows that the others are at fault. Once the links are cut, a single connection that gets
/// through doesn't show that they work again.
#[test]
fn links_are_cut_when_no_target_is_reached_and_work_again_when_half_are() {
    use LinkChange::{Cut, Joined};
    let cases = [
        (0, 0, None, false),
        (5, 1, None, false),
        (5, 0, Some(Cut), true),
        (5, 0, None, true),
        (0, 0, None, true),
        (5, 2, None, true),
        (5, 3, Some(Joined), false),
        (1, 0, Some(Cut), true),
        (1, 1, Some(Joined), false),
    ];
    let mut health = LinkHealth::default();
    let mut now = Millis(1_000);
    for (case, (asked, reached, change, is_cut)) in cases.into_iter().enumerate() {
        now += Millis(500);
        let recorded = health.record(LinkCheck { asked, reached }, now);
        assert_eq!(recorded, change, "case {case}");
        assert_eq!(health.is_cut(), is_cut, "case {case}");
    }
    assert!(health.was_sound_at(now + Millis(100)));
    assert!(
        !health.was_sound_at(now + Millis(1_000)),
        "a check is stale soon"
    );
    health.record_opened(now + Millis(900));
    assert!(
        health.was_sound_at(now + Millis(1_000)),
        "requests' connections count"
    );
}
