//! Random sequences of commands, with the invariants checked at every step.

mod common;

use std::collections::BTreeMap;

use common::{Driver, claim, claimant, inventory_text, report, resolve, timed_key};
use mgw_contract::caller::Outcome;
use mgw_state::{
    Action, ClaimReply, Command, ConfigView, RecordReply, Reply, ResolveReply, State, decode,
    encode,
};
use mgw_world::{FenceNumber, RequestId, Revision, UnixMillis};
use proptest::prelude::*;

/// A step in small numbers, so that steps collide often.
#[derive(Debug, Clone)]
enum Step {
    Change {
        id: u8,
        back: u8,
        workspace: u8,
    },
    Claim {
        key: u8,
        body: u8,
        request: u8,
        entry: u8,
        life: u8,
    },
    Record {
        key: u8,
        request: u8,
        entry: u8,
        life: u8,
        outcome: Outcome,
    },
    Release {
        key: u8,
        request: u8,
        entry: u8,
        life: u8,
    },
    Lose {
        entry: u8,
        life: u8,
    },
    Resolve {
        key: u8,
        ran: bool,
    },
    Fence {
        number: u8,
    },
    Wait {
        span: u16,
        back: bool,
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
    let (key, request, entry, life) = (0..5u8, 0..4u8, 0..2u8, 1..4u8);
    prop_oneof![
        2 => (0..12u8, 0..3u8, 0..4u8)
            .prop_map(|(id, back, workspace)| Step::Change { id, back, workspace }),
        6 => (key.clone(), 0..2u8, request.clone(), entry.clone(), life.clone()).prop_map(
            |(key, body, request, entry, life)| Step::Claim { key, body, request, entry, life }
        ),
        4 => (key.clone(), request.clone(), entry.clone(), life.clone(), any_outcome()).prop_map(
            |(key, request, entry, life, outcome)| Step::Record {
                key, request, entry, life, outcome
            }
        ),
        1 => (key.clone(), request, entry.clone(), life.clone()).prop_map(
            |(key, request, entry, life)| Step::Release { key, request, entry, life }
        ),
        1 => (entry, life).prop_map(|(entry, life)| Step::Lose { entry, life }),
        2 => (key, any::<bool>()).prop_map(|(key, ran)| Step::Resolve { key, ran }),
        1 => (0..20u8).prop_map(|number| Step::Fence { number }),
        2 => (0..80u16, any::<bool>()).prop_map(|(span, back)| Step::Wait { span, back }),
    ]
}

const RULES: &str = "rules = { kept_diffs = 3, remembered_changes = 4, audit_records = 5, \
     ledger = { window_ms = 100, max_claims = 4, max_tombstones = 2 } }";

/// Odd keys carry a time.
fn key_text(key: u8) -> String {
    if key % 2 == 1 {
        timed_key(1_000 + u64::from(key) * 30, u64::from(key))
    } else {
        format!("key-{key}")
    }
}

fn asked(key: u8, body: u8, request: u8, entry: u8, life: u8) -> mgw_state::ClaimRequest {
    let (body, entry) = (format!("body-{body}"), format!("e{entry}"));
    claim(&key_text(key), &body, request.into(), &entry, life.into())
}

fn to_action(step: &Step, driver: &mut Driver) -> Action {
    match *step {
        Step::Change {
            id,
            back,
            workspace,
        } => {
            let base = driver.state.revision().0.saturating_sub(back.into());
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
            life,
        } => Action::Claim(asked(key, body, request, entry, life)),
        Step::Record {
            key,
            request,
            entry,
            life,
            outcome,
        } => Action::RecordOutcome(report(&asked(key, 0, request, entry, life), outcome)),
        Step::Release {
            key,
            request,
            entry,
            life,
        } => {
            let asked = asked(key, 0, request, entry, life);
            let (key, request, claimant) = (asked.key, asked.request, asked.claimant);
            Action::ReleaseClaim {
                key,
                request,
                claimant,
            }
        }
        Step::Lose { entry, life } => Action::EntryLost {
            claimant: claimant(&format!("e{entry}"), life.into()),
        },
        Step::Resolve { key, ran } => resolve(&key_text(key), ran),
        Step::Fence { number } => Action::SetFence {
            fence: FenceNumber(number.into()),
            leader: "ctl".into(),
        },
        Step::Wait { span, back } => {
            let span = u64::from(span);
            driver.now_ms = if back {
                driver.now_ms - span
            } else {
                driver.now_ms + span
            };
            Action::AdvanceTime
        }
    }
}

/// What the ledger has promised about one key.
#[derive(Debug, Default)]
struct Promise {
    granted: Option<(RequestId, String)>,
    outcome: Option<Outcome>,
    is_unknown: bool,
}

/// Follows the answers and fails when one breaks a promise.
#[derive(Default)]
struct Watch {
    promises: BTreeMap<String, Promise>,
    revision: Revision,
    fence: FenceNumber,
    now: UnixMillis,
}

impl Watch {
    fn check(&mut self, action: &Action, reply: &Reply, state: &State) {
        assert!(state.revision() >= self.revision, "the revision went back");
        assert!(state.fence().0 >= self.fence, "the fence went back");
        assert!(state.now() >= self.now, "the time went back");
        assert!(
            state.ledger().len() <= 4,
            "more claims than the rules allow"
        );
        self.revision = state.revision();
        self.fence = state.fence().0;
        self.now = state.now();
        match (action, reply) {
            (Action::Claim(asked), Reply::Claim(reply)) => self.check_claim(asked, reply),
            (Action::RecordOutcome(report), Reply::Record(RecordReply::Recorded)) => {
                let promise = self.promises.entry(report.key.to_string()).or_default();
                let holder = (report.request, report.claimant.to_string());
                assert_eq!(
                    promise.granted,
                    Some(holder),
                    "recorded by another than the holder"
                );
                if report.outcome == Outcome::Unknown {
                    promise.is_unknown = true;
                } else {
                    assert!(!promise.is_unknown, "an entry ended an unknown claim");
                    promise.end(report.outcome);
                }
            }
            (Action::ReleaseClaim { key, .. }, Reply::Record(RecordReply::Recorded)) => {
                let promise = self.promises.remove(&key.to_string()).expect("was granted");
                assert_eq!(promise.outcome, None, "an ended claim was released");
                assert!(!promise.is_unknown, "an unknown claim was released");
            }
            (
                Action::Resolve { request, .. },
                Reply::Resolve(ResolveReply::Resolved { outcome }),
            ) => {
                let key = format!("{}/{}/{}", request.workspace, request.service, request.key);
                let promise = self.promises.entry(key).or_default();
                promise.is_unknown = false;
                promise.end(*outcome);
            }
            _ => {}
        }
    }

    fn check_claim(&mut self, asked: &mgw_state::ClaimRequest, reply: &ClaimReply) {
        let promise = self.promises.entry(asked.key.to_string()).or_default();
        match reply {
            ClaimReply::Granted => {
                let holder = (asked.request, asked.claimant.to_string());
                let held = promise.granted.get_or_insert_with(|| holder.clone());
                assert_eq!(*held, holder, "a claim was granted twice");
                assert_eq!(promise.outcome, None, "an ended claim was granted again");
                assert!(!promise.is_unknown, "an unknown claim was granted again");
            }
            ClaimReply::Ended { outcome, .. } => {
                assert_eq!(
                    promise.outcome,
                    Some(*outcome),
                    "another outcome than recorded"
                );
            }
            ClaimReply::Unknown { .. } => promise.is_unknown = true,
            ClaimReply::Expired => assert!(!promise.is_unknown, "an unknown claim was forgotten"),
            _ => {}
        }
    }
}

impl Promise {
    fn end(&mut self, outcome: Outcome) {
        assert_eq!(
            *self.outcome.get_or_insert(outcome),
            outcome,
            "two outcomes of one key"
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
    fn promises_hold_and_replay_gives_the_same_state(
        steps in proptest::collection::vec(any_step(), 1..80),
        cut in 0..80usize,
    ) {
        let mut driver = Driver::with_rules(RULES);
        driver.now_ms = 10_000;
        let mut replica = driver.state.clone();
        let mut view = ConfigView::new(Revision(0));
        let mut watch = Watch::default();
        for (at, step) in steps.iter().enumerate() {
            let action = to_action(step, &mut driver);
            let command = Command { at_unix_ms: UnixMillis(driver.now_ms), action };
            let copy: Command = decode(&encode(&command)).expect("whole");
            prop_assert_eq!(&copy, &command);
            let index = driver.state.applied() + 1;
            let reply = driver.state.apply(index, command.clone());
            watch.check(&command.action, &reply, &driver.state);
            prop_assert_eq!(decode::<Reply>(&encode(&reply)).expect("whole"), reply.clone());
            if at == cut {
                replica = State::restore(&replica.snapshot()).expect("whole");
            }
            prop_assert_eq!(replica.apply(index, copy.clone()), reply);
            let again = Reply::AlreadyApplied { applied: index };
            prop_assert_eq!(replica.apply(index, copy), again);
            prop_assert_eq!(&replica, &driver.state);
            if at % 3 == 0 {
                let update = driver.state.config().update_since(view.held_revision());
                view.apply(update).expect("fits");
                prop_assert_eq!(view.inventory(), driver.state.inventory());
            }
        }
    }

    #[test]
    fn damaged_snapshot_is_refused_or_whole(at in 0..400usize, cut in any::<bool>()) {
        let driver = Driver::with_rules(RULES);
        let mut bytes = driver.state.snapshot();
        let at = at % bytes.len();
        if cut {
            bytes.truncate(at);
            prop_assert!(State::restore(&bytes).is_err());
        } else {
            bytes.push(0);
            prop_assert!(State::restore(&bytes).is_err());
        }
    }
}
