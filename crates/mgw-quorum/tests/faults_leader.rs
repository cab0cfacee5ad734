//! Faults of votes, leaders, leases and reads. Each scenario must pass without an injected fault
//! and must fail with the fault that its line names.

#[macro_use]
mod common;

use common::{CheckResult, Cluster, other_voters, start_three_voters, with_fault};
use mgw_quorum::{
    Envelope, Index, InjectedFault, Message, ReadMode, Role, Settings, Term, VoteRequest,
};
use mgw_world::Millis;

injected_fault_tests! {
    second_vote_in_a_term, VoteTwice;
    candidate_with_stale_log, SkipLogCheck;
    leader_that_resumes_after_a_freeze, IgnoreQuorumLoss;
    isolated_leader, IgnoreQuorumLoss;
    isolated_leader_reads, SkipReadRound;
    follower_rejoining_after_isolation, SkipPreVote;
    vote_during_a_lease, VoteDespiteLease;
    lease_during_leadership_transfer, KeepLeaseInTransfer;
}

/// Delivers a vote request of a candidate whose last log entry has the term and index `last`, and
/// syncs the vote.
fn request_vote(
    cluster: &mut Cluster,
    from: usize,
    to: usize,
    term: u64,
    last: (u64, u64),
) -> CheckResult {
    let request = VoteRequest {
        term: Term(term),
        last_term: Term(last.0),
        last_index: Index(last.1),
        transfer: false,
    };
    let (from, to) = (cluster.nodes[from].id.clone(), cluster.nodes[to].id.clone());
    let message = Message::Vote(request);
    cluster.messages.push_back(Envelope { from, to, message });
    cluster.deliver(cluster.messages.len() - 1)?;
    cluster.sync_all()
}

/// Number of granted votes among the undelivered messages.
fn count_granted(cluster: &Cluster) -> usize {
    let granted = cluster
        .messages
        .iter()
        .filter(|envelope| match &envelope.message {
            Message::VoteReply(reply) => reply.granted,
            _ => false,
        });
    granted.count()
}

fn second_vote_in_a_term(settings: Settings) -> CheckResult {
    let mut cluster = Cluster::new(3, settings, 1);
    cluster.now += Millis(400);
    request_vote(&mut cluster, 0, 2, 5, (1, 1))?;
    request_vote(&mut cluster, 1, 2, 5, (1, 1))?;
    ensure!(
        count_granted(&cluster) == 1,
        "{} votes granted in one term, expected 1",
        count_granted(&cluster)
    );
    cluster.crash(2, 0);
    cluster.start(2);
    cluster.now += Millis(400);
    request_vote(&mut cluster, 1, 2, 5, (1, 1))?;
    ensure!(
        count_granted(&cluster) == 1,
        "a second vote in the term was granted after the crash"
    );
    Ok(())
}

fn candidate_with_stale_log(settings: Settings) -> CheckResult {
    let (mut cluster, leader) = start_three_voters(settings)?;
    let (voter, candidate) = other_voters(leader);
    cluster.now += Millis(400);
    cluster.messages.clear();
    let term = cluster.replica(voter).term().0 + 1;
    request_vote(&mut cluster, candidate, voter, term, (1, 1))?;
    ensure!(
        count_granted(&cluster) == 0,
        "voted for a candidate whose log lacks committed entries"
    );
    Ok(())
}

fn leader_that_resumes_after_a_freeze(settings: Settings) -> CheckResult {
    let (mut cluster, old) = start_three_voters(settings)?;
    let read = cluster.read(old)?.ok_or("the read is taken")?;
    let old_term = cluster.replica(old).term();
    cluster.nodes[old].is_frozen = true;
    cluster.run(10_000)?;
    let next = cluster.run_until_leader()?;
    cluster.propose(next, b"a")?;
    cluster.run(100)?;
    ensure!(
        cluster.replica(next).term() > old_term,
        "the new leader has no higher fencing number"
    );
    cluster.nodes[old].is_frozen = false;
    ensure!(
        !cluster.has_lease(old),
        "the old leader still holds a lease after the freeze"
    );
    ensure!(
        cluster.propose(old, b"stale")?.is_none(),
        "accepted a proposal after the freeze"
    );
    ensure!(
        cluster.read(old)?.is_none(),
        "accepted a read after the freeze"
    );
    cluster.run(1_000)?;
    ensure!(
        !cluster.nodes[old].answered_reads.contains(&read),
        "answered a read from before the freeze"
    );
    ensure!(
        cluster.count_committed(b"stale") == 0,
        "committed a proposal of the frozen leader"
    );
    Ok(())
}

fn isolated_leader(settings: Settings) -> CheckResult {
    let (mut cluster, old) = start_three_voters(settings)?;
    cluster.isolate(old);
    cluster.run(700)?;
    ensure!(
        cluster.replica(old).role() != Role::Leader,
        "a leader without a quorum didn't step down"
    );
    ensure!(
        cluster.propose(old, b"stale")?.is_none(),
        "accepted a proposal without a quorum"
    );
    cluster.run(3_600_000 / 100)?;
    cluster.blocked_links.clear();
    cluster.run(1_000)?;
    ensure!(
        cluster.count_committed(b"stale") == 0,
        "committed a proposal of the isolated leader"
    );
    Ok(())
}

fn isolated_leader_reads(settings: Settings) -> CheckResult {
    let (mut cluster, old) = start_three_voters(settings)?;
    cluster.isolate(old);
    let read = cluster.read(old)?.ok_or("the read is taken")?;
    cluster.run(2_000)?;
    ensure!(
        !cluster.nodes[old].answered_reads.contains(&read),
        "an isolated leader answered a read"
    );
    ensure!(
        cluster.nodes[old].pending_reads.is_empty(),
        "the read was not reported as failed"
    );
    Ok(())
}

fn follower_rejoining_after_isolation(settings: Settings) -> CheckResult {
    let (mut cluster, leader) = start_three_voters(settings)?;
    let term = cluster.replica(leader).term();
    let (follower, _) = other_voters(leader);
    cluster.isolate(follower);
    cluster.run(5_000)?;
    cluster.blocked_links.clear();
    cluster.run(1_000)?;
    ensure!(
        cluster.replica(leader).term() == term,
        "the returning follower raised the term"
    );
    ensure!(cluster.leader() == Some(leader), "the leader changed");
    Ok(())
}

fn vote_during_a_lease(settings: Settings) -> CheckResult {
    let (mut cluster, leader) = start_three_voters(settings)?;
    let (voter, candidate) = other_voters(leader);
    let term = cluster.replica(voter).term().0 + 1;
    ensure!(cluster.has_lease(leader), "the leader holds no lease");
    cluster.messages.clear();
    request_vote(&mut cluster, candidate, voter, term, (9, 99))?;
    ensure!(
        count_granted(&cluster) == 0,
        "a vote was granted during a lease"
    );
    cluster.crash(voter, 0);
    cluster.start(voter);
    request_vote(&mut cluster, candidate, voter, term, (9, 99))?;
    ensure!(
        count_granted(&cluster) == 0,
        "a vote was granted during a lease, after a restart"
    );
    Ok(())
}

fn lease_during_leadership_transfer(settings: Settings) -> CheckResult {
    let (mut cluster, old) = start_three_voters(settings)?;
    let target = cluster
        .replica(old)
        .best_transfer_target()
        .ok_or("a successor")?;
    let started = cluster.apply_input(old, |replica, now| {
        replica.transfer_leadership(target.clone(), now)
    })?;
    ensure!(
        started == Some(Ok(())),
        "the leadership transfer was refused"
    );
    ensure!(
        !cluster.has_lease(old),
        "the old leader kept its lease during the transfer"
    );
    cluster.run(100)?;
    let leader = cluster.leader().ok_or("a leader")?;
    ensure!(
        cluster.nodes[leader].id == target,
        "a replica other than the transfer target leads"
    );
    Ok(())
}

#[test]
fn a_lease_read_is_answered_at_once_and_the_lease_ends_in_a_partition() -> CheckResult {
    let settings = Settings {
        read_mode: ReadMode::Lease,
        ..Settings::default()
    };
    let (mut cluster, leader) = start_three_voters(settings)?;
    let read = cluster.read(leader)?.ok_or("the read is taken")?;
    ensure!(
        cluster.nodes[leader].answered_reads.contains(&read),
        "the read waited for a heartbeat round"
    );
    cluster.isolate(leader);
    cluster.run(300)?;
    ensure!(
        !cluster.has_lease(leader),
        "the lease of the isolated leader did not end"
    );
    Ok(())
}
