//! Tests of the choice between a target that holds a prompt's prefix and one that is free: the
//! estimate, what ends the evidence, and a popular prefix at many entries.

#![allow(clippy::unwrap_used)]

mod common;

#[path = "../examples/support/affinity.rs"]
#[allow(dead_code, reason = "only some of the results are used here")]
mod affinity;
#[path = "../examples/support/fleet.rs"]
#[allow(dead_code, reason = "only the targets are used here")]
mod fleet;

use std::sync::Arc;

use affinity::{CacheOutcome, CacheSimSettings, run_cache_sim};
use common::{input, model, request, target};
use mgw_contract::target::{CacheEvent, LoadReport};
use mgw_route::{
    PathRequest, PrefillTarget, PrefixDigest, PrefixRule, Router, RouterSettings, TargetInput,
    choose_prefill_target, follow_probability,
};
use mgw_world::{Incarnation, Millis, Target, TargetKind};

const PROMPT_TOKENS: f64 = 800.0;

/// A target that prefills a token in 1 ms.
const FREE: PrefillTarget = PrefillTarget {
    token_ms: 1.0,
    held_tokens: 0.0,
    wait_ms: 0.0,
    memory_share: 0.0,
    rate: 1.0,
};

const HOLDER: PrefillTarget = PrefillTarget {
    held_tokens: 400.0,
    ..FREE
};

macro_rules! weighing_cases {
    ($($name:ident: $holder:expr, $other:expr => $is_holder_chosen:expr;)*) => {$(
        #[test]
        fn $name() {
            let chosen = choose_prefill_target(&[$holder, $other], PROMPT_TOKENS, || 0.5);
            assert_eq!(chosen, Some(usize::from(!$is_holder_chosen)));
        }
    )*};
}

weighing_cases! {
    a_holder_is_chosen_over_a_free_target: HOLDER, FREE => true;
    a_shorter_wait_than_the_saved_prefill_is_accepted:
        PrefillTarget { wait_ms: 300.0, ..HOLDER }, FREE => true;
    a_longer_wait_than_the_saved_prefill_is_not_accepted:
        PrefillTarget { wait_ms: 500.0, ..HOLDER }, FREE => false;
    a_holder_without_free_memory_is_not_chosen:
        PrefillTarget { memory_share: 0.94, ..HOLDER }, FREE => false;
    a_slow_holder_is_not_chosen_over_a_fast_target:
        PrefillTarget { token_ms: 8.2, ..HOLDER }, PrefillTarget { token_ms: 3.2, ..FREE } => false;
    a_slow_holder_of_almost_the_whole_prompt_is_chosen:
        PrefillTarget { token_ms: 8.2, held_tokens: 784.0, ..FREE },
        PrefillTarget { token_ms: 3.2, ..FREE } => true;
}

#[test]
fn a_prefix_is_followed_within_the_part_of_its_holders() {
    assert_eq!(follow_probability(0.25, 0.1, 0.5), 1.0);
    assert_eq!(follow_probability(0.25, 0.5, 0.5), 0.25);
    assert_eq!(follow_probability(0.0, 0.4, 1.0), 0.0);
}

/// `t3` as it is reported now, after it stored a prefix at time 0.
struct Change {
    rule: PrefixRule,
    now: Millis,
    load: LoadReport,
    target: Target,
}

impl Default for Change {
    fn default() -> Self {
        Self {
            rule: PrefixRule::Weighed,
            now: Millis(1),
            load: LoadReport::default(),
            target: target("t3", "a", 0, 24, 100),
        }
    }
}

/// How many of 20 new routers send a prompt with the prefix to `t3` after this change.
fn choices_of_t3(change: &Change) -> usize {
    let chosen = (0..20).filter(|seed| {
        let mut router = Router::new(RouterSettings {
            seed: *seed,
            prefix_rule: change.rule,
            ..RouterSettings::default()
        });
        router.update_models([model(24)]);
        let others = (0..8).filter(|index| *index != 3);
        let others: Vec<Target> = others
            .map(|index| target(&format!("t{index}"), "a", 0, 24, 100))
            .collect();
        let targets = others
            .iter()
            .cloned()
            .chain([target("t3", "a", 0, 24, 100)]);
        router.update_targets(targets.map(input), Millis(0));
        let stored = CacheEvent {
            sequence: 1,
            prefix: 7,
            tokens: 16,
            stored: true,
        };
        router.apply_cache_events(&"t3".into(), Incarnation(1), &[stored]);
        let changed = TargetInput {
            load: change.load,
            target: Arc::new(change.target.clone()),
            ..input(change.target.clone())
        };
        let inputs = others.into_iter().map(input).chain([changed]);
        router.update_targets(inputs, change.now);
        let request = PathRequest {
            prefixes: vec![PrefixDigest(7)],
            ..request()
        };
        let path = router.choose_path(&request, change.now).unwrap();
        path.stages[0].target.as_str() == "t3"
    });
    chosen.count()
}

fn by_default() -> Change {
    Change {
        rule: RouterSettings::default().prefix_rule,
        ..Change::default()
    }
}

fn restarted() -> Target {
    Target {
        incarnation: Incarnation(2),
        ..Change::default().target
    }
}

/// The same run of the target with another engine that still serves the model.
fn reloaded() -> Target {
    let mut target = Change::default().target;
    if let TargetKind::Engine(engine) = &mut target.duty {
        engine.accelerator = "b".into();
    }
    target
}

macro_rules! change_cases {
    ($($name:ident: $change:expr => $is_chosen:expr;)*) => {$(
        #[test]
        fn $name() {
            let count = choices_of_t3(&$change);
            assert!(if $is_chosen { count == 20 } else { count < 10 }, "{count} of 20");
        }
    )*};
}

change_cases! {
    a_free_holder_is_chosen: Change::default() => true;
    a_holder_with_a_long_reported_queue_is_not_chosen:
        Change { load: LoadReport { in_flight: 40, ..LoadReport::default() }, ..Change::default() }
        => false;
    a_holder_with_little_free_memory_is_not_chosen:
        Change {
            load: LoadReport { kv_bytes_used: 930_000, ..LoadReport::default() },
            ..Change::default()
        } => false;
    a_restart_ends_what_a_target_holds:
        Change { target: restarted(), ..Change::default() } => false;
    other_weights_end_what_a_target_holds:
        Change { target: reloaded(), ..Change::default() } => false;
    old_evidence_is_not_followed: Change { now: Millis(600_000), ..Change::default() } => false;
    the_default_rule_follows_a_holder_whatever_its_reported_queue:
        Change { load: LoadReport { in_flight: 40, ..LoadReport::default() }, ..by_default() }
        => true;
    the_default_rule_follows_old_evidence:
        Change { now: Millis(600_000), ..by_default() } => true;
    by_the_default_rule_a_restart_ends_what_a_target_holds:
        Change { target: restarted(), ..by_default() } => false;
    by_the_default_rule_other_weights_end_what_a_target_holds:
        Change { target: reloaded(), ..by_default() } => false;
}

#[test]
fn a_prefix_that_saves_little_changes_no_choice() {
    let prefixes: Vec<PrefixDigest> = (7..57).map(PrefixDigest).collect();
    let events = [1, 2].map(|sequence| CacheEvent {
        sequence,
        prefix: prefixes[sequence as usize - 1].0,
        tokens: 16,
        stored: true,
    });
    for seed in 0..20 {
        let choose = |prefixes: &[PrefixDigest]| {
            let mut router = Router::new(RouterSettings {
                seed,
                prefix_rule: PrefixRule::Weighed,
                ..RouterSettings::default()
            });
            router.update_models([model(24)]);
            let targets = (0..8).map(|index| target(&format!("t{index}"), "a", 0, 24, 100));
            router.update_targets(targets.map(input), Millis(0));
            router.apply_cache_events(&"t3".into(), Incarnation(1), &events);
            let request = PathRequest {
                prefixes: prefixes.to_vec(),
                ..request()
            };
            let path = router.choose_path(&request, Millis(1)).unwrap();
            path.stages[0].target.clone()
        };
        assert_eq!(choose(&prefixes), choose(&[]), "seed {seed}");
    }
}

/// A popular prefix with a share of 0.3, at 77 entries.
fn measure(with_affinity: bool, common_blocks: usize, seed: u64) -> CacheOutcome {
    run_cache_sim(CacheSimSettings {
        with_affinity,
        prefix_rule: PrefixRule::Weighed,
        prefixes: 60,
        common_blocks,
        popular_percent: 30,
        cache_capacity_blocks: 300,
        lost_percent: 0,
        entries: 77,
        events_to_one_entry: false,
        requests_per_s: 30,
        seconds: 30,
        seed,
    })
}

macro_rules! popular_cases {
    ($($name:ident: $common_blocks:expr;)*) => {$(
        /// The 99th percentile of one run varies by a fifth with the order of arrivals, so that
        /// several are added.
        #[test]
        fn $name() {
            let seeds = [7, 8, 9];
            let without = seeds.map(|seed| measure(false, $common_blocks, seed));
            let with = seeds.map(|seed| measure(true, $common_blocks, seed));
            println!("{without:#?} {with:#?}");
            let sum = |outcomes: &[CacheOutcome], value: fn(&CacheOutcome) -> u64| {
                outcomes.iter().map(value).sum::<u64>()
            };
            assert!(sum(&with, |it| it.p99_ms) <= sum(&without, |it| it.p99_ms));
            assert!(sum(&with, |it| it.p50_ms) <= sum(&without, |it| it.p50_ms));
            assert!(sum(&with, |it| it.saved_tokens) > sum(&without, |it| it.saved_tokens));
        }
    )*};
}

popular_cases! {
    a_popular_prefix_of_a_part_of_the_prompt_delays_no_first_event: 4;
    a_popular_prefix_of_most_of_the_prompt_delays_no_first_event: 12;
}
