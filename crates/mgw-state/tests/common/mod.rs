//! Helpers that build and apply commands.
#![allow(dead_code, reason = "each test file uses its own part")]

use mgw_contract::caller::Outcome;
use mgw_contract::operator::{ApplyReply, ResolveRequest};
use mgw_state::{
    Action, ClaimKey, ClaimReply, ClaimRequest, ClaimantId, Command, ConfigChange, Digest,
    OutcomeReport, RecordReply, Reply, State, hash_key,
};
use mgw_world::{Incarnation, OperatorName, RequestId, Revision, UnixMillis};

/// A state and a settable clock; each action is applied at the next log index.
#[derive(Default)]
pub struct StateDriver {
    pub state: State,
    pub now_ms: u64,
}

impl StateDriver {
    pub fn with_rules(rules: &str) -> Self {
        let mut driver = Self::default();
        let reply = driver.apply_change("first", 0, &inventory_text("w", rules));
        assert_eq!(reply, accepted(1));
        driver
    }

    pub fn apply(&mut self, action: Action) -> Reply {
        let command = Command {
            at_unix_ms: UnixMillis(self.now_ms),
            action,
        };
        self.state.apply(self.state.applied() + 1, command)
    }

    pub fn apply_change(&mut self, id: &str, base: u64, text: &str) -> ApplyReply {
        match self.apply(change(id, base, text)) {
            Reply::Config(reply) => reply,
            other => panic!("not a reply to a change: {other:?}"),
        }
    }

    pub fn claim(&mut self, claim_request: ClaimRequest) -> ClaimReply {
        match self.apply(Action::Claim(claim_request)) {
            Reply::Claim(reply) => reply,
            other => panic!("not a reply to a claim: {other:?}"),
        }
    }

    pub fn record(&mut self, claim: &ClaimRequest, outcome: Outcome) -> RecordReply {
        match self.apply(Action::RecordOutcome(report(claim, outcome))) {
            Reply::Record(reply) => reply,
            other => panic!("not a reply to an outcome: {other:?}"),
        }
    }

    pub fn release(&mut self, claim: &ClaimRequest) -> Reply {
        self.apply(Action::ReleaseClaim {
            key: claim.key.clone(),
            request: claim.request,
            claimant: claim.claimant.clone(),
        })
    }

    pub fn declare_entry_lost(&mut self, entry: &str, incarnation: u64) -> Reply {
        self.apply(Action::EntryLost {
            claimant: claimant(entry, incarnation),
        })
    }

    pub fn resolve(&mut self, key: &str, ran: bool) -> Reply {
        self.apply(resolve(key, ran))
    }
}

pub fn accepted(revision: u64) -> ApplyReply {
    ApplyReply::Accepted {
        revision: Revision(revision),
    }
}

pub fn change(id: &str, base: u64, text: &str) -> Action {
    Action::ApplyConfig(Box::new(ConfigChange::check(
        OperatorName::from("anika"),
        id.to_owned(),
        Revision(base),
        text.to_owned(),
        "test.toml",
    )))
}

pub fn inventory_text(workspace: &str, rules: &str) -> String {
    let hash = hash_key("key");
    format!(
        "operators = [{{ name = \"anika\", key_sha256 = \"{hash}\" }}]\n\
         workspaces = [{{ name = \"{workspace}\", weight = 1 }}]\n{rules}\n"
    )
}

pub fn claimant(entry: &str, incarnation: u64) -> ClaimantId {
    ClaimantId {
        entry: entry.into(),
        incarnation: Incarnation(incarnation),
    }
}

pub fn claim_key(key: &str) -> ClaimKey {
    ClaimKey {
        workspace: "w".into(),
        service: "app".into(),
        key: key.into(),
    }
}

pub fn claim(key: &str, body: &str, request: u128, entry: &str, incarnation: u64) -> ClaimRequest {
    ClaimRequest {
        key: claim_key(key),
        digest: Digest::of(body.as_bytes()),
        request: RequestId(request),
        claimant: claimant(entry, incarnation),
    }
}

pub fn report(claim: &ClaimRequest, outcome: Outcome) -> OutcomeReport {
    OutcomeReport {
        key: claim.key.clone(),
        request: claim.request,
        claimant: claim.claimant.clone(),
        outcome,
        response: None,
    }
}

pub fn resolve(key: &str, ran: bool) -> Action {
    Action::Resolve {
        operator: "anika".into(),
        request: ResolveRequest {
            workspace: "w".into(),
            service: "app".into(),
            key: key.into(),
            ran,
        },
    }
}

/// A version 7 UUID that was created at the given time.
pub fn timed_key(created_at_ms: u64, number: u64) -> String {
    let time_high = created_at_ms >> 16;
    let time_low = created_at_ms & 0xffff;
    format!("{time_high:08x}-{time_low:04x}-7000-8000-{number:012x}")
}
