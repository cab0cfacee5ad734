//! Tests of the throughput bound: known placements as a table, even use of spare capacity, and flow
//! conservation as a property.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::{link, model, target};
use mgw_route::{Bound, Graph, GraphTarget, compute_bound};
use mgw_world::{Link, Target};
use proptest::prelude::*;

fn graph(layers: u16, targets: &[Target], links: &[Link]) -> Graph {
    let targets = targets.iter().map(|it| GraphTarget {
        target: Arc::new(it.clone()),
        warm_share: 1.0,
    });
    Graph::build(&model(layers), targets.collect(), links)
}

fn bound(layers: u16, targets: &[Target], links: &[Link]) -> Bound {
    compute_bound(&graph(layers, targets, links))
}

macro_rules! bound_cases {
    ($($name:ident: [$(($place:expr, $first:expr, $end:expr, $speed:expr)),*], [$(($from:expr, $to:expr, $cap:expr)),*] => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let stages: &[(&str, u16, u16, u32)] = &[$(($place, $first, $end, $speed)),*];
            let stages = stages.iter().enumerate();
            let targets: Vec<_> = stages
                .map(|(index, it)| target(&format!("t{index}"), it.0, it.1, it.2, it.3))
                .collect();
            let links: &[Link] = &[$(link($from, $to, $cap)),*];
            let found = bound(24, &targets, links).tokens_per_s;
            let expected: f64 = $expected;
            assert!((found - expected).abs() <= expected * 0.01, "found {found}, expected {expected}");
        }
    )*};
}

bound_cases! {
    the_slowest_stage_limits_a_chain:
        [("a", 0, 8, 100), ("a", 8, 16, 40), ("a", 16, 24, 70)], [] => 40.0;
    replicas_add_up:
        [("a", 0, 12, 100), ("a", 0, 12, 50), ("a", 12, 24, 60), ("a", 12, 24, 70)], [] => 130.0;
    chains_with_different_layer_splits_add_up:
        [("a", 0, 12, 100), ("a", 12, 24, 100), ("a", 0, 8, 30), ("a", 8, 24, 30)], [] => 130.0;
    a_gap_between_stages_gives_no_throughput: [("a", 0, 8, 100), ("a", 9, 24, 100)], [] => 0.0;
    overlapping_stages_give_no_throughput: [("a", 0, 9, 100), ("a", 8, 24, 100)], [] => 0.0;
    layers_past_the_model_give_no_throughput: [("a", 0, 25, 100)], [] => 0.0;
    no_targets_give_no_throughput: [], [] => 0.0;
    a_link_limits_the_throughput: [("a", 0, 12, 100), ("b", 12, 24, 100)], [("a", "b", 30)] => 30.0;
    a_link_limits_the_reverse_direction_too:
        [("b", 0, 12, 100), ("a", 12, 24, 100)], [("a", "b", 30)] => 30.0;
    an_unstated_link_is_unlimited: [("a", 0, 12, 100), ("b", 12, 24, 100)], [] => 100.0;
    a_link_inside_a_place_limits_the_throughput:
        [("a", 0, 12, 100), ("a", 12, 24, 100)], [("a", "a", 20)] => 20.0;
    a_link_is_shared_by_the_boundaries_that_cross_it:
        [("a", 0, 6, 100), ("b", 6, 12, 100), ("a", 12, 18, 100), ("b", 18, 24, 100)],
        [("a", "b", 30)] => 15.0;
    a_third_place_bypasses_a_slow_link:
        [("a", 0, 8, 90), ("c", 8, 16, 50), ("b", 8, 16, 90), ("b", 16, 24, 90)],
        [("a", "b", 10)] => 60.0;
}

#[test]
fn the_relaxed_bound_gives_each_boundary_the_whole_link() {
    let targets = [
        target("t0", "a", 0, 6, 100),
        target("t1", "b", 6, 12, 100),
        target("t2", "a", 12, 18, 100),
        target("t3", "b", 18, 24, 100),
    ];
    let found = bound(24, &targets, &[link("a", "b", 30)]);
    assert!((found.relaxed_tokens_per_s - 30.0).abs() < 0.1, "{found:?}");
}

#[test]
fn spare_capacity_is_used_evenly() {
    let targets = [
        target("t0", "a", 0, 12, 300),
        target("t1", "b", 0, 12, 100),
        target("t2", "c", 0, 12, 200),
        target("t3", "a", 12, 24, 60),
    ];
    let found = bound(24, &targets, &[]);
    let shares = found
        .targets
        .iter()
        .map(|it| it.tokens_per_s)
        .collect::<Vec<_>>();
    let expected = [30.0, 10.0, 20.0, 60.0];
    for (share, wanted) in shares.iter().zip(expected) {
        assert!((share - wanted).abs() <= 1.0, "{shares:?}");
    }
}

#[test]
fn a_warming_target_counts_with_its_warm_share() {
    let item = |name: &str, warm_share| GraphTarget {
        target: Arc::new(target(name, "a", 0, 24, 100)),
        warm_share,
    };
    let graph = Graph::build(&model(24), vec![item("t0", 1.0), item("t1", 0.25)], &[]);
    assert!((compute_bound(&graph).tokens_per_s - 125.0).abs() < 0.1);
}

fn any_targets() -> impl Strategy<Value = Vec<Target>> {
    let one = (0_u16..6, 1_u16..4, 0_usize..3, 1_u32..500);
    proptest::collection::vec(one, 1..40).prop_map(|all| {
        let places = ["a", "b", "c"];
        let make = |(index, (first, count, place, speed)): (usize, (u16, u16, usize, u32))| {
            let end = (first + count).min(6);
            target(&format!("t{index:02}"), places[place], first, end, speed)
        };
        all.into_iter().enumerate().map(make).collect()
    })
}

fn any_links() -> impl Strategy<Value = Vec<Link>> {
    (1_u64..600, 1_u64..600, 1_u64..600)
        .prop_map(|(ab, bc, aa)| vec![link("a", "b", ab), link("b", "c", bc), link("a", "a", aa)])
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn flow_is_conserved_within_capacities(targets in any_targets(), links in any_links()) {
        let found = bound(6, &targets, &links);
        prop_assert!(found.relaxed_tokens_per_s + 0.01 >= found.tokens_per_s);
        let by_name: BTreeMap<_, _> = targets.iter().map(|it| (it.name.clone(), it)).collect();
        let mut layers = [0.0; 6];
        let mut spanning = [0.0; 6];
        for share in &found.targets {
            let target = by_name[&share.target];
            prop_assert!(share.tokens_per_s <= f64::from(target.limits.tokens_per_s) + 0.01);
            let range = target.engine().unwrap().layers;
            for layer in range.first()..range.end() {
                layers[usize::from(layer)] += share.tokens_per_s;
                if layer > range.first() {
                    spanning[usize::from(layer)] += share.tokens_per_s;
                }
            }
        }
        for layer in layers {
            prop_assert!((layer - found.tokens_per_s).abs() < 0.1, "{layers:?} {found:?}");
        }
        let mut links_used = BTreeMap::new();
        for hop in &found.boundaries {
            spanning[usize::from(hop.boundary)] += hop.tokens_per_s;
            *links_used.entry((hop.from.clone(), hop.to.clone())).or_insert(0.0) += hop.tokens_per_s;
        }
        for crossing in &spanning[1..] {
            prop_assert!((crossing - found.tokens_per_s).abs() < 0.1, "{spanning:?}");
        }
        for link in &links {
            let cap = link.bytes_per_s as f64 / f64::from(common::BYTES_PER_TOKEN);
            for ends in [(&link.from, &link.to), (&link.to, &link.from)] {
                let used = links_used.get(&(ends.0.clone(), ends.1.clone())).copied().unwrap_or(0.0);
                prop_assert!(used <= cap + 0.01, "link carries {used} tokens/s, capacity is {cap}");
            }
        }
    }
}
