//! Rolling restarts of entries under load abort no request.

mod support;

use support::{System, read_load, trials};

/// Duration of one load in seconds; its answers are counted after it, and restarts go on with the
/// next load.
const LOAD_S: usize = 12;

#[test]
fn rolling_restarts_abort_no_request() {
    let mut system = System::start(3);
    for (offset, engine) in ["engine-0", "engine-1", "engine-2"].iter().enumerate() {
        system.start_engine(engine, "pos-a", offset);
    }
    for name in system.entry_names() {
        system.wait_until("three eligible targets", |system| {
            system.eligible_targets(&name).len() == 3
        });
    }
    let wanted = trials(3);
    let (mut restarts, mut requests, mut round) = (0, 0, 0);
    let mut incomplete = Vec::new();
    while restarts < wanted {
        round += 1;
        let mut load = system.start_load(LOAD_S, round);
        while restarts < wanted && load.try_wait().expect("load").is_none() {
            let name = format!("entry-{}", restarts % 3);
            system.signal(&name, "-TERM");
            assert!(
                system.wait_for_exit(&name),
                "{name} did not exit with status 0: {}",
                system.read_log(&name)
            );
            system.start_entry(&name);
            system.wait_until("the restarted entry serves callers", |system| {
                system.is_serving(&name)
            });
            restarts += 1;
        }
        let (sent, without_answer) = read_load(load);
        requests += sent;
        incomplete.extend(without_answer);
    }
    eprintln!(
        "{restarts} restarts, {requests} requests, without a complete answer: {incomplete:?}"
    );
    assert!(requests > 0);
    assert_eq!(
        incomplete,
        Vec::<String>::new(),
        "after {restarts} restarts"
    );
}
