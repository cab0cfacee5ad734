//! Tests of the router: coverage, versions, reservations, replacement and local failures.

mod common;

use std::collections::{BTreeSet, VecDeque};

use common::{input, link, model, range, request, router, target};
use mgw_route::{NoPath, Path, PathRequest, Router, RouterSettings};
use mgw_world::{
    AdapterName, Engine, Incarnation, Millis, ModelVersion, Target, TargetKind, TargetName,
};
use proptest::prelude::*;

fn three_stages(copies: usize) -> Vec<Target> {
    let mut targets = Vec::new();
    for (stage, (first, end)) in [(0, 8), (8, 16), (16, 24)].into_iter().enumerate() {
        for copy in 0..copies {
            targets.push(target(&format!("s{stage}-{copy}"), "a", first, end, 100));
        }
    }
    targets
}

fn with_engine(target: Target, change: impl FnOnce(&mut Engine)) -> Target {
    let mut target = target;
    if let TargetKind::Engine(engine) = &mut target.duty {
        change(engine);
    }
    target
}

fn in_version(target: Target, version: &str) -> Target {
    with_engine(target, |engine| engine.version = version.into())
}

fn names(path: &Path) -> Vec<TargetName> {
    path.stages
        .iter()
        .map(|stage| stage.target.clone())
        .collect()
}

fn in_flight(router: &Router) -> u32 {
    router.targets().iter().map(|view| view.in_flight).sum()
}

macro_rules! no_path_cases {
    ($($name:ident: $targets:expr, $request:expr => $error:pat,)*) => {$(
        #[test]
        fn $name() {
            let mut router = router(24, $targets);
            let result = router.choose_path(&$request, Millis(0));
            assert!(matches!(result, Err($error)), "{result:?}");
            assert_eq!(in_flight(&router), 0);
        }
    )*};
}

no_path_cases! {
    an_unknown_model: three_stages(1),
        PathRequest { model: "other".into(), ..request() } => NoPath::UnknownModel { .. },
    no_target_at_all: Vec::new(), request() => NoPath::NotCovered { .. },
    a_missing_stage: three_stages(1)[..2].to_vec(), request() => NoPath::NotCovered { .. },
    a_version_that_no_target_holds: three_stages(1),
        PathRequest { version: "v2".into(), ..request() } => NoPath::NotCovered { .. },
    stages_of_two_versions: vec![
        target("s0", "a", 0, 12, 100),
        in_version(target("s1", "a", 12, 24, 100), "v2"),
    ], request() => NoPath::NotCovered { .. },
    an_adapter_on_one_stage_only: vec![
        with_engine(target("s0", "a", 0, 12, 100), |it| it.adapter = Some("tone".into())),
        target("s1", "a", 12, 24, 100),
    ], PathRequest { adapter: Some("tone".into()), ..request() } => NoPath::NotCovered { .. },
    more_tokens_than_the_kv_memory_holds: three_stages(1),
        PathRequest { tokens: 1_000_000, ..request() } => NoPath::Full { .. },
}

#[test]
fn a_path_has_one_version_and_one_adapter() {
    let tone = Some(AdapterName::from("tone"));
    let mut targets = three_stages(2);
    for item in three_stages(2) {
        let renamed = Target {
            name: format!("{}-new", item.name).into(),
            ..item.clone()
        };
        targets.push(in_version(renamed, "v2"));
        let renamed = Target {
            name: format!("{}-tone", item.name).into(),
            ..item
        };
        targets.push(with_engine(renamed, |engine| {
            engine.adapter = Some("tone".into());
        }));
    }
    let mut router = router(24, targets);
    for (version, adapter, suffix) in [
        ("v1", None, ""),
        ("v2", None, "-new"),
        ("v1", tone, "-tone"),
    ] {
        for _ in 0..50 {
            let variant_request = PathRequest {
                version: version.into(),
                adapter: adapter.clone(),
                ..request()
            };
            let path = router.choose_path(&variant_request, Millis(0)).unwrap();
            assert!(path.covers(24), "{path:?}");
            assert_eq!(path.version, ModelVersion::from(version));
            for name in names(&path) {
                assert_eq!(name.as_str().get(4..), Some(suffix), "{name}");
            }
        }
    }
}

#[test]
fn a_repeated_release_frees_a_reservation_only_once() {
    let mut router = router(24, three_stages(2));
    let first = router.choose_path(&request(), Millis(0)).unwrap();
    let second = router.choose_path(&request(), Millis(0)).unwrap();
    assert_eq!(in_flight(&router), 6);
    router.release(first.reservation);
    router.release(first.reservation);
    assert_eq!(in_flight(&router), 3);
    router.release(second.reservation);
    assert!(
        router
            .targets()
            .iter()
            .all(|it| it.in_flight == 0 && it.kv_bytes == 0)
    );
}

#[test]
fn kv_memory_and_requests_stay_within_the_share_of_the_entry() {
    let mut router = router(24, three_stages(1));
    router.set_entries(4);
    let long = PathRequest {
        tokens: 1_000,
        ..request()
    };
    let mut started = 0;
    while router.choose_path(&long, Millis(10_000)).is_ok() {
        started += 1;
    }
    assert_eq!(
        started, 3,
        "each request needs 80,000 bytes of KV memory, the share is 250,000"
    );
    let mut small = common::router(24, three_stages(1));
    small.set_entries(4);
    let short = (0..1_000).take_while(|_| small.choose_path(&request(), Millis(10_000)).is_ok());
    assert_eq!(
        short.count(),
        25,
        "with old load reports an entry may run its share only, a quarter of 100 requests"
    );
}

#[test]
fn a_fresh_report_of_an_idle_target_allows_twice_the_share() {
    let mut router = router(24, three_stages(1));
    router.set_entries(4);
    let started = (0..1_000).take_while(|_| router.choose_path(&request(), Millis(0)).is_ok());
    assert_eq!(started.count(), 50);
}

#[test]
fn a_removed_target_gets_no_new_paths() {
    let mut router = router(24, three_stages(2));
    let paths: Vec<_> = (0..10)
        .map(|_| router.choose_path(&request(), Millis(0)).unwrap())
        .collect();
    let remaining = three_stages(2)
        .into_iter()
        .filter(|it| it.name.as_str() != "s1-0");
    router.update_targets(remaining.map(input), Millis(10));
    for _ in 0..50 {
        let path = router.choose_path(&request(), Millis(10)).unwrap();
        assert!(!names(&path).contains(&"s1-0".into()));
        router.release(path.reservation);
    }
    for path in paths {
        router.release(path.reservation);
    }
    assert_eq!(in_flight(&router), 0);
}

#[test]
fn the_same_seed_gives_the_same_paths() {
    let paths = || {
        let mut router = router(24, three_stages(5));
        let choose = |_| names(&router.choose_path(&request(), Millis(0)).unwrap());
        (0..50).map(choose).collect::<Vec<_>>()
    };
    assert_eq!(paths(), paths());
}

#[test]
fn a_failed_stage_is_replaced_by_a_target_with_the_same_layers() {
    let mut router = router(24, three_stages(3));
    let mut path = router.choose_path(&request(), Millis(0)).unwrap();
    let failed = path.stages[1].target.clone();
    let new = router
        .replace_stage(
            &mut path,
            range(8, 16),
            std::slice::from_ref(&failed),
            Millis(0),
        )
        .unwrap();
    assert_eq!(new.len(), 1);
    assert_ne!(new[0].target, failed);
    assert_eq!(path.stages[1], new[0]);
    assert!(path.covers(24));
    assert_eq!(in_flight(&router), 3);
    router.release(path.reservation);
    assert_eq!(in_flight(&router), 0);
}

#[test]
fn a_failed_stage_is_replaced_by_several_targets_if_no_single_one_holds_its_layers() {
    let mut targets = three_stages(1);
    targets.push(target("low", "b", 8, 11, 10));
    targets.push(target("high", "c", 11, 16, 10));
    targets.push(target("past", "c", 11, 17, 900));
    let mut router = router(24, targets);
    let mut path = router.choose_path(&request(), Millis(0)).unwrap();
    while path.stages.len() != 3 {
        router.release(path.reservation);
        path = router.choose_path(&request(), Millis(0)).unwrap();
    }
    let failed = [TargetName::from("s1-0")];
    let new = router
        .replace_stage(&mut path, range(8, 16), &failed, Millis(0))
        .unwrap();
    let new: Vec<_> = new.iter().map(|stage| stage.target.as_str()).collect();
    assert_eq!(new, ["low", "high"]);
    assert!(path.covers(24));
    assert_eq!(in_flight(&router), 4);
}

#[test]
fn a_failed_replacement_is_replaced_too_until_no_target_is_left() {
    let mut router = router(24, three_stages(3));
    let mut path = router.choose_path(&request(), Millis(0)).unwrap();
    let mut failed = Vec::new();
    for _ in 0..2 {
        failed.push(path.stages[1].target.clone());
        router.mark_suspect(&path.stages[1].target, Millis(0));
        router
            .replace_stage(&mut path, range(8, 16), &failed, Millis(0))
            .unwrap();
    }
    assert!(!failed.contains(&path.stages[1].target));
    failed.push(path.stages[1].target.clone());
    let before = path.clone();
    let result = router.replace_stage(&mut path, range(8, 16), &failed, Millis(0));
    assert!(
        matches!(result, Err(NoPath::Full { .. } | NoPath::NotCovered { .. })),
        "{result:?}"
    );
    assert_eq!(path, before);
    router.release(path.reservation);
    assert_eq!(in_flight(&router), 0);
}

#[test]
fn layers_that_are_not_exactly_stages_of_the_path_cant_be_replaced() {
    let mut router = router(24, three_stages(2));
    let mut path = router.choose_path(&request(), Millis(0)).unwrap();
    for layers in [range(8, 15), range(9, 16), range(16, 25)] {
        let result = router.replace_stage(&mut path, layers, &[], Millis(0));
        assert_eq!(result, Err(NoPath::NotInPath { layers }));
    }
}

#[test]
fn a_suspect_target_is_excluded_longer_after_each_failure() {
    let mut router = router(24, three_stages(2));
    let suspect: TargetName = "s0-0".into();
    let until = |router: &Router| {
        let views = router.targets();
        views
            .iter()
            .find(|view| view.name == suspect)
            .unwrap()
            .suspect_until
            .unwrap()
    };
    let mut now = Millis(0);
    for expected in [1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000] {
        router.mark_suspect(&suspect, now);
        assert_eq!(until(&router), now + Millis(expected));
        for _ in 0..20 {
            let path = router.choose_path(&request(), now).unwrap();
            assert_ne!(path.stages[0].target, suspect);
            router.release(path.reservation);
        }
        now = until(&router);
        let mut seen = BTreeSet::new();
        for _ in 0..50 {
            let path = router.choose_path(&request(), now).unwrap();
            seen.insert(path.stages[0].target.clone());
            router.release(path.reservation);
        }
        assert!(
            seen.contains(&suspect),
            "the target isn't chosen again at {now}"
        );
    }
    router.mark_suspect(&suspect, now + Millis(60_000));
    assert_eq!(
        until(&router),
        now + Millis(61_000),
        "the failure count starts again after suspect_reset_ms"
    );
}

#[test]
fn a_suspect_target_is_used_if_no_other_holds_its_layers() {
    let mut router = router(24, three_stages(1));
    router.mark_suspect(&"s1-0".into(), Millis(0));
    assert!(router.choose_path(&request(), Millis(1)).is_ok());
}

#[test]
fn new_paths_use_the_new_incarnation_of_a_restarted_target() {
    let mut router = router(24, three_stages(1));
    let old = router.choose_path(&request(), Millis(0)).unwrap();
    let restarted = three_stages(1).into_iter().map(|mut it| {
        it.incarnation = Incarnation(2);
        it
    });
    router.update_targets(restarted.map(input), Millis(10));
    let new = router.choose_path(&request(), Millis(10)).unwrap();
    assert!(old.stages.iter().all(|it| it.incarnation == Incarnation(1)));
    assert!(new.stages.iter().all(|it| it.incarnation == Incarnation(2)));
    router.release(old.reservation);
    router.release(new.reservation);
    assert_eq!(in_flight(&router), 0);
}

#[test]
fn choices_follow_the_flow_over_a_slow_link() {
    let targets = vec![
        target("a-low", "a", 0, 12, 100),
        target("a-high", "a", 12, 24, 70),
        target("b-high", "b", 12, 24, 100),
    ];
    let mut router = Router::new(RouterSettings::default());
    router.update_models([model(24)]);
    router.update_links([link("a", "b", 30)]);
    router.update_targets(targets.into_iter().map(input), Millis(0));
    let mut crossed = 0;
    let mut reservations = VecDeque::new();
    for _ in 0..1_000 {
        let path = router.choose_path(&request(), Millis(0)).unwrap();
        crossed += u32::from(path.stages[1].target.as_str() == "b-high");
        reservations.push_back(path.reservation);
        if reservations.len() > 50 {
            router.release(reservations.pop_front().unwrap());
        }
    }
    assert!(
        (270..=330).contains(&crossed),
        "{crossed} of 1,000 paths crossed the link, expected about 300"
    );
}

#[test]
fn a_target_reported_idle_is_not_chosen_by_every_entry() {
    let mut first_choices = 0;
    for seed in 0..200 {
        let mut router = Router::new(RouterSettings {
            seed,
            ..RouterSettings::default()
        });
        router.update_models([model(24)]);
        let targets = (0..10).map(|index| {
            let mut item = input(target(&format!("t{index}"), "a", 0, 24, 100));
            item.load.in_flight = if index == 0 { 0 } else { 50 };
            item
        });
        router.update_targets(targets, Millis(0));
        let path = router.choose_path(&request(), Millis(0)).unwrap();
        first_choices += u32::from(path.stages[0].target.as_str() == "t0");
    }
    // A uniform choice gives 20; a weight factor of at most 2 and two samples give at most 70.
    assert!(
        first_choices <= 70,
        "{first_choices} of 200 entries chose the target whose report shows it idle"
    );
}

#[test]
fn capacity_is_the_share_of_the_scarcest_layer() {
    let mut targets = three_stages(3);
    targets.retain(|target| !["s1-1", "s1-2"].contains(&target.name.as_str()));
    let mut router = router(24, targets);
    let mut capacity = |entries| {
        router.set_entries(entries);
        let found = router.capacity(&"drill".into(), &"v1".into(), None, Millis(0));
        found.map(|it| (it.max_requests, it.kv_bytes))
    };
    assert_eq!(capacity(1), Some((100, 7_000_000)));
    assert_eq!(capacity(4), Some((25, 1_750_000)));
    let nothing = router.capacity(&"other".into(), &"v1".into(), None, Millis(0));
    assert!(nothing.is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(4), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_path_covers_all_layers_once(
        stages in proptest::collection::vec((0_u16..6, 1_u16..4, 0_usize..3, 1_u32..500), 1..40),
        failed_stage in 0_usize..6,
    ) {
        let targets = stages.iter().enumerate().map(|(index, (first, count, place, speed))| {
            let end = (first + count).min(6);
            target(&format!("t{index:02}"), ["a", "b", "c"][*place], *first, end, *speed)
        });
        let mut router = router(6, targets.collect());
        router.update_links([link("a", "b", 50), link("b", "c", 100)]);
        let bound = router.bound(&"drill".into(), &"v1".into(), None, Millis(0));
        let is_covered = bound.is_some_and(|bound| bound.tokens_per_s > 0.0);
        for _ in 0..20 {
            match router.choose_path(&request(), Millis(0)) {
                Ok(mut path) => {
                    prop_assert!(path.covers(6), "{path:?}");
                    let stage = path.stages[failed_stage % path.stages.len()].clone();
                    let excluded = [stage.target.clone()];
                    if router.replace_stage(&mut path, stage.layers, &excluded, Millis(0)).is_ok() {
                        prop_assert!(path.covers(6), "{path:?}");
                        prop_assert!(!names(&path).contains(&stage.target));
                    }
                    router.release(path.reservation);
                    prop_assert_eq!(in_flight(&router), 0);
                }
                Err(error) => {
                    let not_covered = matches!(error, NoPath::NotCovered { .. });
                    prop_assert!(!is_covered && not_covered, "{error}");
                }
            }
        }
    }
}
