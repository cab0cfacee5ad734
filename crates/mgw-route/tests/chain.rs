//! Tests of the choice of chains: coverage of layers, zones, capacity, faulty targets and load
//! patterns.

#![allow(clippy::unwrap_used)]

mod chain_support;

use chain_support::{REQUEST, fill, names, router, run, target, two_zones};
use mgw_route::{Chain, ChainRequest, ChainRouter, ChainTarget, NoChain, ProbeOutcome};
use mgw_world::{Millis, TargetName};

fn covers_once(chain: &Chain) -> bool {
    let mut next = 0;
    for hop in &chain.hops {
        if hop.layers.first() != next {
            return false;
        }
        next = hop.layers.end();
    }
    next == 80
}

#[test]
fn a_chain_covers_each_layer_once_and_stays_in_the_entrys_zone() {
    let mut router = router(two_zones());
    let chain = router.choose(&REQUEST, Millis(0)).unwrap();
    assert!(covers_once(&chain));
    assert_eq!(names(&chain), ["h1", "h2"]);
}

#[test]
fn if_the_entrys_zone_lacks_layers_the_whole_chain_is_in_another_zone() {
    let mut targets = two_zones();
    targets.remove(1);
    let mut router = router(targets);
    let chain = router.choose(&REQUEST, Millis(0)).unwrap();
    assert_eq!(names(&chain), ["f1", "f2"]);
}

#[test]
fn a_chain_crosses_zones_only_where_no_zone_covers_all_layers() {
    let mut router = router(vec![
        target("h1", "home", "fast", 0, 50),
        target("f2", "far", "fast", 30, 80),
    ]);
    let chain = router.choose(&REQUEST, Millis(0)).unwrap();
    assert!(covers_once(&chain));
    assert_eq!(names(&chain), ["h1", "f2"]);
}

/// A target that claims layers beyond the model's ended the search with an index out of bounds, for every request.
#[test]
fn target_with_layers_beyond_the_model_is_left_out() {
    for (first, end) in [(0, 81), (40, u16::MAX), (80, 90), (200, 300)] {
        let mut targets = two_zones();
        targets.push(target("odd", "home", "fast", first, end));
        let mut router = router(targets);
        let chain = router.choose(&REQUEST, Millis(0)).unwrap();
        assert_eq!(names(&chain), ["h1", "h2"], "{first}..{end}");
    }
}

#[test]
fn overlapping_layer_ranges_are_split_at_the_cheapest_boundary() {
    let mut router = router(vec![
        target("fast", "home", "fast", 0, 60),
        target("slow", "home", "slow", 30, 80),
    ]);
    let chain = router.choose(&REQUEST, Millis(0)).unwrap();
    assert!(covers_once(&chain));
    assert_eq!(
        chain.hops[0].layers.end(),
        60,
        "the fast target runs all layers that it holds"
    );
}

#[test]
fn no_target_appears_twice_in_a_chain() {
    let mut router = router(vec![
        target("a", "home", "slow", 0, 80),
        target("b", "home", "fast", 20, 40),
    ]);
    let chain = router.choose(&REQUEST, Millis(0)).unwrap();
    let mut unique = names(&chain);
    unique.sort_unstable();
    unique.dedup();
    assert_eq!(unique.len(), chain.hops.len());
    assert!(covers_once(&chain));
}

#[test]
fn missing_layers_and_missing_capacity_are_distinct_errors() {
    let mut gap = router(vec![target("a", "home", "fast", 0, 79)]);
    assert_eq!(
        gap.choose(&REQUEST, Millis(0)).unwrap_err(),
        NoChain::Uncovered
    );
    let mut small = router(two_zones());
    let huge = ChainRequest {
        prompt_tokens: 1_000_000,
        ..REQUEST
    };
    assert_eq!(small.choose(&huge, Millis(0)).unwrap_err(), NoChain::Full);
}

/// Load pattern: a burst has more requests than fit into the KV cache. Without a limit the newest
/// requests are preempted in the middle of their answers.
#[test]
fn a_burst_uses_the_kv_cache_limit_of_the_targets_and_no_more() {
    let mut router = router(two_zones());
    let chosen = fill(&mut router);
    // 40 layers of 1.75 GB leave 90 of 160 GB for the KV cache, 50 layers 72.5 GB. A request has
    // 960 tokens of 11,475 bytes per layer, and 90% of the KV cache may be used by estimate.
    let fit =
        |left_bytes: f64, layers: f64| (left_bytes / 11_475.0 / layers * 0.9 / 960.0) as usize;
    // One more request may fit into the capacity left in both zones together.
    let zones = fit(90e9, 40.0) + fit(72.5e9, 50.0);
    assert!((zones..=zones + 1).contains(&chosen), "{chosen}, {zones}");
    assert_eq!(
        router.choose(&REQUEST, Millis(0)).unwrap_err(),
        NoChain::Full
    );
}

#[test]
fn capacity_of_a_released_chain_can_be_reserved_again() {
    let mut router = router(two_zones());
    let first = router.choose(&REQUEST, Millis(0)).unwrap();
    fill(&mut router);
    router.release(first.reservation);
    assert!(router.choose(&REQUEST, Millis(0)).is_ok());
}

#[test]
fn each_entry_uses_an_equal_share_of_the_capacity() {
    let mut alone = router(two_zones());
    let all = fill(&mut alone);
    let mut shared = router(two_zones());
    shared.set_entries(3);
    let share = fill(&mut shared);
    assert!(share.abs_diff(all / 3) <= 2, "{share} of {all}");
}

/// Load pattern: a target fails in the middle of many streams. All streams through it stop at once,
/// while other streams through its neighbours continue and show that those are healthy.
#[test]
fn a_target_on_which_all_streams_are_silent_is_suspected_and_its_neighbours_are_not() {
    let mut targets = two_zones();
    targets.push(target("h3", "home", "fast", 40, 80));
    let mut router = router(targets);
    let dead_chain = router.choose(&REQUEST, Millis(0)).unwrap();
    let dead = dead_chain.hops[1].target.clone();
    let avoid = [dead.clone()];
    let avoiding = ChainRequest {
        avoid: &avoid,
        limits: None,
        ..REQUEST
    };
    let healthy_chain = router.choose(&avoiding, Millis(0)).unwrap();
    router.record_token(dead_chain.reservation, Millis(1_000));
    router.record_token(healthy_chain.reservation, Millis(1_300));
    let silent = router.suspect_silent_targets(dead_chain.reservation, Millis(300), Millis(1_400));
    assert_eq!(silent.count, 1);
    assert_eq!(silent.to_probe[0].target, dead);
    let next = router.choose(&REQUEST, Millis(1_400)).unwrap();
    assert!(!names(&next).contains(&dead.as_str()));
}

#[test]
fn an_answered_probe_clears_a_silent_target_and_an_unanswered_one_excludes_it() {
    let mut router = router(two_zones());
    let chain = router.choose(&REQUEST, Millis(0)).unwrap();
    let silent = router.suspect_silent_targets(chain.reservation, Millis(300), Millis(1_000));
    assert_eq!(silent.count, 2);
    let (h1, h2): (TargetName, TargetName) = ("h1".into(), "h2".into());
    router.record_probe(&h1, ProbeOutcome::Alive { slowness: 1.0 }, Millis(1_002));
    router.record_probe(&h2, ProbeOutcome::Dead, Millis(1_500));
    let later = router.choose(&REQUEST, Millis(3_000)).unwrap();
    assert_eq!(names(&later), ["f1", "f2"]);
    router.record_probe(&h2, ProbeOutcome::Alive { slowness: 1.0 }, Millis(3_100));
    let back = router.choose(&REQUEST, Millis(3_100)).unwrap();
    assert_eq!(names(&back), ["h1", "h2"]);
}

/// Load pattern: one target is many times slower than usual, its neighbours aren't.
#[test]
fn a_slow_target_is_skipped_until_its_probe_expires() {
    let mut router = router(two_zones());
    let slow = ProbeOutcome::Alive { slowness: 8.0 };
    router.record_probe(&"h2".into(), slow, Millis(0));
    let chain = router.choose(&REQUEST, Millis(100)).unwrap();
    assert_eq!(names(&chain), ["f1", "f2"]);
    let chain = router.choose(&REQUEST, Millis(60_000)).unwrap();
    assert_eq!(names(&chain), ["h1", "h2"]);
}

#[test]
fn a_dead_probe_of_an_earlier_incarnation_doesnt_exclude_a_restarted_target() {
    let mut router = router(two_zones());
    router.record_probe(&"h1".into(), ProbeOutcome::Dead, Millis(0));
    let mut targets = two_zones();
    targets[0].incarnation = mgw_world::Incarnation(2);
    router.set_targets(targets, Millis(100));
    let chain = router.choose(&REQUEST, Millis(100)).unwrap();
    assert_eq!(names(&chain), ["h1", "h2"]);
}

#[test]
fn tokens_and_silence_under_requests_outweigh_probes() {
    let mut router = router(two_zones());
    let chain = router.choose(&REQUEST, Millis(0)).unwrap();
    router.record_probe(&"h1".into(), ProbeOutcome::Dead, Millis(10));
    assert!(router.has_lost_target(chain.reservation));
    assert_eq!(router.own_lost_targets(Millis(10)).len(), 1);
    router.record_token(chain.reservation, Millis(20));
    assert!(!router.has_lost_target(chain.reservation));
    assert!(router.own_lost_targets(Millis(20)).is_empty());
    // Silence under requests outweighs an answered probe, too.
    router.block_silent_targets(chain.reservation, Millis(1_000), Millis(2_000));
    let alive = ProbeOutcome::Alive { slowness: 1.0 };
    router.record_probe(&"h1".into(), alive, Millis(2_010));
    let other = router.choose(&REQUEST, Millis(2_020)).unwrap();
    assert!(!names(&other).contains(&"h1"));
}

/// Load pattern: the fast first targets of a zone have failed, and one that holds few layers has
/// memory for many more requests than it accepts at once. The rest would wait there for seconds.
#[test]
fn a_first_target_gets_no_more_requests_than_it_accepts_at_once() {
    let few_layers = |name: &str| ChainTarget {
        max_received: 20,
        ..target(name, "home", "fast", 0, 10)
    };
    let rest = [
        target("r1", "home", "fast", 10, 45),
        target("r2", "home", "fast", 45, 80),
    ];
    let targets = [few_layers("f1"), few_layers("f2")].into_iter().chain(rest);
    let mut router = router(targets.collect());
    let mut chains = Vec::new();
    while let Ok(chain) = router.choose(&REQUEST, Millis(0)) {
        chains.push(chain);
    }
    let count = |name: &str| chains.iter().filter(|it| names(it)[0] == name).count();
    assert!(count("f1") <= 20 && count("f2") <= 20);
    assert!(chains.len() >= 36, "{} chains", chains.len());
    let released = chains.pop().unwrap();
    router.release(released.reservation);
    assert!(router.choose(&REQUEST, Millis(0)).is_ok());
}

/// Load pattern: no zone covers all layers any more, and many entries look for chains at once. The
/// chains chosen must not exceed the capacity of the link between zones, however many are asked
/// for.
#[test]
fn chains_across_zones_stay_within_the_capacity_of_the_link() {
    let entries = 84;
    let mut targets = two_zones();
    targets.retain(|target| target.name != "h2".into() && target.name != "f1".into());
    let mut routers: Vec<ChainRouter> = (0..entries).map(|_| router(targets.clone())).collect();
    let model = routers[0].model().clone();
    let mut chosen = 0;
    for step in 0..1_000 {
        for (number, router) in routers.iter_mut().enumerate() {
            router.set_entries(entries);
            let now = Millis(step * 10 + number as u64 * 37);
            router.set_other_entries_load(&[], &[], now);
            if let Ok(chain) = router.choose(&REQUEST, now) {
                router.release(chain.reservation);
                chosen += 1;
            }
        }
    }
    let tokens = f64::from(REQUEST.prompt_tokens + REQUEST.answer_tokens);
    let capacity = model.place_link_bytes_per_ms * 10_000.0 / (tokens * model.activation_bytes);
    let chosen = f64::from(chosen);
    assert!(chosen <= capacity, "{chosen} of {capacity}");
    assert!(chosen >= capacity * 0.5, "{chosen} of {capacity}");
}

/// Load pattern: targets of the entry's zone shed load during a burst, and later those of the other
/// zone as well.
#[test]
fn chains_leave_out_targets_that_asked_for_a_pause_and_a_refusal_names_its_first_end() {
    let mut router = router(two_zones());
    router.pause(&run("h1"), Millis(900));
    let far = router.choose(&REQUEST, Millis(0)).unwrap();
    assert_eq!(names(&far), ["f1", "f2"]);
    router.pause(&run("f2"), Millis(400));
    // A token of an earlier request doesn't end the pause.
    router.record_token(far.reservation, Millis(1));
    router.pause(&run("f2"), Millis(300));
    let refused = router.choose(&REQUEST, Millis(399)).unwrap_err();
    assert_eq!(refused, NoChain::Paused { until: Millis(400) });
    let far = router.choose(&REQUEST, Millis(400)).unwrap();
    assert_eq!(names(&far), ["f1", "f2"]);
    let home = router.choose(&REQUEST, Millis(900)).unwrap();
    assert_eq!(names(&home), ["h1", "h2"]);
}

/// The pause of a target can't explain that layers are missing that it doesn't hold.
#[test]
fn layers_that_no_target_holds_are_uncovered_also_while_others_pause() {
    let mut router = router(vec![target("h1", "home", "fast", 0, 40)]);
    router.pause(&run("h1"), Millis(900));
    let refused = router.choose(&REQUEST, Millis(0)).unwrap_err();
    assert_eq!(refused, NoChain::Uncovered);
}
