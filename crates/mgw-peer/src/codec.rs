//! Codec for messages between processes: postcard in length-delimited frames.

use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest message that a process sends or accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Serializes messages with postcard, for `tokio_serde`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Postcard;

impl<T: Serialize> tokio_serde::Serializer<T> for Postcard {
    type Error = std::io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, Self::Error> {
        postcard::to_stdvec(item)
            .map(Bytes::from)
            .map_err(std::io::Error::other)
    }
}

impl<T: DeserializeOwned> tokio_serde::Deserializer<T> for Postcard {
    type Error = std::io::Error;

    fn deserialize(self: Pin<&mut Self>, source: &BytesMut) -> Result<T, Self::Error> {
        postcard::from_bytes(source).map_err(std::io::Error::other)
    }
}
