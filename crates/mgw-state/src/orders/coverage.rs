//! Coverage of a model's layers by engines, and the cheapest complete chain.

use mgw_world::LayerRange;

/// A layer range that an engine has loaded or could load, and the bytes that remain to be loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ChainSegment {
    /// The layer range.
    pub layers: LayerRange,
    /// Bytes to load; zero for a range that is already loaded.
    pub bytes: u64,
}

/// Finds the complete chain over all layers that needs the fewest bytes to load, and among equals
/// the one of the fewest segments. Returns the indexes of its segments in the sequence of their
/// layers; none if there is no complete chain.
///
/// Segments are visited by their first layer; `cheapest[layer]` is the cheapest chain of visited
/// segments from the first layer up to, not including, `layer`.
pub(super) fn find_cheapest_chain(segments: &[ChainSegment], layers: u16) -> Option<Vec<usize>> {
    let mut by_first_layer: Vec<usize> = (0..segments.len()).collect();
    by_first_layer.sort_by_key(|index| (segments[*index].layers.first(), *index));
    let mut cheapest: Vec<Option<PartialChain>> = vec![None; usize::from(layers) + 1];
    cheapest[0] = Some(PartialChain::default());
    for index in by_first_layer {
        let segment = segments[index];
        let end = usize::from(segment.layers.end());
        let prefix = cheapest.get(usize::from(segment.layers.first()));
        let Some(prefix) = prefix.copied().flatten() else {
            continue;
        };
        if end >= cheapest.len() {
            continue;
        }
        let candidate = PartialChain {
            bytes: prefix.bytes.saturating_add(segment.bytes),
            segments: prefix.segments + 1,
            last: Some(index),
        };
        if cheapest[end].is_none_or(|known| candidate.cost() < known.cost()) {
            cheapest[end] = Some(candidate);
        }
    }
    trace_chain(&cheapest, segments)
}

/// Whether the ranges contain a complete chain over all layers.
pub(super) fn has_complete_chain(ranges: impl Iterator<Item = LayerRange>, layers: u16) -> bool {
    let segments: Vec<_> = ranges
        .map(|layers| ChainSegment { layers, bytes: 0 })
        .collect();
    find_cheapest_chain(&segments, layers).is_some()
}

/// The number of ranges that contain the least covered layer of `within`.
pub(super) fn min_layer_copies(ranges: &[LayerRange], within: LayerRange) -> usize {
    let contains = |range: &&LayerRange, layer| range.first() <= layer && layer < range.end();
    let layers = within.first()..within.end();
    let copies = layers.map(|layer| ranges.iter().filter(|range| contains(range, layer)).count());
    copies.min().unwrap_or(0)
}

/// The cheapest chain of segments from the first layer up to some layer.
#[derive(Debug, Clone, Copy, Default)]
struct PartialChain {
    bytes: u64,
    segments: usize,
    /// Index of the last segment; none for the empty chain.
    last: Option<usize>,
}

impl PartialChain {
    const fn cost(&self) -> (u64, usize) {
        (self.bytes, self.segments)
    }
}

/// Collects the segments of the chain over all layers, from the last one backwards.
fn trace_chain(cheapest: &[Option<PartialChain>], segments: &[ChainSegment]) -> Option<Vec<usize>> {
    let mut layer = cheapest.len() - 1;
    let mut chain = Vec::new();
    while layer > 0 {
        let index = cheapest[layer]?.last?;
        chain.push(index);
        layer = usize::from(segments[index].layers.first());
    }
    chain.reverse();
    Some(chain)
}
