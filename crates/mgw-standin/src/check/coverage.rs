//! The set of positions that a layer ran.

use mgw_world::Position;

/// A set of positions, stored as sorted, disjoint, half-open spans.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct PositionSet {
    spans: Vec<(u32, u32)>,
}

impl PositionSet {
    /// Adds `count` positions from `first` on and returns how many of them the set had already.
    pub(crate) fn insert(&mut self, first: Position, count: u32) -> u32 {
        let (mut start, mut end) = (first.0, first.0 + count);
        let mut repeated = 0;
        let mut disjoint = Vec::with_capacity(self.spans.len() + 1);
        for (span_start, span_end) in self.spans.drain(..) {
            if span_end < start || end < span_start {
                disjoint.push((span_start, span_end));
                continue;
            }
            let shared_start = span_start.max(first.0);
            let shared_end = span_end.min(first.0 + count);
            repeated += shared_end.saturating_sub(shared_start);
            start = start.min(span_start);
            end = end.max(span_end);
        }
        disjoint.push((start, end));
        disjoint.sort_unstable();
        self.spans = disjoint;
        repeated
    }

    /// Number of positions from zero up to the first gap.
    pub(crate) fn contiguous_from_zero(&self) -> u32 {
        match self.spans.first() {
            Some((0, end)) => *end,
            _ => 0,
        }
    }

    /// One past the last position; zero when the set is empty.
    pub(crate) fn end(&self) -> u32 {
        self.spans.last().map_or(0, |(_, end)| *end)
    }
}
