//! Bounds the memory of answers that are read whole before they are passed on.
//!
//! A target in trouble may send bytes without end under all its calls at once. Each answer has a bound of its own, but many of
//! them together would still end the process for lack of memory, and with it the requests of other callers.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mgw_serve::http::MAX_ANSWER_BYTES;

/// Number of bytes of all answers together from which on only small ones are read further.
const MAX_HELD_BYTES: usize = 32 * 1024 * 1024;
/// Largest size of an answer that is read further whatever the others hold.
const SMALL_ANSWER_BYTES: usize = 256 * 1024;

/// the answer broke off or is too long
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub struct UnreadAnswer;

/// Number of bytes of the answers that are being read.
#[derive(Debug, Default)]
pub struct HeldAnswers(AtomicUsize);

/// The bytes of one answer, counted until it is dropped.
struct HeldAnswer<'a> {
    all: &'a HeldAnswers,
    bytes: BytesMut,
}

impl HeldAnswer<'_> {
    /// Adds bytes if there is room for them.
    fn add(&mut self, bytes: &[u8]) -> Result<(), UnreadAnswer> {
        let all_bytes = self.all.0.fetch_add(bytes.len(), Ordering::Relaxed) + bytes.len();
        self.bytes.extend_from_slice(bytes);
        let max_bytes = if all_bytes > MAX_HELD_BYTES {
            SMALL_ANSWER_BYTES
        } else {
            MAX_ANSWER_BYTES
        };
        if self.bytes.len() > max_bytes {
            return Err(UnreadAnswer);
        }
        Ok(())
    }
}

impl Drop for HeldAnswer<'_> {
    fn drop(&mut self) {
        self.all.0.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}

impl HeldAnswers {
    /// Reads the whole body of a target's answer.
    ///
    /// # Errors
    /// When the body breaks off, is larger than [`MAX_ANSWER_BYTES`], or is large while there is no room for large ones.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, UnreadAnswer> {
        let mut held = HeldAnswer {
            all: self,
            bytes: BytesMut::new(),
        };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| UnreadAnswer)?;
            if let Ok(data) = frame.into_data() {
                held.add(&data)?;
            }
        }
        let whole = held.bytes.split().freeze();
        self.0.fetch_sub(whole.len(), Ordering::Relaxed);
        Ok(whole)
    }
}
