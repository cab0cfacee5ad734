//! Faults of votes, leaders, leases and reads. Each line passes on the real build and fails on the
//! one with the named fault.

#[macro_use]
mod common;

use common::{Check, Cluster, others, voters, with_fault};
use mgw_quorum::{
    Envelope, Index, InjectedFault, Message, ReadMode, Role, Settings, Term, VoteRequest,
};
use mgw_world::Millis;

fault_table! {
    second_vote_in_a_term, VoteTwice;
    stale_candidate, SkipLogCheck;
    frozen_leader, IgnoreQuorumLoss;
    cut_off_leader, IgnoreQuorumLoss;
    cut_off_leader_reads, SkipReadRound;
    returning_follower, SkipPreVote;
    vote_during_a_lease, VoteDespiteLease;
    lease_after_hand_over, KeepLeaseInTransfer;
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
    ensure!(!cluster.has_lease(old), "the lease outlived the freeze");
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
    ensure!(cluster.has_lease(leader), "no lease");
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
    let target = cluster
        .replica(old)
        .best_transfer_target()
        .ok_or("a successor")?;
    let started = cluster.act(old, |replica, now| {
        replica.transfer_leadership(target.clone(), now)
    })?;
    ensure!(started == Some(Ok(())), "the hand-over was refused");
    ensure!(!cluster.has_lease(old), "a lease beside the successor");
    cluster.run(100)?;
    let leader = cluster.leader().ok_or("a leader")?;
    ensure!(cluster.nodes[leader].id == target, "another replica leads");
    Ok(())
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
    ensure!(!cluster.has_lease(leader), "the lease goes on");
    Ok(())
}
