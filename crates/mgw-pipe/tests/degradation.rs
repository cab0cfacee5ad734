//! Detection of degraded targets, and the limit on moves to one target.

use mgw_pipe::{DegradationDetector, MoveBudget, MoveSettings};
use mgw_world::{Millis, TargetName};

const STEPS: u32 = 200;

/// Observes steps of a target and of two peers, at multiples of their baseline times; returns
/// whether the target was degraded after each step.
fn observe(detector: &mut DegradationDetector, steps: u32, peers: f64, target: f64) -> Vec<bool> {
    let mut degraded_states = Vec::new();
    for _ in 0..steps {
        detector.observe(&"pos-engine-1".into(), 5.0 * peers);
        detector.observe(&"sfo-engine-1".into(), 9.0 * peers);
        degraded_states.push(detector.observe(&"chg-engine-1".into(), 6.0 * target));
    }
    degraded_states
}

macro_rules! degradation_cases {
    ($($name:ident: peers $peers:literal, target $target:literal, degraded $degraded:literal;)+) => {
        $(
            #[test]
            fn $name() {
                let mut detector = DegradationDetector::default();
                observe(&mut detector, STEPS, 1.0, 1.0);
                let degraded_states = observe(&mut detector, STEPS, $peers, $target);
                assert_eq!(degraded_states.last(), Some(&$degraded));
                let changes = degraded_states.windows(2).filter(|pair| pair[0] != pair[1]).count();
                assert!(changes <= 1, "the state of the target changed {changes} times");
            }
        )+
    };
}

degradation_cases! {
    target_at_baseline_time_is_not_degraded: peers 1.0, target 1.0, degraded false;
    threefold_time_is_not_degraded: peers 1.0, target 3.0, degraded false;
    tenfold_time_is_degraded: peers 1.0, target 10.0, degraded true;
    tenfold_time_of_all_targets_is_not_degraded: peers 10.0, target 10.0, degraded false;
    sixfold_time_with_peers_at_threefold_is_not_degraded: peers 3.0, target 6.0, degraded false;
    thirtyfold_time_with_peers_at_threefold_is_degraded: peers 3.0, target 30.0, degraded true;
}

#[test]
fn tenfold_time_is_detected_within_eight_steps() {
    let mut detector = DegradationDetector::default();
    observe(&mut detector, STEPS, 1.0, 1.0);
    let degraded_states = observe(&mut detector, 8, 1.0, 10.0);
    assert_eq!(degraded_states.last(), Some(&true), "{degraded_states:?}");
}

#[test]
fn one_slow_step_does_not_degrade_a_target() {
    let mut detector = DegradationDetector::default();
    observe(&mut detector, STEPS, 1.0, 1.0);
    assert!(!detector.observe(&"chg-engine-1".into(), 70.0));
}

#[test]
fn recovered_target_is_not_degraded_after_sixteen_steps() {
    let mut detector = DegradationDetector::default();
    observe(&mut detector, STEPS, 1.0, 1.0);
    observe(&mut detector, STEPS, 1.0, 10.0);
    let degraded_states = observe(&mut detector, 16, 1.0, 1.0);
    assert_eq!(degraded_states.last(), Some(&false));
}

#[test]
fn target_without_peers_is_never_degraded() {
    let mut detector = DegradationDetector::default();
    for step in 0..STEPS {
        let step_ms = if step < STEPS / 2 { 5.0 } else { 50.0 };
        assert!(!detector.observe(&"pos-engine-1".into(), step_ms));
    }
}

#[test]
fn moves_to_one_target_are_limited_by_burst_and_rate() {
    let settings = MoveSettings {
        burst: 5,
        per_s: 10,
    };
    let mut budget = MoveBudget::new(settings);
    let target = TargetName::from("pos-engine-1");
    let mut moved = 0;
    for now in (0..2000).map(Millis) {
        if !budget.list_exhausted(now).contains(&target) {
            budget.record_move(&target, now);
            moved += 1;
        }
    }
    assert_eq!(moved, 5 + 19);
    assert!(budget.list_exhausted(Millis(10_000)).is_empty());
}
