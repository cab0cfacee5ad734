//! The ledger: concurrent claims, lost entries, reused and expired keys, and its size limits.

mod common;

use common::{StateDriver, claim, claim_key, timed_key};
use mgw_contract::caller::Outcome;
use mgw_contract::operator::LedgerState;
use mgw_state::{Action, ClaimReply, RecordReply, RecordedResponse, Reply, ResolveReply};
use mgw_world::{Millis, RequestId};

const SMALL_LEDGER: &str = "rules.ledger = { window_ms = 100, max_claims = 2, max_tombstones = 1 }";

const FIRST_REQUEST: RequestId = RequestId(1);

#[test]
fn of_two_concurrent_claims_exactly_one_is_granted() {
    let mut driver = StateDriver::with_rules("");
    let first = claim("k", "body", 1, "e1", 1);
    let second = claim("k", "body", 2, "e2", 1);
    assert_eq!(driver.claim(first.clone()), ClaimReply::Granted);
    assert_eq!(
        driver.claim(second.clone()),
        ClaimReply::InProgress {
            request: FIRST_REQUEST
        }
    );
    assert_eq!(driver.claim(first.clone()), ClaimReply::Granted);
    assert_eq!(
        driver.record(&second, Outcome::Done),
        RecordReply::NotHolder
    );
    assert_eq!(
        driver.release(&second),
        Reply::Record(RecordReply::NotHolder)
    );
    assert_eq!(driver.record(&first, Outcome::Done), RecordReply::Recorded);
    assert_eq!(driver.record(&first, Outcome::Done), RecordReply::Recorded);
    let already_ended = RecordReply::AlreadyEnded {
        outcome: Outcome::Done,
    };
    assert_eq!(driver.record(&first, Outcome::NotRun), already_ended);
    assert_eq!(driver.release(&first), Reply::Record(already_ended));
}

#[test]
fn recorded_answer_is_returned_with_a_body_only_up_to_the_limit() {
    let mut driver = StateDriver::with_rules("rules.ledger = { max_body_bytes = 4 }");
    let rules = driver.state.inventory().rules.ledger;
    for (key, body, is_recorded) in [("k1", "four", true), ("k2", "fiver", false)] {
        let claim_request = claim(key, "body", 1, "e1", 1);
        driver.claim(claim_request.clone());
        let response = RecordedResponse::new(201, "text/plain", body.as_bytes(), &rules);
        assert_eq!(response.body.is_some(), is_recorded);
        let mut report = common::report(&claim_request, Outcome::Done);
        report.response = Some(response.clone());
        driver.apply(Action::RecordOutcome(report));
        let ended = ClaimReply::Ended {
            request: FIRST_REQUEST,
            outcome: Outcome::Done,
            response: Some(response),
        };
        assert_eq!(driver.claim(claim(key, "body", 9, "e2", 1)), ended);
    }
}

#[test]
fn key_with_another_body_is_a_conflict_in_every_state() {
    let mut driver = StateDriver::with_rules("");
    let first = claim("k", "body", 1, "e1", 1);
    let other = claim("k", "other", 2, "e2", 1);
    let conflict = ClaimReply::Conflict {
        request: FIRST_REQUEST,
    };
    driver.claim(first);
    assert_eq!(driver.claim(other.clone()), conflict);
    driver.declare_entry_lost("e1", 1);
    assert_eq!(driver.claim(other.clone()), conflict);
    driver.resolve("k", true);
    assert_eq!(driver.claim(other), conflict);
    let mut other_service = claim("k", "other", 3, "e2", 1);
    other_service.key.service = "billing".into();
    assert_eq!(driver.claim(other_service), ClaimReply::Granted);
}

#[test]
fn entry_lost_between_claim_and_outcome_leaves_unknown_until_an_operator_resolves() {
    let mut driver = StateDriver::with_rules(SMALL_LEDGER);
    let first = claim("k", "body", 1, "e1", 1);
    let retry = claim("k", "body", 2, "e2", 1);
    driver.claim(first.clone());
    assert_eq!(
        driver.resolve("k", true),
        Reply::Resolve(ResolveReply::InProgress)
    );
    assert_eq!(
        driver.declare_entry_lost("e1", 1),
        Reply::EntryLost { unknown: 1 }
    );
    assert_eq!(
        driver.declare_entry_lost("e1", 1),
        Reply::EntryLost { unknown: 0 }
    );
    let unknown = ClaimReply::Unknown {
        request: FIRST_REQUEST,
    };
    assert_eq!(driver.claim(retry.clone()), unknown);
    assert_eq!(driver.claim(first.clone()), unknown);
    assert_eq!(driver.record(&first, Outcome::Done), RecordReply::Unknown);
    assert_eq!(driver.release(&first), Reply::Record(RecordReply::Unknown));
    assert_eq!(
        driver.state.ledger().late_report(&first.key),
        Some(Outcome::Done)
    );
    driver.now_ms = 1_000_000;
    assert_eq!(driver.claim(retry.clone()), unknown);
    let resolved = Reply::Resolve(ResolveReply::Resolved {
        outcome: Outcome::NotRun,
    });
    assert_eq!(driver.resolve("k", false), resolved);
    assert_eq!(driver.resolve("k", false), resolved);
    let ended = Reply::Resolve(ResolveReply::AlreadyEnded {
        outcome: Outcome::NotRun,
    });
    assert_eq!(driver.resolve("k", true), ended);
    let ended = ClaimReply::Ended {
        request: FIRST_REQUEST,
        outcome: Outcome::NotRun,
        response: None,
    };
    assert_eq!(driver.claim(retry), ended);
    assert_eq!(
        driver.resolve("other", true),
        Reply::Resolve(ResolveReply::NoClaim)
    );
    let filter = mgw_state::AuditFilter {
        action: Some("resolve".to_owned()),
        ..Default::default()
    };
    let trail = driver.state.audit().select(&filter);
    let accepted: Vec<_> = trail.iter().map(|record| record.accepted).collect();
    assert_eq!(accepted, [false, true, true, false, false]);
}

#[test]
fn lost_incarnation_gets_no_claims_and_a_new_one_marks_the_old_as_lost() {
    let mut driver = StateDriver::with_rules("");
    driver.claim(claim("k1", "body", 1, "e1", 3));
    driver.declare_entry_lost("e1", 3);
    assert_eq!(
        driver.claim(claim("k2", "body", 2, "e1", 3)),
        ClaimReply::EntryLost
    );
    assert_eq!(
        driver.claim(claim("k2", "body", 2, "e1", 2)),
        ClaimReply::EntryLost
    );
    assert_eq!(
        driver.claim(claim("k2", "body", 2, "e1", 4)),
        ClaimReply::Granted
    );
    assert_eq!(
        driver.claim(claim("k3", "body", 3, "e1", 6)),
        ClaimReply::Granted
    );
    let record = driver
        .state
        .ledger()
        .record(&claim_key("k2"))
        .expect("held");
    assert_eq!(record.state, LedgerState::Unknown);
    assert_eq!(driver.state.ledger().unknown_count(), 2);
    assert_eq!(
        driver.state.ledger().claimants(),
        [common::claimant("e1", 6)]
    );
}

#[test]
fn released_claim_may_be_claimed_again() {
    let mut driver = StateDriver::with_rules("");
    let first = claim("k", "body", 1, "e1", 1);
    driver.claim(first.clone());
    assert_eq!(driver.release(&first), Reply::Record(RecordReply::Recorded));
    assert_eq!(driver.release(&first), Reply::Record(RecordReply::NoClaim));
    assert_eq!(driver.record(&first, Outcome::Done), RecordReply::NoClaim);
    assert_eq!(
        driver.claim(claim("k", "other", 2, "e2", 1)),
        ClaimReply::Granted
    );
}

#[test]
fn claim_reported_as_unknown_stays_unknown() {
    let mut driver = StateDriver::with_rules("");
    let first = claim("k", "body", 1, "e1", 1);
    driver.claim(first.clone());
    assert_eq!(
        driver.record(&first, Outcome::Unknown),
        RecordReply::Recorded
    );
    assert_eq!(driver.record(&first, Outcome::Done), RecordReply::Unknown);
    let retry = driver.claim(claim("k", "body", 2, "e2", 1));
    assert_eq!(
        retry,
        ClaimReply::Unknown {
            request: FIRST_REQUEST
        }
    );
}

#[test]
fn full_ledger_refuses_claims_and_forgets_nothing_inside_the_window() {
    let mut driver = StateDriver::with_rules(SMALL_LEDGER);
    let keys = [
        timed_key(1_000, 1),
        timed_key(1_000, 2),
        timed_key(1_040, 3),
    ];
    driver.now_ms = 1_000;
    let first = claim(&keys[0], "body", 1, "e1", 1);
    let second = claim(&keys[1], "body", 2, "e1", 1);
    let third = claim(&keys[2], "body", 3, "e1", 1);
    driver.claim(first.clone());
    driver.claim(second);
    assert_eq!(
        driver.claim(third.clone()),
        ClaimReply::Full {
            retry_after_ms: None
        }
    );
    driver.now_ms = 1_010;
    driver.record(&first, Outcome::Done);
    driver.now_ms = 1_040;
    let full = ClaimReply::Full {
        retry_after_ms: Some(Millis(70)),
    };
    assert_eq!(driver.claim(third.clone()), full);
    driver.now_ms = 1_109;
    assert!(matches!(
        driver.claim(third.clone()),
        ClaimReply::Full { .. }
    ));
    assert!(matches!(
        driver.claim(first.clone()),
        ClaimReply::Ended { .. }
    ));
    driver.now_ms = 1_110;
    assert_eq!(driver.claim(third), ClaimReply::Granted);
    assert_eq!(driver.claim(first), ClaimReply::Expired);
}

#[test]
fn key_past_the_window_is_refused_rather_than_run_again() {
    let mut driver = StateDriver::with_rules("rules.ledger = { window_ms = 100 }");
    driver.now_ms = 1_000;
    let old = claim(&timed_key(900, 1), "body", 1, "e1", 1);
    assert_eq!(driver.claim(old), ClaimReply::Expired);
    let future_key = timed_key(5_000, 2);
    let future = claim(&future_key, "body", 2, "e1", 1);
    let plain = claim("plain", "body", 3, "e1", 1);
    for claim_request in [&future, &plain] {
        assert_eq!(driver.claim(claim_request.clone()), ClaimReply::Granted);
        driver.record(claim_request, Outcome::Done);
    }
    driver.now_ms = 1_100;
    assert_eq!(driver.claim(plain.clone()), ClaimReply::Expired);
    assert!(matches!(
        driver.claim(future.clone()),
        ClaimReply::Ended { .. }
    ));
    driver.now_ms = 5_099;
    assert!(matches!(
        driver.claim(future.clone()),
        ClaimReply::Ended { .. }
    ));
    driver.now_ms = 5_100;
    assert_eq!(driver.claim(future.clone()), ClaimReply::Expired);
    driver.now_ms = 0;
    assert_eq!(driver.claim(future), ClaimReply::Expired);
    assert_eq!(driver.claim(plain), ClaimReply::Expired);
}

#[test]
fn widening_the_window_does_not_make_an_expired_key_claimable() {
    let mut driver = StateDriver::with_rules("rules.ledger = { window_ms = 100 }");
    driver.now_ms = 1_000;
    let claim_request = claim(&timed_key(1_000, 1), "body", 1, "e1", 1);
    driver.claim(claim_request.clone());
    driver.record(&claim_request, Outcome::Done);
    driver.now_ms = 1_100;
    driver.apply(Action::AdvanceTime);
    assert!(driver.state.ledger().is_empty());
    let wider = common::inventory_text("w", "rules.ledger = { window_ms = 500 }");
    assert_eq!(driver.apply_change("wider", 1, &wider), common::accepted(2));
    assert_eq!(driver.claim(claim_request), ClaimReply::Expired);
}

#[test]
fn claims_are_kept_while_the_tombstones_are_full() {
    let mut driver = StateDriver::with_rules(SMALL_LEDGER);
    let claims = [
        claim("k1", "body", 1, "e1", 1),
        claim("k2", "body", 2, "e1", 1),
    ];
    for claim_request in &claims {
        driver.claim(claim_request.clone());
        driver.record(claim_request, Outcome::Done);
    }
    driver.now_ms = 1_000;
    assert_eq!(driver.claim(claims[0].clone()), ClaimReply::Expired);
    assert_eq!(driver.state.ledger().tombstone_count(), 1);
    assert!(matches!(
        driver.claim(claims[1].clone()),
        ClaimReply::Ended { .. }
    ));
}
