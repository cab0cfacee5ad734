//! A target that leaves or is drained opens no session after a few seconds, under load.

mod support;

use std::time::{Duration, Instant};

use support::{System, read_load, trials};

/// Time after which a leaving target gets no new work.
const LIMIT: Duration = Duration::from_millis(3_000);
/// Time for a request that was sent there in time to arrive.
const ARRIVAL: Duration = Duration::from_millis(1_000);
/// Targets that leave in one round.
const IN_ROUND: usize = 4;

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

#[test]
fn leaving_targets_get_no_new_sessions() {
    let mut system = System::start(3);
    for (turn, engine) in ["stays-0", "stays-1"].iter().enumerate() {
        system.start_engine(engine, "pos-a", turn);
    }
    let wanted = trials(4);
    let (mut done, mut at_limit, mut late) = (0, 0, 0);
    let mut bad = Vec::new();
    while done < wanted {
        let names: Vec<String> = (0..IN_ROUND)
            .map(|n| format!("leaves-{}", done + n))
            .collect();
        for (turn, name) in names.iter().enumerate() {
            system.start_engine(name, "sfo-b", turn);
        }
        for entry in system.entry_names() {
            system.until("targets", |system| {
                let chosen = system.in_choice(&entry);
                names.iter().all(|name| chosen.contains(name))
            });
        }
        let load = system.start_load(14, done);
        std::thread::sleep(Duration::from_secs(2));
        let mut left = Vec::new();
        for (index, name) in names.iter().enumerate() {
            if index % 2 == 0 {
                system.signal(name, "-TERM");
            } else {
                assert!(system.mgw(&["target", "drain", name]));
            }
            left.push((name, Instant::now()));
        }
        let mut seen = Vec::new();
        for (name, at) in &left {
            sleep_until(*at + LIMIT);
            let at_3s = system.sessions(name);
            seen.push((name, at_3s));
        }
        let mut settled = Vec::new();
        for ((name, at), (_, at_3s)) in left.iter().zip(&seen) {
            sleep_until(*at + LIMIT + ARRIVAL);
            let at_4s = system.sessions(name);
            at_limit += at_4s - at_3s;
            settled.push(at_4s);
        }
        let (_, without) = read_load(load);
        bad.extend(without);
        for ((name, _), at_4s) in left.iter().zip(&settled) {
            late += system.sessions(name) - at_4s;
        }
        done += IN_ROUND;
    }
    eprintln!("{done} trials, sessions opened in the 4th second: {at_limit}, later: {late}");
    eprintln!("requests without a whole answer: {bad:?}");
    assert_eq!(late, 0, "in {done} trials");
}
