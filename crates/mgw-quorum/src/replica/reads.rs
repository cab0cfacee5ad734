//! Linearizable reads, and the lease that lets a leader act without a round trip.

use super::output::ReadyRead;
use super::state::Replica;
use crate::{Index, InjectedFault, QuorumError, ReadMode, ReadToken, Round};
use mgw_world::Millis;

/// A read that waits until a majority has answered a heartbeat round and its index is applied.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRead {
    token: ReadToken,
    /// Commit index at the time of the request.
    index: Index,
    /// Heartbeat round that a majority must answer first. Zero if none is needed.
    round: Round,
}

/// Reads to report in the next output.
#[derive(Debug, Default)]
pub(super) struct ReadOutcomes {
    pub(super) ready: Vec<ReadyRead>,
    pub(super) failed: Vec<ReadToken>,
}

impl Replica {
    /// Requests a linearizable read. The token is returned in [`crate::Output::ready_reads`] once
    /// the entries handed out in [`crate::Output::committed`] are recent enough, or in
    /// [`crate::Output::failed_reads`] if this replica loses leadership before.
    ///
    /// # Errors
    ///
    /// Fails when this replica isn't the leader, is transferring leadership, or has not yet
    /// committed an entry of its term.
    pub fn request_read(&mut self, token: ReadToken, now: Millis) -> Result<(), QuorumError> {
        self.advance_clock(now);
        self.check_accepts_requests()?;
        if !self.has_committed_in_term() {
            return Err(QuorumError::NotReady);
        }
        let is_lease_read = self.settings.read_mode == ReadMode::Lease && self.has_lease_at(now);
        let needs_round = !is_lease_read && !self.has_injected_fault(InjectedFault::SkipReadRound);
        let index = self.commit_index;
        if let Some(leadership) = &mut self.leadership {
            let round = if needs_round {
                leadership.is_round_due = true;
                leadership.round.next()
            } else {
                Round::ZERO
            };
            leadership.pending_reads.push(PendingRead {
                token,
                index,
                round,
            });
        }
        Ok(())
    }

    /// Whether this replica holds the leader lease at `now`, so that no other replica leads.
    ///
    /// Orders may be given to engines only while this is true, with [`Self::term`] as fencing
    /// number. The lease relies on clocks that drift less than `lease_margin_ms` in
    /// `election_min_ms`. The clock must keep running while the VM is suspended.
    #[must_use]
    pub fn has_lease_at(&self, now: Millis) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Time at which the lease of this leader ends. None when this replica has no lease.
    #[must_use]
    pub fn lease_until(&self) -> Option<Millis> {
        let leadership = self.leadership.as_ref()?;
        let has_given_up_lease = leadership.may_have_successor()
            && !self.has_injected_fault(InjectedFault::KeepLeaseInTransfer);
        if has_given_up_lease || !self.has_committed_in_term() {
            return None;
        }
        let sent_ms = self.quorum_acked_sent_ms()?;
        Some(sent_ms + (self.settings.election_min_ms - self.settings.lease_margin_ms))
    }

    /// Whether this replica leads and has committed an entry of its own term. Only then is its
    /// commit index known to be up to date.
    pub(super) fn has_committed_in_term(&self) -> bool {
        self.leadership
            .as_ref()
            .is_some_and(|leadership| self.commit_index >= leadership.term_start_index)
    }

    /// Reports reads as failed in the next output.
    pub(super) fn fail_reads(&mut self, reads: Vec<PendingRead>) {
        let tokens = reads.into_iter().map(|read| read.token);
        self.read_outcomes.failed.extend(tokens);
    }

    /// Reports the reads as ready whose round a majority has answered and whose index is applied.
    pub(super) fn release_reads(&mut self) {
        let applied_index = self.applied_index;
        let confirmed_round = self.quorum_acked_round();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let is_ready =
            |read: &PendingRead| read.round <= confirmed_round && read.index <= applied_index;
        let (ready, waiting) = leadership
            .pending_reads
            .iter()
            .partition(|read| is_ready(read));
        leadership.pending_reads = waiting;
        let ready: Vec<PendingRead> = ready;
        self.read_outcomes
            .ready
            .extend(ready.into_iter().map(|read| ReadyRead {
                token: read.token,
                index: read.index,
            }));
    }

    /// Newest heartbeat round that a majority of the voters has answered.
    fn quorum_acked_round(&self) -> Round {
        let Some(leadership) = &self.leadership else {
            return Round::ZERO;
        };
        let round = self.log.membership().quorum_value(|id| {
            if *id == self.id {
                return leadership.round;
            }
            leadership
                .progress
                .get(id)
                .map_or(Round::ZERO, |it| it.acked_round)
        });
        round.unwrap_or(Round::ZERO)
    }
}
