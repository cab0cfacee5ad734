//! False suspicion: failures seen by one entry only, flapping, warm-up, and a place that goes
//! silent.

mod support;

use std::collections::BTreeSet;

use mgw_contract::target::Readiness;
use mgw_member::{IneligibleReason, MemberSettings};
use mgw_world::{Incarnation, Millis};
use support::{Net, target_name};

#[test]
fn target_unreachable_from_one_entry_stays_eligible_at_the_others() {
    let mut net = Net::new(5, 5, 11);
    net.run(Millis(5000));
    let name = target_name(2);
    for _ in 0..3 {
        let now = net.now;
        net.views[0].target_failed(&name, now);
    }
    let reason = net.views[0].eligible_target(&name, net.now).err();
    assert_eq!(reason, Some(IneligibleReason::Suspected));
    net.run_with(Millis(3000), |net| assert_eq!(net.eligible_nodes(2), 4));
    net.run(Millis(6000));
    let share = net.views[0]
        .eligible_target(&name, net.now)
        .expect("back")
        .share;
    assert!(
        share > 0.4 && share < 1.0,
        "the share grows back gradually: {share}"
    );
    let now = net.now;
    net.views[0].target_answered(&name, now);
    assert!(
        net.views[0]
            .eligible_target(&name, now)
            .expect("eligible")
            .share
            > share
    );
}

#[test]
fn share_of_a_flapping_target_falls_until_it_is_suspected_then_recovers() {
    let mut net = Net::new(3, 3, 12);
    net.run(Millis(5000));
    let mut shares = Vec::new();
    for _ in 0..4 {
        net.announce_readiness(1, Readiness::Loading);
        net.run(Millis(1200));
        net.announce_readiness(1, Readiness::Ready);
        net.run(Millis(1200));
        let eligible = net.views[0].eligible_target(&target_name(1), net.now);
        shares.push(eligible.map_or(0.0, |target| target.share));
    }
    assert!(shares.is_sorted_by(|a, b| a >= b), "{shares:?}");
    assert_eq!(
        net.views[0].eligible_target(&target_name(1), net.now).err(),
        Some(IneligibleReason::Suspected)
    );
    net.run(Millis(20_000));
    assert!(
        net.views[0]
            .eligible_target(&target_name(1), net.now)
            .expect("back")
            .share
            > 0.8
    );
}

#[test]
fn share_of_a_restarted_target_grows_gradually() {
    let mut net = Net::new(3, 3, 13);
    net.run(Millis(20_000));
    let share = |net: &Net| {
        net.views[2]
            .eligible_target(&target_name(0), net.now)
            .map(|eligible| eligible.share)
    };
    assert_eq!(share(&net).ok(), Some(1.0), "warm after its first seconds");
    net.targets[0].1.target.incarnation = Incarnation(2);
    net.targets[0].1.sequence = 0;
    net.announce(0);
    net.run(Millis(2000));
    let first = share(&net).expect("eligible");
    net.run(Millis(5000));
    let second = share(&net).expect("eligible");
    net.run(Millis(40_000));
    let last = share(&net).expect("eligible");
    assert!(first < 0.2 && first < second && second < last && last > 0.95);
}

#[test]
fn silent_place_is_reported_cut_off_and_its_records_are_kept() {
    let mut net = Net::new(9, 18, 14);
    net.run(Millis(5000));
    // Nodes and targets 2, 5, 8 and so on are in the same place.
    net.partitions = vec![BTreeSet::from([2, 5, 8])];
    net.run(Millis(10_000));
    let places = net.views[0].places(net.now);
    let cut_off: Vec<_> = places.iter().filter(|place| place.is_cut_off).collect();
    assert_eq!(cut_off.len(), 1, "{places:?}");
    assert_eq!(cut_off[0].place.as_str(), "chg-c");
    assert_eq!((cut_off[0].silent_nodes, cut_off[0].silent_targets), (3, 6));
    assert!(
        !net.views[0].is_cut_off(net.now),
        "most of the other nodes are alive"
    );
    assert_eq!(
        net.views[0].targets(net.now).len(),
        18,
        "no record is dropped"
    );
    let eligible_targets = net.views[0].eligible_targets(net.now);
    assert_eq!(eligible_targets.len(), 12);
    assert!(
        eligible_targets
            .iter()
            .all(|eligible| eligible.target.place.as_str() != "chg-c")
    );
    net.partitions.clear();
    net.run(Millis(5000));
    let eligible_targets = net.views[0].eligible_targets(net.now);
    assert_eq!(eligible_targets.len(), 18);
    assert!(
        eligible_targets
            .iter()
            .all(|eligible| eligible.share == 1.0),
        "no target restarted"
    );
}

#[test]
fn silent_records_are_dropped_only_after_forget_ms() {
    let settings = MemberSettings {
        forget_ms: Millis(20_000),
        ..MemberSettings::default()
    };
    let mut net = Net::with_settings(4, 4, 15, &settings);
    net.run(Millis(5000));
    net.stopped_nodes.insert(3);
    net.silent_targets.insert(3);
    net.run(Millis(15_000));
    assert_eq!(net.views[0].nodes(net.now).len(), 4);
    net.run(Millis(15_000));
    assert_eq!(net.views[0].nodes(net.now).len(), 3);
    assert_eq!(net.views[0].targets(net.now).len(), 3);
}
