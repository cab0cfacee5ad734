//! A target sends bodies without end under many calls at once. What the relay holds of them all stays small, so that the
//! process doesn't end for lack of memory with the requests of other callers. The only test of its program, as it measures
//! the program's memory.

#![allow(clippy::unwrap_used)]

mod support;

use futures::future::join_all;
use support::{Piece, Standin, System};

/// Memory of the smallest machine that an entry runs on.
const MACHINE_KB: u64 = 160 * 1_024;
const CALLS: usize = 64;

fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let mut lines = status.lines();
    let peak = lines.find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let number = peak.split_whitespace().next().unwrap();
    number.parse().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn many_endless_bodies_at_once_are_held_in_bounded_memory() {
    let head = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: raw\r\n\r\n";
    let script = vec![Piece::Send(head), Piece::Endless("x")];
    let one = Standin::start_raw("one", false, Vec::new(), script).await;
    let system = System::start(&[&one]).await;
    let ids: Vec<String> = (0..CALLS).map(|number| format!("call {number}")).collect();
    let calls = ids.iter().map(|id| system.call(id, "/once/x"));
    for answer in join_all(calls).await {
        assert!(!answer.status.is_success(), "{}", answer.status);
    }
    let peak_kb = peak_memory_kb();
    assert!(peak_kb < MACHINE_KB, "{peak_kb} KB");
}
