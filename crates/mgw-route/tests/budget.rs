//! The retry budget: no multiplication over stages and callers.

use mgw_route::{RetryBudget, RetryBudgetSettings};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn retries_never_exceed_the_ratio_and_the_saved(
        asks in proptest::collection::vec(0_u32..20, 1..300),
        percent in 0_u32..50,
        saved in 0_u32..20,
    ) {
        let settings = RetryBudgetSettings { retries_per_hundred: percent, max_saved: saved };
        let mut budget = RetryBudget::new(settings);
        let mut allowed = 0;
        for retries_wanted in &asks {
            budget.count_request();
            for _ in 0..*retries_wanted {
                allowed += u64::from(budget.try_retry());
            }
            let earned = budget.requests() * u64::from(percent) / 100;
            prop_assert!(allowed <= earned + u64::from(saved));
        }
        let asked: u64 = asks.iter().map(|it| u64::from(*it)).sum();
        prop_assert_eq!(budget.retries(), allowed);
        prop_assert_eq!(budget.refused(), asked - allowed);
    }
}

#[test]
fn every_stage_failing_costs_a_tenth_of_a_retry_for_a_request() {
    let mut budget = RetryBudget::new(RetryBudgetSettings::default());
    let mut calls = 0;
    for _ in 0..10_000 {
        budget.count_request();
        for _stage in 0..3 {
            calls += 1;
            while budget.try_retry() {
                calls += 1;
            }
        }
    }
    assert!(
        calls <= 30_000 + 1_000 + 10,
        "{calls} calls for 10,000 requests of 3 stages"
    );
}
