//! Answers that belong to another request or aren't the rest of a stream, as operators of similar systems have met
//! them.
#![allow(clippy::unwrap_used)]

mod support;

use hyper::StatusCode;
use mgw_testkit::free_address;
use support::{Behaviour, Piece, Standin, System, event, names};

/// A whole answer in two events, after which the connection is kept.
const WHOLE: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-type: text/event-stream\r\n\
                     transfer-encoding: chunked\r\n\r\n\
                     1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
const OWN: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-length: 3\r\n\r\nown";

fn leak(text: String) -> &'static str {
    Box::leak(text.into_boxed_str())
}

/// A target wrote an earlier refusal once more on a kept connection, and callers were told that a request that ran
/// didn't run.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_an_earlier_request_says_nothing_of_the_next_one() {
    const REFUSALS: [&str; 2] = [
        "HTTP/1.1 503 Unavailable\r\nx-id: first\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 503 Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    ];
    for refusal in REFUSALS {
        for path in ["/read/x", "/once/x"] {
            let late = vec![Piece::SendIfKept(refusal), Piece::Send(OWN)];
            let one = Standin::start_raw("one", false, Vec::new(), late).await;
            let system = System::start(&[&one]).await;
            for id in ["first", "second", "third"] {
                let answer = system.call(id, path).await;
                let is_own = answer.status == StatusCode::OK && answer.body == "own";
                let promises_nothing = answer.status == StatusCode::BAD_GATEWAY;
                assert!(is_own || promises_nothing, "{path} {id}: {}", answer.status);
            }
            let runs = |id: &str| one.seen().iter().filter(|it| it.id == id).count();
            assert!(path != "/once/x" || runs("second") == 1, "sent once");
        }
    }
}

/// The same with a refusal of this very request: it is sent again to the target that refused it, over a connection
/// that was kept, and the target writes its refusal once more while it runs the request.
#[tokio::test(flavor = "multi_thread")]
async fn second_copy_of_a_refusal_says_nothing_of_a_repeat_of_the_request() {
    // Nothing listens there; it is only named as the one at fault.
    let two = Standin::new("two", free_address(), true, &[]);
    let refusal = leak(format!(
        "HTTP/1.1 503 Unavailable\r\nx-id: {{id}}\r\nx-seal: raw\r\nx-not-run: 1\r\nx-at-fault: {}\r\ncontent-length: 0\r\n\r\n",
        two.address
    ));
    let warm = vec![Piece::Pause(300), Piece::Send(WHOLE)];
    let repeat = vec![Piece::SendIfKept(refusal), Piece::Send(WHOLE)];
    let scripts = vec![warm.clone(), warm, vec![Piece::Send(refusal)]];
    let one = Standin::start_raw("one", true, scripts, repeat).await;
    let system = System::start(&[&one, &two]).await;
    let (first, second) = tokio::join!(
        system.call("w1", "/stream/x"),
        system.call("w2", "/stream/x")
    );
    assert!(first.is_whole && second.is_whole);
    let answer = system.call("a", "/stream/x").await;
    assert_eq!(one.seen().iter().filter(|it| it.id == "a").count(), 2);
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.is_whole, "{}", answer.body);
}

/// A stream broke off, and what the next target answered instead of events stood in the middle of the caller's
/// stream, or ended it as if it were complete.
#[tokio::test(flavor = "multi_thread")]
async fn error_of_the_next_target_is_no_part_of_a_stream_that_has_begun() {
    let events = "content-type: text/event-stream\r\n";
    let answers = [
        "HTTP/1.1 500 Oops\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-length: 8\r\n\r\nerror\n\n\n".to_owned(),
        "HTTP/1.1 404 Oops\r\nx-id: {id}\r\nx-seal: raw\r\n\r\nerror\n\n".to_owned(),
        "HTTP/1.1 503 Oops\r\nx-id: {id}\r\nx-seal: raw\r\nx-not-run: 1\r\ncontent-length: 7\r\n\r\nerror\n\n"
            .to_owned(),
        format!("HTTP/1.1 500 Oops\r\nx-id: {{id}}\r\nx-seal: raw\r\n{events}\r\nid: 3\ndata: error\n\n"),
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-type: text/plain\r\n\r\nerror\n\n".to_owned(),
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-type: text/plain\r\ncontent-length: 0\r\n\r\n"
            .to_owned(),
        format!("HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-seal: raw\r\n{events}\r\nerror\n\n"),
        format!("HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-seal: raw\r\n{events}\r\ndata: error\n\n"),
        format!("HTTP/1.1 200 OK\r\nx-id: {{id}}\r\nx-seal: raw\r\n{events}\r\nHTTP/1.1 500 error\r\n\r\n"),
    ];
    for text in answers {
        let script = vec![Piece::Send(leak(text.clone())), Piece::Close];
        let one = Standin::start("one", true, &[Behaviour::BreakAfter(2); 4]).await;
        let two = Standin::start_raw("two", true, Vec::new(), script).await;
        let system = System::start(&[&one, &two]).await;
        let mut begun = 0;
        for id in 0..4 {
            let id = id.to_string();
            let answer = system.call(&id, "/stream/x").await;
            let seal = answer.headers.get(names::SEAL);
            // A stream that began at the second target, as the first one was suspected, is that target's own answer.
            if seal.is_some_and(|seal| seal == "raw") {
                let sends = two.seen();
                let mut sends = sends.iter().filter(|seen| seen.id == id);
                assert!(
                    sends.any(|seen| seen.last_event.is_none()),
                    "{text:?}: {id}"
                );
                continue;
            }
            begun += usize::from(seal.is_some_and(|seal| seal == "one"));
            assert!(!answer.body.contains("error"), "{text:?}: {}", answer.body);
            if answer.status == StatusCode::OK && answer.is_whole {
                assert!(
                    answer.body.ends_with(&event(support::EVENTS)),
                    "{text:?}: {}",
                    answer.body
                );
            }
        }
        assert!(begun > 0, "{text:?}: no stream began at the first target");
    }
}
