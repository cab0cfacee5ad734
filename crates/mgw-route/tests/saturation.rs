//! Measures how much of the bound flow-guided path choice reaches at saturation, with targets of
//! mixed speeds and delayed load reports.

#[path = "../examples/support/mod.rs"]
mod support;

use support::{Policy, Shape, SimSettings, run_sim};

/// Minimum throughput as a fraction of the bound.
const MIN_BOUND_FRACTION: f64 = 0.95;
/// Maximum ratio of the highest utilization of a target to the mean of all. Utilization can't
/// exceed 1, so this also limits how little the other targets are used.
const MAX_IMBALANCE: f64 = 1.35;

fn measure(shape: Shape, policy: Policy, lag_ms: u64, seed: u64) -> support::Outcome {
    run_sim(settings(shape, policy, lag_ms, seed))
}

fn settings(shape: Shape, policy: Policy, lag_ms: u64, seed: u64) -> SimSettings {
    SimSettings {
        shape,
        policy,
        lag_ms,
        slowdown: 1,
        entries: 8,
        sessions_per_entry: 160,
        warmup_s: 15,
        measurement_s: 15,
        seed,
    }
}

macro_rules! saturation_cases {
    ($($name:ident: $shape:expr, $lag_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in [5, 6] {
                let outcome = measure($shape, Policy::FlowGuided, $lag_ms, seed);
                assert!(outcome.bound_fraction() >= MIN_BOUND_FRACTION, "seed {seed}: {outcome:?}");
                assert!(outcome.token_ms > 0.0, "seed {seed}: {outcome:?}");
                assert!(outcome.imbalance <= MAX_IMBALANCE, "seed {seed}: {outcome:?}");
            }
        }
    )*};
}

saturation_cases! {
    even_stages_without_lag: Shape::Even, 0;
    even_stages_with_half_a_second_of_lag: Shape::Even, 500;
    even_stages_with_two_seconds_of_lag: Shape::Even, 2_000;
    mixed_stages_without_lag: Shape::Mixed, 0;
    mixed_stages_with_half_a_second_of_lag: Shape::Mixed, 500;
    mixed_stages_with_two_seconds_of_lag: Shape::Mixed, 2_000;
}

#[test]
fn no_other_policy_reaches_as_much_on_mixed_stages() {
    let flow_guided = measure(Shape::Mixed, Policy::FlowGuided, 500, 5).reached_per_s;
    let other_policies = [
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastInFlight,
        Policy::TwoChoices,
    ];
    for policy in other_policies {
        let reached = measure(Shape::Mixed, policy, 500, 5).reached_per_s;
        assert!(
            reached * 1.1 < flow_guided,
            "{policy:?} reaches {reached} tokens/s, flow-guided {flow_guided}"
        );
    }
}

#[test]
fn throughput_reaches_the_bound_although_a_target_is_four_times_slower_than_stated() {
    for lag_ms in [0, 2_000] {
        let outcome = run_sim(SimSettings {
            slowdown: 4,
            ..settings(Shape::Even, Policy::FlowGuided, lag_ms, 5)
        });
        assert!(outcome.bound_per_s < 1_600.0, "{outcome:?}");
        assert!(
            outcome.bound_fraction() >= MIN_BOUND_FRACTION,
            "{outcome:?}"
        );
    }
}
