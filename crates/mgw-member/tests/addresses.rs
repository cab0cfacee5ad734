//! The addresses given to callers: distribution, entries that disappear, a silent partition, a
//! single entry.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use mgw_member::{
    AddressSettings, Availability, MemberSettings, NodePhase, NodeRole, View, choose_addresses,
    determine_availability, hash_caller,
};
use mgw_world::Millis;
use support::{Net, node_info};

fn entry_names(view: &View, place: Option<&str>, caller: u64, now: Millis) -> Vec<String> {
    let place = place.map(Into::into);
    let settings = AddressSettings::default();
    let reply = choose_addresses(view, &settings, place.as_ref(), caller, now);
    reply
        .entries
        .iter()
        .map(|entry| entry.name.to_string())
        .collect()
}

/// Whether any of many callers receives the entry's address.
fn gives_out_entry(view: &View, entry: usize, now: Millis) -> bool {
    let name = node_info(entry, 1).name.to_string();
    (0..50).any(|caller| entry_names(view, None, caller, now).contains(&name))
}

/// Injects a fault of node 4.
type Fault = fn(&mut Net);

#[test]
fn callers_are_spread_by_weight() {
    let mut net = Net::new(9, 0, 21);
    for (index, view) in net.views.iter_mut().enumerate() {
        let info = mgw_member::NodeInfo {
            weight: 1 + index as u32 % 3,
            ..node_info(index, 1)
        };
        *view = View::new(
            MemberSettings::default(),
            info,
            &[support::address(0)],
            5,
            Millis(0),
        );
    }
    net.run(Millis(30_000));
    let mut counts = BTreeMap::<String, u32>::new();
    for caller in 0..18_000 {
        let first = entry_names(&net.views[0], None, caller, net.now).swap_remove(0);
        *counts.entry(first).or_default() += 1;
    }
    for index in 0..9 {
        let expected = 1000 * (1 + index as u32 % 3);
        let count = counts[&node_info(index, 1).name.to_string()];
        assert!(
            count.abs_diff(expected) < expected / 10,
            "{index}: {count} of {expected}"
        );
    }
}

#[test]
fn every_entry_gives_a_caller_the_same_two_nearby_entries_and_one_in_another_place() {
    let mut net = Net::new(9, 0, 22);
    net.run(Millis(30_000));
    for caller in 0..20 {
        let first = entry_names(&net.views[0], Some("sfo-b"), caller, net.now);
        assert_eq!(first.len(), 3);
        let near = |name: &String| ["entry-001", "entry-004", "entry-007"].contains(&name.as_str());
        assert_eq!(
            first.iter().map(near).collect::<Vec<_>>(),
            [true, true, false]
        );
        for view in &net.views[1..] {
            assert_eq!(entry_names(view, Some("sfo-b"), caller, net.now), first);
        }
    }
}

#[test]
fn stopped_leaving_or_partitioned_entry_is_delisted_within_five_seconds() {
    let table: [(&str, Fault); 3] = [
        ("down", |net| {
            net.stopped_nodes.insert(4);
        }),
        ("leaving", |net| net.views[4].set_phase(NodePhase::Leaving)),
        ("cut off", |net| net.partitions = vec![BTreeSet::from([4])]),
    ];
    for (fault, inject) in table {
        let mut net = Net::new(9, 0, 23);
        net.run(Millis(6000));
        assert!(
            gives_out_entry(&net.views[0], 4, net.now),
            "before: {fault}"
        );
        inject(&mut net);
        net.run(Millis(5000));
        for index in (0..9).filter(|index| *index != 4) {
            assert!(
                !gives_out_entry(&net.views[index], 4, net.now),
                "{fault}, asked {index}"
            );
        }
    }
}

#[test]
fn entry_advertises_itself_when_all_others_are_down() {
    let mut net = Net::new(6, 0, 24);
    net.run(Millis(6000));
    net.stopped_nodes = BTreeSet::from([0, 1, 2, 3, 4]);
    net.run_with(Millis(20_000), |net| {
        assert!(!entry_names(&net.views[5], None, 1, net.now).is_empty());
    });
    assert_eq!(
        determine_availability(&net.views[5], net.now),
        Availability::Alone
    );
    assert_eq!(
        entry_names(&net.views[5], Some("pos-a"), 1, net.now),
        ["entry-005"]
    );
}

#[test]
fn partitioned_entry_advertises_only_the_others_and_uses_only_its_own_targets() {
    let mut net = Net::new(6, 6, 25);
    net.run(Millis(6000));
    net.partitions = vec![BTreeSet::from([5])];
    net.run(Millis(7000));
    assert_eq!(
        determine_availability(&net.views[5], net.now),
        Availability::CutOff
    );
    assert!(!gives_out_entry(&net.views[5], 5, net.now));
    assert_eq!(entry_names(&net.views[5], None, 1, net.now).len(), 3);
    let eligible = net.views[5].eligible_targets(net.now);
    let eligible: Vec<_> = eligible
        .iter()
        .map(|eligible| eligible.target.name.as_str())
        .collect();
    assert_eq!(
        eligible,
        ["engine-005"],
        "only the targets that announce themselves to it are eligible"
    );
    for index in 0..5 {
        let state = determine_availability(&net.views[index], net.now);
        assert_eq!(
            state,
            Availability::Full,
            "the other nodes see each other alive"
        );
    }
    net.partitions.clear();
    net.run(Millis(5000));
    assert_eq!(
        determine_availability(&net.views[5], net.now),
        Availability::Full
    );
}

#[test]
fn restarted_entry_is_fully_available_only_with_a_complete_view() {
    let mut net = Net::new(6, 30, 26);
    net.run(Millis(6000));
    net.restart(5, 2);
    assert_eq!(
        determine_availability(&net.views[5], net.now),
        Availability::Starting
    );
    net.run_with(Millis(6000), |net| {
        let view = &net.views[5];
        if determine_availability(view, net.now) == Availability::Full {
            // Its own targets announce themselves again within a second.
            assert!(view.targets(net.now).len() >= 25);
        }
    });
    assert_eq!(
        determine_availability(&net.views[5], net.now),
        Availability::Full
    );
}

#[test]
fn controls_are_never_listed_and_a_single_entry_lists_itself() {
    let mut net = Net::new(3, 0, 27);
    for index in [0, 1] {
        let info = mgw_member::NodeInfo {
            role: NodeRole::Control,
            ..node_info(index, 1)
        };
        net.views[index] = View::new(
            MemberSettings::default(),
            info,
            &[support::address(0)],
            5,
            Millis(0),
        );
    }
    net.run(Millis(6000));
    assert_eq!(entry_names(&net.views[0], None, 3, net.now), ["entry-002"]);
    let mut only = Net::new(1, 0, 28);
    only.run(Millis(4000));
    assert_eq!(
        determine_availability(&only.views[0], only.now),
        Availability::Alone
    );
    assert_eq!(
        entry_names(&only.views[0], None, 3, only.now),
        ["entry-000"]
    );
}

/// Maximum deviation from an even distribution.
const IMBALANCE_PERCENT: u32 = 10;

#[test]
fn callers_with_the_same_workspace_are_spread_evenly_over_entries() {
    let mut net = Net::new(6, 0, 31);
    net.run(Millis(30_000));
    // (workspace, whether each caller names itself)
    for (workspace, is_named) in [("classrooms", false), ("classrooms", true), ("", true)] {
        let mut counts = BTreeMap::<String, u32>::new();
        for number in 0..12_000_u64 {
            let caller = format!("studio-{number}");
            let caller = is_named.then_some(caller.as_str());
            let hash = hash_caller(Some(workspace), caller, number);
            let first = entry_names(&net.views[0], None, hash, net.now).swap_remove(0);
            *counts.entry(first).or_default() += 1;
        }
        let even = 2000;
        let bound = even * IMBALANCE_PERCENT / 100;
        assert_eq!(counts.len(), 6);
        assert!(
            counts.values().all(|count| count.abs_diff(even) <= bound),
            "{counts:?}"
        );
    }
}

#[test]
fn named_caller_hashes_the_same_for_each_draw_and_differently_per_workspace() {
    for caller in ["a", "studio-7"] {
        let draws = (0..50).map(|draw| hash_caller(Some("classrooms"), Some(caller), draw));
        assert_eq!(draws.collect::<BTreeSet<u64>>().len(), 1);
        let elsewhere = hash_caller(Some("hr-officers"), Some(caller), 0);
        assert_ne!(hash_caller(Some("classrooms"), Some(caller), 0), elsewhere);
    }
}

#[test]
fn entry_resumed_after_a_freeze_lists_last_known_entries_with_unsure_validity() {
    let mut net = Net::new(6, 0, 32);
    net.run(Millis(6000));
    let resumed = net.now + Millis(20_000);
    let settings = AddressSettings::default();
    let reply = choose_addresses(&net.views[5], &settings, None, 1, resumed);
    assert_eq!(reply.entries.len(), 3);
    assert_eq!(reply.valid_ms, settings.unsure_valid_ms);
}
