//! Tests of the event stream parser and of the checks of answers: streams split at any byte,
//! truncated streams and wrong answers.

#![allow(clippy::unwrap_used)]

use mgw_contract::Outcome;
use mgw_contract::caller::{CompletionChunk, FinalAnswer, Reason};
use mgw_contract::tokens::token_text;
use mgw_load::answer::{Answer, AnswerError};
use mgw_load::events::{EventReader, StreamEvent};
use mgw_world::RequestId;

const ID: RequestId = RequestId(5);
const EXPECTED: [u32; 3] = [11, 22, 33];

fn chunk(index: u32, token: u32) -> StreamEvent {
    StreamEvent::Chunk(CompletionChunk {
        id: ID,
        index,
        text: token_text(token),
        token,
    })
}

fn final_event(outcome: Outcome, tokens: u32) -> StreamEvent {
    StreamEvent::Final(FinalAnswer {
        id: ID,
        outcome,
        reason: Reason::Complete,
        message: String::new(),
        tokens,
        retry_after_ms: None,
        retry_at: Vec::new(),
    })
}

fn whole_stream() -> Vec<StreamEvent> {
    let mut events: Vec<StreamEvent> = (0..).zip(EXPECTED).map(|(i, t)| chunk(i, t)).collect();
    events.extend([final_event(Outcome::Done, 3), StreamEvent::End]);
    events
}

fn serialize(events: &[StreamEvent]) -> Vec<u8> {
    let lines = events.iter().map(|event| match event {
        StreamEvent::Chunk(chunk) => serde_json::to_string(chunk).unwrap(),
        StreamEvent::Final(answer) => serde_json::to_string(answer).unwrap(),
        StreamEvent::End => "[DONE]".to_owned(),
    });
    let text: String = lines.map(|line| format!("data: {line}\n\n")).collect();
    text.into_bytes()
}

fn read_answer(events: &[StreamEvent]) -> Answer {
    let mut answer = Answer::default();
    for event in events {
        answer.add_event(event, Some(&EXPECTED));
    }
    answer
}

#[test]
fn a_stream_cut_into_any_two_pieces_gives_the_same_events() {
    let text = serialize(&whole_stream());
    for cut in 0..=text.len() {
        let mut reader = EventReader::default();
        let mut events = reader.push(&text[..cut]).unwrap();
        events.extend(reader.push(&text[cut..]).unwrap());
        assert_eq!(events, whole_stream(), "cut at {cut}");
    }
}

#[test]
fn only_the_whole_stream_is_a_whole_answer() {
    let text = serialize(&whole_stream());
    let end = text.len() - 1;
    for cut in 0..end {
        let events = EventReader::default().push(&text[..cut]).unwrap();
        let answer = read_answer(&events);
        assert!(!answer.is_whole(3), "cut at {cut}");
        assert_eq!(answer.error, None, "cut at {cut}");
    }
    assert!(read_answer(&whole_stream()).is_whole(3));
    assert!(!read_answer(&whole_stream()).is_whole(4));
}

#[test]
fn comments_other_fields_and_carriage_returns_are_read_over() {
    let text = b": hello\r\nevent: x\r\ndata:[DONE]\r\n\r\n";
    let events = EventReader::default().push(text).unwrap();
    assert_eq!(events, [StreamEvent::End]);
}

#[test]
fn an_event_of_no_known_kind_is_an_error() {
    let error = EventReader::default()
        .push(b"data: {\"x\":1}\n")
        .unwrap_err();
    assert!(error.to_string().contains("neither"), "{error}");
}

/// Defines a test for each stream: its answer is not whole and has the given error.
macro_rules! wrong_answers {
    ($($name:ident: $events:expr => $pattern:pat,)*) => {$(
        #[test]
        fn $name() {
            let answer = read_answer(&$events);
            assert!(matches!(answer.error, Some($pattern)), "{answer:?}");
            assert!(!answer.is_whole(3));
        }
    )*};
}

wrong_answers! {
    repeated_token: [chunk(0, 11), chunk(0, 11)]
        => AnswerError::WrongIndex { index: 0, expected: 1 },
    skipped_token: [chunk(0, 11), chunk(2, 33)]
        => AnswerError::WrongIndex { index: 2, expected: 1 },
    token_of_another_answer: [chunk(0, 11), chunk(1, 23)]
        => AnswerError::WrongToken { index: 1, token: 23, expected: Some(22) },
    token_too_many: [chunk(0, 11), chunk(1, 22), chunk(2, 33), chunk(3, 44)]
        => AnswerError::WrongToken { index: 3, expected: None, .. },
    token_of_another_request: {
        let mut foreign = chunk(1, 22);
        if let StreamEvent::Chunk(chunk) = &mut foreign {
            chunk.id = RequestId(6);
        }
        [chunk(0, 11), foreign]
    } => AnswerError::WrongRequest { id: RequestId(6) },
    text_of_another_token: {
        let mut swapped = chunk(0, 11);
        if let StreamEvent::Chunk(chunk) = &mut swapped {
            chunk.text = token_text(12);
        }
        [swapped]
    } => AnswerError::WrongText { index: 0 },
    final_answer_with_another_count: [chunk(0, 11), final_event(Outcome::Done, 3)]
        => AnswerError::WrongCount { said: 3, received: 1 },
    not_run_after_tokens: [chunk(0, 11), final_event(Outcome::NotRun, 1)]
        => AnswerError::NotRunAfterTokens { received: 1 },
    token_after_the_final_answer: [final_event(Outcome::Done, 0), chunk(0, 11)]
        => AnswerError::OutOfPlace,
    two_final_answers: [final_event(Outcome::Done, 0), final_event(Outcome::Done, 0)]
        => AnswerError::OutOfPlace,
    end_without_a_final_answer: [chunk(0, 11), StreamEvent::End] => AnswerError::OutOfPlace,
    event_after_the_end: [final_event(Outcome::Done, 0), StreamEvent::End, StreamEvent::End]
        => AnswerError::OutOfPlace,
}
