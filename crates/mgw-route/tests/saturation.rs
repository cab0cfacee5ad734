//! What flow-guided choice reaches of the bound at saturation, on mixed speeds with lagging reports.

#[path = "../examples/support/mod.rs"]
mod support;

use support::{Policy, Run, Shape, run};

const TARGET_PART: f64 = 0.95;
/// Largest use of a target against the mean of all; a target can't be used beyond its speed, so
/// that this bounds how little the others are used.
const MAX_IMBALANCE: f64 = 1.35;

fn measure(shape: Shape, policy: Policy, lag_ms: u64, seed: u64) -> support::Outcome {
    run(setting(shape, policy, lag_ms, seed))
}

fn setting(shape: Shape, policy: Policy, lag_ms: u64, seed: u64) -> Run {
    Run {
        shape,
        policy,
        lag_ms,
        slowdown: 1,
        entries: 8,
        sessions_per_entry: 160,
        warm_s: 15,
        measured_s: 15,
        seed,
    }
}

macro_rules! saturation_cases {
    ($($name:ident: $shape:expr, $lag_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in [5, 6] {
                let outcome = measure($shape, Policy::FlowGuided, $lag_ms, seed);
                assert!(outcome.part() >= TARGET_PART, "seed {seed}: {outcome:?}");
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
    let ours = measure(Shape::Mixed, Policy::FlowGuided, 500, 5).reached_per_s;
    let others = [
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastInFlight,
        Policy::TwoChoices,
    ];
    for policy in others {
        let theirs = measure(Shape::Mixed, policy, 500, 5).reached_per_s;
        assert!(
            theirs * 1.1 < ours,
            "{policy:?} reaches {theirs}, flow-guided {ours}"
        );
    }
}

#[test]
fn a_target_four_times_slower_than_stated_costs_only_its_own_part() {
    for lag_ms in [0, 2_000] {
        let outcome = run(Run {
            slowdown: 4,
            ..setting(Shape::Even, Policy::FlowGuided, lag_ms, 5)
        });
        assert!(outcome.bound_per_s < 1_600.0, "{outcome:?}");
        assert!(outcome.part() >= TARGET_PART, "{outcome:?}");
    }
}
