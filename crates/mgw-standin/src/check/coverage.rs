//! Sets of positions that a layer ran.

use mgw_world::Position;

/// Positions as sorted, separate, half-open spans.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct PositionSet {
    spans: Vec<(u32, u32)>,
}

impl PositionSet {
    /// Adds `count` positions and returns how many of them were there before.
    pub(crate) fn insert(&mut self, first: Position, count: u32) -> u32 {
        let (mut start, mut end) = (first.0, first.0 + count);
        let mut repeated = 0;
        let mut apart = Vec::with_capacity(self.spans.len() + 1);
        for (other_start, other_end) in self.spans.drain(..) {
            if other_end < start || end < other_start {
                apart.push((other_start, other_end));
                continue;
            }
            let shared_start = other_start.max(first.0);
            let shared_end = other_end.min(first.0 + count);
            repeated += shared_end.saturating_sub(shared_start);
            start = start.min(other_start);
            end = end.max(other_end);
        }
        apart.push((start, end));
        apart.sort_unstable();
        self.spans = apart;
        repeated
    }

    /// How many positions from zero on are there without a gap.
    pub(crate) fn prefix(&self) -> u32 {
        match self.spans.first() {
            Some((0, end)) => *end,
            _ => 0,
        }
    }

    /// One past the last position.
    pub(crate) fn end(&self) -> u32 {
        self.spans.last().map_or(0, |(_, end)| *end)
    }
}
