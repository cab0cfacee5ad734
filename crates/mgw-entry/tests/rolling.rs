//! Rolling restarts of entries under load cut no request off.

mod support;

use support::{System, read_load, trials};

/// Seconds of load that the restarts go on under before the answers are counted.
const LOAD_S: usize = 12;

#[test]
fn rolling_restarts_cut_nothing_off() {
    let mut system = System::start(3);
    for (turn, engine) in ["engine-0", "engine-1", "engine-2"].iter().enumerate() {
        system.start_engine(engine, "pos-a", turn);
    }
    for name in system.entry_names() {
        system.until("targets", |system| system.in_choice(&name).len() == 3);
    }
    let wanted = trials(3);
    let (mut restarts, mut requests, mut round) = (0, 0, 0);
    let mut bad = Vec::new();
    while restarts < wanted {
        round += 1;
        let mut load = system.start_load(LOAD_S, round);
        while restarts < wanted && load.try_wait().expect("load").is_none() {
            let name = format!("entry-{}", restarts % 3);
            system.signal(&name, "-TERM");
            assert!(
                system.wait(&name),
                "{name} ended cleanly: {}",
                system.log(&name)
            );
            system.start_entry(&name);
            system.until("the entry serves again", |system| system.is_serving(&name));
            restarts += 1;
        }
        let (sent, without) = read_load(load);
        requests += sent;
        bad.extend(without);
    }
    eprintln!("{restarts} restarts, {requests} requests, without a whole answer: {bad:?}");
    assert!(requests > 0);
    assert_eq!(bad, Vec::<String>::new(), "after {restarts} restarts");
}
