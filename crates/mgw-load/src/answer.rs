//! Checks the events of an answer: whether the answer is whole, and whether it is right.

use mgw_contract::Outcome;
use mgw_contract::caller::{CompletionChunk, FinalAnswer};
use mgw_contract::tokens::token_text;
use mgw_world::RequestId;

use crate::events::StreamEvent;

/// The part of an answer received so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// Tokens in order.
    pub tokens: Vec<u32>,
    /// The final answer, once received.
    pub final_answer: Option<FinalAnswer>,
    /// Whether the end mark of the stream was received.
    pub ended: bool,
    /// The first error found in the answer.
    pub error: Option<AnswerError>,
    id: Option<RequestId>,
}

/// Why an answer is wrong.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum AnswerError {
    /// received token {index} where token {expected} was expected
    WrongIndex {
        /// Index of the received token.
        index: u32,
        /// Index of the next_index token in order.
        expected: u32,
    },
    /// received an event of request {id} in the answer to another request
    WrongRequest {
        /// Request that the event belongs to.
        id: RequestId,
    },
    /// token {index} is {token}, the reference answer has {expected:?}
    WrongToken {
        /// Index of the token.
        index: u32,
        /// Token received.
        token: u32,
        /// Token of the reference answer, if that is long enough.
        expected: Option<u32>,
    },
    /// token {index} has the text of a different token
    WrongText {
        /// Index of the token.
        index: u32,
    },
    /// the final answer reports {said} tokens, {received} were received
    WrongCount {
        /// Number of tokens that the final answer reports.
        said: u32,
        /// Number of tokens received.
        received: u32,
    },
    /// the final answer reports not_run, but {received} tokens were received
    NotRunAfterTokens {
        /// Number of tokens received.
        received: u32,
    },
    /// received an event after the answer had ended, or an end mark without a final answer
    OutOfPlace,
}

impl Answer {
    /// Adds an event of the stream and checks it; `expected` is the reference answer, if it is
    /// known. Returns whether the event holds a token.
    pub fn add_event(&mut self, event: &StreamEvent, expected: Option<&[u32]>) -> bool {
        let is_chunk = matches!(event, StreamEvent::Chunk(_));
        if let Err(error) = self.try_add_event(event, expected) {
            self.error.get_or_insert(error);
        }
        is_chunk
    }

    /// Returns the request that the answer belongs to, once known.
    #[must_use]
    pub const fn id(&self) -> Option<RequestId> {
        self.id
    }

    /// Whether the answer has `max_tokens` tokens, outcome `done`, the end mark and no error.
    #[must_use]
    pub fn is_whole(&self, max_tokens: u32) -> bool {
        let is_done = self
            .final_answer
            .as_ref()
            .is_some_and(|answer| answer.outcome == Outcome::Done);
        is_done && self.ended && self.error.is_none() && self.tokens.len() == max_tokens as usize
    }

    fn try_add_event(
        &mut self,
        event: &StreamEvent,
        expected: Option<&[u32]>,
    ) -> Result<(), AnswerError> {
        if self.ended {
            return Err(AnswerError::OutOfPlace);
        }
        match event {
            StreamEvent::Chunk(chunk) => self.add_chunk(chunk, expected),
            StreamEvent::Final(answer) => self.add_final_answer(answer),
            StreamEvent::End => {
                self.ended = true;
                let has_final_answer = self.final_answer.is_some();
                has_final_answer
                    .then_some(())
                    .ok_or(AnswerError::OutOfPlace)
            }
        }
    }

    fn add_chunk(
        &mut self,
        chunk: &CompletionChunk,
        expected: Option<&[u32]>,
    ) -> Result<(), AnswerError> {
        let next_index = self.received_count();
        self.tokens.push(chunk.token);
        self.check_id(chunk.id)?;
        if self.final_answer.is_some() {
            return Err(AnswerError::OutOfPlace);
        }
        let index = chunk.index;
        if index != next_index {
            return Err(AnswerError::WrongIndex {
                index,
                expected: next_index,
            });
        }
        if chunk.text != token_text(chunk.token) {
            return Err(AnswerError::WrongText { index });
        }
        let Some(expected) = expected else {
            return Ok(());
        };
        let expected = expected.get(index as usize).copied();
        if expected != Some(chunk.token) {
            return Err(AnswerError::WrongToken {
                index,
                token: chunk.token,
                expected,
            });
        }
        Ok(())
    }

    fn add_final_answer(&mut self, answer: &FinalAnswer) -> Result<(), AnswerError> {
        let received = self.received_count();
        let is_first = self.final_answer.is_none();
        self.final_answer = Some(answer.clone());
        self.check_id(answer.id)?;
        if !is_first {
            return Err(AnswerError::OutOfPlace);
        }
        if answer.outcome == Outcome::NotRun && received > 0 {
            return Err(AnswerError::NotRunAfterTokens { received });
        }
        if answer.tokens != received {
            return Err(AnswerError::WrongCount {
                said: answer.tokens,
                received,
            });
        }
        Ok(())
    }

    fn check_id(&mut self, id: RequestId) -> Result<(), AnswerError> {
        if *self.id.get_or_insert(id) == id {
            Ok(())
        } else {
            Err(AnswerError::WrongRequest { id })
        }
    }

    fn received_count(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }
}
