//! Events are passed on whole and in order, however the bytes are cut and whichever target sends
//! them.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use mgw_relay::{EventFault, EventOrder, EventSplitter};

fn event(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

fn split(pieces: &[&str]) -> (String, bool) {
    let mut splitter = EventSplitter::default();
    let mut whole = String::new();
    for piece in pieces {
        let events = splitter
            .push(Bytes::copy_from_slice(piece.as_bytes()))
            .unwrap();
        let events = events.unwrap_or_default();
        whole.push_str(std::str::from_utf8(&events).unwrap());
    }
    (whole, splitter.is_mid_event())
}

#[test]
fn events_are_passed_on_whole_wherever_the_input_is_split() {
    let text: String = (1..=4).map(event).collect();
    for cut in 1..text.len() {
        let (first, second) = text.split_at(cut);
        assert_eq!(
            split(&[first, second]),
            (text.clone(), false),
            "cut at {cut}"
        );
    }
}

#[test]
fn an_incomplete_event_is_held_back() {
    let begun = &event(2)[..9];
    assert_eq!(split(&[&event(1), begun]), (event(1), true));
}

#[test]
fn events_with_crlf_line_endings_are_recognized() {
    let text = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
    for cut in 1..text.len() {
        let (first, second) = text.split_at(cut);
        assert_eq!(
            split(&[first, second]),
            (text.to_owned(), false),
            "cut at {cut}"
        );
    }
}

#[test]
fn an_event_beyond_the_maximum_length_is_a_fault() {
    let mut splitter = EventSplitter::default();
    let piece = Bytes::from(vec![b'x'; 600 * 1024]);
    assert!(splitter.push(piece.clone()).is_ok());
    assert_eq!(splitter.push(piece).unwrap_err(), EventFault::TooLong);
}

fn accept(event_order: &mut EventOrder, numbers: &[u64]) -> Result<String, EventFault> {
    let text: String = numbers.iter().copied().map(event).collect();
    let new_events = event_order.accept(&Bytes::from(text))?;
    Ok(String::from_utf8(new_events.to_vec()).unwrap())
}

#[test]
fn events_that_were_already_passed_on_are_dropped() {
    let mut event_order = EventOrder::after(Some(7));
    assert_eq!(
        accept(&mut event_order, &[6, 7, 8, 9]).unwrap(),
        event(8) + &event(9)
    );
    assert_eq!(accept(&mut event_order, &[9]).unwrap(), "");
    assert_eq!(event_order.last(), Some(9));
}

#[test]
fn a_missing_event_is_a_fault_and_passes_nothing_on() {
    let mut event_order = EventOrder::after(Some(7));
    let fault = accept(&mut event_order, &[9]).unwrap_err();
    assert_eq!(
        fault,
        EventFault::Gap {
            found: 9,
            expected: 8
        }
    );
    assert_eq!(event_order.last(), Some(7));
}

#[test]
fn a_new_stream_accepts_the_number_of_its_first_event() {
    let mut event_order = EventOrder::after(None);
    assert_eq!(
        accept(&mut event_order, &[0, 1]).unwrap(),
        event(0) + &event(1)
    );
    assert_eq!(event_order.last(), Some(1));
}
