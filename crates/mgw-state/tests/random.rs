//! Property tests: random sequences of commands, with the invariants checked after every command.

mod common;

use std::collections::BTreeMap;

use common::{StateDriver, claim, claimant, inventory_text, report, resolve, timed_key};
use mgw_contract::caller::Outcome;
use mgw_state::{
    Action, ClaimReply, Command, ConfigView, RecordReply, Reply, ResolveReply, State, decode,
    encode,
};
use mgw_world::{FenceNumber, RequestId, Revision, UnixMillis};
use proptest::prelude::*;

/// A random command, with values from small ranges so that commands often concern the same key,
/// change or entry.
#[derive(Debug, Clone)]
enum Step {
    Change {
        id: u8,
        revisions_back: u8,
        workspace: u8,
    },
    Claim {
        key: u8,
        body: u8,
        request: u8,
        entry: u8,
        incarnation: u8,
    },
    Record {
        key: u8,
        request: u8,
        entry: u8,
        incarnation: u8,
        outcome: Outcome,
    },
    Release {
        key: u8,
        request: u8,
        entry: u8,
        incarnation: u8,
    },
    Lose {
        entry: u8,
        incarnation: u8,
    },
    Resolve {
        key: u8,
        ran: bool,
    },
    Fence {
        number: u8,
    },
    Wait {
        duration_ms: u16,
        is_backwards: bool,
    },
}

fn any_outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::Done),
        Just(Outcome::NotRun),
        Just(Outcome::Unknown)
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    let (key, request, entry, incarnation) = (0..5u8, 0..4u8, 0..2u8, 1..4u8);
    prop_oneof![
        2 => (0..12u8, 0..3u8, 0..4u8)
            .prop_map(|(id, revisions_back, workspace)| Step::Change {
                id, revisions_back, workspace
            }),
        6 => (key.clone(), 0..2u8, request.clone(), entry.clone(), incarnation.clone()).prop_map(
            |(key, body, request, entry, incarnation)| Step::Claim {
                key, body, request, entry, incarnation
            }
        ),
        4 => (key.clone(), request.clone(), entry.clone(), incarnation.clone(), any_outcome())
            .prop_map(|(key, request, entry, incarnation, outcome)| Step::Record {
                key, request, entry, incarnation, outcome
            }),
        1 => (key.clone(), request, entry.clone(), incarnation.clone()).prop_map(
            |(key, request, entry, incarnation)| Step::Release { key, request, entry, incarnation }
        ),
        1 => (entry, incarnation)
            .prop_map(|(entry, incarnation)| Step::Lose { entry, incarnation }),
        2 => (key, any::<bool>()).prop_map(|(key, ran)| Step::Resolve { key, ran }),
        1 => (0..20u8).prop_map(|number| Step::Fence { number }),
        2 => (0..80u16, any::<bool>()).prop_map(|(duration_ms, is_backwards)| Step::Wait {
            duration_ms, is_backwards
        }),
    ]
}

const RULES: &str = "rules = { kept_diffs = 3, remembered_changes = 4, audit_records = 5, \
     ledger = { window_ms = 100, max_claims = 4, max_tombstones = 2 } }";

/// The idempotency key of a number; keys of odd numbers carry a time.
fn key_text(key: u8) -> String {
    if key % 2 == 1 {
        timed_key(1_000 + u64::from(key) * 30, u64::from(key))
    } else {
        format!("key-{key}")
    }
}

fn claim_request(
    key: u8,
    body: u8,
    request: u8,
    entry: u8,
    incarnation: u8,
) -> mgw_state::ClaimRequest {
    let (body, entry) = (format!("body-{body}"), format!("e{entry}"));
    claim(
        &key_text(key),
        &body,
        request.into(),
        &entry,
        incarnation.into(),
    )
}

fn to_action(step: &Step, driver: &mut StateDriver) -> Action {
    match *step {
        Step::Change {
            id,
            revisions_back,
            workspace,
        } => {
            let base = driver
                .state
                .revision()
                .0
                .saturating_sub(revisions_back.into());
            let text = inventory_text(&format!("w{workspace}"), RULES);
            match common::change(&format!("c{id}"), base, &text) {
                Action::ApplyConfig(change) if id % 2 == 0 => driver.state.plan_change(*change),
                other => other,
            }
        }
        Step::Claim {
            key,
            body,
            request,
            entry,
            incarnation,
        } => Action::Claim(claim_request(key, body, request, entry, incarnation)),
        Step::Record {
            key,
            request,
            entry,
            incarnation,
            outcome,
        } => Action::RecordOutcome(report(
            &claim_request(key, 0, request, entry, incarnation),
            outcome,
        )),
        Step::Release {
            key,
            request,
            entry,
            incarnation,
        } => {
            let claim_request = claim_request(key, 0, request, entry, incarnation);
            let (key, request, claimant) = (
                claim_request.key,
                claim_request.request,
                claim_request.claimant,
            );
            Action::ReleaseClaim {
                key,
                request,
                claimant,
            }
        }
        Step::Lose { entry, incarnation } => Action::EntryLost {
            claimant: claimant(&format!("e{entry}"), incarnation.into()),
        },
        Step::Resolve { key, ran } => resolve(&key_text(key), ran),
        Step::Fence { number } => Action::SetFence {
            fence: FenceNumber(number.into()),
            leader: "ctl".into(),
        },
        Step::Wait {
            duration_ms,
            is_backwards,
        } => {
            let duration_ms = u64::from(duration_ms);
            driver.now_ms = if is_backwards {
                driver.now_ms - duration_ms
            } else {
                driver.now_ms + duration_ms
            };
            Action::AdvanceTime
        }
    }
}

/// What earlier replies said about one key; later replies must not contradict it.
#[derive(Debug, Default)]
struct KeyHistory {
    /// Request and claimant that the claim was granted to.
    granted: Option<(RequestId, String)>,
    outcome: Option<Outcome>,
    is_unknown: bool,
}

/// Checks each reply against the earlier ones, and that revision, fence and time never decrease.
#[derive(Default)]
struct InvariantChecker {
    histories: BTreeMap<String, KeyHistory>,
    revision: Revision,
    fence: FenceNumber,
    now: UnixMillis,
}

impl InvariantChecker {
    /// Checks the state after a command and the reply to it.
    fn check(&mut self, action: &Action, reply: &Reply, state: &State) {
        assert!(state.revision() >= self.revision, "the revision decreased");
        assert!(
            state.fence().0 >= self.fence,
            "the fencing number decreased"
        );
        assert!(state.now() >= self.now, "the time decreased");
        assert!(
            state.ledger().len() <= 4,
            "more claims than the rules allow"
        );
        self.revision = state.revision();
        self.fence = state.fence().0;
        self.now = state.now();
        match (action, reply) {
            (Action::Claim(claim_request), Reply::Claim(reply)) => {
                self.check_claim(claim_request, reply);
            }
            (Action::RecordOutcome(report), Reply::Record(RecordReply::Recorded)) => {
                let history = self.histories.entry(report.key.to_string()).or_default();
                let holder = (report.request, report.claimant.to_string());
                assert_eq!(
                    history.granted,
                    Some(holder),
                    "an outcome was recorded that another than the holder reported"
                );
                if report.outcome == Outcome::Unknown {
                    history.is_unknown = true;
                } else {
                    assert!(!history.is_unknown, "an entry ended an unknown claim");
                    history.record_outcome(report.outcome);
                }
            }
            (Action::ReleaseClaim { key, .. }, Reply::Record(RecordReply::Recorded)) => {
                let history = self
                    .histories
                    .remove(&key.to_string())
                    .expect("was granted");
                assert_eq!(history.outcome, None, "an ended claim was released");
                assert!(!history.is_unknown, "an unknown claim was released");
            }
            (
                Action::Resolve { request, .. },
                Reply::Resolve(ResolveReply::Resolved { outcome }),
            ) => {
                let key = format!("{}/{}/{}", request.workspace, request.service, request.key);
                let history = self.histories.entry(key).or_default();
                history.is_unknown = false;
                history.record_outcome(*outcome);
            }
            _ => {}
        }
    }

    fn check_claim(&mut self, claim_request: &mgw_state::ClaimRequest, reply: &ClaimReply) {
        let history = self
            .histories
            .entry(claim_request.key.to_string())
            .or_default();
        match reply {
            ClaimReply::Granted => {
                let holder = (claim_request.request, claim_request.claimant.to_string());
                let granted = history.granted.get_or_insert_with(|| holder.clone());
                assert_eq!(*granted, holder, "a claim was granted twice");
                assert_eq!(history.outcome, None, "an ended claim was granted again");
                assert!(!history.is_unknown, "an unknown claim was granted again");
            }
            ClaimReply::Ended { outcome, .. } => {
                assert_eq!(
                    history.outcome,
                    Some(*outcome),
                    "a claim ended with another outcome than the recorded one"
                );
            }
            ClaimReply::Unknown { .. } => history.is_unknown = true,
            ClaimReply::Expired => assert!(!history.is_unknown, "an unknown claim was forgotten"),
            _ => {}
        }
    }
}

impl KeyHistory {
    fn record_outcome(&mut self, outcome: Outcome) {
        assert_eq!(
            *self.outcome.get_or_insert(outcome),
            outcome,
            "two different outcomes were recorded for one key"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_and_a_replay_gives_the_same_state(
        steps in proptest::collection::vec(any_step(), 1..80),
        restart_at in 0..80usize,
    ) {
        let mut driver = StateDriver::with_rules(RULES);
        driver.now_ms = 10_000;
        let mut replica = driver.state.clone();
        let mut view = ConfigView::new(Revision(0));
        let mut checker = InvariantChecker::default();
        for (position, step) in steps.iter().enumerate() {
            let action = to_action(step, &mut driver);
            let command = Command { at_unix_ms: UnixMillis(driver.now_ms), action };
            let copy: Command = decode(&encode(&command)).expect("whole");
            prop_assert_eq!(&copy, &command);
            let index = driver.state.applied() + 1;
            let reply = driver.state.apply(index, command.clone());
            checker.check(&command.action, &reply, &driver.state);
            prop_assert_eq!(decode::<Reply>(&encode(&reply)).expect("whole"), reply.clone());
            if position == restart_at {
                replica = State::restore(&replica.snapshot()).expect("whole");
            }
            prop_assert_eq!(replica.apply(index, copy.clone()), reply);
            let already_applied = Reply::AlreadyApplied { applied: index };
            prop_assert_eq!(replica.apply(index, copy), already_applied);
            prop_assert_eq!(&replica, &driver.state);
            if position % 3 == 0 {
                let update = driver.state.config().update_since(view.held_revision());
                view.apply(update).expect("fits");
                prop_assert_eq!(view.inventory(), driver.state.inventory());
            }
        }
    }

    #[test]
    fn truncated_or_extended_snapshot_is_refused(at in 0..400usize, is_truncated in any::<bool>()) {
        let driver = StateDriver::with_rules(RULES);
        let mut bytes = driver.state.snapshot();
        let at = at % bytes.len();
        if is_truncated {
            bytes.truncate(at);
            prop_assert!(State::restore(&bytes).is_err());
        } else {
            bytes.push(0);
            prop_assert!(State::restore(&bytes).is_err());
        }
    }
}
