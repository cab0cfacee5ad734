//! Parts of prompts that end targets are found by the evidence of all entries, and sound ones aren't.

#![allow(clippy::unwrap_used)]

mod quarantine_support;

use mgw_route::{
    EntryQuarantine, Evidence, EvidenceReport, QuarantineSettings, QuarantineTable, ReportedEnd,
    TargetEnd, TargetRun,
};
use mgw_world::{Incarnation, Millis, PromptPart, Subject};
use quarantine_support::{HARMFUL, SIZES, System};

/// Requests with the part that may still be sent after the limit.
const MAX_LATE: usize = 3;
/// Number of ends after which the part has to become known.
const KNOWN_ENDS: usize = 5;
const SOUND_PART: Subject = Subject::Part(PromptPart(1));
const HARMFUL_PART: Subject = Subject::Part(HARMFUL);
const SEEDS: std::ops::Range<u64> = 0..4;

fn run(number: u64) -> TargetRun {
    TargetRun {
        name: format!("target-{number}").as_str().into(),
        incarnation: Incarnation(1),
    }
}

fn end(sent_at: u64, ended_at: u64) -> TargetEnd {
    TargetEnd {
        sent_at: Millis(sent_at),
        ended_at: Millis(ended_at),
    }
}

/// Requests with the part come slowly, or so fast that several targets end before the first end can be
/// known elsewhere.
#[test]
fn a_harmful_part_is_known_at_all_entries_in_time() {
    for size in SIZES {
        for (interval_ms, seed) in [2_000, 700, 100, 30].into_iter().zip(SEEDS) {
            let mut system = System::new(size, seed);
            system.run(Millis(3_000));
            system.harmful_interval_ms = Some(Millis(interval_ms));
            system.run(Millis(25_000));
            let case = format!("{} entries, one each {interval_ms} ms", size.entries);
            let late = system.late_sends(KNOWN_ENDS, size.spread_limit_ms);
            assert!(late <= MAX_LATE, "{case}: {late}");
            assert_eq!(system.entries_that_know(HARMFUL), size.entries, "{case}");
            assert_eq!(system.wrongly_quarantined(), [], "{case}");
            assert_eq!(system.counts.sound_refused, 0, "{case}");
        }
    }
}

/// The collecting control is lost after a few ends, and again right after the verdict.
#[test]
fn a_control_that_takes_over_gets_the_evidence_again() {
    for size in SIZES {
        let mut system = System::new(size, 7);
        system.run(Millis(3_000));
        system.harmful_interval_ms = Some(Millis(500));
        system.run_until_ends(2);
        system.lose_control();
        while system.entries_that_know(HARMFUL) == 0 {
            system.run(Millis(5));
        }
        system.lose_control();
        system.run(Millis(10_000));
        let late = system.late_sends(KNOWN_ENDS, size.spread_limit_ms);
        assert!(late <= MAX_LATE, "{} entries: {late}", size.entries);
        assert_eq!(system.entries_that_know(HARMFUL), size.entries);
        assert_eq!(system.wrongly_quarantined(), []);
    }
}

#[test]
fn a_rack_that_is_lost_convicts_no_part() {
    for size in SIZES {
        for seed in SEEDS {
            let mut system = System::new(size, seed);
            system.run(Millis(3_000));
            for _ in 0..3 {
                system.end_targets(0..size.targets / 2);
                system.run(Millis(6_000));
            }
            assert_eq!(system.wrongly_quarantined(), [], "{} entries", size.entries);
        }
    }
}

/// A target ends each 1.5 s for other reasons, for a minute.
#[test]
fn targets_that_end_one_after_the_other_convict_no_part() {
    for size in SIZES {
        for seed in SEEDS {
            let mut system = System::new(size, seed);
            system.run(Millis(3_000));
            system.crash_interval_ms = Some(Millis(1_500));
            system.run(Millis(60_000));
            assert_eq!(system.wrongly_quarantined(), [], "{} entries", size.entries);
            assert_eq!(system.counts.sound_refused, 0);
        }
    }
}

#[test]
fn while_nothing_is_served_no_part_is_convicted() {
    let mut evidence = Evidence::default();
    for number in 0..20 {
        let sent_at = number * 1_000;
        evidence.record_end(HARMFUL_PART, &run(number), end(sent_at, sent_at + 200));
    }
    assert!(!evidence.is_harmful(HARMFUL_PART));
    assert!(evidence.is_suspected(HARMFUL_PART));
}

#[test]
fn an_entry_that_starts_late_knows_the_part_before_it_serves() {
    let size = SIZES[1];
    let mut system = System::new(size, 3);
    system.run(Millis(3_000));
    system.harmful_interval_ms = Some(Millis(200));
    system.run(Millis(15_000));
    system.restart_entry(5);
    assert!(!EntryQuarantine::default().is_informed());
    system.run(Millis(200));
    assert!(system.knows(5, HARMFUL));
}

/// An entry without a control goes on by its own evidence.
#[test]
fn an_entry_that_is_cut_off_acts_by_its_own_evidence() {
    let mut entry = EntryQuarantine::default();
    for number in 0..5 {
        let sent_at = 10_000 + number * 1_000;
        entry.record_end(&[HARMFUL_PART], &run(number), end(sent_at, sent_at + 200));
        for stream in 0..6 {
            let part = PromptPart(stream).into();
            entry.record_sound_stream(&[part], Millis(sent_at + 300));
        }
    }
    assert_eq!(
        entry.find_quarantined(&[SOUND_PART, HARMFUL_PART], Millis(16_000)),
        Some(HARMFUL_PART)
    );
    assert_eq!(entry.find_quarantined(&[SOUND_PART], Millis(16_000)), None);
}

#[test]
fn a_lifted_part_is_used_again_and_old_evidence_doesnt_convict_it() {
    for size in SIZES {
        let mut system = System::new(size, 11);
        system.run(Millis(3_000));
        system.harmful_interval_ms = Some(Millis(200));
        system.run(Millis(12_000));
        assert_eq!(system.entries_that_know(HARMFUL), size.entries);
        system.harmful_interval_ms = None;
        system.lift(HARMFUL_PART);
        system.run(Millis(4_000));
        assert_eq!(
            system.entries_that_know(HARMFUL),
            0,
            "{} entries",
            size.entries
        );
    }
}

#[test]
fn the_order_of_evidence_and_its_repetition_dont_matter() {
    let report = |number: u64| EvidenceReport {
        ends: vec![ReportedEnd {
            subject: HARMFUL_PART,
            run: run(number),
            sent_age_ms: Millis(9_000 - number * 1_000),
            ended_age_ms: Millis(8_800 - number * 1_000),
        }],
        ..EvidenceReport::default()
    };
    let streams = |count| EvidenceReport {
        sound_streams: count,
        ..EvidenceReport::default()
    };
    for order in [[0, 1, 2, 3], [3, 2, 1, 0], [2, 0, 3, 1]] {
        let mut table = QuarantineTable::default();
        let now = Millis(100_000);
        table.exchange("other", &streams(100), now - Millis(4_000));
        for number in order.into_iter().chain(order) {
            let update = table.exchange(&format!("entry-{number}"), &report(number), now);
            assert_eq!(
                update.to_commit().count(),
                0,
                "no other stream was served since"
            );
        }
        let update = table.exchange("other", &streams(116), now);
        let verdicts: Vec<_> = update.to_commit().collect();
        assert_eq!(verdicts.len(), 1, "{order:?}");
        assert_eq!((verdicts[0].ends, verdicts[0].successive_ends), (4, 4));
    }
}

/// A caller sends a prompt with other parts each time.
#[test]
fn the_evidence_on_many_random_parts_is_bounded() {
    let settings = QuarantineSettings::default();
    let mut evidence = Evidence::new(settings);
    for number in 0..20_000 {
        let part = Subject::Part(PromptPart(number));
        evidence.record_end(part, &run(number), end(number, number + 1));
        let other = Subject::Part(PromptPart(1_000_000 + number));
        evidence.record_sound(other, Millis(number));
    }
    assert!(evidence.ends().count() <= settings.max_suspicions);
    evidence.expire(Millis(20_000) + settings.valid_ms + Millis(1));
    assert_eq!(evidence.ends().count(), 0);
}
