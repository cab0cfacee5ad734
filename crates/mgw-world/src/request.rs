//! Identifiers of one step of a stage: request, attempt and token position.

use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Identifies a caller's request across all processes; written as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display("{_0:032x}")]
pub struct RequestId(pub u128);

/// a request id must be 32 hexadecimal digits
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub struct ParseRequestIdError;

impl FromStr for RequestId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 32 {
            return Err(ParseRequestIdError);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseRequestIdError)
    }
}

impl Serialize for RequestId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Number of an attempt to run a stage of a request; the number of an abandoned attempt is never
/// reused.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

impl Attempt {
    /// Number of the attempt that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Index of a token in the sequence of the prompt followed by the answer.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(transparent)]
pub struct Position(pub u32);

impl Position {
    /// The position `count` tokens later.
    #[must_use]
    pub const fn advance(self, count: u32) -> Self {
        Self(self.0 + count)
    }
}

/// Digest of a part of a prompt: requests whose prompts hold the same part carry the same digest. Written
/// in hexadecimal.
///
/// ```
/// use mgw_world::PromptPart;
/// let part: PromptPart = "5c1e07a2".parse().unwrap();
/// assert_eq!(part.to_string(), "5c1e07a2");
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
#[serde(transparent)]
#[display("{_0:x}")]
pub struct PromptPart(pub u64);

impl FromStr for PromptPart {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
