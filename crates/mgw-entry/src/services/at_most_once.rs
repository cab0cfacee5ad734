//! Calls that run at most once. A call is claimed in the ledger before its first byte is sent, and
//! its outcome is recorded there before the caller gets an answer.

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

/// Time limit for committing a claim.
const CLAIM_LIMIT_MS: Millis = Millis(4_000);
/// Time after the start of a claim from which nothing is sent any more. It is shorter than the
/// silence after which the controls declare an entry lost, so that an entry that was suspended and
/// resumes sends nothing for a claim that was declared lost.
const SEND_LIMIT_MS: Millis = Millis(8_000);
/// Time limit for committing an outcome while the caller waits for it.
const RECORD_LIMIT_MS: Millis = Millis(4_000);
/// Time limit for committing an outcome or a release after the caller was answered.
const BACKGROUND_LIMIT_MS: Millis = Millis(120_000);

/// Result of a call that runs at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AtMostOnceResult {
    /// The service answered this call, or an earlier one with the same key.
    Answered(ServiceAnswer),
    /// The call ended without an answer of the service that can be returned.
    Ended {
        /// Outcome of the call.
        outcome: Outcome,
        /// Reason for the outcome.
        reason: Reason,
        /// Message for a human reader.
        message: &'static str,
        /// After which time the caller may retry; if `None`, the default for the reason applies.
        retry_after_ms: Option<Millis>,
    },
}

const fn ended(outcome: Outcome, reason: Reason, message: &'static str) -> AtMostOnceResult {
    AtMostOnceResult::Ended {
        outcome,
        reason,
        message,
        retry_after_ms: None,
    }
}

/// Makes a call that runs at most once.
pub async fn call_at_most_once(app: Arc<App>, call: ServiceCall, key: KeyName) -> AtMostOnceResult {
    let key = ClaimKey {
        workspace: call.workspace.clone(),
        service: call.service.clone(),
        key,
    };
    let claim = ClaimRequest {
        key: key.clone(),
        digest: digest_call(&call),
        request: call.id,
        claimant: own_claimant(&app),
    };
    let send_before = app.clock.now() + SEND_LIMIT_MS;
    let claimant = match claim_call(&app, claim).await {
        Ok(claimant) => claimant,
        Err(refused) => return refused,
    };
    let result = call_service(
        &app,
        &app.at_most_once_client,
        &call,
        false,
        Some(send_before),
    )
    .await;
    let report = |outcome, response| OutcomeReport {
        key: key.clone(),
        request: call.id,
        claimant: claimant.clone(),
        outcome,
        response,
    };
    match result {
        Ok(answer) => {
            let rules = app.config.load().inventory.rules.ledger;
            let recorded = RecordedResponse::new(
                answer.status.as_u16(),
                &answer.content_type,
                &answer.body,
                &rules,
            );
            record_outcome(&app, report(Outcome::Done, Some(recorded)), answer).await
        }
        Err(ServiceFailure::NotSent) => {
            let release = Action::ReleaseClaim {
                key,
                request: call.id,
                claimant,
            };
            submit_in_background(app, release);
            ended(
                Outcome::NotRun,
                Reason::NoPath,
                "no target of the service could be reached",
            )
        }
        Err(ServiceFailure::Unknown) => {
            submit_in_background(app, Action::RecordOutcome(report(Outcome::Unknown, None)));
            ended(
                Outcome::Unknown,
                Reason::TargetFailed,
                "the service was reached but didn't answer",
            )
        }
    }
}

/// Digest of everything in a call that the service receives.
fn digest_call(call: &ServiceCall) -> Digest {
    let mut bytes = Vec::with_capacity(call.body.len() + call.path.len() + 64);
    for part in [call.method.as_str(), &call.path, &call.content_type] {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    bytes.extend_from_slice(&call.body);
    Digest::of(&bytes)
}

/// Identifies this entry, with the incarnation under which it claims.
fn own_claimant(app: &App) -> ClaimantId {
    ClaimantId {
        entry: EntryName::clone(&app.settings.name),
        incarnation: app.controls.claim_incarnation(app.members.incarnation),
    }
}

/// Claims a call. An entry that was declared lost while it is alive claims again under a new
/// incarnation.
async fn claim_call(
    app: &Arc<App>,
    mut claim: ClaimRequest,
) -> Result<ClaimantId, AtMostOnceResult> {
    let first = commit_claim(app, claim.clone()).await?;
    let reply = if first == ClaimReply::EntryLost {
        warn!(claimant = %claim.claimant, "declared lost; claiming again under a new incarnation");
        app.controls
            .renew_incarnation(claim.claimant.incarnation, Clock::wall());
        claim.claimant = own_claimant(app);
        commit_claim(app, claim.clone()).await?
    } else {
        first
    };
    check_claim_reply(reply).map(|()| claim.claimant)
}

/// Commits a claim and returns the ledger's reply.
async fn commit_claim(app: &Arc<App>, claim: ClaimRequest) -> Result<ClaimReply, AtMostOnceResult> {
    let (key, request, claimant) = (claim.key.clone(), claim.request, claim.claimant.clone());
    let reply = app
        .controls
        .submit(Action::Claim(claim), &app.clock, CLAIM_LIMIT_MS)
        .await;
    match reply {
        Ok(Reply::Claim(reply)) => Ok(reply),
        Ok(_) | Err(ControlError::NoQuorum) => Err(ended(
            Outcome::NotRun,
            Reason::NoQuorum,
            "the ledger can't be reached; the call did not run",
        )),
        Err(ControlError::Unknown) => {
            // Nothing was sent to the service. The claim may have been committed, so it is
            // released.
            submit_in_background(
                Arc::clone(app),
                Action::ReleaseClaim {
                    key,
                    request,
                    claimant,
                },
            );
            Err(ended(
                Outcome::NotRun,
                Reason::NoQuorum,
                "the ledger didn't answer in time; the call did not run",
            ))
        }
    }
}

/// Returns `Ok` when the ledger granted the claim, else the result for the caller.
fn check_claim_reply(reply: ClaimReply) -> Result<(), AtMostOnceResult> {
    match reply {
        ClaimReply::Granted => Ok(()),
        ClaimReply::InProgress { .. } => Err(ended(
            Outcome::Unknown,
            Reason::InProgress,
            "a call with this key is running",
        )),
        ClaimReply::Ended {
            outcome, response, ..
        } => Err(replay(outcome, response)),
        ClaimReply::Unknown { .. } => Err(ended(
            Outcome::Unknown,
            Reason::TargetFailed,
            "the outcome of an earlier call with this key is unknown; an operator must resolve it",
        )),
        ClaimReply::Conflict { .. } => Err(ended(
            Outcome::NotRun,
            Reason::KeyConflict,
            "the key was used with another method, path or body",
        )),
        ClaimReply::Expired => Err(ended(
            Outcome::NotRun,
            Reason::KeyExpired,
            "the key is older than the ledger's window",
        )),
        ClaimReply::Full { retry_after_ms } => Err(AtMostOnceResult::Ended {
            outcome: Outcome::NotRun,
            reason: Reason::Overloaded,
            message: "the ledger is full",
            retry_after_ms,
        }),
        ClaimReply::EntryLost => Err(ended(
            Outcome::NotRun,
            Reason::Leaving,
            "this entry was declared lost; use another one",
        )),
    }
}

/// The recorded result of an earlier call with the same key.
fn replay(outcome: Outcome, response: Option<RecordedResponse>) -> AtMostOnceResult {
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
            AtMostOnceResult::Answered(ServiceAnswer {
                status,
                content_type,
                body: Bytes::from(body),
            })
        }
        (Outcome::Done, _) => ended(
            Outcome::Done,
            Reason::Complete,
            "the call ran, but its answer was too large to be recorded",
        ),
        (Outcome::NotRun, _) => ended(
            Outcome::NotRun,
            Reason::TargetFailed,
            "the call did not run; use a new key",
        ),
        (Outcome::Unknown, _) => ended(
            Outcome::Unknown,
            Reason::TargetFailed,
            "the outcome of the call is unknown",
        ),
    }
}

/// Commits the outcome, then returns the answer.
async fn record_outcome(
    app: &Arc<App>,
    report: OutcomeReport,
    answer: ServiceAnswer,
) -> AtMostOnceResult {
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
        )) => AtMostOnceResult::Answered(answer),
        Ok(Reply::Record(RecordReply::AlreadyEnded { .. })) => ended(
            Outcome::Unknown,
            Reason::TargetFailed,
            "an operator recorded another outcome of this call before its answer came",
        ),
        Ok(other) => {
            warn!(
                ?other,
                "the ledger did not record the outcome of a call; unexpected reply"
            );
            ended(
                Outcome::Unknown,
                Reason::NoQuorum,
                "the outcome of the call wasn't recorded",
            )
        }
        Err(error) => {
            warn!(%error, "the outcome of a call is not recorded yet; retrying in background");
            submit_in_background(Arc::clone(app), action);
            ended(
                Outcome::Unknown,
                Reason::NoQuorum,
                "the outcome of the call isn't recorded yet; ask again with the same key",
            )
        }
    }
}

/// Commits an action in a background task, also after the caller was answered.
fn submit_in_background(app: Arc<App>, action: Action) {
    let tracker = app.tasks.clone();
    tracker.spawn(async move {
        let submitting = app.controls.submit(action, &app.clock, BACKGROUND_LIMIT_MS);
        if let Some(Err(error)) = Box::pin(app.shutdown.unless_forced(submitting)).await {
            warn!(%error, "no reply to recording the end of a call; its claim may stay open");
        }
    });
}
