//! Answers to the calls of other processes.

use std::sync::Arc;

use mgw_contract::operator::DrainRequest;
use mgw_member::{Exchange, ExchangeReply};
use mgw_peer::{
    ConfigRequest, ConfigResponse, FoundingState, JoinRequest, PeerError, PeerRpc, RoutingRequest,
    WatchRequest, WatchResponse,
};
use mgw_quorum::{Envelope, ReplicaId, Role};
use mgw_route::{EntryLoad, OtherEntriesLoad};
use mgw_routing::RoutingDocument;
use mgw_state::{Command, ConfigUpdate, Reply};
use mgw_world::{Millis, NodeName};
use tarpc::context::Context;
use tokio::time::{sleep, timeout};

use crate::app::App;
use crate::replica::MemberChange;

/// Longest time between two looks for leases that ran out.
const LAPSE_LOOK_MS: Millis = Millis(250);

/// Serves the calls of other processes; until the control has started, only founding is answered.
#[derive(Clone)]
pub struct PeerServer {
    /// Set once the control has started.
    pub app: Arc<tokio::sync::OnceCell<Arc<App>>>,
    /// What the data folder held at the start.
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

    async fn config(
        self,
        _: Context,
        question: ConfigRequest,
    ) -> Result<ConfigResponse, PeerError> {
        answer_config(self.app()?, question).await
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
        check_known(app, &request)?;
        app.replica.confirm_read().await?;
        let report = app.replica.describe().await.ok_or(PeerError::Ending)?;
        if report.membership.is_member(&request.replica) {
            return Ok(());
        }
        app.replica
            .change(MemberChange::AddLearner(request.replica))
            .await
    }

    async fn watch(self, _: Context, question: WatchRequest) -> Result<WatchResponse, PeerError> {
        Ok(answer_watch(self.app()?, &question).await)
    }

    async fn share_use(
        self,
        _: Context,
        entry: NodeName,
        word: EntryLoad,
    ) -> Result<OtherEntriesLoad, PeerError> {
        let app = self.app()?;
        let now = app.clock.now();
        Ok(app.uses.lock().exchange(entry.as_str(), word, now))
    }

    async fn routing(
        self,
        _: Context,
        question: RoutingRequest,
    ) -> Result<Option<RoutingDocument>, PeerError> {
        let app = self.app()?;
        if question.confirmed {
            app.replica.confirm_read().await?;
        }
        let state = app.replica.state.read();
        let held = state.routing();
        Ok((held.version != question.have).then(|| held.clone()))
    }
}

/// Answers as soon as there are news for the asker, or when it has waited long enough.
async fn answer_watch(app: &App, question: &WatchRequest) -> WatchResponse {
    let ends_at = app.clock.now() + question.wait_ms;
    let mut routing = app.replica.config_version.clone();
    loop {
        let told = app.news.notified();
        routing.mark_unchanged();
        let now = app.clock.now();
        let version = app.replica.state.read().routing().version;
        let has_news = app.view.lock().has_changes_for(&question.exchange);
        if has_news || version > question.routing || now >= ends_at {
            return WatchResponse {
                reply: app.view.lock().handle_watch(&question.exchange, now),
                routing: version,
                controls: app.controls.lock().clone(),
            };
        }
        // Leases that run out are news that nobody is notified of.
        let pause = (ends_at - now).min(LAPSE_LOOK_MS);
        tokio::select! {
            () = told => {}
            _ = routing.changed() => {}
            () = sleep(pause.to_duration()) => {}
        }
    }
}

/// Only controls that the settings name are taken in, at the address named there.
fn check_known(app: &App, request: &JoinRequest) -> Result<(), PeerError> {
    let ReplicaId { name, .. } = &request.replica;
    let is_open = app.settings.open_group && *name == request.address.to_string();
    if is_open || app.settings.address_of(name) == Some(request.address) {
        return Ok(());
    }
    let message = format!(
        "the settings of {} name no control {name} there",
        app.settings.name
    );
    Err(PeerError::Refused { message })
}

/// Answers at once when there is a newer revision, else when one comes or the time is over. The
/// answer is confirmed by a quorum.
async fn answer_config(app: &App, question: ConfigRequest) -> Result<ConfigResponse, PeerError> {
    let report = app.replica.describe().await.ok_or(PeerError::Ending)?;
    if report.role != Role::Leader {
        return Err(PeerError::NotLeader {
            leader: report.leader,
        });
    }
    let waiting = wait_for_config(app, &question);
    let _ = timeout(question.wait_ms.to_duration(), waiting).await;
    app.replica.confirm_read().await?;
    let (update, drains) = read_config(app, &question);
    Ok(ConfigResponse { update, drains })
}

/// Waits until the revision or the drains differ from what the asker has.
async fn wait_for_config(app: &App, question: &ConfigRequest) {
    let mut version = app.replica.config_version.clone();
    loop {
        version.mark_unchanged();
        let (update, drains) = read_config(app, question);
        let is_news = update.is_some() || drains != question.drains;
        if is_news || version.changed().await.is_err() {
            return;
        }
    }
}

fn read_config(app: &App, question: &ConfigRequest) -> (Option<ConfigUpdate>, Vec<DrainRequest>) {
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
    let is_current = config.revision() == question.have
        && question
            .digest
            .is_none_or(|digest| digest == config.digest());
    let update = if is_current {
        None
    } else if question.have >= config.revision() {
        // Of a revision that this group never accepted; the asker refuses what is older.
        Some(config.full_update())
    } else {
        Some(config.update_since(question.have))
    };
    (update, drains)
}
