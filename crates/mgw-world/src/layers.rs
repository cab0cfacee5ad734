//! Ranges of model layers.

use serde::{Deserialize, Serialize};

/// A half-open, non-empty range of layers: `first..end`.
///
/// ```
/// use mgw_world::LayerRange;
/// let low = LayerRange::new(0, 8).unwrap();
/// let high = LayerRange::new(8, 12).unwrap();
/// assert!(low.is_followed_by(high));
/// assert_eq!(high.count(), 4);
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{first}..{end}")]
#[serde(try_from = "RawRange")]
pub struct LayerRange {
    first: u16,
    end: u16,
}

#[derive(Deserialize)]
struct RawRange {
    first: u16,
    end: u16,
}

impl TryFrom<RawRange> for LayerRange {
    type Error = LayerRangeError;

    fn try_from(raw: RawRange) -> Result<Self, Self::Error> {
        Self::new(raw.first, raw.end)
    }
}

/// layer range {first}..{end} is empty
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub struct LayerRangeError {
    first: u16,
    end: u16,
}

impl LayerRange {
    /// Creates the range `first..end`.
    ///
    /// # Errors
    /// When the range holds no layer.
    pub const fn new(first: u16, end: u16) -> Result<Self, LayerRangeError> {
        if first < end {
            Ok(Self { first, end })
        } else {
            Err(LayerRangeError { first, end })
        }
    }

    /// Index of the first layer of the range.
    #[must_use]
    pub const fn first(self) -> u16 {
        self.first
    }

    /// One past the last layer.
    #[must_use]
    pub const fn end(self) -> u16 {
        self.end
    }

    /// Number of layers in the range.
    #[must_use]
    pub const fn count(self) -> u16 {
        self.end - self.first
    }

    /// Whether `next` starts exactly where this range ends.
    #[must_use]
    pub const fn is_followed_by(self, next: Self) -> bool {
        self.end == next.first
    }
}
