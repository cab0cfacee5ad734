//! In-memory log: a snapshot and the entries after it.

use crate::{Entry, Index, Membership, Payload, Snapshot, SnapshotMeta, Term};

/// Snapshot, the entries after it, and the membership changes among these entries.
#[derive(Debug, Clone, Default)]
pub(crate) struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// Index of each membership entry and the membership from that index on.
    membership_changes: Vec<(Index, Membership)>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            snapshot,
            entries: Vec::new(),
            membership_changes: Vec::new(),
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub(crate) const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Last index that the snapshot includes, zero without a snapshot.
    pub(crate) const fn snapshot_index(&self) -> Index {
        self.snapshot.meta.index
    }

    pub(crate) fn last_index(&self) -> Index {
        Index(self.snapshot_index().0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.meta.term, |entry| entry.term)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.last_index() == Index::ZERO
    }

    /// Membership by the newest change in the log, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        self.membership_changes
            .last()
            .map_or(&self.snapshot.meta.membership, |(_, membership)| membership)
    }

    /// Index of the newest membership entry, or that of the snapshot if no entry changes it.
    pub(crate) fn last_membership_index(&self) -> Index {
        self.membership_changes
            .last()
            .map_or(self.snapshot_index(), |(index, _)| *index)
    }

    /// Membership in force at `index`.
    fn membership_at(&self, index: Index) -> &Membership {
        self.membership_changes
            .iter()
            .rev()
            .find(|(changed_at, _)| *changed_at <= index)
            .map_or(&self.snapshot.meta.membership, |(_, membership)| membership)
    }

    /// Offset of the entry at `index` in `entries`. None if the snapshot includes that index.
    fn offset(&self, index: Index) -> Option<usize> {
        let offset = index.0.checked_sub(self.snapshot_index().0 + 1)?;
        usize::try_from(offset).ok()
    }

    /// Term of the entry at `index`. None if it is compacted or beyond the end of the log.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot_index() {
            return Some(self.snapshot.meta.term);
        }
        let entry = self.entries.get(self.offset(index)?)?;
        Some(entry.term)
    }

    /// Entries from `first_index` up to and including `last_index`, at most `max_count` of them.
    pub(crate) fn range(
        &self,
        first_index: Index,
        last_index: Index,
        max_count: usize,
    ) -> &[Entry] {
        let Some(start) = self.offset(first_index) else {
            return &[];
        };
        let end = self.offset(last_index.next()).unwrap_or(0);
        let end = end
            .min(self.entries.len())
            .min(start.saturating_add(max_count));
        self.entries.get(start..end).unwrap_or(&[])
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            self.membership_changes
                .push((entry.index, membership.clone()));
        }
        self.entries.push(entry);
    }

    /// Removes the entry at `first_index` and all entries after it.
    pub(crate) fn truncate(&mut self, first_index: Index) {
        if let Some(offset) = self.offset(first_index) {
            self.entries.truncate(offset);
        }
        self.membership_changes
            .retain(|(index, _)| *index < first_index);
    }

    /// First index of the consecutive entries up to `index` that have the same term.
    pub(crate) fn first_index_of_term(&self, index: Index) -> Index {
        let term = self.term_at(index);
        let mut first_index = index;
        while first_index > self.snapshot_index() && self.term_at(first_index.previous()) == term {
            first_index = first_index.previous();
        }
        first_index
    }

    /// Replaces the entries up to `index` by a snapshot whose state is `data`. None if there is no
    /// entry at `index`.
    pub(crate) fn compact(&mut self, index: Index, data: Vec<u8>) -> Option<()> {
        let meta = SnapshotMeta {
            index,
            term: self.term_at(index)?,
            membership: self.membership_at(index).clone(),
        };
        let remaining = self.range(index.next(), self.last_index(), usize::MAX);
        *self = Self::new(Snapshot { meta, data }, remaining.to_vec());
        Some(())
    }

    /// Replaces the snapshot by one of the leader. Keeps the entries after it if the log holds the
    /// last entry that the snapshot includes.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        let has_last_entry = self.term_at(index) == Some(snapshot.meta.term);
        let remaining = if has_last_entry {
            self.range(index.next(), self.last_index(), usize::MAX)
                .to_vec()
        } else {
            Vec::new()
        };
        *self = Self::new(snapshot, remaining);
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }
}
