//! Kill, freeze and graceful shutdown of the leader, tested with real processes.

#![allow(clippy::unwrap_used)]

mod system;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use mgw_contract::operator::{ApplyReply, CONFIG_PATH, ConfigReply};
use mgw_world::Revision;
use system::{
    CONTROLS, CallResult, System, SystemPlan, change_text, read_calls, read_fences, wait_for,
};

const SERVICE: &str = "pos-train-app";

fn accepted(revision: u64) -> ApplyReply {
    ApplyReply::Accepted {
        revision: Revision(revision),
    }
}

fn two_entries_one_service() -> SystemPlan {
    SystemPlan {
        entries: 2,
        targets: &[SERVICE],
        call_ms: 1,
    }
}

/// Makes non-idempotent calls through both entries in turn until `stop` is set. Returns the result
/// of each idempotency key.
fn claim_until_stopped(
    system: &Arc<System>,
    stop: &Arc<AtomicBool>,
) -> tokio::task::JoinHandle<BTreeMap<String, CallResult>> {
    let (system, stop) = (Arc::clone(system), Arc::clone(stop));
    tokio::spawn(async move {
        let mut results = BTreeMap::new();
        let mut number = 0;
        while !stop.load(Ordering::SeqCst) {
            let key = format!("key-{number}");
            let entry = format!("entry-{}", 1 + number % 2);
            let result = system.claim(&entry, &key).await;
            results.insert(key, result.expect("the entry answers"));
            number += 1;
        }
        results
    })
}

/// Checks that no key ran twice and that each outcome told to the caller is true.
fn check_results(system: &System, results: &BTreeMap<String, CallResult>) {
    let calls = read_calls(system, SERVICE);
    for (key, result) in results {
        let count = calls.get(key).copied().unwrap_or_default();
        assert!(count <= 1, "{key} ran {count} times");
        match result.outcome.as_str() {
            "done" => assert_eq!(count, 1, "{key}: {result:?}"),
            "not_run" => assert_eq!(count, 0, "{key}: {result:?}"),
            _ => {}
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_leader_loses_no_change_and_repeats_no_call() {
    let system = Arc::new(System::start(two_entries_one_service()).await);
    let stop = Arc::default();
    let claim_task = claim_until_stopped(&system, &stop);
    let inventory = system.inventory();
    let mut newest = 1;
    for round in 0..3 {
        for _ in 0..5 {
            let (base, id) = (newest, format!("change-{newest}"));
            let text = change_text(&inventory, base);
            if base % 5 == 3 {
                let leader = system.leader(&CONTROLS).await;
                let applied = system.apply_until_answered(base, &id, &text);
                let kill = async { system.kill(&leader) };
                let (reply, ()) = tokio::join!(applied, kill);
                assert_eq!(reply, accepted(base + 1), "round {round}");
                system.spawn(&leader);
            } else {
                let reply = system.apply_until_answered(base, &id, &text).await;
                assert_eq!(reply, accepted(base + 1), "round {round}");
            }
            newest = base + 1;
            assert_eq!(system.revision().await, newest);
        }
    }
    for base in 1..newest {
        let (id, text) = (format!("change-{base}"), change_text(&inventory, base));
        let repeated = system.apply_until_answered(base, &id, &text).await;
        assert_eq!(repeated, accepted(base + 1), "first answer to {id}");
    }
    assert_eq!(system.revision().await, newest);
    stop.store(true, Ordering::SeqCst);
    let results = claim_task.await.unwrap();
    check_results(&system, &results);
    assert!(results.values().any(|result| result.outcome == "done"));
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_former_leader_commits_no_change_and_no_stale_read_or_order_succeeds() {
    let engines: &[&str] = &["pos-engine-1", "chg-engine-1"];
    let system = System::start(SystemPlan {
        entries: 2,
        targets: engines,
        call_ms: 1,
    })
    .await;
    let inventory = system.inventory();
    let second = inventory.replace("version = \"v1\"", "version = \"v2\"");
    assert_ne!(second, inventory);
    assert_eq!(
        system.apply_until_answered(1, "to-v2", &second).await,
        accepted(2)
    );
    wait_for("orders of the first leader", || async {
        engines
            .iter()
            .all(|name| !read_fences(&system, name).is_empty())
    })
    .await;
    let all_fences = engines.iter().flat_map(|name| read_fences(&system, name));
    let old_fence = all_fences.max();
    let old_leader = system.leader(&CONTROLS).await;
    system.signal(&old_leader, "-STOP");
    let other_controls: Vec<&str> = CONTROLS
        .into_iter()
        .filter(|name| *name != old_leader)
        .collect();
    let third = inventory.replace("version = \"v1\"", "version = \"v3\"");
    wait_for("a change under the new leader", || async {
        for control in &other_controls {
            if let Some(reply) = system.apply_at(control, 2, "to-v3", &third).await {
                return reply == accepted(3);
            }
        }
        false
    })
    .await;
    wait_for("orders of the new leader", || async {
        let newest = |name: &&str| read_fences(&system, name).last().copied();
        engines.iter().all(|name| newest(name) > old_fence)
    })
    .await;
    system.signal(&old_leader, "-CONT");
    for poll in 0..20 {
        let config: Option<ConfigReply> = system.get(&old_leader, CONFIG_PATH).await;
        assert!(
            config.is_none_or(|reply| reply.revision == Revision(3)),
            "poll {poll}"
        );
        let late = system
            .apply_at(&old_leader, 2, &format!("late-{poll}"), &inventory)
            .await;
        assert!(
            !matches!(late, Some(ApplyReply::Accepted { .. })),
            "poll {poll}: {late:?}"
        );
    }
    assert_eq!(system.revision().await, 3);
    for name in engines {
        let fences = read_fences(&system, name);
        assert!(fences.is_sorted(), "{name}: {fences:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_stopped_by_sigterm_exits_with_success_and_every_call_is_done() {
    let system = Arc::new(System::start(two_entries_one_service()).await);
    let stop = Arc::default();
    let claim_task = claim_until_stopped(&system, &stop);
    for _ in 0..2 {
        let leader = system.leader(&CONTROLS).await;
        system.signal(&leader, "-TERM");
        wait_for("the end of the leader", || async {
            system.exit_status(&leader).is_some()
        })
        .await;
        assert!(system.exit_status(&leader).unwrap().success());
        system.spawn(&leader);
        system.wait_for_voters(3).await;
    }
    stop.store(true, Ordering::SeqCst);
    let results = claim_task.await.unwrap();
    check_results(&system, &results);
    let not_done: Vec<_> = results
        .iter()
        .filter(|(_, result)| result.outcome != "done")
        .collect();
    assert!(not_done.is_empty(), "{not_done:?}");
}
