//! State shared by all request handlers and background tasks of a relay.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use mgw_member::{NodePhase, NodeRole, View};
use mgw_peer::PeerPool;
use mgw_route::{
    BrokenSend, ChainRouter, ChainTarget, EntryQuarantine, EntryRateLimits, Exclusions,
    ReturnTimes, TargetRun, UnresolvedSends,
};
use mgw_routing::RouteTable;
use mgw_serve::Shutdown;
use mgw_world::{Clock, Millis, RoutingVersion, ServiceName, Target};
use parking_lot::{Mutex, RwLock};
use tokio::sync::Notify;
use tokio::time::timeout;
use tracing::info;

use crate::admission::StreamAdmission;
use crate::balance::OtherEntriesRequests;
use crate::dialect::RelayAdapter;
use crate::follow::RoutingUpdates;
use crate::held_answers::HeldAnswers;
use crate::links::Links;
use crate::metrics::Metrics;
use crate::retries::ServiceRetries;
use crate::settings::RelaySettings;
use crate::stream::PauseLimits;
use crate::targets::{ConnectionPool, Dial, PlainBalancer, UsableTargets};
use crate::wait_limits::WaitLimits;
use crate::waiters::CapacityWaiters;

/// A change of the number of entries is logged if it is larger than this part of it.
const LOGGED_CHANGE: u32 = 10;

/// State shared by all request handlers and background tasks of a relay. [`crate::Relay`] is the
/// handle of a running relay and starts these tasks.
pub struct App {
    /// Settings of the relay.
    pub settings: RelaySettings,
    /// The adapter's functions.
    pub adapter: RelayAdapter,
    /// Source of all times of the relay.
    pub clock: Clock,
    /// Requests to end the process or to reload its settings.
    pub shutdown: Shutdown,
    /// State of nodes and targets as far as this process knows.
    pub view: Arc<Mutex<View>>,
    /// Connections to the system's other processes.
    pub peers: Arc<PeerPool>,
    /// Connections to targets.
    pub connection_pool: ConnectionPool,
    /// Whether the entry's own links to targets work.
    pub links: Links,
    /// Answers that are being read whole.
    pub held_answers: HeldAnswers,
    /// Limits on the time that requests wait before they are sent.
    pub wait_limits: WaitLimits,
    /// Requests that wait until a stream releases its chain.
    pub waiters: Arc<CapacityWaiters>,
    /// Notified when a routing document has come into force.
    pub routing_set: Notify,
    /// Versions of the routing document that controls have.
    pub routing_updates: RoutingUpdates,
    /// Limits on pauses of streams.
    pub pause_limits: PauseLimits,
    /// Notified when the state of targets in the view has changed.
    pub targets_changed: Arc<Notify>,
    /// Metrics of the relay.
    pub metrics: Metrics,
    /// Targets that asked for no requests.
    pub exclusions: Mutex<Exclusions>,
    /// Rate limits of targets.
    pub rate_limits: Mutex<EntryRateLimits>,
    /// When callers return whose requests were refused for rate limits, by service.
    pub return_times: Mutex<HashMap<ServiceName, ReturnTimes>>,
    /// Targets whose rate limit can't be read, so that this is logged once.
    pub unreadable_limits: Mutex<HashSet<TargetRun>>,
    /// Requests that are kept from targets, by their digest or a part of their prompt.
    pub quarantine: Mutex<EntryQuarantine>,
    /// Whether targets have ended under requests since the last report to controls.
    pub has_new_ends: AtomicBool,
    /// Sends whose target went silent.
    pub unresolved_sends: Mutex<UnresolvedSends>,
    /// Notified when a target has ended under a request, has changed its rate limit or has refused
    /// a request for lack of room, so that a control is told at once.
    pub report_due: Notify,
    /// Targets that are being probed, with the sends that wait for the outcome.
    pub probes: Mutex<HashMap<TargetRun, Vec<BrokenSend>>>,
    /// Admission of new streams by urgency.
    pub admission: Mutex<StreamAdmission>,
    /// Retry budgets of the services.
    pub retries: Mutex<ServiceRetries>,
    routing: RwLock<Arc<RouteTable>>,
    usable_targets: Mutex<UsableTargets>,
    pub(super) chains: Mutex<HashMap<ServiceName, ChainRouter>>,
    plain_balancer: Mutex<PlainBalancer>,
    entry_count: Mutex<u32>,
    /// Whether a control has told how many entries there are.
    pub(super) knows_entries: AtomicBool,
    pub(super) other_entries_requests: Mutex<Option<OtherEntriesRequests>>,
}

impl App {
    /// Creates the state of a relay without routing document and targets.
    pub fn new(
        settings: RelaySettings,
        adapter: RelayAdapter,
        shutdown: Shutdown,
        view: Arc<Mutex<View>>,
        clock: Clock,
        dial: Dial,
    ) -> Result<Self, prometheus::Error> {
        Ok(Self {
            connection_pool: ConnectionPool::new(clock.clone(), dial),
            links: Links::default(),
            peers: Arc::new(PeerPool::new(None)),
            pause_limits: PauseLimits::default(),
            held_answers: HeldAnswers::default(),
            wait_limits: WaitLimits::default(),
            waiters: Arc::default(),
            routing_set: Notify::new(),
            routing_updates: RoutingUpdates::default(),
            targets_changed: Arc::new(Notify::new()),
            metrics: Metrics::new()?,
            routing: RwLock::default(),
            usable_targets: Mutex::default(),
            chains: Mutex::default(),
            plain_balancer: Mutex::default(),
            exclusions: Mutex::default(),
            rate_limits: Mutex::default(),
            return_times: Mutex::default(),
            unreadable_limits: Mutex::default(),
            quarantine: Mutex::default(),
            has_new_ends: AtomicBool::new(false),
            unresolved_sends: Mutex::default(),
            report_due: Notify::new(),
            probes: Mutex::default(),
            admission: Mutex::new(StreamAdmission::new(&settings.name)),
            retries: Mutex::new(ServiceRetries::new(settings.retries)),
            entry_count: Mutex::new(1),
            knows_entries: AtomicBool::new(false),
            other_entries_requests: Mutex::default(),
            settings,
            adapter,
            clock,
            shutdown,
            view,
        })
    }

    /// The routing document in force; its version is zero before the first one.
    #[must_use]
    pub fn routing(&self) -> Arc<RouteTable> {
        Arc::clone(&self.routing.read())
    }

    /// Puts a routing document in force unless that version or a newer one is already.
    pub fn set_routing(&self, table: RouteTable) {
        let version = table.version();
        {
            let mut current = self.routing.write();
            if current.version() >= version {
                return;
            }
            info!(from = %current.version(), to = %version, "routing document in force");
            *current = Arc::new(table);
        }
        self.metrics.routing_version.set(to_gauge(version.0));
        self.update_admission(&self.routing());
        self.update_models();
        self.update_targets();
        self.routing_set.notify_waiters();
    }

    /// The routing document in force. While the process starts, waits for the first one during a
    /// fraction of the caller's time.
    pub async fn wait_for_routing(&self, time_ms: Millis) -> Arc<RouteTable> {
        let first_set = self.routing_set.notified();
        let current = self.routing();
        if current.version() > RoutingVersion(0) {
            return current;
        }
        let wait_ms = self.wait_limits.startup_wait_ms(time_ms, self.clock.now());
        // Without a document the request is refused.
        let _ = timeout(wait_ms.to_duration(), first_set).await;
        self.routing()
    }

    /// Whether a control has told of a newer routing document than the one in force.
    #[must_use]
    pub fn is_routing_outdated(&self) -> bool {
        self.routing().version() < self.routing_updates.newest_version()
    }

    /// Waits for the newest routing document that a control has told of, for at most `wait_ms`.
    pub async fn wait_for_newest_routing(&self, wait_ms: Millis) {
        let ends_at = self.clock.now() + wait_ms;
        loop {
            let newly_set = self.routing_set.notified();
            if !self.is_routing_outdated() {
                return;
            }
            let left_ms = ends_at - self.clock.now();
            if timeout(left_ms.to_duration(), newly_set).await.is_err() {
                return;
            }
        }
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let knows_routing = self.routing.read().version() > RoutingVersion(0);
        let knows_targets = self.usable_targets.lock().iter().next().is_some();
        knows_routing && knows_targets && self.knows_quarantine() && !self.is_leaving()
    }

    /// Whether the process may not have heard from a control yet.
    #[must_use]
    pub fn is_starting(&self) -> bool {
        self.clock.now() < self.wait_limits.startup_ms
    }

    /// Whether the process was asked to end.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.shutdown.graceful.is_cancelled()
    }

    /// Runs `work` on the chain router of a service; `None` if the service has no model.
    pub fn with_chains<T>(
        &self,
        service: &ServiceName,
        work: impl FnOnce(&mut ChainRouter) -> T,
    ) -> Option<T> {
        self.chains.lock().get_mut(service).map(work)
    }

    /// Number of streams with a reservation on a chain.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        let chains = self.chains.lock();
        let reserved = chains.values().map(ChainRouter::requests);
        u32::try_from(reserved.sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// Whether a caller's connection is to be closed after its answer, so that the caller connects
    /// again: this process ends, or it has far more requests in flight than the other entries.
    #[must_use]
    pub fn should_close_connection(&self) -> bool {
        let other_entries_requests = *self.other_entries_requests.lock();
        let is_busy = || {
            other_entries_requests
                .is_some_and(|it| it.is_exceeded_by(self.in_flight(), self.clock.now()))
        };
        self.is_leaving() || is_busy()
    }

    /// Number of entries that share the targets, including this one.
    #[must_use]
    pub fn entries(&self) -> u32 {
        *self.entry_count.lock()
    }

    /// Runs `work` on the balancer of plain services.
    pub fn with_plain_balancer<T>(&self, work: impl FnOnce(&mut PlainBalancer) -> T) -> T {
        work(&mut self.plain_balancer.lock())
    }

    /// Counts the first send of a request in the retry budget of its service.
    pub fn count_first_send(&self, service: &ServiceName) {
        self.retries.lock().count_first_send(service);
    }

    /// Whether the budget of a service allows a retry now.
    pub fn has_retry(&self, service: &ServiceName) -> bool {
        self.retries.lock().has_retry(service)
    }

    /// Takes a retry from the budget of a service; `false` if the budget is spent.
    pub fn try_retry(&self, service: &ServiceName) -> bool {
        self.retries.lock().try_retry(service)
    }

    /// Forgets which targets are suspected in chains.
    pub fn clear_suspicions(&self) {
        for router in self.chains.lock().values_mut() {
            router.clear_suspicions();
        }
    }

    /// Leaves a target out of new chains until then.
    pub fn pause_in_chains(&self, target: &TargetRun, until: Millis) {
        for router in self.chains.lock().values_mut() {
            router.pause(target, until);
        }
    }

    /// Updates the chain routers and the plain balancer from the view.
    pub fn update_targets(&self) {
        let now = self.clock.now();
        let routing = self.routing();
        let knows_service = |name: &ServiceName| routing.service(name).is_some();
        let known_entries = {
            let view = self.view.lock();
            let mut usable_targets = self.usable_targets.lock();
            usable_targets.update(&view.targets(now), knows_service, now);
            drop(usable_targets);
            count_entries(&view, now)
        };
        if !self.knows_entries.load(Ordering::Relaxed) {
            self.set_entries(known_entries);
        }
        let entries = self.entries();
        let targets = self.list_targets(now);
        self.resolve_sends_by_successors(&targets);
        let mut chains = self.chains.lock();
        for (service, router) in chains.iter_mut() {
            let targets = targets.iter().filter_map(|target| {
                let engine = target.forwarding()?;
                let layers = engine.layers.filter(|_| engine.service == *service)?;
                Some(ChainTarget {
                    name: target.name.clone(),
                    incarnation: target.incarnation,
                    address: target.address,
                    place: target.place.clone(),
                    accelerator: engine.accelerator.clone(),
                    layers,
                    max_received: target.limits.max_requests,
                })
            });
            router.set_entries(entries);
            router.set_targets(targets.collect(), now);
        }
        drop(chains);
        let plain = targets
            .iter()
            .filter(|target| target.forwarding().is_none());
        self.plain_balancer
            .lock()
            .set_targets(plain, &self.settings.place);
        self.metrics.targets.set(to_gauge(targets.len() as u64));
        self.update_limited_targets();
        self.apply_pauses();
    }

    /// Addresses of the targets that may get new work.
    #[must_use]
    pub fn target_addresses(&self) -> Vec<SocketAddr> {
        let usable_targets = self.usable_targets.lock();
        usable_targets.iter().map(|target| target.address).collect()
    }

    /// Whether this entry would send requests to the target at an address.
    #[must_use]
    pub fn may_use(&self, run: &TargetRun, address: SocketAddr) -> bool {
        let usable_targets = self.usable_targets.lock();
        let mut usable = usable_targets.iter();
        let is_usable =
            usable.any(|target| target.address == address && TargetRun::from(target) == *run);
        drop(usable);
        drop(usable_targets);
        is_usable && !self.is_excluded(run)
    }

    /// The targets that may get new work, without those that said that they are leaving.
    fn list_targets(&self, now: Millis) -> Vec<Target> {
        let usable_targets = self.usable_targets.lock();
        let runs: Vec<TargetRun> = usable_targets.iter().map(TargetRun::from).collect();
        self.rate_limits.lock().expire(runs.iter(), now);
        self.unreadable_limits
            .lock()
            .retain(|run| runs.contains(run));
        let mut exclusions = self.exclusions.lock();
        exclusions.expire(runs.iter(), now);
        let targets = usable_targets.iter().zip(&runs);
        let staying = targets.filter(|(_, run)| !exclusions.is_leaving(run));
        staying.map(|(target, _)| target.clone()).collect()
    }

    /// Sets the number of entries that share the targets.
    pub(super) fn set_entries(&self, entries: u32) {
        let mut current = self.entry_count.lock();
        if *current == entries {
            return;
        }
        if current.abs_diff(entries) * LOGGED_CHANGE > *current {
            info!(
                from = *current,
                to = entries,
                "number of entries that share the targets has changed"
            );
        }
        *current = entries;
    }

    /// Creates or updates the chain routers of the services that have a model.
    fn update_models(&self) {
        let routing = self.routing();
        let mut chains = self.chains.lock();
        for service in routing.services() {
            let Some(model) = &service.model else {
                continue;
            };
            let router = chains.entry(service.name.clone()).or_insert_with(|| {
                let place = self.settings.place.clone();
                ChainRouter::new(self.settings.chains, model.clone(), place)
            });
            router.set_model(model.clone());
            router.set_learns_room(self.admission.lock().covers(&service.name));
        }
    }
}

/// Number of entries in the view that aren't leaving, including this one. In a large group the view
/// hears of the other entries too seldom to tell which of them are alive.
fn count_entries(view: &View, now: Millis) -> u32 {
    let nodes = view.nodes(now);
    let serving = nodes.iter().filter(|node| {
        let is_entry = node.info.role == NodeRole::Entry;
        is_entry && node.info.phase != NodePhase::Leaving
    });
    u32::try_from(serving.count()).unwrap_or(u32::MAX).max(1)
}

/// Converts a count for a gauge.
pub(super) fn to_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
