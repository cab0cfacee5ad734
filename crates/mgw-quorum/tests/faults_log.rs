//! Faults of disks, messages and membership changes. Each scenario must pass without an injected
//! fault and must fail with the fault that its line names.

#[macro_use]
mod common;

use common::{
    CheckResult, Cluster, deliver_without_sync, other_voters, start_three_voters, with_fault,
};
use mgw_quorum::{
    AppendEntries, Envelope, Index, InjectedFault, Message, QuorumError, RecoveredState, ReplicaId,
    Role, Settings, Term,
};
use mgw_world::Millis;

injected_fault_tests! {
    crash_before_sync, AckBeforeSync;
    crash_after_sync, AckBeforeSync;
    lost_messages, IgnoreConflict;
    duplicated_and_delayed_append, TruncateAlways;
    reordered_appends, SkipPrevCheck;
    wiped_disk_with_unchanged_identity, EmptyLogVotes;
    old_term_entry, CommitOldTerm;
    promotion_of_a_lagging_learner, PromoteBehind;
    removal_while_another_voter_is_down, SkipReachableCheck;
    membership_change_before_first_commit_of_the_term, EarlyChange;
}

/// All voters crash while each has one write in flight. `written_count` is 1 if that write reaches
/// the disks, else 0.
fn power_loss(settings: Settings, written_count: usize) -> CheckResult {
    let (mut cluster, leader) = start_three_voters(settings)?;
    cluster.propose(leader, b"a")?;
    deliver_without_sync(&mut cluster)?;
    cluster.run(60)?;
    cluster.propose(leader, b"b")?;
    deliver_without_sync(&mut cluster)?;
    let was_committed = cluster.count_committed(b"b") > 0;
    let is_write_in_flight = cluster.nodes[leader].unsynced_writes.len() == 1;
    ensure!(is_write_in_flight, "no write is in flight");
    for position in 0..3 {
        cluster.crash(position, written_count);
    }
    ensure!(!was_committed, "an entry was committed before any sync");
    for position in 0..3 {
        cluster.start(position);
    }
    let leader = cluster.run_until_leader()?;
    ensure!(
        cluster.count_committed(b"a") == 1,
        "a synced entry was lost"
    );
    ensure!(
        cluster.count_committed(b"b") == written_count,
        "expected the entry in flight {written_count} times"
    );
    cluster.propose(leader, b"c")?;
    cluster.run(100)
}

fn crash_before_sync(settings: Settings) -> CheckResult {
    power_loss(settings, 0)
}

fn crash_after_sync(settings: Settings) -> CheckResult {
    power_loss(settings, 1)
}

fn lost_messages(settings: Settings) -> CheckResult {
    let (mut cluster, leader) = start_three_voters(settings)?;
    for command in 0..20_u8 {
        cluster.propose(leader, &[command])?;
        cluster.messages.clear();
    }
    cluster.run(300)?;
    for command in 0..20_u8 {
        ensure!(
            cluster.count_committed(&[command]) == 1,
            "command {command} was not committed exactly once"
        );
    }
    Ok(())
}

/// An append message is delivered twice, the second time after newer entries were acknowledged.
fn duplicated_and_delayed_append(settings: Settings) -> CheckResult {
    let (mut cluster, leader) = start_three_voters(settings)?;
    let (follower, _) = other_voters(leader);
    cluster.propose(leader, b"a")?;
    let is_to_follower = |envelope: &&Envelope| envelope.to == cluster.nodes[follower].id;
    let delayed = cluster.messages.iter().find(is_to_follower).cloned();
    cluster.propose(leader, b"b")?;
    deliver_without_sync(&mut cluster)?;
    cluster.sync_all()?;
    let last_index = cluster.replica(follower).last_index();
    cluster.messages.extend(delayed);
    cluster.deliver(cluster.messages.len() - 1)?;
    ensure!(
        cluster.replica(follower).last_index() == last_index,
        "acknowledged entries were removed"
    );
    Ok(())
}

/// An old leader holds entries that were never committed, and appends reach it in reverse order.
fn reordered_appends(settings: Settings) -> CheckResult {
    let (mut cluster, leader) = start_three_voters(settings)?;
    cluster.isolate(leader);
    cluster.propose(leader, b"lost-1")?;
    cluster.propose(leader, b"lost-2")?;
    cluster.run(2_000)?;
    let next = cluster.run_until_leader()?;
    cluster.propose(next, b"a")?;
    cluster.propose(next, b"b")?;
    cluster.run(100)?;
    cluster.blocked_links.clear();
    cluster.messages.make_contiguous().reverse();
    cluster.run(1_000)?;
    ensure!(
        cluster.count_committed(b"lost-1") == 0,
        "an uncommitted entry of the old leader was committed"
    );
    ensure!(
        cluster.nodes[leader].applied_index == cluster.nodes[next].applied_index,
        "the old leader did not catch up"
    );
    Ok(())
}

/// The disk was wiped but the identity stayed the same. The data folder prevents this.
fn wiped_disk_with_unchanged_identity(settings: Settings) -> CheckResult {
    let (mut cluster, leader) = start_three_voters(settings)?;
    let (wiped, isolated) = other_voters(leader);
    cluster.isolate(isolated);
    cluster.propose(leader, b"a")?;
    cluster.run(100)?;
    cluster.crash(leader, 0);
    cluster.crash(wiped, 0);
    cluster.nodes[wiped].disk = RecoveredState::default();
    cluster.start(wiped);
    cluster.blocked_links.clear();
    cluster.run(5_000)?;
    ensure!(
        cluster.leader().is_none(),
        "an empty log counted toward a quorum"
    );
    Ok(())
}

/// An entry of term 2 is on a majority, but an entry of term 3 can still replace it, so counting
/// its replicas must not commit it.
fn old_term_entry(mut settings: Settings) -> CheckResult {
    settings.append_entries_max = 1;
    let mut cluster = Cluster::new(3, settings, 3);
    let noop = |term, index| mgw_quorum::Entry {
        term: Term(term),
        index: Index(index),
        payload: mgw_quorum::Payload::Noop,
    };
    for position in 0..3 {
        cluster.crash(position, 0);
        cluster.nodes[position].disk.hard_state.term = Term(3);
    }
    cluster.nodes[0].disk.entries.push(noop(2, 2));
    cluster.nodes[2].disk.entries.push(noop(3, 2));
    cluster.start(0);
    cluster.start(1);
    for _ in 0..400 {
        cluster.now += Millis(10);
        cluster.tick(0)?;
        cluster.tick(1)?;
        for _ in 0..cluster.messages.len() {
            cluster.deliver(0)?;
            let commit = cluster.replica(0).commit_index();
            ensure!(
                commit != Index(2),
                "an entry of an old term was committed by counting its replicas"
            );
        }
        cluster.sync_all()?;
    }
    ensure!(
        cluster.committed.len() >= 2,
        "{} entries were committed, expected at least 2",
        cluster.committed.len()
    );
    Ok(())
}

fn promotion_of_a_lagging_learner(settings: Settings) -> CheckResult {
    let (mut cluster, leader) = start_three_voters(settings)?;
    let added = cluster.add_empty_node();
    let id = cluster.nodes[added].id.clone();
    cluster.isolate(added);
    let learner = id.clone();
    let change =
        cluster.change_membership(leader, |replica, now| replica.add_learner(learner, now))?;
    ensure!(change.is_ok(), "{change:?}");
    cluster.run(100)?;
    let early =
        cluster.change_membership(leader, |replica, now| replica.promote(id.clone(), now))?;
    ensure!(
        matches!(early, Err(QuorumError::LearnerBehind { .. })),
        "{early:?}"
    );
    cluster.blocked_links.clear();
    cluster.run(500)?;
    ensure!(
        cluster.replica(added).role() == Role::Learner,
        "the new replica is not a learner"
    );
    let ready = cluster.change_membership(leader, |replica, now| replica.promote(id, now))?;
    ensure!(ready.is_ok(), "{ready:?}");
    cluster.run(100)?;
    ensure!(
        cluster.replica(added).role() == Role::Follower,
        "the promoted learner is not a voter"
    );
    Ok(())
}

fn removal_while_another_voter_is_down(settings: Settings) -> CheckResult {
    let (mut cluster, leader) = start_three_voters(settings)?;
    let (live, dead) = other_voters(leader);
    cluster.crash(dead, 0);
    cluster.run(800)?;
    let id = cluster.nodes[live].id.clone();
    let risky = cluster.change_membership(leader, |replica, now| replica.remove(&id, now))?;
    ensure!(risky == Err(QuorumError::QuorumAtRisk), "{risky:?}");
    let id = cluster.nodes[dead].id.clone();
    let safe = cluster.change_membership(leader, |replica, now| replica.remove(&id, now))?;
    ensure!(safe.is_ok(), "{safe:?}");
    let second = cluster.change_membership(leader, |replica, now| replica.remove(&id, now))?;
    ensure!(
        matches!(second, Err(QuorumError::ChangePending { .. })),
        "{second:?}"
    );
    cluster.run(100)
}

fn membership_change_before_first_commit_of_the_term(settings: Settings) -> CheckResult {
    let mut cluster = Cluster::new(3, settings, 2);
    for _ in 0..200 {
        cluster.now += Millis(20);
        for position in 0..3 {
            cluster.tick(position)?;
        }
        deliver_without_sync(&mut cluster)?;
        cluster.sync_all()?;
        let Some(leader) = cluster.leader() else {
            continue;
        };
        let id = ReplicaId::new("vm-9", 9);
        let early =
            cluster.change_membership(leader, |replica, now| replica.add_learner(id, now))?;
        ensure!(early == Err(QuorumError::NotReady), "{early:?}");
        return Ok(());
    }
    Err("no leader".to_owned())
}

#[test]
fn a_message_for_the_old_identity_is_dropped() -> CheckResult {
    let (mut cluster, leader) = start_three_voters(Settings::default())?;
    let (wiped, _) = other_voters(leader);
    let old_id = cluster.nodes[wiped].id.clone();
    cluster.crash(wiped, 0);
    cluster.nodes[wiped].id.disk = 99;
    cluster.nodes[wiped].disk = RecoveredState::default();
    cluster.start(wiped);
    let from = cluster.nodes[leader].id.clone();
    let message = Message::Append(AppendEntries {
        term: Term(9),
        prev_index: Index(0),
        prev_term: Term(0),
        entries: Vec::new(),
        commit: Index(0),
        round: mgw_quorum::Round(1),
        sent_ms: cluster.now,
    });
    let envelope = Envelope {
        from,
        to: old_id,
        message,
    };
    cluster.apply_input(wiped, |replica, now| replica.receive(envelope, now))?;
    ensure!(
        cluster.replica(wiped).term() == Term::ZERO,
        "handled a message for another identity"
    );
    ensure!(
        cluster.replica(wiped).role() == Role::Learner,
        "a replica with a new identity is not a learner"
    );
    cluster.run(1_000)
}

#[test]
fn a_new_replica_catches_up_from_a_snapshot_sent_in_chunks() -> CheckResult {
    let settings = Settings {
        chunk_bytes: 7,
        ..Settings::default()
    };
    let (mut cluster, leader) = start_three_voters(settings)?;
    for command in 0..50_u8 {
        cluster.propose(leader, &[command])?;
    }
    cluster.run(100)?;
    let index = cluster.replica(leader).applied_index();
    let state = vec![5; 100];
    let result = cluster.apply_input(leader, |replica, now| replica.compact(index, state, now))?;
    ensure!(result == Some(Ok(())), "{result:?}");
    let added = cluster.add_empty_node();
    let id = cluster.nodes[added].id.clone();
    let change = cluster.change_membership(leader, |replica, now| replica.add_learner(id, now))?;
    ensure!(change.is_ok(), "{change:?}");
    cluster.run(1_000)?;
    ensure!(
        cluster.replica(added).snapshot_index() == index,
        "the new replica did not install the snapshot"
    );
    ensure!(
        cluster.nodes[added].applied_index == cluster.nodes[leader].applied_index,
        "the new replica did not catch up"
    );
    cluster.crash(added, 0);
    cluster.start(added);
    cluster.run(200)?;
    ensure!(
        cluster.nodes[added].applied_index == cluster.nodes[leader].applied_index,
        "the new replica did not catch up"
    );
    Ok(())
}
