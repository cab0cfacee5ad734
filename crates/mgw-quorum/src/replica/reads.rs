//! Linearizable reads, and the lease that lets a leader act without asking.

use super::output::ReadyRead;
use super::state::Replica;
use crate::{Index, InjectedFault, QuorumError, ReadMode, ReadToken, Round};
use mgw_world::Millis;

/// A read that waits for a heartbeat round or for its index to be applied.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRead {
    token: ReadToken,
    index: Index,
    round: Round,
}

/// Reads to report in the next output.
#[derive(Debug, Default)]
pub(super) struct ReadOutcomes {
    pub(super) ready: Vec<ReadyRead>,
    pub(super) failed: Vec<ReadToken>,
}

impl Replica {
    /// Asks for a linearizable read. The token comes back in [`crate::Output::ready_reads`] once the
    /// state handed out in [`crate::Output::committed`] is new enough, or in
    /// [`crate::Output::failed_reads`] when leadership is lost before.
    ///
    /// # Errors
    ///
    /// Refuses when this replica doesn't lead, is handing over, or hasn't committed in its term.
    pub fn request_read(&mut self, token: ReadToken, now: Millis) -> Result<(), QuorumError> {
        self.advance(now);
        self.check_leading()?;
        if !self.has_committed_in_term() {
            return Err(QuorumError::NotReady);
        }
        let by_lease = self.settings.read_mode == ReadMode::Lease && self.has_lease_at(now);
        let needs_round = !by_lease && !self.is_fault(InjectedFault::SkipReadRound);
        let index = self.commit;
        if let Some(leadership) = &mut self.leadership {
            let round = if needs_round {
                leadership.round_due = true;
                leadership.round.next()
            } else {
                Round::ZERO
            };
            leadership.reads.push(PendingRead {
                token,
                index,
                round,
            });
        }
        Ok(())
    }

    /// Whether this replica holds the lease at `now`, and so no other replica leads.
    ///
    /// Orders to engines are given only while this holds, with [`Self::term`] as fencing number.
    /// It relies on clocks that drift less than `lease_margin_ms` in `election_min_ms`. The clock
    /// must keep running while the VM is suspended.
    #[must_use]
    pub fn has_lease_at(&self, now: Millis) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// End of the lease. None when this replica holds none.
    #[must_use]
    pub fn lease_until(&self) -> Option<Millis> {
        let leadership = self.leadership.as_ref()?;
        let is_handed_over =
            leadership.is_handed_over() && !self.is_fault(InjectedFault::KeepLeaseInTransfer);
        if is_handed_over || !self.has_committed_in_term() {
            return None;
        }
        let sent_ms = self.quorum_sent_ms()?;
        Some(sent_ms + (self.settings.election_min_ms - self.settings.lease_margin_ms))
    }

    pub(super) fn has_committed_in_term(&self) -> bool {
        self.leadership
            .as_ref()
            .is_some_and(|leadership| self.commit >= leadership.term_start)
    }

    pub(super) fn fail_reads(&mut self, reads: Vec<PendingRead>) {
        let tokens = reads.into_iter().map(|read| read.token);
        self.reads.failed.extend(tokens);
    }

    /// Releases the reads whose round reached a majority and whose index is applied.
    pub(super) fn release_reads(&mut self) {
        let applied = self.applied;
        let confirmed = self.confirmed_round();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let is_ready = |read: &PendingRead| read.round <= confirmed && read.index <= applied;
        let (ready, waiting) = leadership.reads.iter().partition(|read| is_ready(read));
        leadership.reads = waiting;
        let ready: Vec<PendingRead> = ready;
        self.reads
            .ready
            .extend(ready.into_iter().map(|read| ReadyRead {
                token: read.token,
                index: read.index,
            }));
    }

    fn confirmed_round(&self) -> Round {
        let Some(leadership) = &self.leadership else {
            return Round::ZERO;
        };
        let newest = self.log.membership().quorum_value(|id| {
            if *id == self.id {
                return leadership.round;
            }
            leadership
                .progress
                .get(id)
                .map_or(Round::ZERO, |it| it.acked_round)
        });
        newest.unwrap_or(Round::ZERO)
    }
}
