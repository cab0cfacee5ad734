//! Answers that break the protocol: second copies, answers that break off, and streams that are slow or
//! stalled. A caller gets its own whole answer, or can see that it didn't.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use hyper::StatusCode;
use mgw_contract::target::Readiness;
use support::{Piece, Standin, System, request};
use tokio::time::sleep;

const OWN_ANSWER: &str =
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-length: 3\r\n\r\nown";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\ncontent-type: text/event-stream\r\n\r\n";

fn own() -> Vec<Piece> {
    vec![Piece::Send(OWN_ANSWER)]
}

/// A target that sends a second copy of an answer, glued to it, while the connection is idle, or when
/// the next request has arrived there.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_copy_of_an_answer_never_reaches_the_next_caller() {
    const COPY: &str = "HTTP/1.1 200 OK\r\nx-id: first\r\ncontent-length: 4\r\n\r\ncopy";
    const WITHOUT_ID: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ncopy";
    for copy in [COPY, WITHOUT_ID] {
        let scripts = [
            ("glued", vec![own(), own()], vec![Piece::Send(copy)]),
            (
                "idle",
                vec![own()],
                vec![Piece::Pause(60), Piece::Send(copy)],
            ),
            ("late", vec![own(), vec![Piece::Send(copy)]], Vec::new()),
        ];
        for (when, mut scripts, added) in scripts {
            scripts[0].extend(added);
            let one = Standin::start_raw("one", false, scripts, own()).await;
            let system = System::start(&[&one]).await;
            let first = system.call("first", "/read/x").await;
            assert_eq!(first.body, "own", "{when}");
            if when == "idle" {
                sleep(Duration::from_millis(120)).await;
            }
            for id in ["second", "third"] {
                let answer = system.call(id, "/read/x").await;
                let is_own = answer.status == StatusCode::OK && answer.body == "own";
                assert!(
                    is_own || !answer.status.is_success(),
                    "{when} {id}: {}",
                    answer.body
                );
            }
        }
    }
}

/// Every way in which an answer can break off halfway; the last one has no length and is reset.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off_never_looks_complete() {
    let head = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\n";
    let cases: [(&str, Piece); 5] = [
        ("content-length: 9\r\n\r\nhalf", Piece::Close),
        ("content-length: 9\r\n\r\nhalf", Piece::Reset),
        (
            "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            Piece::Close,
        ),
        ("transfer-encoding: chunked\r\n\r\n9\r\nhalf", Piece::Close),
        ("\r\nhalf", Piece::Reset),
    ];
    for (rest, end) in cases {
        let script = vec![Piece::Send(head), Piece::Send(rest), Piece::Pause(20), end];
        let one = Standin::start_raw("one", false, Vec::new(), script).await;
        let system = System::start(&[&one]).await;
        for path in ["/read/x", "/once/x"] {
            let answer = system.call("a", path).await;
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{rest:?} {path}");
        }
        let sends = one.seen().iter().filter(|it| it.id == "a").count();
        assert!(sends <= 3, "the non-idempotent call is sent once: {sends}");
    }
}

/// Load pattern: a target is overloaded and sends an event each 700 ms.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_stream_with_regular_events_is_relayed_whole_by_its_target() {
    let mut script = vec![Piece::Send(STREAM_HEAD)];
    for event in [
        "id: 1\ndata: a\n\n",
        "id: 2\ndata: b\n\n",
        "id: 3\ndata: c\n\n",
    ] {
        script.extend([Piece::Pause(700), Piece::Send(event)]);
    }
    script.push(Piece::Close);
    let one = Standin::start_raw("one", true, Vec::new(), script).await;
    let system = System::start(&[&one]).await;
    let answer = system.call("a", "/stream/x").await;
    assert!(answer.is_whole);
    assert!(
        answer.body.ends_with("id: 3\ndata: c\n\n"),
        "{}",
        answer.body
    );
    assert_eq!(one.seen().len(), 1);
}

/// A target stalls in the middle of an event but sends a byte now and then.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_stream_that_drips_bytes_resumes_on_another_target() {
    let mut drip = vec![
        Piece::Send(STREAM_HEAD),
        Piece::Send("id: 1\ndata: a\n\nid: 2\ndata: "),
    ];
    for _ in 0..60 {
        drip.extend([Piece::Pause(100), Piece::Send("x")]);
    }
    let rest = vec![
        Piece::Send(STREAM_HEAD),
        Piece::Send("id: 2\ndata: b\n\n"),
        Piece::Close,
    ];
    let one = Standin::start_raw("one", true, Vec::new(), drip).await;
    let two = Standin::start_raw("two", true, Vec::new(), rest).await;
    let mut system = System::start(&[&one]).await;
    let started_at = Instant::now();
    let stream = system.send(request("a", "/stream/x"));
    sleep(Duration::from_millis(200)).await;
    system.announce(&two, Readiness::Ready);
    let answer = stream.await.unwrap();
    assert!(answer.is_whole, "{}", answer.body);
    assert_eq!(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert!(started_at.elapsed() < Duration::from_secs(5));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_whose_body_stalls_gets_an_answer_when_its_time_is_over() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let one = Standin::start_raw("one", false, Vec::new(), own()).await;
    let system = System::start(&[&one]).await;
    let mut stream = tokio::net::TcpStream::connect(system.listen).await.unwrap();
    let head = "POST /once/x HTTP/1.1\r\nhost: drills.example\r\nx-id: a\r\nx-key: key\r\n\
                x-time-left: 600\r\ncontent-length: 100\r\n\r\npart";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 12];
    let reading = stream.read_exact(&mut answer);
    let read = tokio::time::timeout(Duration::from_secs(5), reading).await;
    read.expect("an answer").unwrap();
    assert_eq!(String::from_utf8(answer).unwrap(), "HTTP/1.1 408");
    assert!(one.seen().is_empty());
}
