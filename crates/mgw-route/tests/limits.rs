//! Tests of admission control by deadline, priority, KV memory and weight, and of the latency
//! limit, in simulated time.

use std::collections::BTreeMap;

use mgw_contract::caller::Reason;
use mgw_route::{
    Admission, AdmissionCapacity, AdmissionRequest, AdmissionSettings, Decision, Event,
    LatencyLimit, LatencyLimitSettings, RetryBudget, RetryBudgetSettings,
};
use mgw_world::{Millis, RequestId};
use proptest::prelude::*;

fn request(id: u128) -> AdmissionRequest {
    AdmissionRequest {
        id: RequestId(id),
        workspace: "small".into(),
        weight: 1,
        priority: 0,
        deadline_ms: None,
        tokens: 10,
        kv_bytes: 0,
    }
}

fn admission(max_requests: u32, kv_bytes: u64) -> Admission {
    let capacity = AdmissionCapacity {
        max_requests,
        kv_bytes,
    };
    Admission::new(AdmissionSettings::default(), capacity)
}

/// An admission that has observed that requests of ten tokens take 100 ms.
fn trained(max_requests: u32, kv_bytes: u64) -> Admission {
    let mut trained = admission(max_requests, kv_bytes);
    assert_eq!(trained.offer(request(1_000), Millis(0)), Decision::Start);
    trained.finished(RequestId(1_000), Millis(100));
    trained
}

/// Ids of the requests that these events start.
fn started(events: &[Event]) -> Vec<u128> {
    let ids = events.iter().filter_map(|event| match event {
        Event::Start { id } => Some(id.0),
        Event::Refused { .. } => None,
    });
    ids.collect()
}

macro_rules! offer_cases {
    ($($name:ident: $deadline:expr, $kv:expr, $ahead:expr => $expected:pat,)*) => {$(
        #[test]
        fn $name() {
            let mut admission = trained(1, 1_000);
            let ahead: u128 = $ahead;
            for id in 0..ahead {
                admission.offer(request(id), Millis(100));
            }
            let decision = admission.offer(
                AdmissionRequest { deadline_ms: $deadline, kv_bytes: $kv, ..request(500) },
                Millis(100),
            );
            assert!(matches!(decision, $expected), "{decision:?}");
        }
    )*};
}

offer_cases! {
    a_request_starts_if_nothing_is_running: None, 10, 0 => Decision::Start,
    deadline_just_met_starts: Some(Millis(200)), 10, 0 => Decision::Start,
    deadline_shorter_than_the_run_is_refused_at_once:
        Some(Millis(199)), 10, 0 => Decision::Refused { reason: Reason::Deadline, .. },
    more_kv_memory_than_the_capacity_is_refused:
        None, 1_001, 0 => Decision::Refused { reason: Reason::Overloaded, .. },
    a_request_is_queued_if_the_capacity_is_in_use: None, 10, 1 => Decision::Queued,
    a_wait_within_the_deadline_is_queued: Some(Millis(600)), 10, 2 => Decision::Queued,
    a_wait_beyond_the_deadline_is_refused:
        Some(Millis(600)), 10, 5 => Decision::Refused { reason: Reason::Overloaded, .. },
    a_wait_beyond_the_maximum_is_refused:
        None, 10, 60 => Decision::Refused { reason: Reason::Overloaded, .. },
}

#[test]
fn retry_after_matches_the_time_to_drain_the_queue() {
    let mut admission = trained(1, 1_000);
    for id in 0..4 {
        admission.offer(request(id), Millis(100));
    }
    let tight = AdmissionRequest {
        deadline_ms: Some(Millis(300)),
        ..request(9)
    };
    let Decision::Refused { retry_after_ms, .. } = admission.offer(tight, Millis(100)) else {
        panic!("the deadline can't be met: three requests of 100 ms are queued ahead");
    };
    assert!((300..=500).contains(&retry_after_ms.0), "{retry_after_ms}");
}

#[test]
fn requests_refused_together_get_staggered_retry_times() {
    let mut admission = trained(1, 1_000);
    admission.offer(request(0), Millis(100));
    let mut times = Vec::new();
    for id in 1..=10 {
        let tight = AdmissionRequest {
            deadline_ms: Some(Millis(210)),
            ..request(id)
        };
        if let Decision::Refused { retry_after_ms, .. } = admission.offer(tight, Millis(110)) {
            times.push(retry_after_ms.0);
        }
    }
    assert_eq!(times.len(), 10);
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.min().unwrap() >= 99, "{times:?}");
}

#[test]
fn a_queued_request_is_refused_as_soon_as_it_cant_meet_its_deadline() {
    let mut admission = trained(1, 1_000);
    admission.offer(request(1), Millis(100));
    let waiting = AdmissionRequest {
        deadline_ms: Some(Millis(400)),
        ..request(2)
    };
    assert_eq!(admission.offer(waiting, Millis(100)), Decision::Queued);
    assert_eq!(admission.poll(Millis(300)), []);
    assert_eq!(admission.next_poll(), Some(Millis(301)));
    let events = admission.poll(Millis(301));
    assert!(
        matches!(
            events[..],
            [Event::Refused {
                id: RequestId(2),
                reason: Reason::Deadline,
                ..
            }]
        ),
        "{events:?}"
    );
    assert_eq!(admission.queued(), 0);
}

#[test]
fn higher_priority_goes_first_within_a_workspace() {
    let mut admission = admission(1, 1_000);
    admission.offer(request(1), Millis(0));
    for (id, priority) in [(2, 0), (3, 5), (4, 5), (5, 9)] {
        admission.offer(
            AdmissionRequest {
                priority,
                ..request(id)
            },
            Millis(0),
        );
    }
    let mut order = Vec::new();
    let mut running = 1;
    for _ in 0..4 {
        admission.finished(RequestId(running), Millis(10));
        running = started(&admission.poll(Millis(10)))[0];
        order.push(running);
    }
    assert_eq!(order, [5, 3, 4, 2]);
}

#[test]
fn kv_memory_is_never_exceeded_and_a_large_request_isnt_starved() {
    let mut admission = admission(100, 100);
    let kv = |id: u128| if id == 50 { 100 } else { 10 };
    let mut running = BTreeMap::new();
    let mut queue_order = Vec::new();
    for id in 0..400 {
        let workspace = if id == 50 { "large" } else { "small" };
        let offered = AdmissionRequest {
            workspace: workspace.into(),
            kv_bytes: kv(id),
            ..request(id)
        };
        if admission.offer(offered, Millis(0)) == Decision::Start {
            running.insert(id, kv(id));
        }
    }
    while let Some((id, _)) = running.pop_first() {
        admission.finished(RequestId(id), Millis(10));
        for id in started(&admission.poll(Millis(10))) {
            running.insert(id, kv(id));
            queue_order.push(id);
        }
        assert!(running.values().sum::<u64>() <= 100);
    }
    let position = queue_order.iter().position(|id| *id == 50).unwrap();
    assert!(
        position <= 40,
        "the large request started as number {position}"
    );
    assert_eq!(queue_order.len(), 390);
}

#[test]
fn a_full_queue_drops_the_last_request_of_the_workspace_with_the_most_queued() {
    let settings = AdmissionSettings {
        max_queued: 3,
        ..AdmissionSettings::default()
    };
    let capacity = AdmissionCapacity {
        max_requests: 1,
        ..AdmissionCapacity::default()
    };
    let mut admission = Admission::new(settings, capacity);
    for id in 0..4 {
        let large = AdmissionRequest {
            workspace: "large".into(),
            ..request(id)
        };
        admission.offer(large, Millis(0));
    }
    assert_eq!(admission.offer(request(9), Millis(0)), Decision::Queued);
    let events = admission.poll(Millis(0));
    assert!(
        matches!(
            events[..],
            [Event::Refused {
                id: RequestId(3),
                ..
            }]
        ),
        "{events:?}"
    );
    let large = AdmissionRequest {
        workspace: "large".into(),
        ..request(10)
    };
    assert!(matches!(
        admission.offer(large, Millis(0)),
        Decision::Refused { .. }
    ));
}

/// Simulates an admission with these arrivals (time, workspace, weight); returns the mean latency
/// of each workspace.
fn latencies(arrivals: &[(u64, &'static str, u32)]) -> BTreeMap<&'static str, f64> {
    const SERVICE_MS: u64 = 200;
    let mut admission = admission(10, u64::MAX);
    let mut finishes = BTreeMap::<u64, Vec<u128>>::new();
    let mut sums = BTreeMap::<&str, (u64, u64)>::new();
    let mut next = 0;
    for now in 0..60_000 {
        for id in finishes.remove(&now).unwrap_or_default() {
            let (at, workspace, _) = arrivals[id as usize];
            let sum = sums.entry(workspace).or_default();
            *sum = (sum.0 + now - at, sum.1 + 1);
            admission.finished(RequestId(id), Millis(now));
        }
        while next < arrivals.len() && arrivals[next].0 <= now {
            let (_, workspace, weight) = arrivals[next];
            let id = next as u128;
            let offered = AdmissionRequest {
                workspace: workspace.into(),
                weight,
                ..request(id)
            };
            if admission.offer(offered, Millis(now)) == Decision::Start {
                finishes.entry(now + SERVICE_MS).or_default().push(id);
            }
            next += 1;
        }
        for id in started(&admission.poll(Millis(now))) {
            finishes.entry(now + SERVICE_MS).or_default().push(id);
        }
    }
    sums.into_iter()
        .map(|(name, (sum, count))| (name, sum as f64 / count as f64))
        .collect()
}

/// Arrivals of requests at even intervals, starting at an offset.
fn even_arrivals(
    name: &'static str,
    weight: u32,
    per_s: u64,
    offset: u64,
) -> Vec<(u64, &'static str, u32)> {
    (0..50 * per_s)
        .map(|index| (offset + index * 1_000 / per_s, name, weight))
        .collect()
}

#[test]
fn a_small_workspaces_latency_at_most_doubles_while_a_large_one_offers_ten_times_its_share() {
    // The capacity is 50 requests a second, so each of ten workspaces of equal weight has 5 a
    // second.
    let mut arrivals = even_arrivals("small", 1, 4, 3);
    for (index, name) in ["b", "c", "d", "e", "f", "g", "h", "i"]
        .into_iter()
        .enumerate()
    {
        arrivals.extend(even_arrivals(name, 1, 4, index as u64 * 17));
    }
    let mut calm = arrivals.clone();
    calm.extend(even_arrivals("large", 1, 5, 7));
    calm.sort_unstable();
    arrivals.extend(even_arrivals("large", 1, 50, 7));
    arrivals.sort_unstable();
    let (calm, busy) = (latencies(&calm), latencies(&arrivals));
    assert!(busy["small"] <= calm["small"] * 2.0, "{calm:?} {busy:?}");
    assert!(
        busy["large"] > busy["small"] * 2.0,
        "the large workspace bears the wait for its own excess"
    );
}

#[test]
fn workspaces_are_served_by_weight_while_all_have_queued_requests() {
    let mut admission = admission(4, u64::MAX);
    let names = [("one", 1), ("two", 2), ("five", 5)];
    let mut owners = BTreeMap::new();
    for id in 0..3_000 {
        let (name, weight) = names[id as usize % 3];
        owners.insert(id, name);
        let offered = AdmissionRequest {
            workspace: name.into(),
            weight,
            ..request(id)
        };
        admission.offer(offered, Millis(0));
    }
    let mut running = vec![0, 1, 2, 3];
    let mut counts = BTreeMap::<&str, u32>::new();
    for _ in 0..800 {
        admission.finished(RequestId(running.remove(0)), Millis(0));
        for id in started(&admission.poll(Millis(0))) {
            *counts.entry(owners[&id]).or_default() += 1;
            running.push(id);
        }
    }
    assert!((counts["one"]).abs_diff(100) <= 2, "{counts:?}");
    assert!((counts["two"]).abs_diff(200) <= 2, "{counts:?}");
    assert!((counts["five"]).abs_diff(500) <= 2, "{counts:?}");
}

macro_rules! latency_cases {
    ($($name:ident: $steps:expr, $latency:expr, $in_flight:expr => $range:expr;)*) => {$(
        #[test]
        fn $name() {
            let settings = LatencyLimitSettings { initial: 32.0, ..LatencyLimitSettings::default() };
            let mut limit = LatencyLimit::new(settings);
            for _ in 0..20 {
                limit.observe(Millis(10), 1);
            }
            for _ in 0..$steps {
                limit.observe(Millis($latency), $in_flight);
            }
            assert!($range.contains(&limit.allowed()), "{limit:?}");
        }
    )*};
}

latency_cases! {
    the_limit_falls_for_a_tenfold_slower_target: 5_000, 100, 32 => 1..=8;
    the_limit_grows_for_large_batches_with_moderate_latency: 30_000, 30, 250 => 200..=256;
    an_unused_limit_is_unchanged: 2_000, 10, 1 => 32..=32;
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: proptest::test_runner::RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::default() })]

    /// While several workspaces have queued requests, the tokens served divided by the weight
    /// differ by at most one request of each.
    #[test]
    fn tokens_served_per_weight_stay_level_while_all_workspaces_wait(
        weights in proptest::collection::vec(1_u32..20, 2..6),
        tokens in proptest::collection::vec(1_u32..500, 20..60),
    ) {
        let mut admission = admission(1, u64::MAX);
        admission.offer(request(0), Millis(0));
        let mut owners = BTreeMap::new();
        let mut id = 0;
        for (owner, weight) in weights.iter().enumerate() {
            for size in &tokens {
                id += 1;
                owners.insert(id, (owner, *size));
                let offered = AdmissionRequest {
                    workspace: format!("w{owner}").into(),
                    weight: *weight,
                    tokens: *size,
                    ..request(id)
                };
                prop_assert_eq!(admission.offer(offered, Millis(0)), Decision::Queued);
            }
        }
        let mut served = vec![0_u64; weights.len()];
        let mut left = vec![tokens.len(); weights.len()];
        let mut running = 0;
        while left.iter().all(|count| *count > 0) {
            admission.finished(RequestId(running), Millis(0));
            running = started(&admission.poll(Millis(0)))[0];
            let (owner, size) = owners[&running];
            served[owner] += u64::from(size);
            left[owner] -= 1;
            let share = |index: usize| served[index] as f64 / f64::from(weights[index]);
            for one in 0..weights.len() {
                for other in 0..weights.len() {
                    let slack = 500.0 / f64::from(weights[one]) + 500.0 / f64::from(weights[other]);
                    prop_assert!((share(one) - share(other)).abs() <= slack, "{served:?} {weights:?}");
                }
            }
        }
    }
}

/// Load pattern: all entries restart at once, each with a new budget, and learn the number of
/// entries only afterwards. Raising the limit must not add retries.
#[test]
fn a_higher_limit_of_saved_retries_has_to_be_earned() {
    let settings = RetryBudgetSettings {
        retries_per_hundred: 10,
        max_saved: 2,
    };
    let mut budget = RetryBudget::new(settings);
    budget.set_max_saved(20);
    let retries = (0..20).filter(|_| budget.try_retry()).count();
    assert_eq!(retries, 2);
    (0..1_000).for_each(|_| budget.count_request());
    budget.set_max_saved(5);
    let retries = (0..20).filter(|_| budget.try_retry()).count();
    assert_eq!(retries, 5);
}
