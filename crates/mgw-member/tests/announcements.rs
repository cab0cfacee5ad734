//! Order of announcements: restarts, delays, repetition, moves between homes, leases.

mod support;

use std::collections::BTreeSet;

use mgw_contract::target::{Announcement, Readiness};
use mgw_member::{AnnounceOutcome, IneligibleReason, MemberSettings, View};
use mgw_world::{Incarnation, Millis};
use support::{Net, announcement, node_info, target_name};

fn announcement_with(incarnation: u64, sequence: u64, readiness: Readiness) -> Announcement {
    let mut announcement = announcement(0);
    announcement.target.incarnation = Incarnation(incarnation);
    announcement.sequence = sequence;
    announcement.readiness = readiness;
    announcement
}

fn view() -> View {
    View::new(
        MemberSettings::default(),
        node_info(0, 1),
        &[],
        1,
        Millis(0),
    )
}

#[test]
fn older_announcement_never_undoes_newer_one() {
    // (known incarnation, known sequence), (later incarnation, sequence), whether the later one
    // is accepted
    let table = [
        ((1, 5), (1, 6), true),
        ((1, 5), (1, 5), true),
        ((1, 5), (1, 4), false),
        ((2, 1), (1, 99), false),
        ((1, 99), (2, 0), true),
    ];
    for (known, later, is_accepted) in table {
        let mut view = view();
        view.announce(
            &announcement_with(known.0, known.1, Readiness::Leaving),
            Millis(10),
        );
        let outcome = view.announce(
            &announcement_with(later.0, later.1, Readiness::Ready),
            Millis(20),
        );
        let eligible_target = view.eligible_target(&target_name(0), Millis(20));
        if is_accepted {
            assert_eq!(
                outcome,
                AnnounceOutcome::Renewed { drain: false },
                "{later:?}"
            );
            assert!(eligible_target.is_ok(), "{known:?} then {later:?}");
        } else {
            let newest = Incarnation(known.0);
            assert_eq!(outcome, AnnounceOutcome::Outdated { newest }, "{later:?}");
            assert_eq!(
                eligible_target.err(),
                Some(IneligibleReason::Leaving),
                "{later:?}"
            );
        }
    }
}

#[test]
fn only_ready_targets_are_eligible() {
    let table = [
        (Readiness::Ready, None),
        (Readiness::Loading, Some(IneligibleReason::Loading)),
        (Readiness::Leaving, Some(IneligibleReason::Leaving)),
    ];
    for (readiness, reason) in table {
        let mut view = view();
        view.announce(&announcement_with(1, 1, readiness), Millis(10));
        assert_eq!(
            view.eligible_target(&target_name(0), Millis(11)).err(),
            reason
        );
    }
}

#[test]
fn lease_expires_at_home_without_a_tick_and_a_new_announcement_renews_it() {
    let mut view = view();
    view.announce(&announcement_with(1, 1, Readiness::Ready), Millis(10));
    let name = target_name(0);
    assert!(view.eligible_target(&name, Millis(3010)).is_ok());
    assert_eq!(
        view.eligible_target(&name, Millis(3011)).err(),
        Some(IneligibleReason::Unsure)
    );
    view.tick(Millis(3011));
    assert_eq!(
        view.eligible_target(&name, Millis(3011)).err(),
        Some(IneligibleReason::Lapsed)
    );
    view.announce(&announcement_with(1, 2, Readiness::Ready), Millis(9000));
    assert!(view.eligible_target(&name, Millis(9000)).is_ok());
}

#[test]
fn excluded_target_is_ineligible_at_once_and_announcement_replies_request_the_drain() {
    let mut view = view();
    view.announce(&announcement_with(1, 1, Readiness::Ready), Millis(10));
    view.set_excluded(BTreeSet::from([target_name(0)]), Millis(20));
    let reason = view.eligible_target(&target_name(0), Millis(20)).err();
    assert_eq!(reason, Some(IneligibleReason::Drained));
    let outcome = view.announce(&announcement_with(1, 2, Readiness::Ready), Millis(30));
    assert_eq!(outcome, AnnounceOutcome::Renewed { drain: true });
    view.set_excluded(BTreeSet::new(), Millis(40));
    assert!(view.eligible_target(&target_name(0), Millis(40)).is_ok());
}

#[test]
fn all_nodes_agree_on_the_home_of_a_moved_target() {
    let mut net = Net::new(5, 4, 3);
    net.run(Millis(4000));
    for home in [3, 1, 3] {
        net.targets[0].0 = home;
        net.announce(0);
        net.run(Millis(3000));
        for view in &net.views {
            let targets = view.targets(net.now);
            let status = targets.iter().find(|t| t.target.name == target_name(0));
            let status = status.expect("known");
            assert_eq!(status.home.as_str(), format!("entry-{home:03}"));
            assert_eq!(status.ineligible_reason, None);
        }
    }
}

#[test]
fn late_announcement_at_an_old_home_changes_nothing() {
    let mut net = Net::new(5, 4, 4);
    net.run(Millis(4000));
    let late = net.targets[0].1.clone();
    net.targets[0].0 = 2;
    net.announce_readiness(0, Readiness::Leaving);
    net.run(Millis(2500));
    let outcome = net.views[0].announce(&late, net.now);
    assert!(
        matches!(outcome, AnnounceOutcome::Outdated { .. }),
        "{outcome:?}"
    );
    net.run_with(Millis(2000), |net| assert_eq!(net.eligible_nodes(0), 0));
}

#[test]
fn target_of_a_stopped_home_is_eligible_again_through_another_entry() {
    let mut net = Net::new(5, 5, 5);
    net.run(Millis(4000));
    net.stopped_nodes.insert(4);
    net.run(Millis(3500));
    assert_eq!(net.eligible_nodes(4), 0, "the home's record is too old");
    net.targets[4].0 = 0;
    net.run(Millis(2500));
    assert_eq!(net.eligible_nodes(4), 4);
    net.restart(4, 2);
    net.run(Millis(3000));
    assert_eq!(
        net.eligible_nodes(4),
        5,
        "the restarted entry knows the target again"
    );
}

#[test]
fn entry_restarted_with_an_old_incarnation_adopts_a_newer_one() {
    let mut net = Net::new(4, 4, 6);
    net.run(Millis(4000));
    net.restart(3, 1);
    net.run(Millis(6000));
    assert!(net.views[3].own_info().incarnation > Incarnation(1));
    assert_eq!(net.eligible_nodes(3), 4);
}
