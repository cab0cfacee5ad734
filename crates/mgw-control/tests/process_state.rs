//! Lost disks, lost entries, racing operators and restarts, tested with real processes.

#![allow(clippy::unwrap_used)]

mod system;

use std::sync::Arc;

use mgw_contract::caller::Outcome;
use mgw_contract::operator::{ApplyReply, LedgerState, STATUS_PATH, StatusReply};
use mgw_world::Revision;
use system::{CONTROLS, System, SystemPlan, change_text, read_calls, wait_for, wait_for_some};

const SERVICE: &str = "pos-train-app";

fn accepted(revision: u64) -> ApplyReply {
    ApplyReply::Accepted {
        revision: Revision(revision),
    }
}

fn controls_only() -> SystemPlan {
    SystemPlan {
        entries: 0,
        targets: &[],
        call_ms: 1,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn control_rejoins_after_disk_loss_and_the_group_tolerates_another_failure() {
    let system = System::start(controls_only()).await;
    let inventory = system.inventory();
    let leader = system.leader(&CONTROLS).await;
    let mut followers = CONTROLS.into_iter().filter(|name| *name != leader);
    let (wiped, second_follower) = (followers.next().unwrap(), followers.next().unwrap());
    system.kill(wiped);
    let data = system.path(&format!("{wiped}.data"));
    let identity = std::fs::read(data.join("identity")).unwrap();
    std::fs::remove_dir_all(&data).unwrap();
    // Two of three controls are down: no change is accepted.
    system.kill(second_follower);
    let text = change_text(&inventory, 1);
    assert_eq!(system.apply_at(&leader, 1, "alone", &text).await, None);
    system.spawn(second_follower);
    assert_eq!(
        system.apply_until_answered(1, "alone", &text).await,
        accepted(2)
    );
    system.spawn(wiped);
    system.wait_for_voters(3).await;
    assert_ne!(std::fs::read(data.join("identity")).unwrap(), identity);
    // The repaired group tolerates the loss of another VM.
    let leader = system.leader(&CONTROLS).await;
    let lost = CONTROLS
        .into_iter()
        .find(|name| *name != wiped && *name != leader);
    system.kill(lost.unwrap());
    let text = change_text(&inventory, 2);
    assert_eq!(
        system.apply_until_answered(2, "after", &text).await,
        accepted(3)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn call_of_a_killed_entry_is_unknown_until_an_operator_resolves_it() {
    let plan = SystemPlan {
        entries: 2,
        targets: &[SERVICE],
        call_ms: 4_000,
    };
    let system = Arc::new(System::start(plan).await);
    let caller = Arc::clone(&system);
    let claim_task = tokio::spawn(async move { caller.claim("entry-1", "cut").await });
    let claim_state = || async {
        let ledger = system.ledger().await;
        ledger.into_iter().next().map(|record| record.state)
    };
    wait_for("the claim", || async {
        claim_state().await == Some(LedgerState::InProgress)
    })
    .await;
    // The call has reached the service once the entry counts on its answer.
    let before = system.claim("entry-2", "cut").await.unwrap();
    assert_eq!(before.outcome, "unknown", "{before:?}");
    system.kill("entry-1");
    assert_eq!(claim_task.await.unwrap(), None);
    wait_for("the unknown claim", || async {
        claim_state().await == Some(LedgerState::Unknown)
    })
    .await;
    for _ in 0..3 {
        let repeated = system.claim("entry-2", "cut").await.unwrap();
        assert_eq!(repeated.outcome, "unknown", "{repeated:?}");
    }
    let mut resolve = system.mgw(&CONTROLS);
    resolve.args(["ledger", "resolve", "classrooms", "train-app", "cut"]);
    resolve.args(["--ran", "true"]);
    assert!(resolve.status().unwrap().success());
    assert_eq!(claim_state().await, Some(LedgerState::Ended(Outcome::Done)));
    let after = system.claim("entry-2", "cut").await.unwrap();
    assert_eq!(after.outcome, "done", "{after:?}");
    let count = read_calls(&system, SERVICE).get("cut").copied();
    assert!(count.unwrap_or_default() <= 1, "ran {count:?} times");
}

#[tokio::test(flavor = "multi_thread")]
async fn thawed_entry_says_unknown_and_claims_again_under_a_new_incarnation() {
    let plan = SystemPlan {
        entries: 1,
        targets: &[SERVICE],
        call_ms: 1_000,
    };
    let system = Arc::new(System::start(plan).await);
    let caller = Arc::clone(&system);
    let claim_task = tokio::spawn(async move {
        wait_for_some("the thawed entry's answer", || {
            caller.claim("entry-1", "held")
        })
        .await
    });
    let claim_state = || async {
        let ledger = system.ledger().await;
        ledger.into_iter().next().map(|record| record.state)
    };
    wait_for("the claim", || async {
        claim_state().await == Some(LedgerState::InProgress)
    })
    .await;
    system.signal("entry-1", "-STOP");
    wait_for("the unknown claim", || async {
        claim_state().await == Some(LedgerState::Unknown)
    })
    .await;
    system.signal("entry-1", "-CONT");
    let held = claim_task.await.unwrap();
    assert_eq!(held.outcome, "unknown", "{held:?}");
    // Right after the thaw the entry's view of the targets is outdated, and "not_run" is a true
    // outcome.
    let next = wait_for_some("a call that ran", || async {
        let result = system.claim("entry-1", "next").await?;
        (result.outcome != "not_run").then_some(result)
    })
    .await;
    assert_eq!(next.outcome, "done", "{next:?}");
    let calls = read_calls(&system, SERVICE);
    assert!(calls.get("held").copied().unwrap_or_default() <= 1);
    assert_eq!(calls.get("next"), Some(&1));
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_changes_is_applied_and_the_other_reports_the_winner() {
    let system = System::start(controls_only()).await;
    let inventory = system.inventory();
    for base in 1..6 {
        let start = |id: &str, count: u64| {
            let file = system.path(&format!("{id}.toml"));
            std::fs::write(&file, change_text(&inventory, count)).unwrap();
            let mut command = system.mgw(&CONTROLS);
            command.args(["config", "apply"]).arg(file);
            command.args(["--base", &base.to_string(), "--change-id", id]);
            command.stdout(std::process::Stdio::piped());
            command.spawn().unwrap()
        };
        let ids = [format!("left-{base}"), format!("right-{base}")];
        let racing = [start(&ids[0], base * 2), start(&ids[1], base * 2 + 1)];
        let outputs = racing.map(|child| child.wait_with_output().unwrap());
        let codes = [0, 1].map(|side: usize| outputs[side].status.code().unwrap());
        let winner = codes.iter().position(|code| *code == 0);
        let winner = winner.unwrap_or_else(|| panic!("base {base}: {codes:?}"));
        assert_eq!(codes[1 - winner], 3, "base {base}: {codes:?}");
        let stdout = String::from_utf8_lossy(&outputs[1 - winner].stdout).into_owned();
        assert!(stdout.contains(&ids[winner]), "{stdout}");
        assert_eq!(system.revision().await, base + 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_of_all_processes_after_hundreds_of_changes_serves_the_newest_revision() {
    let system = System::start(SystemPlan {
        entries: 1,
        targets: &[],
        call_ms: 1,
    })
    .await;
    let inventory = system.inventory();
    let leader = system.leader(&CONTROLS).await;
    for base in 1..=200 {
        let text = change_text(&inventory, base % 7 + 1);
        let id = format!("change-{base}");
        let reply = match system.apply_at(&leader, base, &id, &text).await {
            Some(reply) => reply,
            None => system.apply_until_answered(base, &id, &text).await,
        };
        assert_eq!(reply, accepted(base + 1));
    }
    let entry_revision = || async {
        let status: Option<StatusReply> = system.get("entry-1", STATUS_PATH).await;
        status.map(|status| status.revision.0)
    };
    wait_for("the entry", || async {
        entry_revision().await == Some(201)
    })
    .await;
    CONTROLS.iter().for_each(|name| system.kill(name));
    system.kill("entry-1");
    system.spawn("entry-1");
    // Without a quorum the entry gets no configuration, and so serves no calls.
    let revision_without_quorum =
        wait_for_some("the entry without controls", &entry_revision).await;
    assert_eq!(revision_without_quorum, 0);
    let refused = wait_for_some("a refusal", || system.claim("entry-1", "early")).await;
    assert_eq!(refused.outcome, "not_run", "{refused:?}");
    CONTROLS.iter().for_each(|name| system.spawn(name));
    let held = wait_for_some("a revision", || async {
        entry_revision().await.filter(|revision| *revision > 0)
    })
    .await;
    assert_eq!(held, 201);
    assert_eq!(system.revision().await, 201);
}
