//! The journal check: journals that it accepts, and each violation that it finds.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use mgw_contract::engine::SessionKey;
use mgw_standin::journal::{Journal, JournalEvent, JournalLine, StepLine};
use mgw_standin::{CheckSettings, Report, Violation, check_journals, check_lines};
use mgw_world::{Attempt, FenceNumber, Incarnation, LayerRange, Position, RequestId};

const REQUEST: RequestId = RequestId(1);

fn key(attempt: u32) -> SessionKey {
    SessionKey {
        request: REQUEST,
        attempt: Attempt(attempt),
    }
}

fn line(target: &str, event: JournalEvent) -> JournalLine {
    JournalLine {
        target: target.into(),
        incarnation: Incarnation(1),
        event,
    }
}

/// Line of a step of stage 0 (layers 0..2 at target "a") or stage 1 (layers 2..4 at target "b").
/// The value passed between the stages at a position is the position plus 100.
fn step(stage: u16, attempt: u32, first: u32, count: u32) -> JournalLine {
    let boundary_value = u64::from(first + count) + 99;
    let target = ["a", "b"][usize::from(stage)];
    line(
        target,
        JournalEvent::Step(StepLine {
            session: key(attempt),
            version: "v1".into(),
            layers: LayerRange::new(stage * 2, stage * 2 + 2).unwrap(),
            first: Position(first),
            count,
            value_in: boundary_value,
            value_out: boundary_value,
        }),
    )
}

fn call(key: Option<&str>, workspace: &str) -> JournalLine {
    line(
        "p",
        JournalEvent::Call {
            service: "train-app".into(),
            path: "/issue".to_owned(),
            key: key.map(str::to_owned),
            workspace: Some(workspace.to_owned()),
            count: 1,
        },
    )
}

fn check(lines: &[JournalLine]) -> Report {
    check_lines(lines, &CheckSettings::default())
}

macro_rules! accepted_journal_tests {
    ($($name:ident: $lines:expr => covered $covered:literal, partial $partial:literal;)*) => {$(
        #[test]
        fn $name() {
            let report = check(&$lines);
            assert_eq!(report.violations, []);
            assert_eq!((report.covered, report.partial), ($covered, $partial));
        }
    )*};
}

accepted_journal_tests! {
    one_attempt: [step(0, 1, 0, 3), step(1, 1, 0, 3), step(0, 1, 3, 1), step(1, 1, 3, 1)]
        => covered 1, partial 0;
    stage_replayed_in_another_attempt:
        [step(0, 1, 0, 3), step(1, 1, 0, 3), step(0, 1, 3, 1), step(1, 2, 0, 4)]
        => covered 1, partial 0;
    stage_imported_into_another_attempt: [
        step(0, 1, 0, 3), step(1, 1, 0, 3), step(0, 1, 3, 1),
        line("b", JournalEvent::Import {
            session: key(2), layers: LayerRange::new(2, 4).unwrap(), next: Position(3),
        }),
        step(1, 2, 3, 1),
    ] => covered 1, partial 0;
    request_abandoned_between_stages: [step(0, 1, 0, 3), step(1, 1, 0, 3), step(0, 1, 3, 1)]
        => covered 0, partial 1;
    calls_with_distinct_keys_or_without_keys: [
        call(Some("k1"), "w"), call(Some("k2"), "w"), call(Some("k1"), "v"), call(None, "w"),
        call(None, "w"),
    ] => covered 0, partial 0;
}

macro_rules! violation_tests {
    ($($name:ident: $lines:expr => $pattern:pat,)*) => {$(
        #[test]
        fn $name() {
            let report = check(&$lines);
            assert!(
                report.violations.iter().any(|violation| matches!(violation, $pattern)),
                "{report:?}"
            );
        }
    )*};
}

violation_tests! {
    step_run_twice_at_one_target: [step(0, 1, 0, 3), step(0, 1, 2, 1)]
        => Violation::RanTwice { layer: 0, first: Position(2), count: 1, .. },
    step_run_at_two_targets: [
        step(0, 1, 0, 3),
        JournalLine { target: "c".into(), ..step(0, 1, 0, 3) },
    ] => Violation::RanTwice { layer: 1, count: 3, .. },
    attempt_used_again_after_a_restart: [
        step(0, 1, 0, 3),
        JournalLine { incarnation: Incarnation(2), ..step(0, 1, 0, 2) },
    ] => Violation::RanTwice { count: 2, .. },
    position_skipped: [step(0, 1, 0, 3), step(0, 1, 4, 1)]
        => Violation::OutOfOrder { first: Position(4), expected: Position(3), .. },
    session_that_starts_after_position_zero: [step(0, 1, 1, 1)]
        => Violation::OutOfOrder { first: Position(1), expected: Position(0), .. },
    position_run_backwards: [step(0, 1, 0, 3), step(0, 1, 5, 1), step(0, 1, 3, 1)]
        => Violation::OutOfOrder { first: Position(3), expected: Position(6), .. },
    step_that_skips_a_position_after_an_import: [
        line("a", JournalEvent::Import {
            session: key(2), layers: LayerRange::new(0, 2).unwrap(), next: Position(3),
        }),
        step(0, 2, 4, 1),
    ] => Violation::OutOfOrder { first: Position(4), expected: Position(3), .. },
    input_of_another_position: {
        let mut foreign = step(1, 1, 0, 3);
        if let JournalEvent::Step(step) = &mut foreign.event {
            step.value_in = 7;
        }
        [step(0, 1, 0, 3), foreign]
    } => Violation::ForeignInput { layer: 2, position: Position(2), .. },
    call_run_twice: [call(Some("k1"), "w"), call(Some("k1"), "w")]
        => Violation::CalledTwice { times: 2, .. },
}

#[test]
fn each_required_position_must_be_covered() {
    let requiring = |request, positions| CheckSettings {
        required_positions: BTreeMap::from([(request, positions)]),
    };
    let lines = [step(0, 1, 0, 3), step(1, 1, 0, 3), step(0, 1, 3, 1)];
    assert!(check_lines(&lines, &requiring(REQUEST, 3)).is_clean());
    let missing_position = check_lines(&lines, &requiring(REQUEST, 4));
    assert!(matches!(
        missing_position.violations[..],
        [Violation::NotCovered {
            layer: 2,
            positions: 3,
            needed: 4,
            ..
        }]
    ));
    let missing_request = check_lines(&lines, &requiring(RequestId(2), 1));
    assert!(matches!(
        missing_request.violations[..],
        [Violation::NotCovered {
            positions: 0,
            needed: 1,
            ..
        }]
    ));
}

#[test]
fn an_order_with_an_older_fencing_number_is_counted() {
    let order = |fence| {
        line(
            "a",
            JournalEvent::Order {
                fence: FenceNumber(fence),
                sequence: 1,
                layers: LayerRange::new(0, 2).unwrap(),
                version: "v1".into(),
            },
        )
    };
    let report = check(&[order(1), order(3), order(2), order(3)]);
    assert_eq!((report.orders, report.stale_orders), (4, 1));
}

#[test]
fn journal_files_are_read_back_and_a_torn_last_line_is_left_out() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.journal");
    let journal = Journal::open(&path).unwrap();
    journal.append(&[step(0, 1, 0, 3)]).unwrap();
    journal.append(&[step(0, 1, 3, 1)]).unwrap();
    let mut text = std::fs::read(&path).unwrap();
    assert_eq!(journal.read().unwrap(), text);
    let settings = CheckSettings::default();
    assert_eq!(
        check_journals(std::slice::from_ref(&path), &settings)
            .unwrap()
            .steps,
        2
    );
    text.pop();
    std::fs::write(&path, &text).unwrap();
    assert_eq!(
        check_journals(std::slice::from_ref(&path), &settings)
            .unwrap()
            .steps,
        1
    );
    std::fs::write(&path, "nonsense\n").unwrap();
    let error = check_journals(&[path], &settings).unwrap_err().to_string();
    assert!(error.contains("a.journal:1"), "{error}");
}
