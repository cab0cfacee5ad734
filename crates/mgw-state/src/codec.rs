//! The binary encoding of commands, replies, snapshots and configuration updates.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::StateError;

/// Encodes a value with postcard.
///
/// # Panics
/// Never for the types of this crate: postcard fails only on sequences whose length isn't known
/// in advance.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("sequences in types of this crate have a known length")
}

/// Decodes a value that [`encode`] encoded.
///
/// # Errors
/// When the bytes are damaged, encode another type, or are followed by further bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, StateError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(StateError::TrailingBytes { count: rest.len() }),
        Err(_) => Err(StateError::Damaged),
    }
}
