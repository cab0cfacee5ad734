//! Answers whose head is no head: a status that doesn't exist, or an end in the middle. Callers don't get them as
//! answers.

#![allow(clippy::unwrap_used)]

mod support;

use hyper::StatusCode;
use support::{Piece, Standin, System};

const PATHS: [&str; 3] = ["/once/x", "/read/x", "/stream/x"];

/// Sends a request to targets that all answer with these bytes and close, and returns the statuses that callers got.
async fn call_broken(answer: &'static str) -> Vec<(&'static str, StatusCode)> {
    let mut statuses = Vec::new();
    for path in PATHS {
        let script = vec![Piece::Send(answer), Piece::Close];
        let is_engine = path == "/stream/x";
        let one = Standin::start_raw("one", is_engine, Vec::new(), script).await;
        let system = System::start(&[&one]).await;
        let answered = system.call("a", path).await;
        let sends = one.seen().iter().filter(|seen| seen.id == "a").count();
        assert!(sends > 0, "{path} {answer:?}: nothing was sent");
        assert!(sends == 1 || path != "/once/x", "{answer:?}: sent twice");
        statuses.push((path, answered.status));
    }
    statuses
}

/// A target in trouble answered with the status 000, and callers got that as an answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_a_status_that_does_not_exist_is_no_answer() {
    for answer in [
        "HTTP/1.1 000 Odd\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 000\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 099 Odd\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 0 Odd\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-length: 3\r\n\r\nodd",
        "HTTP/1.1 -20 Odd\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-length: 3\r\n\r\nodd",
    ] {
        for (path, status) in call_broken(answer).await {
            assert_eq!(status, StatusCode::BAD_GATEWAY, "{path} {answer:?}");
        }
    }
}

/// A target stopped in the middle of its answer's head, and callers got a success with an empty body, framed as whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_in_its_head_is_no_answer() {
    for answer in [
        "H",
        "HTTP/1.1 2",
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\n",
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-length: 3\r\n",
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-length: 3\r\n\r",
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-type: text/event-str",
    ] {
        for (path, status) in call_broken(answer).await {
            assert_eq!(status, StatusCode::BAD_GATEWAY, "{path} {answer:?}");
        }
    }
}
