//! Operator calls that change something. Each is authenticated against the newest configuration and
//! committed through the log.

use mgw_contract::operator::{ApplyReply, ApplyRequest, DrainRequest, LiftRequest, ResolveRequest};
use mgw_peer::PeerError;
use mgw_state::{Action, ConfigChange, Refusal, Reply, ResolveReply};
use mgw_world::Revision;

use super::auth::Credentials;
use crate::app::App;

/// Why a change wasn't committed.
#[derive(Debug, displaydoc::Display, derive_more::Error)]
pub enum WriteError {
    /// name or key of the operator is wrong
    NotAllowed,
    /// {message}
    Refused {
        /// Reason of the refusal.
        message: String,
    },
    /// {0}
    Peer(PeerError),
}

impl From<PeerError> for WriteError {
    fn from(error: PeerError) -> Self {
        Self::Peer(error)
    }
}

/// Commits a change of the configuration.
pub async fn apply_config(
    app: &App,
    credentials: &Credentials,
    request: ApplyRequest,
) -> Result<ApplyReply, WriteError> {
    let change = ConfigChange::check(
        credentials.operator.clone(),
        request.change_id,
        request.base,
        request.text,
        "configuration",
    );
    // The operators of the newest accepted revision count, which this control may not have applied
    // before the confirmed read.
    app.replica.confirm_read().await?;
    let is_allowed = {
        let state = app.replica.state.read();
        match (&change.checked, state.revision() == Revision(0)) {
            // No configuration is accepted yet: the first one names its own operators.
            (Ok(inventory), true) => credentials.are_accepted_by(inventory),
            (Err(_), true) => true,
            (_, false) => credentials.are_accepted_by(state.inventory()),
        }
    };
    if !is_allowed {
        record_refusal(
            app,
            credentials,
            "apply",
            &change.change_id,
            Some(change.base),
        )
        .await?;
    }
    let action = app.replica.state.read().plan_change(change);
    match app.replica.submit(action).await? {
        Reply::Config(reply) => Ok(reply),
        other => Err(unexpected_reply(&other)),
    }
}

/// Commits the drain of an entry or a target.
pub async fn drain(
    app: &App,
    credentials: &Credentials,
    subject: DrainRequest,
) -> Result<(), WriteError> {
    authenticate(app, credentials, "drain", subject.name()).await?;
    let operator = credentials.operator.clone();
    submit_drain(app, Action::Drain { operator, subject }).await
}

/// Commits the end of a drain.
pub async fn undrain(
    app: &App,
    credentials: &Credentials,
    subject: DrainRequest,
) -> Result<(), WriteError> {
    authenticate(app, credentials, "undrain", subject.name()).await?;
    let operator = credentials.operator.clone();
    submit_drain(app, Action::Undrain { operator, subject }).await
}

async fn submit_drain(app: &App, action: Action) -> Result<(), WriteError> {
    match app.replica.submit(action).await? {
        Reply::Drain { .. } => Ok(()),
        other => Err(unexpected_reply(&other)),
    }
}

/// Commits that a part of prompts, or a request, leaves the quarantine.
pub async fn lift_quarantine(
    app: &App,
    credentials: &Credentials,
    request: LiftRequest,
) -> Result<(), WriteError> {
    let subject = request.subject;
    authenticate(app, credentials, "lift quarantine", &subject.to_string()).await?;
    let operator = credentials.operator.clone();
    match app
        .replica
        .submit(Action::Lift { operator, subject })
        .await?
    {
        Reply::Quarantine { changed: true } => Ok(()),
        Reply::Quarantine { changed: false } => Err(WriteError::Refused {
            message: format!("{subject} isn't in quarantine"),
        }),
        other => Err(unexpected_reply(&other)),
    }
}

/// Commits an operator's decision on a claim whose outcome is unknown.
pub async fn resolve(
    app: &App,
    credentials: &Credentials,
    request: ResolveRequest,
) -> Result<(), WriteError> {
    authenticate(app, credentials, "resolve", request.key.as_str()).await?;
    let operator = credentials.operator.clone();
    match app
        .replica
        .submit(Action::Resolve { operator, request })
        .await?
    {
        Reply::Resolve(ResolveReply::Resolved { .. }) => Ok(()),
        Reply::Resolve(ResolveReply::InProgress) => Err(WriteError::Refused {
            message: "an entry still holds the claim".to_owned(),
        }),
        Reply::Resolve(ResolveReply::AlreadyEnded { outcome }) => Err(WriteError::Refused {
            message: format!("the call has ended already: {outcome}"),
        }),
        Reply::Resolve(ResolveReply::NoClaim) => Err(WriteError::Refused {
            message: "there is no such claim".to_owned(),
        }),
        other => Err(unexpected_reply(&other)),
    }
}

/// Checks the operator's name and key; records a refusal in the audit trail.
async fn authenticate(
    app: &App,
    credentials: &Credentials,
    action: &str,
    subject: &str,
) -> Result<(), WriteError> {
    app.replica.confirm_read().await?;
    let is_allowed = credentials.are_accepted_by(app.replica.state.read().inventory());
    if is_allowed {
        Ok(())
    } else {
        record_refusal(app, credentials, action, subject, None).await
    }
}

/// Records a refused call in the audit trail and returns `NotAllowed`.
async fn record_refusal(
    app: &App,
    credentials: &Credentials,
    action: &str,
    subject: &str,
    base: Option<Revision>,
) -> Result<(), WriteError> {
    let refusal = Refusal {
        operator: credentials.operator.clone(),
        action: action.to_owned(),
        subject: subject.to_owned(),
        base,
        reason: "name or key is wrong".to_owned(),
    };
    app.replica.submit(Action::NoteRefusal(refusal)).await?;
    Err(WriteError::NotAllowed)
}

fn unexpected_reply(reply: &Reply) -> WriteError {
    WriteError::Refused {
        message: format!("unexpected reply: {reply:?}"),
    }
}
