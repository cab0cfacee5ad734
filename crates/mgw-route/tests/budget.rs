//! Tests of the retry budgets: retries must not multiply over stages and callers.

use mgw_route::{RetryBudget, RetryBudgetSettings, SendWindow, ServiceSends, compute_retry_grant};
use mgw_world::Millis;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn retries_never_exceed_the_earned_and_the_saved_ones(
        wanted in proptest::collection::vec(0_u32..20, 1..300),
        percent in 0_u32..50,
        saved in 0_u32..20,
    ) {
        let settings = RetryBudgetSettings { retries_per_hundred: percent, max_saved: saved };
        let mut budget = RetryBudget::new(settings);
        let mut allowed = 0;
        for retries_wanted in &wanted {
            budget.count_request();
            for _ in 0..*retries_wanted {
                allowed += u64::from(budget.try_retry());
            }
            let earned = budget.requests() * u64::from(percent) / 100;
            prop_assert!(allowed <= earned + u64::from(saved));
        }
        let all_wanted: u64 = wanted.iter().map(|it| u64::from(*it)).sum();
        prop_assert_eq!(budget.retries(), allowed);
        prop_assert_eq!(budget.refused(), all_wanted - allowed);
    }
}

#[test]
fn failures_of_every_stage_add_at_most_a_tenth_of_a_retry_per_request() {
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

const ENTRIES: usize = 84;
/// Number of entries whose requests fail.
const FAULTY_ENTRIES: usize = 20;
const STEP_MS: u64 = 20;
const REPORT_INTERVAL_MS: u64 = 840;
const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    retries_per_hundred: 14,
    max_saved: 246,
};

/// Simulates entries that receive about four requests a second each. From second 12 to 17 every
/// request of the faulty entries needs two retries. Returns the number of retries in each step.
fn simulate_faults_at_some_entries(is_shared: bool) -> Vec<u64> {
    let equal_share = RetryBudgetSettings {
        max_saved: SETTINGS.max_saved / ENTRIES as u32,
        ..SETTINGS
    };
    let mut budgets = vec![RetryBudget::new(equal_share); ENTRIES];
    let mut window = SendWindow::default();
    let mut retries = Vec::new();
    for step in 0..1_000 {
        let now_ms = step * STEP_MS;
        let is_faulty = (12_000..17_000).contains(&now_ms);
        let before: u64 = budgets.iter().map(RetryBudget::retries).sum();
        for (number, budget) in budgets.iter_mut().enumerate() {
            let phase_ms = now_ms + number as u64 * 10;
            if phase_ms.is_multiple_of(240) {
                budget.count_request();
                for _ in 0..if is_faulty && number < FAULTY_ENTRIES {
                    2
                } else {
                    0
                } {
                    budget.try_retry();
                }
            }
            if is_shared && phase_ms % REPORT_INTERVAL_MS < STEP_MS {
                let counts = ServiceSends {
                    service: "pool".into(),
                    first: budget.requests(),
                    further: budget.retries(),
                };
                window.record(&number.to_string(), &[counts], Millis(now_ms));
                match window.totals(Millis(now_ms)).first() {
                    Some(all) => budget.grant(compute_retry_grant(&SETTINGS, all, ENTRIES as u32)),
                    None => budget.resume_earning(),
                }
            }
        }
        let after: u64 = budgets.iter().map(RetryBudget::retries).sum();
        retries.push(after - before);
    }
    retries
}

/// Load pattern: faults affect a quarter of many entries at once. With fixed equal shares the other
/// entries' share of the budget would be unused.
#[test]
fn a_shared_budget_gives_the_entries_with_faults_at_least_twice_the_retries() {
    let separate: u64 = simulate_faults_at_some_entries(false).iter().sum();
    let shared = simulate_faults_at_some_entries(true);
    let together: u64 = shared.iter().sum();
    assert!(
        together >= separate * 2,
        "{together} with a shared budget, {separate} with separate ones"
    );
    // The requests of ten seconds earn retries, in addition to those that may be saved up.
    let requests = ENTRIES as u64 * 10_000 / 240;
    let earned = requests * u64::from(SETTINGS.retries_per_hundred) / 100;
    let most = earned + u64::from(SETTINGS.max_saved);
    let window = (10_000 / STEP_MS) as usize;
    let worst = shared.windows(window).map(|part| part.iter().sum::<u64>());
    assert!(worst.max() <= Some(most), "at most {most}");
}

#[test]
fn a_send_window_handles_restarted_entries_and_drops_expired_counts() {
    let count = |first, further| ServiceSends {
        service: "pool".into(),
        first,
        further,
    };
    let mut window = SendWindow::default();
    window.record("one", &[count(50, 5)], Millis(0));
    assert!(
        window.totals(Millis(9_000)).is_empty(),
        "the window isn't complete yet"
    );
    window.record("one", &[count(60, 6)], Millis(9_000));
    window.record("one", &[count(3, 1)], Millis(11_000));
    assert_eq!(window.totals(Millis(11_000)), [count(13, 2)]);
    window.record("two", &[], Millis(30_000));
    assert_eq!(window.totals(Millis(30_000)), [count(0, 0)]);
}
