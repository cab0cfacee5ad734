//! Short ways to make commands.
#![allow(dead_code, reason = "each test file uses its own part")]

use mgw_contract::caller::Outcome;
use mgw_contract::operator::{ApplyReply, ResolveRequest};
use mgw_state::{
    Action, ClaimKey, ClaimReply, ClaimRequest, ClaimantId, Command, ConfigChange, Digest,
    OutcomeReport, RecordReply, Reply, State, hash_key,
};
use mgw_world::{Incarnation, OperatorName, RequestId, Revision, UnixMillis};

/// A state and the next log index.
#[derive(Default)]
pub struct Driver {
    pub state: State,
    pub now_ms: u64,
}

impl Driver {
    pub fn with_rules(rules: &str) -> Self {
        let mut driver = Self::default();
        let reply = driver.change("first", 0, &inventory_text("w", rules));
        assert_eq!(reply, accepted(1));
        driver
    }

    pub fn run(&mut self, action: Action) -> Reply {
        let command = Command {
            at_unix_ms: UnixMillis(self.now_ms),
            action,
        };
        self.state.apply(self.state.applied() + 1, command)
    }

    pub fn change(&mut self, id: &str, base: u64, text: &str) -> ApplyReply {
        match self.run(change(id, base, text)) {
            Reply::Config(reply) => reply,
            other => panic!("not an answer to a change: {other:?}"),
        }
    }

    pub fn claim(&mut self, asked: ClaimRequest) -> ClaimReply {
        match self.run(Action::Claim(asked)) {
            Reply::Claim(reply) => reply,
            other => panic!("not an answer to a claim: {other:?}"),
        }
    }

    pub fn record(&mut self, claim: &ClaimRequest, outcome: Outcome) -> RecordReply {
        match self.run(Action::RecordOutcome(report(claim, outcome))) {
            Reply::Record(reply) => reply,
            other => panic!("not an answer to an outcome: {other:?}"),
        }
    }

    pub fn release(&mut self, claim: &ClaimRequest) -> Reply {
        self.run(Action::ReleaseClaim {
            key: claim.key.clone(),
            request: claim.request,
            claimant: claim.claimant.clone(),
        })
    }

    pub fn lose(&mut self, entry: &str, incarnation: u64) -> Reply {
        self.run(Action::EntryLost {
            claimant: claimant(entry, incarnation),
        })
    }

    pub fn resolve(&mut self, key: &str, ran: bool) -> Reply {
        self.run(resolve(key, ran))
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

/// A UUID of version 7 that was made at a time.
pub fn timed_key(made_at_ms: u64, number: u64) -> String {
    let high = made_at_ms >> 16;
    let low = made_at_ms & 0xffff;
    format!("{high:08x}-{low:04x}-7000-8000-{number:012x}")
}
