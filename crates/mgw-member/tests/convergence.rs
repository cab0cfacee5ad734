//! Views converge after message loss, repetition, reordering, restarts and partitions.

mod support;

use std::collections::BTreeSet;

use mgw_contract::target::Readiness;
use mgw_member::{MemberSettings, VouchState};
use mgw_world::{Incarnation, Millis};
use proptest::prelude::*;
use support::{Net, target_name};

/// What a node knows about each target, without ages and loads.
fn known_targets(net: &Net, node: usize) -> Vec<(String, String, Incarnation, VouchState)> {
    let targets = net.views[node].targets(net.now);
    let known_targets = targets.iter().map(|status| {
        let target = status.target;
        let home = status.home.to_string();
        (
            target.name.to_string(),
            home,
            target.incarnation,
            status.state,
        )
    });
    known_targets.collect()
}

fn assert_converged(net: &Net) {
    let first = known_targets(net, 0);
    assert_eq!(first.len(), net.targets.len(), "no target is lost");
    for node in 1..net.views.len() {
        assert_eq!(known_targets(net, node), first, "node {node}");
    }
}

/// Makes one change or fault, chosen by `kind`, while messages are lost.
fn inject_fault(net: &mut Net, kind: u8, number: usize) {
    let target = number % net.targets.len();
    let node = number % net.views.len();
    match kind {
        0 => net.announce_readiness(target, Readiness::Leaving),
        1 => net.announce_readiness(target, Readiness::Ready),
        2 => net.targets[target].0 = (number / 7) % net.views.len(),
        3 => {
            net.targets[target].1.target.incarnation.0 += 1;
            net.targets[target].1.sequence = 0;
        }
        4 => {
            net.stopped_nodes.insert(node);
        }
        5 => net.restart(node, 2 + net.now.0),
        6 => net.partitions = vec![BTreeSet::from([node, (node + 1) % net.views.len()])],
        _ => net.partitions.clear(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn views_agree_after_faults(
        seed in 0_u64..1000,
        loss in 0_u32..40,
        repeats in 0_u32..30,
        delay_ms in 1_u64..400,
        reply_cap_bytes in prop::sample::select(vec![200_usize, 1000, 8192]),
        tombstone_ms in prop::sample::select(vec![50_u64, 1000, 600_000]),
        changes in prop::collection::vec((0_u8..8, 0_usize..1000), 0..16),
    ) {
        let settings = MemberSettings {
            reply_cap_bytes,
            tombstone_ms: Millis(tombstone_ms),
            ..MemberSettings::default()
        };
        let mut net = Net::with_settings(6, 12, seed, &settings);
        net.loss_percent = loss;
        net.repeat_percent = repeats;
        net.delay_ms = delay_ms;
        net.run(Millis(1500));
        for (kind, number) in changes {
            inject_fault(&mut net, kind, number);
            net.run(Millis(300));
        }
        net.partitions.clear();
        net.loss_percent = 0;
        for node in net.stopped_nodes.clone() {
            net.restart(node, 100_000 + net.now.0);
        }
        net.run(Millis(9000));
        assert_converged(&net);
        for target in 0..net.targets.len() {
            let is_ready = net.targets[target].1.readiness == Readiness::Ready;
            let eligible_nodes = net.eligible_nodes(target);
            prop_assert!(is_ready || eligible_nodes == 0, "leaving target {} is eligible", target);
        }
    }
}

#[test]
fn hundred_targets_that_restart_together_are_eligible_again_within_the_reply_cap() {
    let mut net = Net::new(9, 120, 7);
    net.run(Millis(5000));
    let restarted = 0..100;
    net.silent_targets = restarted.clone().collect();
    net.run(Millis(5000));
    assert!(
        restarted
            .clone()
            .all(|target| net.eligible_nodes(target) == 0)
    );
    net.silent_targets.clear();
    for target in restarted.clone() {
        net.targets[target].1.target.incarnation = Incarnation(2);
        net.targets[target].1.sequence = 0;
    }
    net.largest_reply = 0;
    net.run(Millis(6000));
    assert_converged(&net);
    let mut restarted = restarted;
    assert!(restarted.all(|target| net.eligible_nodes(target) == 9));
    let cap = MemberSettings::default().reply_cap_bytes;
    assert!(
        net.largest_reply <= cap,
        "{} bytes in one reply",
        net.largest_reply
    );
    let share = net.views[8]
        .eligible_target(&target_name(0), net.now)
        .expect("ready")
        .share;
    assert!(share < 0.7, "a restarted target warms up: {share}");
}

#[test]
fn partition_that_heals_after_an_hour_restores_no_stale_record() {
    let settings = MemberSettings {
        exchange_every_ms: Millis(800),
        ..MemberSettings::default()
    };
    let mut net = Net::with_settings(6, 12, 8, &settings);
    net.load_change_percent = 0;
    net.run(Millis(8000));
    net.partitions = vec![BTreeSet::from([3, 4, 5])];
    // During the partition, the targets of the isolated nodes restart and move to node 0.
    for target in [3, 4, 5] {
        net.targets[target].0 = 0;
        net.targets[target].1.target.incarnation = Incarnation(2);
    }
    net.run(Millis(3_600_000));
    net.announce_readiness(3, Readiness::Leaving);
    net.run(Millis(4_000));
    net.traffic
        .iter_mut()
        .for_each(|traffic| *traffic = support::Traffic::default());
    net.partitions.clear();
    net.run_with(Millis(12_000), |net| {
        assert_eq!(
            net.eligible_nodes(3),
            0,
            "target 3 left during the partition"
        );
    });
    assert_converged(&net);
    let status = known_targets(&net, 5);
    assert!(
        status[3..6]
            .iter()
            .all(|(_, home, inc, _)| { home == "entry-000" && *inc == Incarnation(2) })
    );
    let max_bytes = net
        .traffic
        .iter()
        .map(|t| t.sent_bytes + t.received_bytes)
        .max();
    assert!(max_bytes < Some(12 * 27_000), "{max_bytes:?} bytes in 12 s");
}
