//! Fault table: each line passes on the real build and fails on the one with the named fault.

#[macro_use]
mod common;

use common::{Check, Cluster, with_fault};
use mgw_quorum::{
    Append, Envelope, Index, InjectedFault, Message, QuorumError, ReadMode, Recovered, ReplicaId,
    Role, Settings, Term, VoteRequest,
};
use mgw_world::Millis;

macro_rules! fault_table {
    ($($name:ident, $fault:ident;)+) => {$(
        mod $name {
            use super::*;

            #[test]
            fn passes() {
                assert_eq!(super::$name(Settings::default()), Ok(()));
            }

            #[test]
            fn fails_when_broken() {
                let broken = with_fault(InjectedFault::$fault);
                let run = std::panic::catch_unwind(|| super::$name(broken));
                assert!(!matches!(run, Ok(Ok(()))), "the fault stays hidden");
            }
        }
    )+};
}

fault_table! {
    crash_before_sync, AckBeforeSync;
    crash_after_sync, AckBeforeSync;
    lost_messages, IgnoreConflict;
    doubled_and_delayed_append, TruncateAlways;
    reordered_appends, SkipPrevCheck;
    second_vote_in_a_term, VoteTwice;
    stale_candidate, SkipLogCheck;
    frozen_leader, IgnoreQuorumLoss;
    cut_off_leader, IgnoreQuorumLoss;
    cut_off_leader_reads, SkipReadRound;
    returning_follower, SkipPreVote;
    vote_during_a_lease, VoteDespiteLease;
    lease_after_hand_over, KeepLeaseInTransfer;
    wiped_disk_under_old_name, EmptyLogVotes;
    old_term_entry, CommitOldTerm;
    learner_without_log, PromoteBehind;
    removal_beside_a_dead_voter, SkipReachableCheck;
    change_before_own_commit, EarlyChange;
}

fn voters(settings: Settings) -> Result<(Cluster, usize), String> {
    let mut cluster = Cluster::new(3, settings, 7);
    let leader = cluster.run_to_leader()?;
    Ok((cluster, leader))
}

fn others(leader: usize) -> (usize, usize) {
    ((leader + 1) % 3, (leader + 2) % 3)
}

/// Delivers messages without any sync.
fn exchange(cluster: &mut Cluster) -> Check {
    for _ in 0..4 {
        for _ in 0..cluster.net.len() {
            cluster.deliver(0)?;
        }
    }
    Ok(())
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

fn ask_vote(cluster: &mut Cluster, from: usize, to: usize, term: u64, last: (u64, u64)) -> Check {
    let request = VoteRequest {
        term: Term(term),
        last_term: Term(last.0),
        last_index: Index(last.1),
        transfer: false,
    };
    let (from, to) = (cluster.nodes[from].id.clone(), cluster.nodes[to].id.clone());
    let message = Message::Vote(request);
    cluster.net.push_back(Envelope { from, to, message });
    cluster.deliver(cluster.net.len() - 1)?;
    cluster.settle_disks()
}

fn granted(cluster: &Cluster) -> usize {
    let grants = cluster
        .net
        .iter()
        .filter(|envelope| match &envelope.message {
            Message::VoteReply(reply) => reply.granted,
            _ => false,
        });
    grants.count()
}

fn second_vote_in_a_term(settings: Settings) -> Check {
    let mut cluster = Cluster::new(3, settings, 1);
    cluster.now += Millis(400);
    ask_vote(&mut cluster, 0, 2, 5, (1, 1))?;
    ask_vote(&mut cluster, 1, 2, 5, (1, 1))?;
    ensure!(
        granted(&cluster) == 1,
        "{} votes in a term",
        granted(&cluster)
    );
    cluster.crash(2, 0);
    cluster.start(2);
    cluster.now += Millis(400);
    ask_vote(&mut cluster, 1, 2, 5, (1, 1))?;
    ensure!(
        granted(&cluster) == 1,
        "the vote was forgotten in the crash"
    );
    Ok(())
}

fn stale_candidate(settings: Settings) -> Check {
    let (mut cluster, leader) = voters(settings)?;
    let (near, far) = others(leader);
    cluster.now += Millis(400);
    cluster.net.clear();
    let term = cluster.replica(near).term().0 + 1;
    ask_vote(&mut cluster, far, near, term, (1, 1))?;
    ensure!(
        granted(&cluster) == 0,
        "a vote for a log without committed entries"
    );
    Ok(())
}

fn frozen_leader(settings: Settings) -> Check {
    let (mut cluster, old) = voters(settings)?;
    let read = cluster.read(old)?.ok_or("the read is taken")?;
    let old_term = cluster.replica(old).term();
    cluster.nodes[old].frozen = true;
    cluster.run(10_000)?;
    let next = cluster.run_to_leader()?;
    cluster.propose(next, b"a")?;
    cluster.run(100)?;
    ensure!(
        cluster.replica(next).term() > old_term,
        "no newer fencing number"
    );
    cluster.nodes[old].frozen = false;
    ensure!(
        !cluster.replica(old).is_leader_at(cluster.now),
        "the lease outlived the freeze"
    );
    ensure!(
        cluster.propose(old, b"stale")?.is_none(),
        "took a proposal after the freeze"
    );
    ensure!(cluster.read(old)?.is_none(), "took a read after the freeze");
    cluster.run(1_000)?;
    ensure!(
        !cluster.nodes[old].answered.contains(&read),
        "answered an old read"
    );
    ensure!(
        cluster.has_committed(b"stale") == 0,
        "committed after the freeze"
    );
    Ok(())
}

fn cut_off_leader(settings: Settings) -> Check {
    let (mut cluster, old) = voters(settings)?;
    cluster.isolate(old);
    cluster.run(700)?;
    ensure!(
        cluster.replica(old).role() != Role::Leader,
        "leads without a quorum"
    );
    ensure!(cluster.propose(old, b"stale")?.is_none(), "took a proposal");
    cluster.run(3_600_000 / 100)?;
    cluster.cut.clear();
    cluster.run(1_000)?;
    ensure!(
        cluster.has_committed(b"stale") == 0,
        "committed a stale entry"
    );
    Ok(())
}

fn cut_off_leader_reads(settings: Settings) -> Check {
    let (mut cluster, old) = voters(settings)?;
    cluster.isolate(old);
    let read = cluster.read(old)?.ok_or("the read is taken")?;
    cluster.run(2_000)?;
    ensure!(
        !cluster.nodes[old].answered.contains(&read),
        "answered alone"
    );
    ensure!(
        cluster.nodes[old].reads.is_empty(),
        "the read was not failed"
    );
    Ok(())
}

fn returning_follower(settings: Settings) -> Check {
    let (mut cluster, leader) = voters(settings)?;
    let term = cluster.replica(leader).term();
    let (near, _) = others(leader);
    cluster.isolate(near);
    cluster.run(5_000)?;
    cluster.cut.clear();
    cluster.run(1_000)?;
    ensure!(cluster.replica(leader).term() == term, "the term rose");
    ensure!(cluster.leader() == Some(leader), "the leader changed");
    Ok(())
}

fn vote_during_a_lease(settings: Settings) -> Check {
    let (mut cluster, leader) = voters(settings)?;
    let (near, far) = others(leader);
    let term = cluster.replica(near).term().0 + 1;
    ensure!(
        cluster.replica(leader).is_leader_at(cluster.now),
        "no lease"
    );
    cluster.net.clear();
    ask_vote(&mut cluster, far, near, term, (9, 99))?;
    ensure!(granted(&cluster) == 0, "a vote during a lease");
    cluster.crash(near, 0);
    cluster.start(near);
    ask_vote(&mut cluster, far, near, term, (9, 99))?;
    ensure!(granted(&cluster) == 0, "the restart forgot the lease");
    Ok(())
}

fn lease_after_hand_over(settings: Settings) -> Check {
    let (mut cluster, old) = voters(settings)?;
    let target = cluster.replica(old).best_successor().ok_or("a successor")?;
    let started = cluster.act(old, |replica, now| replica.transfer(target.clone(), now))?;
    ensure!(started == Some(Ok(())), "the hand-over was refused");
    ensure!(
        !cluster.replica(old).is_leader_at(cluster.now),
        "a lease beside the successor"
    );
    cluster.run(100)?;
    let leader = cluster.leader().ok_or("a leader")?;
    ensure!(cluster.nodes[leader].id == target, "another replica leads");
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
    cluster.nodes[wiped].disk = Recovered::default();
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
fn old_term_entry(settings: Settings) -> Check {
    let settings = Settings {
        append_entries_max: 1,
        ..settings
    };
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
    cluster.nodes[wiped].disk = Recovered::default();
    cluster.start(wiped);
    let from = cluster.nodes[leader].id.clone();
    let message = Message::Append(Append {
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
fn a_lease_answers_at_once_and_ends_in_a_partition() -> Check {
    let settings = Settings {
        read_mode: ReadMode::Lease,
        ..Settings::default()
    };
    let (mut cluster, leader) = voters(settings)?;
    let read = cluster.read(leader)?.ok_or("the read is taken")?;
    ensure!(
        cluster.nodes[leader].answered.contains(&read),
        "waited for a round"
    );
    cluster.isolate(leader);
    cluster.run(300)?;
    ensure!(
        !cluster.replica(leader).is_leader_at(cluster.now),
        "the lease goes on"
    );
    Ok(())
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
