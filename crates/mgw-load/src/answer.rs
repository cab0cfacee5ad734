//! What a caller makes of an answer's events: whether it is whole, and whether it is right.

use mgw_contract::Outcome;
use mgw_contract::caller::{CompletionChunk, FinalAnswer};
use mgw_contract::tokens::token_text;
use mgw_world::RequestId;

use crate::events::StreamEvent;

/// An answer as far as it was received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// Tokens in order.
    pub tokens: Vec<u32>,
    /// The final answer, once received.
    pub answer: Option<FinalAnswer>,
    /// Whether the stream's end was received.
    pub ended: bool,
    /// What is wrong with it, if anything.
    pub fault: Option<AnswerFault>,
    id: Option<RequestId>,
}

/// What can be wrong with an answer.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum AnswerFault {
    /// token {index} came where {expected} was next
    WrongIndex {
        /// Index received.
        index: u32,
        /// Index that was next.
        expected: u32,
    },
    /// an event of request {id} in the answer to another
    WrongRequest {
        /// Request of the event.
        id: RequestId,
    },
    /// token {index} is {token}, the model says {expected:?}
    WrongToken {
        /// Index of the token.
        index: u32,
        /// Token received.
        token: u32,
        /// Token that is right, if the answer goes that far.
        expected: Option<u32>,
    },
    /// token {index} has the text of another
    WrongText {
        /// Index of the token.
        index: u32,
    },
    /// the final answer says {said} tokens, {received} were received
    WrongCount {
        /// Tokens by the final answer.
        said: u32,
        /// Tokens received.
        received: u32,
    },
    /// the final answer says not run after {received} tokens
    NotRunAfterTokens {
        /// Tokens received.
        received: u32,
    },
    /// an event after the end, or an end without a final answer
    OutOfPlace,
}

impl Answer {
    /// Takes an event; `expected` is the right answer, if it is known. Returns whether the event
    /// brought a token.
    pub fn take(&mut self, event: &StreamEvent, expected: Option<&[u32]>) -> bool {
        let is_chunk = matches!(event, StreamEvent::Chunk(_));
        if let Err(fault) = self.check(event, expected) {
            self.fault.get_or_insert(fault);
        }
        is_chunk
    }

    /// Request that it belongs to, once known.
    #[must_use]
    pub const fn id(&self) -> Option<RequestId> {
        self.id
    }

    /// Whether every token asked for was received and the stream ended as it should.
    #[must_use]
    pub fn is_whole(&self, max_tokens: u32) -> bool {
        let done = self
            .answer
            .as_ref()
            .is_some_and(|answer| answer.outcome == Outcome::Done);
        done && self.ended && self.fault.is_none() && self.tokens.len() == max_tokens as usize
    }

    fn check(&mut self, event: &StreamEvent, expected: Option<&[u32]>) -> Result<(), AnswerFault> {
        if self.ended {
            return Err(AnswerFault::OutOfPlace);
        }
        match event {
            StreamEvent::Chunk(chunk) => self.take_chunk(chunk, expected),
            StreamEvent::Final(answer) => self.take_final(answer),
            StreamEvent::End => {
                self.ended = true;
                let is_in_place = self.answer.is_some();
                is_in_place.then_some(()).ok_or(AnswerFault::OutOfPlace)
            }
        }
    }

    fn take_chunk(
        &mut self,
        chunk: &CompletionChunk,
        expected: Option<&[u32]>,
    ) -> Result<(), AnswerFault> {
        let next = self.received();
        self.tokens.push(chunk.token);
        self.check_id(chunk.id)?;
        if self.answer.is_some() {
            return Err(AnswerFault::OutOfPlace);
        }
        let index = chunk.index;
        if index != next {
            return Err(AnswerFault::WrongIndex {
                index,
                expected: next,
            });
        }
        if chunk.text != token_text(chunk.token) {
            return Err(AnswerFault::WrongText { index });
        }
        let Some(expected) = expected else {
            return Ok(());
        };
        let expected = expected.get(index as usize).copied();
        if expected != Some(chunk.token) {
            return Err(AnswerFault::WrongToken {
                index,
                token: chunk.token,
                expected,
            });
        }
        Ok(())
    }

    fn take_final(&mut self, answer: &FinalAnswer) -> Result<(), AnswerFault> {
        let received = self.received();
        let is_first = self.answer.is_none();
        self.answer = Some(answer.clone());
        self.check_id(answer.id)?;
        if !is_first {
            return Err(AnswerFault::OutOfPlace);
        }
        if answer.outcome == Outcome::NotRun && received > 0 {
            return Err(AnswerFault::NotRunAfterTokens { received });
        }
        if answer.tokens != received {
            return Err(AnswerFault::WrongCount {
                said: answer.tokens,
                received,
            });
        }
        Ok(())
    }

    fn check_id(&mut self, id: RequestId) -> Result<(), AnswerFault> {
        if *self.id.get_or_insert(id) == id {
            Ok(())
        } else {
            Err(AnswerFault::WrongRequest { id })
        }
    }

    fn received(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }
}
