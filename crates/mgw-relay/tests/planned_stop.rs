//! A planned stop of an entry: what it takes it answers before it ends.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use support::{Behaviour, Standin, System};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time from the request to end, late in the grace time.
const LATE: Duration = Duration::from_millis(7_000);

/// The first part of a request arrives before the stop, the rest late in the grace time. Such requests were passed on, and cut
/// without an answer at the end.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_whole_late_in_a_planned_stop_is_refused_and_not_cut() {
    let one = Standin::start("one", false, &[]).await;
    let engine = Standin::start("engine", true, &[]).await;
    let system = System::start(&[&one, &engine]).await;
    one.plan(Behaviour::Slow);
    engine.plan(Behaviour::Slow);
    let mut callers = Vec::new();
    for path in ["/once/x", "/read/x", "/stream/x"] {
        for is_head_whole in [false, true] {
            let head = format!(
                "POST {path} HTTP/1.1\r\nhost: drills.example\r\nx-id: a\r\nx-key: key\r\n\
                 x-time-left: 20000\r\ncontent-length: 8\r\n"
            );
            let (begin, rest) = if is_head_whole {
                (head + "\r\nqu", "estion")
            } else {
                (head, "\r\nquestion")
            };
            let mut stream = TcpStream::connect(system.listen).await.unwrap();
            stream.write_all(begin.as_bytes()).await.unwrap();
            callers.push((path, is_head_whole, stream, rest));
        }
    }
    sleep(Duration::from_millis(200)).await;
    let ending = tokio::spawn(system.relay.clone().run_until_ended());
    system.shutdown.graceful.cancel();
    sleep(LATE).await;
    for (path, is_head_whole, mut stream, rest) in callers {
        let case = format!("{path}, whole head: {is_head_whole}");
        let mut answer = String::new();
        // A connection that was closed unread shows the caller that nothing was taken.
        if stream.write_all(rest.as_bytes()).await.is_ok() {
            let _ = stream.read_to_string(&mut answer).await;
        }
        let is_refused = answer.starts_with("HTTP/1.1 503") && answer.contains("connection: close");
        assert!(answer.is_empty() || is_refused, "{case}: {answer}");
    }
    let seen = one.seen().len() + engine.seen().len();
    assert_eq!(
        seen, 0,
        "passed on, though the process ends before the answer"
    );
    ending.await.unwrap();
}
