//! What a quarantine may keep from targets: parts of prompts, and whole requests.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::PromptPart;

/// Number of bytes of a request's digest: enough that no caller can find two requests with the same one.
const DIGEST_BYTES: usize = 16;

/// Digest of a whole request: what a caller sends, without what changes with each attempt. Written in
/// hexadecimal.
///
/// ```
/// use mgw_world::RequestDigest;
/// let text = "00112233445566778899aabbccddeeff";
/// let digest: RequestDigest = text.parse().unwrap();
/// assert_eq!(digest.to_string(), text);
/// assert!("0011".parse::<RequestDigest>().is_err());
/// ```
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(pub [u8; DIGEST_BYTES]);

/// expected 32 hexadecimal digits
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub struct ParseDigestError;

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestDigest({self})")
    }
}

impl FromStr for RequestDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * DIGEST_BYTES || !is_hexadecimal {
            return Err(ParseDigestError);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| ParseDigestError)?;
        Ok(Self(number.to_be_bytes()))
    }
}

/// As hexadecimal text in formats for people, as bytes in others.
impl Serialize for RequestDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for RequestDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(D::Error::custom)
        } else {
            Deserialize::deserialize(deserializer).map(Self)
        }
    }
}

/// What targets end under, and what a quarantine keeps from them.
///
/// ```
/// use mgw_world::{PromptPart, Subject};
/// assert_eq!("bad".parse(), Ok(Subject::Part(PromptPart(0xbad))));
/// let request: Subject = "00112233445566778899aabbccddeeff".parse().unwrap();
/// assert_eq!(request.to_string(), "request 00112233445566778899aabbccddeeff");
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
    derive_more::From,
)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// All requests whose prompts hold the part.
    #[display("part {_0}")]
    Part(PromptPart),
    /// One request, in each attempt of its caller.
    #[display("request {_0}")]
    Request(RequestDigest),
}

impl Subject {
    /// Whether this is a whole request.
    #[must_use]
    pub const fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }
}

/// Reads the digest of a request, or else that of a part, which has half as many digits at most.
impl FromStr for Subject {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if let Ok(request) = text.parse() {
            return Ok(Self::Request(request));
        }
        text.parse().map(Self::Part)
    }
}
