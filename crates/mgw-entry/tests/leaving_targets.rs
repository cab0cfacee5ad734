//! Under load, a target that leaves or is drained opens no new session after a few seconds.

mod support;

use std::time::{Duration, Instant};

use support::{System, read_load, trials};

/// Time after which entries send no new requests to a leaving target.
const LIMIT: Duration = Duration::from_millis(3_000);
/// Time for a request that was sent before this limit to arrive.
const ARRIVAL: Duration = Duration::from_millis(1_000);
/// Number of targets that leave in one round.
const LEAVING_PER_ROUND: usize = 4;

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

#[test]
fn leaving_or_drained_targets_get_no_new_sessions_after_four_seconds() {
    let mut system = System::start(3);
    for (offset, engine) in ["stays-0", "stays-1"].iter().enumerate() {
        system.start_engine(engine, "pos-a", offset);
    }
    let wanted = trials(4);
    let (mut done, mut at_limit, mut late) = (0, 0, 0);
    let mut incomplete = Vec::new();
    while done < wanted {
        let names: Vec<String> = (0..LEAVING_PER_ROUND)
            .map(|n| format!("leaves-{}", done + n))
            .collect();
        for (offset, name) in names.iter().enumerate() {
            system.start_engine(name, "sfo-b", offset);
        }
        for entry in system.entry_names() {
            system.wait_until("all leaving targets are eligible", |system| {
                let eligible = system.eligible_targets(&entry);
                names.iter().all(|name| eligible.contains(name))
            });
        }
        let load = system.start_load(14, done);
        std::thread::sleep(Duration::from_secs(2));
        let mut left = Vec::new();
        for (index, name) in names.iter().enumerate() {
            if index % 2 == 0 {
                system.signal(name, "-TERM");
            } else {
                assert!(system.run_mgw(&["target", "drain", name]));
            }
            left.push((name, Instant::now()));
        }
        let mut seen = Vec::new();
        for (name, at) in &left {
            sleep_until(*at + LIMIT);
            let at_3s = system.opened_sessions(name);
            seen.push((name, at_3s));
        }
        let mut settled = Vec::new();
        for ((name, at), (_, at_3s)) in left.iter().zip(&seen) {
            sleep_until(*at + LIMIT + ARRIVAL);
            let at_4s = system.opened_sessions(name);
            at_limit += at_4s - at_3s;
            settled.push(at_4s);
        }
        let (_, without_answer) = read_load(load);
        incomplete.extend(without_answer);
        for ((name, _), at_4s) in left.iter().zip(&settled) {
            late += system.opened_sessions(name) - at_4s;
        }
        done += LEAVING_PER_ROUND;
    }
    eprintln!("{done} trials, sessions opened in the 4th second: {at_limit}, later: {late}");
    eprintln!("requests without a complete answer: {incomplete:?}");
    assert_eq!(
        late, 0,
        "sessions opened after the 4th second, in {done} trials"
    );
}
