//! One binary form for commands, replies, snapshots and updates.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::StateError;

/// Encodes a value in postcard.
///
/// # Panics
/// Never for the types of this crate: postcard fails only on sequences of unknown length.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("types of this crate state the length of their sequences")
}

/// Decodes a value that [`encode`] made.
///
/// # Errors
/// When the bytes are damaged, of another type, or followed by others.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, StateError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(StateError::TrailingBytes { count: rest.len() }),
        Err(_) => Err(StateError::Damaged),
    }
}
