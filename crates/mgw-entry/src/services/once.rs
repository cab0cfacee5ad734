//! Calls that run at most once: claimed before the first byte is sent, recorded before the caller
//! hears of the outcome.

use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use mgw_contract::caller::{Outcome, Reason};
use mgw_state::{
    Action, ClaimKey, ClaimReply, ClaimRequest, ClaimantId, Digest, OutcomeReport, RecordReply,
    RecordedResponse, Reply,
};
use mgw_world::{Clock, EntryName, KeyName, Millis};
use tracing::warn;

use super::call::{ServiceAnswer, ServiceCall, ServiceFailure, call_service};
use crate::app::App;
use crate::controls::ControlError;

/// Time within which a claim must be committed.
const CLAIM_LIMIT_MS: Millis = Millis(4_000);
/// Time from the start of a claim after which nothing is sent any more: less than the silence after
/// which the controls declare an entry lost, so that a thawed entry sends nothing for a lost claim.
const SEND_LIMIT_MS: Millis = Millis(8_000);
/// Time within which an outcome must be committed for the caller to hear it.
const RECORD_LIMIT_MS: Millis = Millis(4_000);
/// Time for which an outcome or release is tried after the caller was answered.
const LATE_LIMIT_MS: Millis = Millis(120_000);

/// How an at-most-once call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceEnd {
    /// The service answered, now or when the key was first used.
    Answered(ServiceAnswer),
    /// It ended without an answer that can be given.
    Ended {
        /// What became of the call.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// Text for people.
        message: &'static str,
        /// When to come back, if known better than by the reason.
        retry_after_ms: Option<Millis>,
    },
}

const fn end(outcome: Outcome, reason: Reason, message: &'static str) -> OnceEnd {
    OnceEnd::Ended {
        outcome,
        reason,
        message,
        retry_after_ms: None,
    }
}

/// Makes a call that runs at most once.
pub async fn call_once(app: Arc<App>, call: ServiceCall, key: KeyName) -> OnceEnd {
    let key = ClaimKey {
        workspace: call.workspace.clone(),
        service: call.service.clone(),
        key,
    };
    let claim = ClaimRequest {
        key: key.clone(),
        digest: digest_call(&call),
        request: call.id,
        claimant: claimant_of(&app),
    };
    let send_before = app.clock.now() + SEND_LIMIT_MS;
    let claimant = match claim_call(&app, claim).await {
        Ok(claimant) => claimant,
        Err(refused) => return refused,
    };
    let answered = call_service(&app, &app.once_client, &call, false, Some(send_before)).await;
    let report = |outcome, response| OutcomeReport {
        key: key.clone(),
        request: call.id,
        claimant: claimant.clone(),
        outcome,
        response,
    };
    match answered {
        Ok(answer) => {
            let rules = app.config.load().inventory.rules.ledger;
            let recorded = RecordedResponse::new(
                answer.status.as_u16(),
                &answer.content_type,
                &answer.body,
                &rules,
            );
            record(&app, report(Outcome::Done, Some(recorded)), answer).await
        }
        Err(ServiceFailure::NotSent) => {
            let release = Action::ReleaseClaim {
                key,
                request: call.id,
                claimant,
            };
            submit_late(app, release);
            end(
                Outcome::NotRun,
                Reason::NoPath,
                "no target of the service could be reached",
            )
        }
        Err(ServiceFailure::Unknown) => {
            submit_late(app, Action::RecordOutcome(report(Outcome::Unknown, None)));
            end(
                Outcome::Unknown,
                Reason::TargetFailed,
                "the service was reached but didn't answer",
            )
        }
    }
}

/// Digest of all that the service would see of a call.
fn digest_call(call: &ServiceCall) -> Digest {
    let mut bytes = Vec::with_capacity(call.body.len() + call.path.len() + 64);
    for part in [call.method.as_str(), &call.path, &call.content_type] {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    bytes.extend_from_slice(&call.body);
    Digest::of(&bytes)
}

fn claimant_of(app: &App) -> ClaimantId {
    ClaimantId {
        entry: EntryName::clone(&app.settings.name),
        incarnation: app.controls.claims_as(app.members.incarnation),
    }
}

/// Claims; an entry that was declared lost while it lives goes on under a new incarnation.
async fn claim_call(app: &Arc<App>, mut claim: ClaimRequest) -> Result<ClaimantId, OnceEnd> {
    let first = commit_claim(app, claim.clone()).await?;
    let reply = if first == ClaimReply::EntryLost {
        warn!(claimant = %claim.claimant, "declared lost; claiming under a new incarnation");
        app.controls
            .renew_incarnation(claim.claimant.incarnation, Clock::wall());
        claim.claimant = claimant_of(app);
        commit_claim(app, claim.clone()).await?
    } else {
        first
    };
    judge_claim(reply).map(|()| claim.claimant)
}

async fn commit_claim(app: &Arc<App>, claim: ClaimRequest) -> Result<ClaimReply, OnceEnd> {
    let (key, request, claimant) = (claim.key.clone(), claim.request, claim.claimant.clone());
    let reply = app
        .controls
        .submit(Action::Claim(claim), &app.clock, CLAIM_LIMIT_MS)
        .await;
    match reply {
        Ok(Reply::Claim(reply)) => Ok(reply),
        Ok(_) | Err(ControlError::NoQuorum) => Err(end(
            Outcome::NotRun,
            Reason::NoQuorum,
            "the ledger can't be reached",
        )),
        Err(ControlError::Unknown) => {
            // Nothing was sent to the service; the claim may stand and is given back.
            submit_late(
                Arc::clone(app),
                Action::ReleaseClaim {
                    key,
                    request,
                    claimant,
                },
            );
            Err(end(
                Outcome::NotRun,
                Reason::NoQuorum,
                "the ledger didn't answer in time",
            ))
        }
    }
}

/// What the ledger's word on a claim means for the request that made it.
fn judge_claim(reply: ClaimReply) -> Result<(), OnceEnd> {
    match reply {
        ClaimReply::Granted => Ok(()),
        ClaimReply::InProgress { .. } => Err(end(
            Outcome::Unknown,
            Reason::InProgress,
            "a call with this key is running",
        )),
        ClaimReply::Ended {
            outcome, response, ..
        } => Err(replay(outcome, response)),
        ClaimReply::Unknown { .. } => Err(end(
            Outcome::Unknown,
            Reason::TargetFailed,
            "a call with this key was cut off; an operator has to resolve it",
        )),
        ClaimReply::Conflict { .. } => Err(end(
            Outcome::NotRun,
            Reason::KeyConflict,
            "the key was used with another method, path or body",
        )),
        ClaimReply::Expired => Err(end(
            Outcome::NotRun,
            Reason::KeyExpired,
            "the key is past the ledger's window",
        )),
        ClaimReply::Full { retry_after_ms } => Err(OnceEnd::Ended {
            outcome: Outcome::NotRun,
            reason: Reason::Overloaded,
            message: "the ledger is full",
            retry_after_ms,
        }),
        ClaimReply::EntryLost => Err(end(
            Outcome::NotRun,
            Reason::Leaving,
            "this entry was declared lost; use another",
        )),
    }
}

/// The recorded end of an earlier call with the same key.
fn replay(outcome: Outcome, response: Option<RecordedResponse>) -> OnceEnd {
    match (outcome, response) {
        (
            Outcome::Done,
            Some(RecordedResponse {
                status,
                content_type,
                body: Some(body),
                ..
            }),
        ) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            OnceEnd::Answered(ServiceAnswer {
                status,
                content_type,
                body: Bytes::from(body),
            })
        }
        (Outcome::Done, _) => end(
            Outcome::Done,
            Reason::Complete,
            "the call ran; its answer was too large to be recorded",
        ),
        (Outcome::NotRun, _) => end(
            Outcome::NotRun,
            Reason::TargetFailed,
            "the call did not run; use a new key",
        ),
        (Outcome::Unknown, _) => end(
            Outcome::Unknown,
            Reason::TargetFailed,
            "the outcome of the call is unknown",
        ),
    }
}

/// Commits the outcome, then gives the answer.
async fn record(app: &Arc<App>, report: OutcomeReport, answer: ServiceAnswer) -> OnceEnd {
    let action = Action::RecordOutcome(report);
    let reply = app
        .controls
        .submit(action.clone(), &app.clock, RECORD_LIMIT_MS)
        .await;
    match reply {
        Ok(Reply::Record(
            RecordReply::Recorded
            | RecordReply::AlreadyEnded {
                outcome: Outcome::Done,
            },
        )) => OnceEnd::Answered(answer),
        Ok(Reply::Record(RecordReply::AlreadyEnded { .. })) => end(
            Outcome::Unknown,
            Reason::TargetFailed,
            "an operator ended this call otherwise before its answer came",
        ),
        Ok(other) => {
            warn!(?other, "the outcome wasn't recorded");
            end(
                Outcome::Unknown,
                Reason::NoQuorum,
                "the outcome wasn't recorded",
            )
        }
        Err(error) => {
            warn!(%error, "the outcome isn't recorded yet");
            submit_late(Arc::clone(app), action);
            end(
                Outcome::Unknown,
                Reason::NoQuorum,
                "the outcome isn't recorded yet; ask again with the same key",
            )
        }
    }
}

/// Goes on trying to commit after the caller was answered.
fn submit_late(app: Arc<App>, action: Action) {
    let tracker = app.runs.clone();
    tracker.spawn(async move {
        let submitting = app.controls.submit(action, &app.clock, LATE_LIMIT_MS);
        if let Some(Err(error)) = Box::pin(app.shutdown.unless_forced(submitting)).await {
            warn!(%error, "couldn't tell the ledger of a call's end");
        }
    });
}
