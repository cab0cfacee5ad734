//! Entries that are killed or suspended, places that stop answering, and entries without a control.

mod support;

use mgw_contract::caller::Outcome;
use support::System;

/// Starts targets, each of which announces itself to another entry first.
fn start_targets(system: &mut System, count: usize, place: &str) -> Vec<String> {
    let names: Vec<String> = (0..count).map(|n| format!("{place}-engine-{n}")).collect();
    for (offset, name) in names.iter().enumerate() {
        system.start_engine(name, place, offset);
    }
    names
}

/// Waits until `count` targets are eligible at each of the entries.
fn wait_until_eligible(system: &System, entries: &[&str], count: usize) {
    for entry in entries {
        system.wait_until("the expected number of eligible targets", |system| {
            system.eligible_targets(entry).len() == count
        });
    }
}

#[test]
fn killed_entry_is_delisted_until_it_restarts_and_its_targets_are_eligible_elsewhere() {
    let mut system = System::start(3);
    start_targets(&mut system, 3, "pos-a");
    wait_until_eligible(&system, &["entry-0", "entry-1", "entry-2"], 3);
    system.signal("entry-2", "-KILL");
    assert!(!system.wait_for_exit("entry-2"));
    for entry in ["entry-0", "entry-1"] {
        system.wait_until("entry-2 is no longer listed", |system| {
            !system.lists_entry(entry, "entry-2")
        });
    }
    wait_until_eligible(&system, &["entry-0", "entry-1"], 3);
    for _ in 0..5 {
        assert!(!system.lists_entry("entry-0", "entry-2"));
    }
    system.start_entry("entry-2");
    system.wait_until("entry-2 is listed again", |system| {
        system.lists_entry("entry-0", "entry-2")
    });
}

#[test]
fn suspended_entry_is_delisted_until_it_resumes() {
    let mut system = System::start(3);
    start_targets(&mut system, 3, "pos-a");
    wait_until_eligible(&system, &["entry-0", "entry-1", "entry-2"], 3);
    system.signal("entry-2", "-STOP");
    for entry in ["entry-0", "entry-1"] {
        system.wait_until("entry-2 is no longer listed", |system| {
            !system.lists_entry(entry, "entry-2")
        });
    }
    wait_until_eligible(&system, &["entry-0", "entry-1"], 3);
    system.signal("entry-2", "-CONT");
    system.wait_until("entry-2 is listed again", |system| {
        system.lists_entry("entry-0", "entry-2")
    });
}

#[test]
fn isolated_entry_stops_advertising_itself_until_the_others_resume() {
    let mut system = System::start(3);
    start_targets(&mut system, 3, "pos-a");
    wait_until_eligible(&system, &["entry-0"], 3);
    for silent in ["entry-1", "entry-2", "control"] {
        system.signal(silent, "-STOP");
    }
    system.wait_until("entry-0 no longer lists itself", |system| {
        let answer = system.addresses("entry-0").expect("an answer");
        !answer.entries.is_empty() && !system.lists_entry("entry-0", "entry-0")
    });
    let answer = system.addresses("entry-0").expect("an answer");
    assert_eq!(answer.entries.len(), 2, "the other entries, as last seen");
    for silent in ["entry-1", "entry-2", "control"] {
        system.signal(silent, "-CONT");
    }
    system.wait_until("entry-0 lists itself again", |system| {
        system.lists_entry("entry-0", "entry-0")
    });
}

#[test]
fn silent_place_is_reported_and_remaining_targets_still_serve() {
    let mut system = System::start(2);
    let remaining = start_targets(&mut system, 2, "pos-a");
    let silent = start_targets(&mut system, 3, "chg-c");
    wait_until_eligible(&system, &["entry-0", "entry-1"], 5);
    for name in &silent {
        system.signal(name, "-STOP");
    }
    let reports = |system: &System| {
        let status = system.status("entry-0").expect("status");
        status.attention.iter().any(|text| text.contains("chg-c"))
    };
    system.wait_until("the silent place is reported", reports);
    assert_eq!(system.eligible_targets("entry-0"), remaining);
    let answer = system.complete("entry-0").expect("answer");
    assert_eq!(answer.outcome, Outcome::Done, "{}", answer.message);
    for name in &silent {
        system.signal(name, "-CONT");
    }
    wait_until_eligible(&system, &["entry-0", "entry-1"], 5);
    assert!(!reports(&system));
}

#[test]
fn entry_without_a_control_serves_addresses_but_runs_no_request() {
    let mut system = System::empty();
    system.reserve("control");
    system.reserve("entry-0");
    system.start_entry("entry-0");
    system.wait_until("an address answer that lists one entry", |system| {
        let answer = system.addresses("entry-0");
        answer.is_some_and(|answer| answer.entries.len() == 1)
    });
    for _ in 0..5 {
        let answer = system.complete("entry-0").expect("answer");
        assert_eq!(answer.outcome, Outcome::NotRun);
        std::thread::sleep(std::time::Duration::from_secs(1));
    }
}

#[test]
fn entry_with_a_newer_stored_revision_refuses_requests_and_is_not_listed() {
    let mut system = System::start(2);
    start_targets(&mut system, 1, "pos-a");
    system.signal("entry-1", "-KILL");
    assert!(!system.wait_for_exit("entry-1"));
    std::fs::write(system.path("entry-1.data").join("revision"), "99\n").expect("revision");
    system.start_entry("entry-1");
    system.wait_until("the entry answers", |system| {
        system.addresses("entry-1").is_some()
    });
    // The other entry may list it until it learns of the restart; it refuses requests meanwhile.
    system.wait_until("entry-0 knows of the restart", |system| {
        let answer = system.complete("entry-1").expect("answer");
        assert_eq!(answer.outcome, Outcome::NotRun);
        !system.lists_entry("entry-0", "entry-1")
    });
    for _ in 0..6 {
        let answer = system.complete("entry-1").expect("answer");
        assert_eq!(answer.outcome, Outcome::NotRun);
        assert!(!system.lists_entry("entry-0", "entry-1"));
        std::thread::sleep(std::time::Duration::from_secs(1));
    }
}

#[test]
fn entry_stopped_during_startup_exits_without_serving_callers() {
    let mut system = System::empty();
    system.reserve("control");
    system.reserve("entry-0");
    system.start_entry("entry-0");
    system.wait_until("the entry answers", |system| {
        system.addresses("entry-0").is_some()
    });
    system.signal("entry-0", "-TERM");
    assert!(system.wait_for_exit("entry-0"));
    assert!(
        system
            .read_log("entry-0")
            .contains("leaving before it served callers")
    );
}
