//! What the parts of a relay share.

use std::collections::HashMap;
use std::sync::Arc;

use mgw_member::{NodePhase, NodeRole, View};
use mgw_peer::PeerPool;
use mgw_route::{
    ChainRouter, ChainTarget, EntryLoad, OtherEntriesLoad, RetryBudget, RetryBudgetSettings,
    ServiceSends, compute_retry_grant,
};
use mgw_routing::RouteTable;
use mgw_serve::Shutdown;
use mgw_world::{Clock, Millis, RoutingVersion, ServiceName};
use parking_lot::{Mutex, RwLock};
use tokio::sync::Notify;
use tokio::time::timeout;
use tracing::info;

use crate::balance::OtherEntriesRequests;
use crate::dialect::RelayAdapter;
use crate::metrics::Metrics;
use crate::settings::RelaySettings;
use crate::stream::PauseLimits;
use crate::targets::{ConnectionPool, PlainBalancer, UsableTargets};
use crate::wait_limits::WaitLimits;

/// Entries that a process takes to share a retry budget until it has heard of them: all that restart
/// together begin with a new budget.
const STARTING_ENTRIES: u32 = 32;
/// Part of the entries whose words must be known for a grant; the rest may have restarted.
const MIN_REPORTED_FRACTION: f64 = 0.9;

/// What the parts of a relay share.
pub struct App {
    /// Settings of the process.
    pub settings: RelaySettings,
    /// The adapter's functions.
    pub adapter: RelayAdapter,
    /// The clock.
    pub clock: Clock,
    /// Tokens that end the process.
    pub shutdown: Shutdown,
    /// What is believed of nodes and targets.
    pub view: Arc<Mutex<View>>,
    /// Connections to the other processes.
    pub peers: Arc<PeerPool>,
    /// Connections to targets.
    pub connection_pool: ConnectionPool,
    /// How long requests wait before they are sent.
    pub wait_limits: WaitLimits,
    /// Told one waiter of room at a time, in the order in which they came.
    pub capacity_freed: Notify,
    /// Notified when the first routing document is in force.
    pub first_routing_set: Notify,
    /// What pauses of streams mean.
    pub pause_limits: PauseLimits,
    /// Notified with news of targets.
    pub targets_changed: Arc<Notify>,
    /// Metrics.
    pub metrics: Metrics,
    routing: RwLock<Arc<RouteTable>>,
    usable_targets: Mutex<UsableTargets>,
    chains: Mutex<HashMap<ServiceName, ChainRouter>>,
    plain_balancer: Mutex<PlainBalancer>,
    retry_budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    entries: Mutex<u32>,
    other_entries: Mutex<Option<OtherEntriesRequests>>,
}

impl App {
    /// A relay that knows nothing yet.
    pub fn new(
        settings: RelaySettings,
        adapter: RelayAdapter,
        shutdown: Shutdown,
        view: Arc<Mutex<View>>,
        clock: Clock,
    ) -> Result<Self, prometheus::Error> {
        Ok(Self {
            connection_pool: ConnectionPool::new(clock.clone()),
            peers: Arc::new(PeerPool::new(None)),
            pause_limits: PauseLimits::default(),
            wait_limits: WaitLimits::default(),
            capacity_freed: Notify::new(),
            first_routing_set: Notify::new(),
            targets_changed: Arc::new(Notify::new()),
            metrics: Metrics::new()?,
            routing: RwLock::default(),
            usable_targets: Mutex::default(),
            chains: Mutex::default(),
            plain_balancer: Mutex::default(),
            retry_budgets: Mutex::default(),
            entries: Mutex::new(1),
            other_entries: Mutex::default(),
            settings,
            adapter,
            clock,
            shutdown,
            view,
        })
    }

    /// The routing document in force; of version zero before the first one.
    #[must_use]
    pub fn routing(&self) -> Arc<RouteTable> {
        Arc::clone(&self.routing.read())
    }

    /// Puts a document in force unless a newer one is.
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
        self.update_models();
        self.update_targets();
        self.first_routing_set.notify_waiters();
    }

    /// The routing document once there is one, if it comes while the process starts and within a
    /// part of the caller's time.
    pub async fn wait_for_routing(&self, time_ms: Millis) -> Arc<RouteTable> {
        let known = self.first_routing_set.notified();
        let current = self.routing();
        if current.version() > RoutingVersion(0) {
            return current;
        }
        let wait_ms = self.wait_limits.startup_wait_ms(time_ms, self.clock.now());
        // Without one the request is refused.
        let _ = timeout(wait_ms.to_duration(), known).await;
        self.routing()
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let knows_routing = self.routing.read().version() > RoutingVersion(0);
        let knows_targets = self.usable_targets.lock().iter().next().is_some();
        knows_routing && knows_targets && !self.is_leaving()
    }

    /// Whether the process was asked to end.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.shutdown.graceful.is_cancelled()
    }

    /// Works with the chains of a service; none when it has no model.
    pub fn with_chains<T>(
        &self,
        service: &ServiceName,
        work: impl FnOnce(&mut ChainRouter) -> T,
    ) -> Option<T> {
        self.chains.lock().get_mut(service).map(work)
    }

    /// What the other entries are told of this one.
    #[must_use]
    pub fn own_load(&self) -> EntryLoad {
        let now = self.clock.now();
        let requests = self.in_flight();
        let chains = self.chains.lock();
        let routers = chains.values();
        EntryLoad {
            requests,
            uses: routers.clone().flat_map(ChainRouter::own_loads).collect(),
            lost: routers
                .flat_map(|router| router.own_lost_targets(now))
                .collect(),
            sends: self.own_sends(),
        }
    }

    fn own_sends(&self) -> Vec<ServiceSends> {
        let budgets = self.retry_budgets.lock();
        let sends = budgets.iter().map(|(service, budget)| ServiceSends {
            service: service.clone(),
            first: budget.requests(),
            further: budget.retries(),
        });
        sends.collect()
    }

    /// Takes the use of all other entries together.
    pub fn set_other_entries_load(&self, other_entries: &OtherEntriesLoad) {
        let now = self.clock.now();
        for router in self.chains.lock().values_mut() {
            router.set_other_entries_load(&other_entries.uses, &other_entries.lost, now);
        }
        self.grant_retries(other_entries);
        *self.other_entries.lock() = Some(OtherEntriesRequests {
            received_at: now,
            entries: other_entries.entries,
            requests: other_entries.requests,
        });
    }

    /// The others' words didn't come: once the last ones are too old, retries are earned again.
    pub fn record_missed_exchange(&self) {
        let now = self.clock.now();
        if self
            .other_entries
            .lock()
            .is_none_or(|other_entries| other_entries.is_stale(now))
        {
            for budget in self.retry_budgets.lock().values_mut() {
                budget.resume_earning();
            }
        }
    }

    /// Grants retries by what all entries have sent, if nearly all of them were heard.
    fn grant_retries(&self, other_entries: &OtherEntriesLoad) {
        let entries = self.entries();
        let reported = f64::from(other_entries.entries + 1);
        let are_enough_reported = reported >= f64::from(entries) * MIN_REPORTED_FRACTION;
        for (service, budget) in self.retry_budgets.lock().iter_mut() {
            let all = other_entries
                .sends
                .iter()
                .find(|sends| sends.service == *service);
            match all {
                Some(all) if are_enough_reported => {
                    budget.grant(compute_retry_grant(&self.settings.retries, all, entries));
                }
                _ => budget.resume_earning(),
            }
        }
    }

    /// Streams that hold a chain.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        let chains = self.chains.lock();
        let reserved = chains.values().map(ChainRouter::requests);
        u32::try_from(reserved.sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// Whether a caller's connection shall be closed after its answer, so that it connects anew:
    /// this process ends, or it has far more work than the others.
    #[must_use]
    pub fn should_close_connection(&self) -> bool {
        let other_entries = *self.other_entries.lock();
        let is_busy = || {
            other_entries.is_some_and(|it| it.is_exceeded_by(self.in_flight(), self.clock.now()))
        };
        self.is_leaving() || is_busy()
    }

    /// Entries that share the targets, this one included.
    #[must_use]
    pub fn entries(&self) -> u32 {
        *self.entries.lock()
    }

    /// Works with the choice among targets of plain services.
    pub fn with_plain_balancer<T>(&self, work: impl FnOnce(&mut PlainBalancer) -> T) -> T {
        work(&mut self.plain_balancer.lock())
    }

    /// Counts the first send of a request.
    pub fn count_first_send(&self, service: &ServiceName) {
        self.with_retry_budget(service, RetryBudget::count_request);
    }

    /// Whether the budget of a service allows a further send now.
    pub fn has_retry(&self, service: &ServiceName) -> bool {
        self.with_retry_budget(service, |budget| budget.has_retry())
    }

    /// Takes a further send from the budget of the service.
    pub fn try_retry(&self, service: &ServiceName) -> bool {
        self.with_retry_budget(service, RetryBudget::try_retry)
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        work: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        // Taken before the budgets, as by whoever sets it.
        let entries = self.entries().max(STARTING_ENTRIES);
        let mut budgets = self.retry_budgets.lock();
        if let Some(budget) = budgets.get_mut(service) {
            return work(budget);
        }
        let shared = self.settings.retries;
        let settings = RetryBudgetSettings {
            max_saved: shared.max_saved / entries,
            ..shared
        };
        work(
            budgets
                .entry(service.clone())
                .or_insert_with(|| RetryBudget::new(settings)),
        )
    }

    /// Brings chains and plain choices in line with the view.
    pub fn update_targets(&self) {
        let now = self.clock.now();
        let entries = {
            let view = self.view.lock();
            self.usable_targets.lock().update(&view.targets(now), now);
            count_entries(&view, now)
        };
        self.set_entries(entries);
        let usable_targets = self.usable_targets.lock();
        let mut chains = self.chains.lock();
        for (service, router) in chains.iter_mut() {
            let targets = usable_targets.iter().filter_map(|target| {
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
        let plain = usable_targets
            .iter()
            .filter(|target| target.forwarding().is_none());
        self.plain_balancer
            .lock()
            .set_targets(plain, &self.settings.place);
        self.metrics
            .targets
            .set(to_gauge(usable_targets.iter().count() as u64));
    }

    fn set_entries(&self, entries: u32) {
        let mut current = self.entries.lock();
        if *current != entries {
            info!(
                from = *current,
                to = entries,
                "entries that share the targets"
            );
            *current = entries;
            let share = self.settings.retries.max_saved / entries.max(1);
            for budget in self.retry_budgets.lock().values_mut() {
                budget.set_max_saved(share);
            }
        }
    }

    fn update_models(&self) {
        let routing = self.routing();
        let mut chains = self.chains.lock();
        for service in routing.services() {
            let Some(model) = &service.model else {
                continue;
            };
            match chains.get_mut(&service.name) {
                Some(router) => router.set_model(model.clone()),
                None => {
                    let place = self.settings.place.clone();
                    let router = ChainRouter::new(self.settings.chains, model.clone(), place);
                    chains.insert(service.name.clone(), router);
                }
            }
        }
    }
}

/// Entries that take callers as far as this process hears, itself included.
fn count_entries(view: &View, now: Millis) -> u32 {
    let nodes = view.nodes(now);
    let serving = nodes.iter().filter(|node| {
        let is_entry = node.info.role == NodeRole::Entry;
        is_entry && node.is_alive && node.info.phase != NodePhase::Leaving
    });
    u32::try_from(serving.count()).unwrap_or(u32::MAX).max(1)
}

fn to_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
