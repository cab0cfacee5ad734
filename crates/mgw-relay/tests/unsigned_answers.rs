//! Successes without the target's seal, which counts as no answer of the target: the caller gets neither
//! a success nor the promise that its request didn't run.

#![allow(clippy::unwrap_used)]

mod support;

use hyper::StatusCode;
use support::{Piece, Standin, System};

/// Successes that no target wrote for this request as a whole, without a seal.
const UNSIGNED: [&str; 5] = [
    "HTTP/1.1 200 OK\r\ncontent-type: text/html\r\ncontent-length: 9\r\n\r\nIt works!",
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 9\r\n\r\nIt works!",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-not-run: 1\r\ncontent-length: 9\r\n\r\nIt works!",
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal:\r\ncontent-length: 9\r\n\r\nIt works!",
];
const OWN: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-length: 3\r\n\r\nown";
const UNSIGNED_STREAMS: [&str; 2] = [
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: odd\n\n",
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: odd\n\n",
];
const FIRST_EVENT: &str = "id: 1\ndata: a\n\n";
const STREAM_BEGINNING: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\n\
                                content-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";

#[tokio::test(flavor = "multi_thread")]
async fn unsigned_success_on_a_new_connection_is_no_answer() {
    for text in UNSIGNED {
        for path in ["/once/x", "/read/x"] {
            let script = vec![Piece::Send(text), Piece::Close];
            let one = Standin::start_raw("one", false, Vec::new(), script).await;
            let system = System::start(&[&one]).await;
            let answer = system.call("a", path).await;
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{path} {text:?}");
            let runs = one.seen().iter().filter(|it| it.id == "a").count();
            assert!(path != "/once/x" || runs == 1, "sent once");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unsigned_success_on_a_kept_connection_is_no_answer() {
    for text in UNSIGNED {
        let scripts = vec![vec![Piece::Send(OWN)]];
        let last = vec![Piece::Send(text)];
        let one = Standin::start_raw("one", false, scripts, last).await;
        let system = System::start(&[&one]).await;
        let first = system.call("first", "/read/x").await;
        assert_eq!(first.body, "own");
        let answer = system.call("second", "/read/x").await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{text:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_call_with_an_unsigned_answer_is_served_by_another_target() {
    for text in UNSIGNED {
        let odd = Standin::start_raw("odd", false, Vec::new(), vec![Piece::Send(text)]).await;
        let sound = Standin::start_raw("sound", false, Vec::new(), vec![Piece::Send(OWN)]).await;
        let system = System::start(&[&odd, &sound]).await;
        let mut served = 0;
        for number in 0..6 {
            let answer = system.call(&number.to_string(), "/read/x").await;
            let is_own = answer.status == StatusCode::OK && answer.body == "own";
            // The budget of retries may be used up.
            assert!(
                is_own || answer.status == StatusCode::BAD_GATEWAY,
                "{text:?}"
            );
            served += u32::from(is_own);
        }
        assert!(served > 0, "{text:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unsigned_stream_is_no_answer() {
    for text in UNSIGNED_STREAMS {
        let script = vec![Piece::Send(text), Piece::Close];
        let one = Standin::start_raw("one", true, Vec::new(), script).await;
        let system = System::start(&[&one]).await;
        let answer = system.call("a", "/stream/x").await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{text:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unsigned_rest_of_a_stream_is_no_part_of_it() {
    for text in UNSIGNED_STREAMS {
        let rest = text.replace("id: 1\n", "id: 2\n").leak();
        let begun = vec![Piece::Send(STREAM_BEGINNING), Piece::Reset];
        let script = vec![Piece::Send(rest), Piece::Close];
        let one = Standin::start_raw("one", true, vec![begun], script).await;
        let system = System::start(&[&one]).await;
        let answer = system.call("a", "/stream/x").await;
        let looks_complete = answer.status.is_success() && answer.is_whole;
        assert!(!looks_complete, "{text:?}: {:?}", answer.body);
        assert!(
            FIRST_EVENT.starts_with(&answer.body) || !answer.status.is_success(),
            "{text:?}: {:?}",
            answer.body
        );
    }
}
