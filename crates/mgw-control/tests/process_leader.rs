//! Loss, freeze and hand-over of the leader, shown on processes.

#![allow(clippy::unwrap_used)]

mod system;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use mgw_contract::operator::{ApplyReply, CONFIG_PATH, ConfigReply};
use mgw_world::Revision;
use system::{CONTROLS, ClaimEnd, Plan, System, change_text, read_calls, read_fences, wait_for};

const SERVICE: &str = "pos-train-app";

fn accepted(revision: u64) -> ApplyReply {
    ApplyReply::Accepted {
        revision: Revision(revision),
    }
}

fn plain_plan() -> Plan {
    Plan {
        entries: 2,
        targets: &[SERVICE],
        call_ms: 1,
    }
}

/// Makes calls through both entries in turn until told to stop; keeps the first end of each key.
fn claim_until(
    system: &Arc<System>,
    stop: &Arc<AtomicBool>,
) -> tokio::task::JoinHandle<BTreeMap<String, ClaimEnd>> {
    let (system, stop) = (Arc::clone(system), Arc::clone(stop));
    tokio::spawn(async move {
        let mut ends = BTreeMap::new();
        let mut number = 0;
        while !stop.load(Ordering::SeqCst) {
            let key = format!("key-{number}");
            let entry = format!("entry-{}", 1 + number % 2);
            let end = system.claim(&entry, &key).await;
            ends.insert(key, end.expect("the entry answers"));
            number += 1;
        }
        ends
    })
}

/// No key ran twice, and what was told to the caller is true.
fn check_ends(system: &System, ends: &BTreeMap<String, ClaimEnd>) {
    let calls = read_calls(system, SERVICE);
    for (key, end) in ends {
        let count = calls.get(key).copied().unwrap_or_default();
        assert!(count <= 1, "{key} ran {count} times");
        match end.outcome.as_str() {
            "done" => assert_eq!(count, 1, "{key}: {end:?}"),
            "not_run" => assert_eq!(count, 0, "{key}: {end:?}"),
            _ => {}
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_leader_loses_no_change_and_repeats_no_call() {
    let system = Arc::new(System::start(plain_plan()).await);
    let stop = Arc::default();
    let claiming = claim_until(&system, &stop);
    let inventory = system.inventory();
    let mut newest = 1;
    for round in 0..3 {
        for _ in 0..5 {
            let (base, id) = (newest, format!("change-{newest}"));
            let text = change_text(&inventory, base);
            if base % 5 == 3 {
                let leader = system.leader(&CONTROLS).await;
                let during = system.apply_until_known(base, &id, &text);
                let kill = async { system.kill(&leader) };
                let (reply, ()) = tokio::join!(during, kill);
                assert_eq!(reply, accepted(base + 1), "round {round}");
                system.spawn(&leader);
            } else {
                let reply = system.apply_until_known(base, &id, &text).await;
                assert_eq!(reply, accepted(base + 1), "round {round}");
            }
            newest = base + 1;
            assert_eq!(system.revision().await, newest);
        }
    }
    for base in 1..newest {
        let (id, text) = (format!("change-{base}"), change_text(&inventory, base));
        let again = system.apply_until_known(base, &id, &text).await;
        assert_eq!(again, accepted(base + 1), "first answer to {id}");
    }
    assert_eq!(system.revision().await, newest);
    stop.store(true, Ordering::SeqCst);
    let ends = claiming.await.unwrap();
    check_ends(&system, &ends);
    assert!(ends.values().any(|end| end.outcome == "done"));
}

#[tokio::test(flavor = "multi_thread")]
async fn thawed_leader_commits_reads_and_orders_nothing() {
    let engines: &[&str] = &["pos-engine-1", "chg-engine-1"];
    let system = System::start(Plan {
        entries: 2,
        targets: engines,
        call_ms: 1,
    })
    .await;
    let inventory = system.inventory();
    let second = inventory.replace("version = \"v1\"", "version = \"v2\"");
    assert_ne!(second, inventory);
    assert_eq!(
        system.apply_until_known(1, "to-v2", &second).await,
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
    let old = system.leader(&CONTROLS).await;
    system.signal(&old, "-STOP");
    let rest: Vec<&str> = CONTROLS.into_iter().filter(|name| *name != old).collect();
    let third = inventory.replace("version = \"v1\"", "version = \"v3\"");
    wait_for("a change under the new leader", || async {
        for control in &rest {
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
    system.signal(&old, "-CONT");
    for look in 0..20 {
        let read: Option<ConfigReply> = system.get(&old, CONFIG_PATH).await;
        assert!(
            read.is_none_or(|reply| reply.revision == Revision(3)),
            "look {look}"
        );
        let late = system
            .apply_at(&old, 2, &format!("late-{look}"), &inventory)
            .await;
        assert!(
            !matches!(late, Some(ApplyReply::Accepted { .. })),
            "look {look}: {late:?}"
        );
    }
    assert_eq!(system.revision().await, 3);
    for name in engines {
        let fences = read_fences(&system, name);
        assert!(fences.is_sorted(), "{name}: {fences:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_asked_to_end_hands_over_and_no_call_is_unknown() {
    let system = Arc::new(System::start(plain_plan()).await);
    let stop = Arc::default();
    let claiming = claim_until(&system, &stop);
    for _ in 0..2 {
        let leader = system.leader(&CONTROLS).await;
        system.signal(&leader, "-TERM");
        wait_for("the end of the leader", || async {
            system.ended(&leader).is_some()
        })
        .await;
        assert!(system.ended(&leader).unwrap().success());
        system.spawn(&leader);
        system.wait_for_voters(3).await;
    }
    stop.store(true, Ordering::SeqCst);
    let ends = claiming.await.unwrap();
    check_ends(&system, &ends);
    let not_done: Vec<_> = ends
        .iter()
        .filter(|(_, end)| end.outcome != "done")
        .collect();
    assert!(not_done.is_empty(), "{not_done:?}");
}
