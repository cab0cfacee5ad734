//! The invariants that hold at each moment over all running replicas of a simulated cluster.

use mgw_quorum::{Replica, Role};

use super::{CheckResult, Cluster};

impl Cluster {
    /// Checks the invariants over all running replicas.
    pub fn check_invariants(&mut self) -> CheckResult {
        let running: Vec<usize> = (0..self.nodes.len())
            .filter(|position| self.nodes[*position].replica.is_some())
            .collect();
        for position in &running {
            self.check_leader(*position)?;
        }
        for (offset, left) in running.iter().enumerate() {
            for right in &running[offset + 1..] {
                self.check_log_matching(*left, *right)?;
            }
        }
        self.check_leases(&running)
    }

    /// Checks that each term has one leader, and that a new leader holds all committed entries.
    fn check_leader(&mut self, position: usize) -> CheckResult {
        let replica = self.nodes[position]
            .replica
            .as_ref()
            .expect("the replica runs");
        if replica.role() != Role::Leader {
            return Ok(());
        }
        let term = replica.term();
        let id = self.nodes[position].id.clone();
        let is_new = !self.leaders.contains_key(&term);
        let first = self.leaders.entry(term).or_insert(id.clone());
        ensure!(*first == id, "two leaders in term {term}: {first} and {id}");
        if !is_new {
            return Ok(());
        }
        for (index, entry) in &self.committed {
            if *index <= replica.snapshot_index() {
                continue;
            }
            let offset = (index.0 - replica.snapshot_index().0 - 1) as usize;
            let found = replica.entries().get(offset);
            ensure!(
                found == Some(entry),
                "the leader of term {term} lacks the committed entry {index}"
            );
        }
        Ok(())
    }

    /// Checks that two logs are equal up to the last entry for which they have the same term.
    fn check_log_matching(&self, left: usize, right: usize) -> CheckResult {
        let (left, right) = (self.replica(left), self.replica(right));
        let snapshot_index = left.snapshot_index().max(right.snapshot_index());
        let offset_after_snapshot = |replica: &'_ Replica| {
            let skipped = snapshot_index.0 - replica.snapshot_index().0;
            usize::try_from(skipped)
                .unwrap_or(usize::MAX)
                .min(replica.entries().len())
        };
        let left = &left.entries()[offset_after_snapshot(left)..];
        let right = &right.entries()[offset_after_snapshot(right)..];
        let pairs = left.iter().zip(right);
        let last_match = pairs
            .clone()
            .rposition(|(left, right)| left.term == right.term);
        let matching_count = last_match.map_or(0, |offset| offset + 1);
        ensure!(
            left[..matching_count] == right[..matching_count],
            "two logs have an entry with the same index and term, but differ before it"
        );
        Ok(())
    }

    /// Checks that no newer leader exists while a replica holds a lease.
    fn check_leases(&self, running: &[usize]) -> CheckResult {
        for holder in running {
            if !self.has_lease(*holder) {
                continue;
            }
            for other in running {
                let is_newer = self.replica(*other).term() > self.replica(*holder).term();
                let leads = self.replica(*other).role() == Role::Leader;
                ensure!(
                    !(is_newer && leads),
                    "a newer leader was elected while another replica held a lease"
                );
            }
        }
        Ok(())
    }
}
