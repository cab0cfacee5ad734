//! Faults of disks, messages and member changes. Each line passes on the real build and fails on
//! the one with the named fault.

#[macro_use]
mod common;

use common::{Check, Cluster, exchange, others, voters, with_fault};
use mgw_quorum::{
    AppendEntries, Envelope, Index, InjectedFault, Message, QuorumError, RecoveredState, ReplicaId,
    Role, Settings, Term,
};
use mgw_world::Millis;

fault_table! {
    crash_before_sync, AckBeforeSync;
    crash_after_sync, AckBeforeSync;
    lost_messages, IgnoreConflict;
    doubled_and_delayed_append, TruncateAlways;
    reordered_appends, SkipPrevCheck;
    wiped_disk_under_old_name, EmptyLogVotes;
    old_term_entry, CommitOldTerm;
    learner_without_log, PromoteBehind;
    removal_beside_a_dead_voter, SkipReachableCheck;
    change_before_own_commit, EarlyChange;
}

fn power_loss(settings: Settings, kept: usize) -> Check {
    let (mut cluster, leader) = voters(settings)?;
    cluster.propose(leader, b"a")?;
    exchange(&mut cluster)?;
    cluster.run(60)?;
    cluster.propose(leader, b"b")?;
    exchange(&mut cluster)?;
    let was_committed = cluster.has_committed(b"b") > 0;
    let was_written = cluster.nodes[leader].writes.len() == 1;
    ensure!(was_written, "the write is under way");
    for at in 0..3 {
        cluster.crash(at, kept);
    }
    ensure!(!was_committed, "committed before any sync");
    for at in 0..3 {
        cluster.start(at);
    }
    let leader = cluster.run_to_leader()?;
    ensure!(cluster.has_committed(b"a") == 1, "a synced entry is lost");
    ensure!(cluster.has_committed(b"b") == kept, "the disk decides");
    cluster.propose(leader, b"c")?;
    cluster.run(100)
}

fn crash_before_sync(settings: Settings) -> Check {
    power_loss(settings, 0)
}

fn crash_after_sync(settings: Settings) -> Check {
    power_loss(settings, 1)
}

fn lost_messages(settings: Settings) -> Check {
    let (mut cluster, leader) = voters(settings)?;
    for command in 0..20_u8 {
        cluster.propose(leader, &[command])?;
        cluster.net.clear();
    }
    cluster.run(300)?;
    for command in 0..20_u8 {
        ensure!(
            cluster.has_committed(&[command]) == 1,
            "{command} is missing"
        );
    }
    Ok(())
}

/// An old append arrives twice, the second time after newer entries were acknowledged.
fn doubled_and_delayed_append(settings: Settings) -> Check {
    let (mut cluster, leader) = voters(settings)?;
    let (near, _) = others(leader);
    cluster.propose(leader, b"a")?;
    let to_near = |envelope: &&Envelope| envelope.to == cluster.nodes[near].id;
    let delayed = cluster.net.iter().find(to_near).cloned();
    cluster.propose(leader, b"b")?;
    exchange(&mut cluster)?;
    cluster.settle_disks()?;
    let last = cluster.replica(near).last_index();
    cluster.net.extend(delayed);
    cluster.deliver(cluster.net.len() - 1)?;
    ensure!(
        cluster.replica(near).last_index() == last,
        "entries fell away"
    );
    Ok(())
}

/// Entries of an old leader that were never committed stay on one follower.
fn reordered_appends(settings: Settings) -> Check {
    let (mut cluster, leader) = voters(settings)?;
    cluster.isolate(leader);
    cluster.propose(leader, b"lost-1")?;
    cluster.propose(leader, b"lost-2")?;
    cluster.run(2_000)?;
    let next = cluster.run_to_leader()?;
    cluster.propose(next, b"a")?;
    cluster.propose(next, b"b")?;
    cluster.run(100)?;
    cluster.cut.clear();
    cluster.net.make_contiguous().reverse();
    cluster.run(1_000)?;
    ensure!(
        cluster.has_committed(b"lost-1") == 0,
        "a lost entry came back"
    );
    ensure!(
        cluster.nodes[leader].applied == cluster.nodes[next].applied,
        "no catch-up"
    );
    Ok(())
}

/// The identity was kept although the disk was lost, which the data folder never does.
fn wiped_disk_under_old_name(settings: Settings) -> Check {
    let (mut cluster, leader) = voters(settings)?;
    let (wiped, cut) = others(leader);
    cluster.isolate(cut);
    cluster.propose(leader, b"a")?;
    cluster.run(100)?;
    cluster.crash(leader, 0);
    cluster.crash(wiped, 0);
    cluster.nodes[wiped].disk = RecoveredState::default();
    cluster.start(wiped);
    cluster.cut.clear();
    cluster.run(5_000)?;
    ensure!(
        cluster.leader().is_none(),
        "an empty log counted toward a quorum"
    );
    Ok(())
}

/// An entry of term 2 comes to a majority, yet the entry of term 3 can still replace it.
fn old_term_entry(mut settings: Settings) -> Check {
    settings.append_entries_max = 1;
    let mut cluster = Cluster::new(3, settings, 3);
    let noop = |term, index| mgw_quorum::Entry {
        term: Term(term),
        index: Index(index),
        payload: mgw_quorum::Payload::Noop,
    };
    for at in 0..3 {
        cluster.crash(at, 0);
        cluster.nodes[at].disk.hard_state.term = Term(3);
    }
    cluster.nodes[0].disk.entries.push(noop(2, 2));
    cluster.nodes[2].disk.entries.push(noop(3, 2));
    cluster.start(0);
    cluster.start(1);
    for _ in 0..400 {
        cluster.now += Millis(10);
        cluster.tick(0)?;
        cluster.tick(1)?;
        for _ in 0..cluster.net.len() {
            cluster.deliver(0)?;
            let commit = cluster.replica(0).commit_index();
            ensure!(commit != Index(2), "committed by counting alone");
        }
        cluster.settle_disks()?;
    }
    ensure!(cluster.committed.len() >= 2, "nothing was committed");
    Ok(())
}

fn learner_without_log(settings: Settings) -> Check {
    let (mut cluster, leader) = voters(settings)?;
    let added = cluster.add_empty();
    let id = cluster.nodes[added].id.clone();
    cluster.isolate(added);
    let learner = id.clone();
    let change = cluster.change(leader, |replica, now| replica.add_learner(learner, now))?;
    ensure!(change.is_ok(), "{change:?}");
    cluster.run(100)?;
    let early = cluster.change(leader, |replica, now| replica.promote(id.clone(), now))?;
    ensure!(
        matches!(early, Err(QuorumError::LearnerBehind { .. })),
        "{early:?}"
    );
    cluster.cut.clear();
    cluster.run(500)?;
    ensure!(
        cluster.replica(added).role() == Role::Learner,
        "the learner votes"
    );
    let ready = cluster.change(leader, |replica, now| replica.promote(id, now))?;
    ensure!(ready.is_ok(), "{ready:?}");
    cluster.run(100)?;
    ensure!(
        cluster.replica(added).role() == Role::Follower,
        "no voter yet"
    );
    Ok(())
}

fn removal_beside_a_dead_voter(settings: Settings) -> Check {
    let (mut cluster, leader) = voters(settings)?;
    let (live, dead) = others(leader);
    cluster.crash(dead, 0);
    cluster.run(800)?;
    let id = cluster.nodes[live].id.clone();
    let risky = cluster.change(leader, |replica, now| replica.remove(&id, now))?;
    ensure!(risky == Err(QuorumError::QuorumAtRisk), "{risky:?}");
    let id = cluster.nodes[dead].id.clone();
    let safe = cluster.change(leader, |replica, now| replica.remove(&id, now))?;
    ensure!(safe.is_ok(), "{safe:?}");
    let second = cluster.change(leader, |replica, now| replica.remove(&id, now))?;
    ensure!(
        matches!(second, Err(QuorumError::ChangePending { .. })),
        "{second:?}"
    );
    cluster.run(100)
}

fn change_before_own_commit(settings: Settings) -> Check {
    let mut cluster = Cluster::new(3, settings, 2);
    for _ in 0..200 {
        cluster.now += Millis(20);
        for at in 0..3 {
            cluster.tick(at)?;
        }
        exchange(&mut cluster)?;
        cluster.settle_disks()?;
        let Some(leader) = cluster.leader() else {
            continue;
        };
        let id = ReplicaId::new("vm-9", 9);
        let early = cluster.change(leader, |replica, now| replica.add_learner(id, now))?;
        ensure!(early == Err(QuorumError::NotReady), "{early:?}");
        return Ok(());
    }
    Err("no leader".to_owned())
}

#[test]
fn a_message_for_the_old_identity_is_dropped() -> Check {
    let (mut cluster, leader) = voters(Settings::default())?;
    let (wiped, _) = others(leader);
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
    cluster.act(wiped, |replica, now| replica.receive(envelope, now))?;
    ensure!(
        cluster.replica(wiped).term() == Term::ZERO,
        "took a message for another"
    );
    ensure!(
        cluster.replica(wiped).role() == Role::Learner,
        "votes under a new identity"
    );
    cluster.run(1_000)
}

#[test]
fn a_new_replica_catches_up_from_a_snapshot_in_parts() -> Check {
    let settings = Settings {
        chunk_bytes: 7,
        ..Settings::default()
    };
    let (mut cluster, leader) = voters(settings)?;
    for command in 0..50_u8 {
        cluster.propose(leader, &[command])?;
    }
    cluster.run(100)?;
    let index = cluster.replica(leader).applied_index();
    let state = vec![5; 100];
    let done = cluster.act(leader, |replica, now| replica.compact(index, state, now))?;
    ensure!(done == Some(Ok(())), "{done:?}");
    let added = cluster.add_empty();
    let id = cluster.nodes[added].id.clone();
    let change = cluster.change(leader, |replica, now| replica.add_learner(id, now))?;
    ensure!(change.is_ok(), "{change:?}");
    cluster.run(1_000)?;
    ensure!(
        cluster.replica(added).snapshot_index() == index,
        "no snapshot"
    );
    ensure!(
        cluster.nodes[added].applied == cluster.nodes[leader].applied,
        "behind"
    );
    cluster.crash(added, 0);
    cluster.start(added);
    cluster.run(200)?;
    ensure!(
        cluster.nodes[added].applied == cluster.nodes[leader].applied,
        "behind"
    );
    Ok(())
}
