//! Which layers of a model are held, and the cheapest way to a complete chain.

use mgw_world::LayerRange;

/// A range that is held, or could be loaded, and the bytes that this takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Piece {
    /// The range.
    pub layers: LayerRange,
    /// Bytes to load; zero for a range that is held.
    pub bytes: u64,
}

/// The pieces of the chain over all layers that takes the fewest bytes, by their index in
/// `pieces`, in the order of their layers; none if no chain is possible.
pub(super) fn find_cheapest_chain(pieces: &[Piece], layers: u16) -> Option<Vec<usize>> {
    let mut order: Vec<usize> = (0..pieces.len()).collect();
    order.sort_by_key(|index| (pieces[*index].layers.first(), *index));
    let mut reached: Vec<Option<Reached>> = vec![None; usize::from(layers) + 1];
    reached[0] = Some(Reached::default());
    for index in order {
        let piece = pieces[index];
        let end = usize::from(piece.layers.end());
        let before = reached.get(usize::from(piece.layers.first()));
        let Some(before) = before.copied().flatten() else {
            continue;
        };
        if end >= reached.len() {
            continue;
        }
        let offer = Reached {
            bytes: before.bytes.saturating_add(piece.bytes),
            pieces: before.pieces + 1,
            last: Some(index),
        };
        if reached[end].is_none_or(|held| offer.cost() < held.cost()) {
            reached[end] = Some(offer);
        }
    }
    trace_chain(&reached, pieces)
}

/// Whether the ranges hold a complete chain.
pub(super) fn has_chain(ranges: impl Iterator<Item = LayerRange>, layers: u16) -> bool {
    let pieces: Vec<_> = ranges.map(|layers| Piece { layers, bytes: 0 }).collect();
    find_cheapest_chain(&pieces, layers).is_some()
}

/// Smallest number of ranges that hold any one layer of `within`.
pub(super) fn count_weakest(ranges: &[LayerRange], within: LayerRange) -> usize {
    let holds = |range: &&LayerRange, layer| range.first() <= layer && layer < range.end();
    let layers = within.first()..within.end();
    let counts = layers.map(|layer| ranges.iter().filter(|range| holds(range, layer)).count());
    counts.min().unwrap_or(0)
}

/// The cheapest way to the end of a layer.
#[derive(Debug, Clone, Copy, Default)]
struct Reached {
    bytes: u64,
    pieces: usize,
    last: Option<usize>,
}

impl Reached {
    const fn cost(&self) -> (u64, usize) {
        (self.bytes, self.pieces)
    }
}

fn trace_chain(reached: &[Option<Reached>], pieces: &[Piece]) -> Option<Vec<usize>> {
    let mut at = reached.len() - 1;
    let mut chain = Vec::new();
    while at > 0 {
        let index = reached[at]?.last?;
        chain.push(index);
        at = usize::from(pieces[index].layers.first());
    }
    chain.reverse();
    Some(chain)
}
