//! Tests of what entries tell one another of their chains: load, lost targets and leaving ones.

#![allow(clippy::unwrap_used)]

mod chain_support;

use std::collections::BTreeMap;

use chain_support::{REQUEST, fill, names, router, run, two_zones};
use mgw_route::{ChainRouter, EntryLoad, EntryLoadTable, NoChain, OtherEntriesLoad, TargetLoad};
use mgw_world::Millis;

/// The report that an entry with this router would send.
fn report(router: &ChainRouter) -> EntryLoad {
    EntryLoad {
        requests: 0,
        uses: router.own_loads(),
        ..EntryLoad::default()
    }
}

/// Chooses chains until there is none left, then exchanges a report; returns the number of chains.
fn count_choices(router: &mut ChainRouter, loads: &mut EntryLoadTable, name: &str) -> usize {
    let mut chosen = 0;
    while router.choose(&REQUEST, Millis(1_000)).is_ok() {
        chosen += 1;
    }
    let others = loads.exchange(name, report(router), Millis(1_000));
    router.set_other_entries_load(&others.uses, &others.lost, Millis(1_000));
    chosen
}

/// Load pattern: while entries restart one after the other, callers use only a few of them. An
/// entry that assumes the others to be as busy as itself refuses requests while the targets are
/// half empty.
#[test]
fn a_busy_entry_uses_the_capacity_that_an_idle_entry_leaves() {
    let mut loads = EntryLoadTable::default();
    let mut busy = router(two_zones());
    let mut idle = router(two_zones());
    busy.set_entries(2);
    idle.set_entries(2);
    let others = loads.exchange("idle", report(&idle), Millis(1_000));
    idle.set_other_entries_load(&others.uses, &others.lost, Millis(1_000));
    let assumed = count_choices(&mut busy, &mut loads, "busy");
    // Between reports it assumes that the idle entry chooses as it does, so it needs several rounds
    // to use the rest.
    let rounds = (0..8).map(|_| count_choices(&mut busy, &mut loads, "busy"));
    let known: usize = rounds.sum();
    let all = fill(&mut router(two_zones()));
    assert!(
        assumed <= all / 2 + 1,
        "{assumed} of {all} while the other entry's load is unknown"
    );
    assert!(assumed + known >= all - 1, "{assumed} and {known} of {all}");
    let others = loads.exchange("idle", report(&idle), Millis(1_100));
    idle.set_other_entries_load(&others.uses, &others.lost, Millis(1_100));
    assert_eq!(
        idle.choose(&REQUEST, Millis(1_100)).unwrap_err(),
        NoChain::Full
    );
}

#[test]
fn the_load_of_an_entry_that_stopped_reporting_expires() {
    let mut loads = EntryLoadTable::default();
    let mut gone = router(two_zones());
    fill(&mut gone);
    loads.exchange("gone", report(&gone), Millis(0));
    let nothing = EntryLoad::default();
    let others = loads.exchange("here", nothing.clone(), Millis(1_000));
    assert!(!others.uses.is_empty());
    let others = loads.exchange("here", nothing, Millis(10_000));
    let none = OtherEntriesLoad {
        is_complete: true,
        ..OtherEntriesLoad::default()
    };
    assert_eq!(others, none);
}

/// Load pattern: a target fails while each of many entries has few streams. Without reports from
/// the others, each entry would lose a stream before it finds out.
#[test]
fn a_target_reported_lost_by_two_entries_is_excluded_by_others_for_a_while() {
    let mut loads = EntryLoadTable::default();
    let lost = |count: usize| EntryLoad {
        lost: vec![two_zones()[0].address; count],
        ..EntryLoad::default()
    };
    let mut router = router(two_zones());
    for (entry, is_excluded) in [("one", false), ("two", true)] {
        loads.exchange(entry, lost(1), Millis(100));
        let others = loads.exchange("here", EntryLoad::default(), Millis(200));
        router.set_other_entries_load(&others.uses, &others.lost, Millis(200));
        let chain = router.choose(&REQUEST, Millis(200)).unwrap();
        let uses_target = names(&chain).contains(&"h1");
        assert_eq!(uses_target, !is_excluded, "after {entry}");
    }
    let chain = router.choose(&REQUEST, Millis(3_000)).unwrap();
    assert!(names(&chain).contains(&"h1"), "the target is tried again");
}

/// Load pattern: many entries observe the same slow targets at once. Each must probe less often, so
/// that the probes of all together stay bounded.
#[test]
fn each_entry_probes_slow_targets_less_often_the_more_entries_there_are() {
    for (entries, interval_ms) in [(1, 1_500), (9, 2_700), (57, 17_100)] {
        let mut router = router(two_zones());
        router.set_entries(entries);
        let chain = router.choose(&REQUEST, Millis(0)).unwrap();
        assert_eq!(
            router
                .start_slowness_probes(chain.reservation, Millis(0))
                .len(),
            2
        );
        assert!(
            router
                .start_slowness_probes(chain.reservation, Millis(interval_ms - 1))
                .is_empty()
        );
        assert_eq!(
            router
                .start_slowness_probes(chain.reservation, Millis(interval_ms))
                .len(),
            2
        );
    }
}

#[test]
fn leaving_targets_of_one_entry_are_passed_on_to_all_others() {
    let mut table = EntryLoadTable::default();
    let leaving = EntryLoad {
        leaving: vec![run("h1")],
        ..EntryLoad::default()
    };
    table.exchange("one", leaving, Millis(0));
    for name in ["two", "three"] {
        let seen = table.exchange(name, EntryLoad::default(), Millis(10));
        assert_eq!(seen.leaving, [run("h1")], "{name}");
    }
}

/// The sums that the table keeps up to date equal those of all reports that are still valid, while
/// entries report, change their loads, and fall silent.
#[test]
fn sums_of_other_entries_equal_their_latest_valid_reports() {
    let mut table = EntryLoadTable::default();
    let mut latest: BTreeMap<String, (Millis, EntryLoad)> = BTreeMap::new();
    let mut random = 7_u64;
    let mut draw = move |limit: u64| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (random >> 33) % limit
    };
    for step in 0..3_000_u64 {
        let now = Millis(step * 7);
        let entry = format!("entry-{}", draw(12));
        let mut uses = Vec::new();
        for _ in 0..draw(4) {
            uses.push(TargetLoad {
                address: ([10, 0, 0, draw(6) as u8], 80).into(),
                token_layers: draw(1_000),
                requests: draw(9) as u32,
                received: draw(5) as u32,
            });
        }
        let load = EntryLoad {
            requests: draw(20) as u32,
            uses,
            ..EntryLoad::default()
        };
        latest.remove(&entry);
        latest.retain(|_, (at, _)| now - *at <= Millis(2_500));
        let seen = table.exchange(&entry, load.clone(), now);
        let others = latest.values().map(|(_, load)| load);
        let all_uses = others.clone().flat_map(|load| &load.uses);
        let sum_of = |value: fn(&TargetLoad) -> u64| all_uses.clone().map(value).sum::<u64>();
        let seen_sum = |value: fn(&TargetLoad) -> u64| seen.uses.iter().map(value).sum::<u64>();
        assert_eq!(seen.entries as usize, latest.len(), "step {step}");
        assert_eq!(seen.requests, others.map(|load| load.requests).sum::<u32>());
        for value in [
            |it: &TargetLoad| it.token_layers,
            |it: &TargetLoad| u64::from(it.requests),
            |it: &TargetLoad| u64::from(it.received),
        ] {
            assert_eq!(seen_sum(value), sum_of(value), "step {step}");
        }
        latest.insert(entry, (now, load));
    }
}
