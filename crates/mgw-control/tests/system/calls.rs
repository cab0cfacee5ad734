//! Calls of operators and callers, and what stand-ins journaled.

use std::collections::BTreeMap;
use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use mgw_contract::caller::{
    IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, SERVICES_PATH, WORKSPACE_HEADER,
};
use mgw_contract::operator::{
    ApplyReply, ApplyRequest, CONFIG_PATH, ConfigReply, LEDGER_PATH, LedgerRecord, OPERATOR_HEADER,
    OPERATOR_KEY_HEADER, STATUS_PATH, StatusReply,
};
use mgw_serve::http::{Body, full, read_body};
use mgw_world::Revision;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::processes::System;
use super::wait::{wait_for, wait_some};

/// Time after which a process counts as giving no answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
pub const CONTROLS: [&str; 3] = ["control-1", "control-2", "control-3"];

/// What a caller heard: the outcome's name and the body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimEnd {
    pub outcome: String,
    pub body: String,
}

/// The inventory with `count` more workspaces.
pub fn change_text(inventory: &str, count: u64) -> String {
    let added: String = (0..count)
        .map(|number| format!("[[workspaces]]\nname = \"added-{number}\"\nweight = 1\n"))
        .collect();
    inventory.replacen("[[targets]]", &format!("{added}\n[[targets]]"), 1)
}

impl System {
    async fn send(&self, request: Request<Body>) -> Option<(StatusCode, HeaderValue, Vec<u8>)> {
        let answering = async {
            let response = self.http.request(request).await.ok()?;
            let outcome = response.headers().get(OUTCOME_HEADER).cloned();
            let outcome = outcome.unwrap_or(HeaderValue::from_static(""));
            let status = response.status();
            let body = read_body(response.into_body()).await.ok()?;
            Some((status, outcome, body.to_vec()))
        };
        timeout(ANSWER_LIMIT, answering).await.ok()?
    }

    /// Reads JSON; none without an answer of status 200.
    pub async fn get<T: DeserializeOwned>(&self, at: &str, path: &str) -> Option<T> {
        let request = Request::get(format!("{}{path}", self.url(at))).body(full(""));
        let (status, _, body) = self.send(request.unwrap()).await?;
        (status == StatusCode::OK).then(|| serde_json::from_slice(&body).unwrap())
    }

    /// Sends a change once to one control.
    pub async fn apply_at(&self, at: &str, base: u64, id: &str, text: &str) -> Option<ApplyReply> {
        let change = ApplyRequest {
            base: Revision(base),
            change_id: id.to_owned(),
            text: text.to_owned(),
        };
        let request = Request::post(format!("{}{CONFIG_PATH}", self.url(at)))
            .header(OPERATOR_HEADER, "anika")
            .header(OPERATOR_KEY_HEADER, "example-key-anika-not-for-production")
            .body(full(serde_json::to_vec(&change).unwrap()));
        let (status, _, body) = self.send(request.unwrap()).await?;
        (status == StatusCode::OK).then(|| serde_json::from_slice(&body).unwrap())
    }

    /// Sends a change to the controls in turn until one answers.
    pub async fn apply_until_known(&self, base: u64, id: &str, text: &str) -> ApplyReply {
        wait_some("an answer to a change", || async {
            for control in CONTROLS {
                if let Some(reply) = self.apply_at(control, base, id, text).await {
                    return Some(reply);
                }
            }
            None
        })
        .await
    }

    /// The newest accepted revision, confirmed by a quorum.
    pub async fn revision(&self) -> u64 {
        wait_some("a confirmed read", || async {
            for control in CONTROLS {
                let read: Option<ConfigReply> = self.get(control, CONFIG_PATH).await;
                if let Some(reply) = read {
                    return Some(reply.revision.0);
                }
            }
            None
        })
        .await
    }

    /// The ledger, confirmed by a quorum.
    pub async fn ledger(&self) -> Vec<LedgerRecord> {
        wait_some("the ledger", || async {
            for control in CONTROLS {
                let read: Option<Vec<LedgerRecord>> = self.get(control, LEDGER_PATH).await;
                if read.is_some() {
                    return read;
                }
            }
            None
        })
        .await
    }

    /// The status of the leader among some controls.
    pub async fn leader_status(&self, among: &[&str]) -> StatusReply {
        wait_some("a leader", || async {
            for control in among {
                let status: Option<StatusReply> = self.get(control, STATUS_PATH).await;
                let leads = |status: &StatusReply| {
                    let leader = status.leader.as_ref();
                    leader.is_some_and(|leader| leader.as_str() == *control)
                };
                if status.as_ref().is_some_and(leads) {
                    return status;
                }
            }
            None
        })
        .await
    }

    /// Name of the leader among some controls.
    pub async fn leader(&self, among: &[&str]) -> String {
        self.leader_status(among).await.node.to_string()
    }

    /// Waits until so many replicas vote and there is none beside them.
    pub async fn wait_for_voters(&self, count: usize) {
        wait_for("all voters", || async {
            let replicas = self.leader_status(&CONTROLS).await.replicas;
            let voters = replicas.iter().filter(|replica| replica.votes);
            let voters = voters.filter(|replica| replica.matched > 0).count();
            voters == count && replicas.len() == count
        })
        .await;
    }

    /// Waits until an entry holds a configuration and chooses among so many targets.
    pub async fn wait_until_serving(&self, entry: &str, targets: usize) {
        wait_for("an entry that serves", || async {
            let status: Option<StatusReply> = self.get(entry, STATUS_PATH).await;
            let is_serving = |status: StatusReply| {
                status.revision > Revision(0)
                    && status.targets as usize == targets
                    && status
                        .attention
                        .iter()
                        .any(|line| line.ends_with("availability: full"))
            };
            status.is_some_and(is_serving)
        })
        .await;
    }

    /// Waits until an entry passes calls to the plain service on; right after its start it refuses.
    pub async fn wait_until_passing(&self, entry: &str) {
        wait_for("an entry that passes calls on", || async {
            let path = format!("{SERVICES_PATH}train-app/ready");
            let request = Request::get(format!("{}{path}", self.url(entry)))
                .header(WORKSPACE_HEADER, "classrooms")
                .body(full(""));
            let answer = self.send(request.unwrap()).await;
            answer.is_some_and(|(_, outcome, _)| outcome == "done")
        })
        .await;
    }

    /// Makes a call that runs at most once; none when the entry gave no answer.
    pub async fn claim(&self, entry: &str, key: &str) -> Option<ClaimEnd> {
        let path = format!("{SERVICES_PATH}train-app/certificates/issue");
        let request = Request::post(format!("{}{path}", self.url(entry)))
            .header(WORKSPACE_HEADER, "classrooms")
            .header(IDEMPOTENCY_KEY_HEADER, key)
            .body(full(format!("certificate for {key}")));
        let (_, outcome, body) = self.send(request.unwrap()).await?;
        Some(ClaimEnd {
            outcome: outcome.to_str().unwrap().to_owned(),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

/// How often each key ran, by a stand-in's journal.
pub fn read_calls(system: &System, target: &str) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for line in read_journal(system, target) {
        if let Some(key) = line["key"].as_str() {
            *counts.entry(key.to_owned()).or_default() += 1;
        }
    }
    counts
}

/// Fencing numbers of the orders taken, in order.
pub fn read_fences(system: &System, target: &str) -> Vec<u64> {
    let journal = read_journal(system, target);
    let orders = journal.iter().filter(|line| line["kind"] == "order");
    orders.map(|line| line["fence"].as_u64().unwrap()).collect()
}

fn read_journal(system: &System, target: &str) -> Vec<serde_json::Value> {
    let text = std::fs::read_to_string(system.path(&format!("{target}.journal")));
    let text = text.unwrap_or_default();
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    whole
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}
