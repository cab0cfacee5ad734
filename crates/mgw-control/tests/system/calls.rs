//! Calls as an operator and as a caller, and readers of the stand-ins' journals.

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
use super::wait::{wait_for, wait_for_some};

/// Timeout of a call to a process.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
pub const CONTROLS: [&str; 3] = ["control-1", "control-2", "control-3"];

/// Response to a caller: the outcome's name and the body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallResult {
    pub outcome: String,
    pub body: String,
}

/// The inventory with `count` additional workspaces.
pub fn change_text(inventory: &str, count: u64) -> String {
    let added: String = (0..count)
        .map(|number| format!("[[workspaces]]\nname = \"added-{number}\"\nweight = 1\n"))
        .collect();
    inventory.replacen("[[targets]]", &format!("{added}\n[[targets]]"), 1)
}

impl System {
    async fn send(&self, request: Request<Body>) -> Option<(StatusCode, HeaderValue, Vec<u8>)> {
        let exchange = async {
            let response = self.http.request(request).await.ok()?;
            let outcome = response.headers().get(OUTCOME_HEADER).cloned();
            let outcome = outcome.unwrap_or(HeaderValue::from_static(""));
            let status = response.status();
            let body = read_body(response.into_body()).await.ok()?;
            Some((status, outcome, body.to_vec()))
        };
        timeout(RESPONSE_TIMEOUT, exchange).await.ok()?
    }

    /// Gets a path as JSON; none unless the response has status 200.
    pub async fn get<T: DeserializeOwned>(&self, at: &str, path: &str) -> Option<T> {
        let request = Request::get(format!("{}{path}", self.url(at))).body(full(""));
        let (status, _, body) = self.send(request.unwrap()).await?;
        (status == StatusCode::OK).then(|| serde_json::from_slice(&body).unwrap())
    }

    /// Sends a configuration change to one control, once; none unless it was answered with status
    /// 200.
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

    /// Sends a configuration change to the controls in turn until one answers it.
    pub async fn apply_until_answered(&self, base: u64, id: &str, text: &str) -> ApplyReply {
        wait_for_some("an answer to a change", || async {
            for control in CONTROLS {
                if let Some(reply) = self.apply_at(control, base, id, text).await {
                    return Some(reply);
                }
            }
            None
        })
        .await
    }

    /// Reads the newest accepted revision, confirmed by a quorum.
    pub async fn revision(&self) -> u64 {
        wait_for_some("a confirmed read", || async {
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

    /// Reads the ledger, confirmed by a quorum.
    pub async fn ledger(&self) -> Vec<LedgerRecord> {
        wait_for_some("the ledger", || async {
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

    /// Waits for a leader among these controls and returns its status.
    pub async fn leader_status(&self, among: &[&str]) -> StatusReply {
        wait_for_some("a leader", || async {
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

    /// Waits for a leader among these controls and returns its name.
    pub async fn leader(&self, among: &[&str]) -> String {
        self.leader_status(among).await.node.to_string()
    }

    /// Waits until the group has exactly `count` members, all of them voters that replicate the
    /// log.
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

    /// Waits until an entry forwards calls to the plain service. Right after its start it refuses
    /// them.
    pub async fn wait_until_forwarding(&self, entry: &str) {
        wait_for("an entry that forwards calls", || async {
            let path = format!("{SERVICES_PATH}train-app/ready");
            let request = Request::get(format!("{}{path}", self.url(entry)))
                .header(WORKSPACE_HEADER, "classrooms")
                .body(full(""));
            let answer = self.send(request.unwrap()).await;
            answer.is_some_and(|(_, outcome, _)| outcome == "done")
        })
        .await;
    }

    /// Makes a non-idempotent call, which must run at most once; none when the entry didn't
    /// respond.
    pub async fn claim(&self, entry: &str, key: &str) -> Option<CallResult> {
        let path = format!("{SERVICES_PATH}train-app/certificates/issue");
        let request = Request::post(format!("{}{path}", self.url(entry)))
            .header(WORKSPACE_HEADER, "classrooms")
            .header(IDEMPOTENCY_KEY_HEADER, key)
            .body(full(format!("certificate for {key}")));
        let (_, outcome, body) = self.send(request.unwrap()).await?;
        Some(CallResult {
            outcome: outcome.to_str().unwrap().to_owned(),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

/// Counts how often the call of each idempotency key ran, from a stand-in's journal.
pub fn read_calls(system: &System, target: &str) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for line in read_journal(system, target) {
        if let Some(key) = line["key"].as_str() {
            *counts.entry(key.to_owned()).or_default() += 1;
        }
    }
    counts
}

/// Fencing numbers of the orders that a stand-in accepted, in the order of its journal.
pub fn read_fences(system: &System, target: &str) -> Vec<u64> {
    let journal = read_journal(system, target);
    let orders = journal.iter().filter(|line| line["kind"] == "order");
    orders.map(|line| line["fence"].as_u64().unwrap()).collect()
}

fn read_journal(system: &System, target: &str) -> Vec<serde_json::Value> {
    let text = std::fs::read_to_string(system.path(&format!("{target}.journal")));
    let text = text.unwrap_or_default();
    let complete_lines = text.rfind('\n').map_or("", |end| &text[..end]);
    complete_lines
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}
