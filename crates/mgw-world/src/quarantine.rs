//! What a quarantine may keep from targets: parts of prompts, and whole requests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

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
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
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
