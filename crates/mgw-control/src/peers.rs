//! RPC server for the calls of other processes.

use std::sync::Arc;

use mgw_contract::operator::DrainRequest;
use mgw_member::{Exchange, ExchangeReply};
use mgw_peer::{
    ConfigRequest, ConfigResponse, EntryReport, FoundingState, JoinRequest, OthersReport,
    PeerError, PeerRpc, RoutingPartRequest, RoutingPartResponse, RoutingRequest, WatchRequest,
    WatchResponse,
};
use mgw_quorum::{Envelope, MemberChange, ReplicaId, Role};
use mgw_route::{EvidenceReport, QuarantineUpdate};
use mgw_routing::PackedRouting;
use mgw_state::{Command, ConfigUpdate, Reply};
use mgw_world::{Millis, NodeName};
use tarpc::context::Context;
use tokio::time::{sleep, timeout};

use crate::admission::log_level_step;
use crate::app::App;
use crate::group::handle_leave;
use crate::quarantine::{copy_evidence, exchange_evidence};
use crate::rate_limits::exchange_limits;

/// Longest time between two checks for target leases that have expired.
const LEASE_CHECK_INTERVAL_MS: Millis = Millis(250);

/// Serves the calls of other processes. Until the control has started, only `founding` responds.
#[derive(Clone)]
pub struct PeerServer {
    /// State of the control; set once it has started.
    pub app: Arc<tokio::sync::OnceCell<Arc<App>>>,
    /// Response to `founding` until the control has started: what the data folder held.
    pub founding: FoundingState,
}

impl PeerServer {
    fn app(&self) -> Result<&Arc<App>, PeerError> {
        let starting = || PeerError::Refused {
            message: "the control is starting".to_owned(),
        };
        self.app.get().ok_or_else(starting)
    }
}

impl PeerRpc for PeerServer {
    async fn exchange(self, _: Context, exchange: Exchange) -> ExchangeReply {
        match self.app() {
            Ok(app) => app.view.lock().handle_exchange(&exchange, app.clock.now()),
            Err(_) => ExchangeReply {
                from: exchange.from,
                buckets: Vec::new(),
                deltas: Vec::new(),
            },
        }
    }

    async fn deliver(self, _: Context, messages: Vec<Envelope>) -> Result<(), PeerError> {
        self.app()?.replica.deliver(messages);
        Ok(())
    }

    async fn submit(self, _: Context, command: Command) -> Result<Reply, PeerError> {
        self.app()?.replica.submit(command.action).await
    }

    async fn config(self, _: Context, request: ConfigRequest) -> Result<ConfigResponse, PeerError> {
        handle_config(self.app()?, request).await
    }

    async fn founding(self, _: Context) -> Result<FoundingState, PeerError> {
        let Ok(app) = self.app() else {
            return Ok(self.founding);
        };
        let report = app.replica.describe().await.ok_or(PeerError::Ending)?;
        let is_empty = report.membership.voters.is_empty() && report.damage.is_none();
        Ok(FoundingState {
            replica: report.id,
            is_empty,
        })
    }

    async fn join(self, _: Context, request: JoinRequest) -> Result<(), PeerError> {
        let app = self.app()?;
        check_may_join(app, &request)?;
        app.replica.confirm_read().await?;
        let report = app.replica.describe().await.ok_or(PeerError::Ending)?;
        if report.membership.is_member(&request.replica) {
            return Ok(());
        }
        app.replica
            .change(MemberChange::AddLearner(request.replica))
            .await
    }

    async fn leave(self, _: Context, replica: ReplicaId) -> Result<(), PeerError> {
        handle_leave(self.app()?, replica).await
    }

    async fn watch(self, _: Context, request: WatchRequest) -> Result<WatchResponse, PeerError> {
        Ok(handle_watch(self.app()?, &request).await)
    }

    async fn share_use(
        self,
        _: Context,
        entry: NodeName,
        report: EntryReport,
    ) -> Result<OthersReport, PeerError> {
        let app = self.app()?;
        let now = app.clock.now();
        let quarantine = exchange_evidence(app, entry.as_str(), &report.evidence);
        let mut entry_loads = app.entry_loads.lock();
        let load = entry_loads.exchange(entry.as_str(), report.load, now);
        let steps = entry_loads.take_level_steps();
        drop(entry_loads);
        steps.iter().for_each(log_level_step);
        let reporting = load.entries + 1;
        let limits = exchange_limits(app, entry.as_str(), &report.limits, reporting);
        Ok(OthersReport {
            load,
            quarantine,
            limits,
        })
    }

    async fn exchange_evidence(
        self,
        _: Context,
        entry: NodeName,
        report: EvidenceReport,
    ) -> Result<QuarantineUpdate, PeerError> {
        Ok(exchange_evidence(self.app()?, entry.as_str(), &report))
    }

    async fn copy_evidence(
        self,
        _: Context,
        entry: NodeName,
        report: EvidenceReport,
    ) -> Result<(), PeerError> {
        copy_evidence(self.app()?, entry.as_str(), &report);
        Ok(())
    }

    async fn routing(
        self,
        _: Context,
        request: RoutingRequest,
    ) -> Result<Option<PackedRouting>, PeerError> {
        let app = self.app()?;
        app.replica.confirm_read().await?;
        let state = app.replica.state.read();
        let document = state.routing();
        Ok((document.version != request.have).then(|| document.clone()))
    }

    async fn routing_part(
        self,
        _: Context,
        request: RoutingPartRequest,
    ) -> Result<RoutingPartResponse, PeerError> {
        let app = self.app()?;
        let newest = app.replica.state.read().routing().clone();
        let is_needed = newest.version > request.have;
        let part = is_needed.then(|| app.transferable.lock().part(request.position, &newest));
        Ok(RoutingPartResponse {
            held: newest.version,
            part,
        })
    }
}

/// Keeps the newest routing document for those that are told of it.
fn keep_transferable(app: &App) {
    let state = app.replica.state.read();
    app.transferable.lock().keep(state.routing());
}

/// Responds as soon as there are changes that the caller doesn't have, at the latest after its
/// `wait_ms`.
async fn handle_watch(app: &App, request: &WatchRequest) -> WatchResponse {
    let deadline = app.clock.now() + request.wait_ms;
    let mut routing = app.replica.config_version.clone();
    loop {
        let view_changed = app.view_changed.notified();
        routing.mark_unchanged();
        let now = app.clock.now();
        let version = app.replica.state.read().routing().version;
        if version > request.routing {
            keep_transferable(app);
        }
        let has_changes = app.view.lock().has_changes_for(&request.exchange);
        if has_changes || version > request.routing || now >= deadline {
            return WatchResponse {
                reply: app.view.lock().handle_watch(&request.exchange, now),
                routing: version,
                controls: app.other_controls.lock().clone(),
            };
        }
        // No notification is sent when a lease expires.
        let pause = (deadline - now).min(LEASE_CHECK_INTERVAL_MS);
        tokio::select! {
            () = view_changed => {}
            _ = routing.changed() => {}
            () = sleep(pause.to_duration()) => {}
        }
    }
}

/// Checks that the control may join: it is in the settings under this name and address, or the
/// group is open and its name is its address.
fn check_may_join(app: &App, request: &JoinRequest) -> Result<(), PeerError> {
    let ReplicaId { name, .. } = &request.replica;
    let is_open = app.settings.open_group && *name == request.address.to_string();
    if is_open || app.settings.address_of(name) == Some(request.address) {
        return Ok(());
    }
    let message = format!(
        "the settings of {} list no control {name} with this address",
        app.settings.name
    );
    Err(PeerError::Refused { message })
}

/// Responds at once when the caller's configuration or drains are outdated, else when they become
/// so or its `wait_ms` is over. The response is confirmed by a quorum.
async fn handle_config(app: &App, request: ConfigRequest) -> Result<ConfigResponse, PeerError> {
    let report = app.replica.describe().await.ok_or(PeerError::Ending)?;
    if report.role != Role::Leader {
        return Err(PeerError::NotLeader {
            leader: report.leader,
        });
    }
    let waiting = wait_for_config(app, &request);
    let _ = timeout(request.wait_ms.to_duration(), waiting).await;
    app.replica.confirm_read().await?;
    let (update, drains) = read_config(app, &request);
    Ok(ConfigResponse { update, drains })
}

/// Waits until the configuration or the drains differ from what the caller has.
async fn wait_for_config(app: &App, request: &ConfigRequest) {
    let mut version = app.replica.config_version.clone();
    loop {
        version.mark_unchanged();
        let (update, drains) = read_config(app, request);
        let is_changed = update.is_some() || drains != request.drains;
        if is_changed || version.changed().await.is_err() {
            return;
        }
    }
}

fn read_config(app: &App, request: &ConfigRequest) -> (Option<ConfigUpdate>, Vec<DrainRequest>) {
    let state = app.replica.state.read();
    let entries = state
        .drained_entries()
        .iter()
        .cloned()
        .map(DrainRequest::Entry);
    let targets = state
        .drained_targets()
        .iter()
        .cloned()
        .map(DrainRequest::Target);
    let drains = entries.chain(targets).collect();
    let config = state.config();
    let is_current = config.revision() == request.have
        && request
            .digest
            .is_none_or(|digest| digest == config.digest());
    let update = if is_current {
        None
    } else if request.have >= config.revision() {
        // The caller has a revision that this group never accepted. It refuses older revisions.
        Some(config.full_update())
    } else {
        Some(config.update_since(request.have))
    };
    (update, drains)
}
