//! Answers with neither a length nor chunks, which end with their connection.

#![allow(clippy::unwrap_used)]

mod support;

use hyper::StatusCode;
use support::{Piece, Standin, System};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PLAIN_HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\n\r\n";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-type: text/event-stream\r\n\r\n";
const FRAMED: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-length: 3\r\n\r\nown";
const ONE: &str = "id: 1\ndata: a\n\n";
const TWO: &str = "id: 2\ndata: b\n\n";

async fn target(is_engine: bool, script: Vec<Piece>) -> Standin {
    Standin::start_raw("one", is_engine, Vec::new(), script).await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_with_its_connection_is_passed_on_whole() {
    let script = vec![
        Piece::Send(PLAIN_HEAD),
        Piece::Send("who"),
        Piece::Pause(50),
        Piece::Send("le"),
        Piece::Close,
    ];
    let one = target(false, script).await;
    let system = System::start(&[&one]).await;
    for path in ["/read/x", "/once/x"] {
        let answer = system.call("a", path).await;
        assert_eq!(answer.status, StatusCode::OK, "{path}");
        assert!(answer.is_whole, "{path}");
        assert_eq!(answer.body, "whole", "{path}");
    }
}

/// The target closes the kept connection at the end of such an answer, and takes the next request on a
/// new one.
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_answer_on_a_kept_connection_is_whole_and_the_last_one_there() {
    let unframed = vec![Piece::Send(PLAIN_HEAD), Piece::Send("whole"), Piece::Close];
    let framed = vec![Piece::Send(FRAMED)];
    let scripts = vec![framed.clone(), unframed, framed.clone()];
    let one = Standin::start_raw("one", false, scripts, framed).await;
    let system = System::start(&[&one]).await;
    for expected in ["own", "whole", "own", "own"] {
        let answer = system.call("a", "/read/x").await;
        assert_eq!((answer.status, answer.is_whole), (StatusCode::OK, true));
        assert_eq!(answer.body, expected);
    }
    assert_eq!(one.seen().len(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_with_its_connection_after_an_event_is_whole() {
    let script = vec![
        Piece::Send(STREAM_HEAD),
        Piece::Send(ONE),
        Piece::Pause(30),
        Piece::Send(TWO),
        Piece::Close,
    ];
    let one = target(true, script).await;
    let system = System::start(&[&one]).await;
    let answer = system.call("a", "/stream/x").await;
    assert!(answer.is_whole);
    assert_eq!(answer.body, format!("{ONE}{TWO}"));
    assert_eq!(one.seen().len(), 1);
}

/// Ends of an unframed stream that don't make it whole: in the middle of an event, by a reset, before
/// the first event.
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_that_broke_off_never_looks_complete() {
    let cases = [
        (
            "inside an event",
            vec![Piece::Send(ONE), Piece::Send("id: 2\nda"), Piece::Close],
        ),
        (
            "reset after an event",
            vec![Piece::Send(ONE), Piece::Pause(30), Piece::Reset],
        ),
        ("nothing at all", vec![Piece::Close]),
        ("reset at once", vec![Piece::Reset]),
    ];
    for (case, rest) in cases {
        let mut script = vec![Piece::Send(STREAM_HEAD)];
        script.extend(rest);
        let one = target(true, script).await;
        let system = System::start(&[&one]).await;
        let answer = system.call("a", "/stream/x").await;
        let looks_complete = answer.status.is_success() && answer.is_whole;
        assert!(!looks_complete, "{case}: {:?}", answer.body);
        assert!(
            answer.body.starts_with(ONE) || !answer.status.is_success(),
            "{case}"
        );
    }
}

/// Reads everything that the relay sends to a caller of HTTP/1.0. Returns the bytes, and whether the
/// connection ended without an error.
async fn call_http10(system: &System, path: &str) -> (String, bool) {
    let mut stream = TcpStream::connect(system.listen).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.0\r\nhost: drills.example\r\nx-id: a\r\nx-key: key\r\n\
         x-time-left: 5000\r\ncontent-length: 1\r\n\r\nq"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let is_closed = stream.read_to_end(&mut bytes).await.is_ok();
    (String::from_utf8(bytes).unwrap(), is_closed)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_of_http_1_0_gets_a_whole_stream_without_chunks() {
    let script = vec![
        Piece::Send(STREAM_HEAD),
        Piece::Send(ONE),
        Piece::Pause(30),
        Piece::Send(TWO),
        Piece::Close,
    ];
    let one = target(true, script).await;
    let system = System::start(&[&one]).await;
    let (answer, is_closed) = call_http10(&system, "/stream/x").await;
    assert!(is_closed);
    assert!(answer.ends_with(&format!("\r\n\r\n{ONE}{TWO}")), "{answer}");
}

/// Only the end of the connection tells such a caller whether a stream is whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_broke_off_is_reset_towards_a_caller_of_http_1_0() {
    let script = vec![
        Piece::Send(STREAM_HEAD),
        Piece::Send(ONE),
        Piece::Pause(30),
        Piece::Reset,
    ];
    let one = target(true, script).await;
    let system = System::start(&[&one]).await;
    let (answer, is_closed) = call_http10(&system, "/stream/x").await;
    let has_begun = answer.contains("200 OK");
    assert!(!has_begun || !is_closed, "{answer}");
}
