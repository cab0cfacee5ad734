//! Exclusions of targets that said themselves that they are leaving or want no requests.

use mgw_route::{ExclusionSettings, Exclusions, TargetRun};
use mgw_world::{Incarnation, Millis};

fn run(name: &str, incarnation: u64) -> TargetRun {
    TargetRun {
        name: name.into(),
        incarnation: Incarnation(incarnation),
    }
}

#[test]
fn a_leaving_target_stays_out_for_its_run_and_a_restarted_one_is_used() {
    let mut exclusions = Exclusions::default();
    assert!(exclusions.record_leaving(&run("one", 1), Millis(0)));
    assert!(!exclusions.record_leaving(&run("one", 1), Millis(10)));
    assert!(exclusions.is_excluded(&run("one", 1), Millis(100_000)));
    assert!(!exclusions.is_excluded(&run("one", 2), Millis(100)));
    assert!(!exclusions.is_excluded(&run("two", 1), Millis(100)));
}

/// A home node restarts and its targets are listed again, one of them although it is leaving.
#[test]
fn a_leaving_target_that_vanishes_and_is_listed_again_stays_out() {
    let settings = ExclusionSettings::default();
    let mut exclusions = Exclusions::new(settings);
    let one = run("one", 1);
    exclusions.record_leaving(&one, Millis(0));
    exclusions.expire([].iter(), settings.remember_ms);
    assert!(exclusions.is_leaving(&one));
    exclusions.expire([one.clone()].iter(), settings.remember_ms);
    exclusions.expire([].iter(), settings.remember_ms.times(2));
    assert!(exclusions.is_leaving(&one));
    exclusions.expire([].iter(), settings.remember_ms.times(2) + Millis(1));
    assert!(
        !exclusions.is_leaving(&one),
        "forgotten, so that memory is bounded"
    );
}

#[test]
fn pauses_are_bounded_and_the_longest_one_counts() {
    let max = ExclusionSettings::default().max_pause_ms;
    let cases = [
        (vec![Millis(0)], Millis(0)),
        (vec![Millis(700)], Millis(700)),
        (vec![Millis(700), Millis(100)], Millis(700)),
        (vec![Millis(700), Millis(900)], Millis(900)),
        (vec![Millis::MAX], max),
    ];
    for (pauses, expected) in cases {
        let mut exclusions = Exclusions::default();
        let one = run("one", 1);
        for pause_ms in &pauses {
            exclusions.record_pause(&one, *pause_ms, Millis(1_000));
        }
        let end = Millis(1_000) + expected;
        if expected > Millis::ZERO {
            assert!(exclusions.is_excluded(&one, end - Millis(1)), "{pauses:?}");
        }
        assert!(!exclusions.is_excluded(&one, end), "{pauses:?}");
        assert_eq!(exclusions.pauses(end).count(), 0, "{pauses:?}");
    }
}

#[test]
fn a_leaving_target_is_reported_to_other_entries_for_a_while() {
    let settings = ExclusionSettings::default();
    let mut exclusions = Exclusions::new(settings);
    exclusions.record_leaving(&run("one", 1), Millis(0));
    assert_eq!(
        exclusions.leaving_to_report(settings.report_ms),
        [run("one", 1)]
    );
    let later = settings.report_ms + Millis(1);
    assert!(exclusions.leaving_to_report(later).is_empty());
}
