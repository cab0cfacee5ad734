//! Operator calls that read.

use std::collections::BTreeMap;

use mgw_contract::operator::{
    AuditRecord, ConfigReply, EntryStatus, LedgerRecord, LimitStatus, LimitsReply,
    QuarantinedSubject, StatusReply, TargetStatus,
};
use mgw_peer::PeerError;
use mgw_world::Revision;

use crate::app::App;

/// Returns the newest accepted configuration, confirmed by a quorum.
pub async fn read_config(app: &App) -> Result<ConfigReply, PeerError> {
    app.replica.confirm_read().await?;
    let state = app.replica.state.read();
    let config = state.config();
    Ok(ConfigReply {
        revision: config.revision(),
        text: config.text().to_owned(),
    })
}

/// Returns the audit trail, confirmed by a quorum.
pub async fn read_audit(app: &App) -> Result<Vec<AuditRecord>, PeerError> {
    app.replica.confirm_read().await?;
    Ok(app.replica.state.read().audit().iter().cloned().collect())
}

/// Returns all records of the ledger, confirmed by a quorum.
pub async fn read_ledger(app: &App) -> Result<Vec<LedgerRecord>, PeerError> {
    app.replica.confirm_read().await?;
    Ok(app.replica.state.read().ledger().records().collect())
}

/// Returns the parts of prompts and the requests in quarantine, confirmed by a quorum.
pub async fn read_quarantine(app: &App) -> Result<Vec<QuarantinedSubject>, PeerError> {
    app.replica.confirm_read().await?;
    Ok(app
        .replica
        .state
        .read()
        .quarantine()
        .subjects()
        .cloned()
        .collect())
}

/// Returns the rate limits of targets that entries have reported to this control.
pub fn read_limits(app: &App) -> LimitsReply {
    let now = app.clock.now();
    let table = app.rate_limits.lock();
    let limits = table.list(now).into_iter().map(|limited| LimitStatus {
        target: limited.run.name,
        incarnation: limited.run.incarnation,
        requests_per_s: limited.rate.per_s(),
        age_ms: limited.age_ms,
        tokens_held: limited.held,
    });
    LimitsReply {
        node: app.settings.name.clone(),
        reporting_entries: table.reporting_entries(now),
        limits: limits.collect(),
    }
}

/// Returns the entries that are alive according to this control's view.
pub fn read_entries(app: &App) -> Vec<EntryStatus> {
    app.view.lock().describe_entries(app.clock.now())
}

/// Returns all targets in this control's view.
pub fn read_targets(app: &App) -> Vec<TargetStatus> {
    app.view.lock().describe_targets(app.clock.now())
}

/// Returns the state of the system as this control sees it, without a quorum's confirmation.
pub async fn read_status(app: &App) -> Result<StatusReply, PeerError> {
    let report = app.replica.describe().await.ok_or(PeerError::Ending)?;
    let entries = read_entries(app);
    let targets = read_targets(app);
    let has_quorum = report.leader.is_some();
    let (revision, ledger_unknown, quarantined): (Revision, u32, usize) = {
        let state = app.replica.state.read();
        let quarantined = state.quarantine().subjects().count();
        (
            state.revision(),
            state.ledger().unknown_count(),
            quarantined,
        )
    };
    let mut attention = Vec::new();
    if let Some(damage) = report.damage {
        attention.push(damage);
    }
    if report.is_disk_full {
        attention.push("the disk is full; this control acknowledges and votes nothing".to_owned());
    }
    if !has_quorum {
        attention.push("no leader is known; changes and claims wait for a quorum".to_owned());
    }
    if ledger_unknown > 0 {
        attention.push(format!(
            "{ledger_unknown} calls have an unknown outcome; see mgw ledger show"
        ));
    }
    if quarantined > 0 {
        attention.push(format!(
            "{quarantined} parts of prompts or requests are in quarantine; see mgw quarantine list"
        ));
    }
    for place in app.view.lock().places(app.clock.now()) {
        if place.is_cut_off {
            attention.push(format!("place {} is silent as a whole", place.place));
        }
    }
    Ok(StatusReply {
        node: app.settings.name.clone(),
        revision,
        leader: report.leader,
        has_quorum,
        replicas: report.replicas,
        entries: u32::try_from(entries.len()).unwrap_or(u32::MAX),
        targets: u32::try_from(targets.iter().filter(|target| target.in_choice).count())
            .unwrap_or(u32::MAX),
        models: BTreeMap::new(),
        ledger_unknown,
        attention,
    })
}
