//! The log in memory: a snapshot and the entries after it.

use crate::{Entry, Index, Membership, Payload, Snapshot, SnapshotMeta, Term};

/// Snapshot and entries, with the members at each change.
#[derive(Debug, Clone, Default)]
pub(crate) struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    changes: Vec<(Index, Membership)>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            snapshot,
            entries: Vec::new(),
            changes: Vec::new(),
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub(crate) const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) const fn base(&self) -> Index {
        self.snapshot.meta.index
    }

    pub(crate) fn last_index(&self) -> Index {
        Index(self.base().0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .last()
            .map_or(self.snapshot.meta.term, |entry| entry.term)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.last_index() == Index::ZERO
    }

    /// Members by the newest change in the log, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        self.changes
            .last()
            .map_or(&self.snapshot.meta.membership, |(_, members)| members)
    }

    pub(crate) fn last_change(&self) -> Index {
        self.changes.last().map_or(self.base(), |(index, _)| *index)
    }

    fn membership_at(&self, index: Index) -> &Membership {
        self.changes
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or(&self.snapshot.meta.membership, |(_, members)| members)
    }

    fn offset(&self, index: Index) -> Option<usize> {
        let offset = index.0.checked_sub(self.base().0 + 1)?;
        usize::try_from(offset).ok()
    }

    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base() {
            return Some(self.snapshot.meta.term);
        }
        let entry = self.entries.get(self.offset(index)?)?;
        Some(entry.term)
    }

    /// Entries from `first` up to and including `last`, at most `count_max` of them.
    pub(crate) fn range(&self, first: Index, last: Index, count_max: usize) -> &[Entry] {
        let Some(start) = self.offset(first) else {
            return &[];
        };
        let end = self.offset(last.next()).unwrap_or(0);
        let end = end
            .min(self.entries.len())
            .min(start.saturating_add(count_max));
        self.entries.get(start..end).unwrap_or(&[])
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Membership(members) = &entry.payload {
            self.changes.push((entry.index, members.clone()));
        }
        self.entries.push(entry);
    }

    /// Drops `first` and all entries after it.
    pub(crate) fn truncate(&mut self, first: Index) {
        if let Some(offset) = self.offset(first) {
            self.entries.truncate(offset);
        }
        self.changes.retain(|(index, _)| *index < first);
    }

    /// The first index of the run of entries that share the term of `index`.
    pub(crate) fn first_of_term(&self, index: Index) -> Index {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base() && self.term_at(first.previous()) == term {
            first = first.previous();
        }
        first
    }

    /// Replaces the entries up to `index` by a snapshot of the state after it.
    pub(crate) fn compact(&mut self, index: Index, data: Vec<u8>) -> Option<()> {
        let meta = SnapshotMeta {
            index,
            term: self.term_at(index)?,
            membership: self.membership_at(index).clone(),
        };
        let kept = self.range(index.next(), self.last_index(), usize::MAX);
        *self = Self::new(Snapshot { meta, data }, kept.to_vec());
        Some(())
    }

    /// Takes over a snapshot of the leader, and keeps the entries after it if they follow on.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        let follows = self.term_at(index) == Some(snapshot.meta.term);
        let kept = if follows {
            self.range(index.next(), self.last_index(), usize::MAX)
                .to_vec()
        } else {
            Vec::new()
        };
        *self = Self::new(snapshot, kept);
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }
}
