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

use crate::balance::EntriesLoad;
use crate::dialect::RelayCalls;
use crate::metrics::Metrics;
use crate::settings::RelaySettings;
use crate::stream::Patience;
use crate::targets::{Connections, PlainChoice, Roster};
use crate::waiting::Waiting;

/// Entries that a process takes to share a retry budget until it has heard of them: all that restart
/// together begin with a new budget.
const STARTING_ENTRIES: u32 = 32;
/// Part of the entries whose words must be known for a grant; the rest may have restarted.
const HEARD_PART: f64 = 0.9;

/// What the parts of a relay share.
pub struct App {
    /// Settings of the process.
    pub settings: RelaySettings,
    /// The adapter's functions.
    pub calls: RelayCalls,
    /// The clock.
    pub clock: Clock,
    /// Tokens that end the process.
    pub shutdown: Shutdown,
    /// What is believed of nodes and targets.
    pub view: Arc<Mutex<View>>,
    /// Connections to the other processes.
    pub peers: Arc<PeerPool>,
    /// Connections to targets.
    pub connections: Connections,
    /// How long requests wait before they are sent.
    pub waiting: Waiting,
    /// Told one waiter of room at a time, in the order in which they came.
    pub room: Notify,
    /// Notified when the first routing document is in force.
    pub routing_known: Notify,
    /// What pauses of streams mean.
    pub patience: Patience,
    /// Notified with news of targets.
    pub targets_changed: Arc<Notify>,
    /// Metrics.
    pub metrics: Metrics,
    routing: RwLock<Arc<RouteTable>>,
    roster: Mutex<Roster>,
    chains: Mutex<HashMap<ServiceName, ChainRouter>>,
    plain: Mutex<PlainChoice>,
    retries: Mutex<HashMap<ServiceName, RetryBudget>>,
    entries: Mutex<u32>,
    others: Mutex<Option<EntriesLoad>>,
}

impl App {
    /// A relay that knows nothing yet.
    pub fn new(
        settings: RelaySettings,
        calls: RelayCalls,
        shutdown: Shutdown,
        view: Arc<Mutex<View>>,
        clock: Clock,
    ) -> Result<Self, prometheus::Error> {
        Ok(Self {
            connections: Connections::new(clock.clone()),
            peers: Arc::new(PeerPool::new(None)),
            patience: Patience::default(),
            waiting: Waiting::default(),
            room: Notify::new(),
            routing_known: Notify::new(),
            targets_changed: Arc::new(Notify::new()),
            metrics: Metrics::new()?,
            routing: RwLock::default(),
            roster: Mutex::default(),
            chains: Mutex::default(),
            plain: Mutex::default(),
            retries: Mutex::default(),
            entries: Mutex::new(1),
            others: Mutex::default(),
            settings,
            calls,
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
            let mut held = self.routing.write();
            if held.version() >= version {
                return;
            }
            info!(from = %held.version(), to = %version, "routing document in force");
            *held = Arc::new(table);
        }
        self.metrics.routing_version.set(to_gauge(version.0));
        self.follow_models();
        self.follow_targets();
        self.routing_known.notify_waiters();
    }

    /// The routing document once there is one, if it comes while the process starts and within a
    /// part of the caller's time.
    pub async fn wait_for_routing(&self, time_ms: Millis) -> Arc<RouteTable> {
        let known = self.routing_known.notified();
        let held = self.routing();
        if held.version() > RoutingVersion(0) {
            return held;
        }
        let wait_ms = self.waiting.start_ms(time_ms, self.clock.now());
        // Without one the request is refused.
        let _ = timeout(wait_ms.to_duration(), known).await;
        self.routing()
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let knows_routing = self.routing.read().version() > RoutingVersion(0);
        let knows_targets = self.roster.lock().iter().next().is_some();
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
    pub fn own_word(&self) -> EntryLoad {
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
        let budgets = self.retries.lock();
        let sends = budgets.iter().map(|(service, budget)| ServiceSends {
            service: service.clone(),
            first: budget.requests(),
            further: budget.retries(),
        });
        sends.collect()
    }

    /// Takes the use of all other entries together.
    pub fn set_others(&self, others: &OtherEntriesLoad) {
        let now = self.clock.now();
        for router in self.chains.lock().values_mut() {
            router.set_other_entries_load(&others.uses, &others.lost, now);
        }
        self.take_sends(others);
        *self.others.lock() = Some(EntriesLoad {
            heard_at: now,
            entries: others.entries,
            requests: others.requests,
        });
    }

    /// The others' words didn't come: once the last ones are too old, retries are earned again.
    pub fn miss_others(&self) {
        let now = self.clock.now();
        if self.others.lock().is_none_or(|others| others.is_old(now)) {
            for budget in self.retries.lock().values_mut() {
                budget.resume_earning();
            }
        }
    }

    /// Grants retries by what all entries have sent, if nearly all of them were heard.
    fn take_sends(&self, others: &OtherEntriesLoad) {
        let entries = self.entries();
        let heard = f64::from(others.entries + 1);
        let knows_most = heard >= f64::from(entries) * HEARD_PART;
        for (service, budget) in self.retries.lock().iter_mut() {
            let all = others.sends.iter().find(|sends| sends.service == *service);
            match all {
                Some(all) if knows_most => {
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
        let held = chains.values().map(ChainRouter::requests);
        u32::try_from(held.sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// Whether a caller's connection shall be closed after its answer, so that it connects anew:
    /// this process ends, or it has far more work than the others.
    #[must_use]
    pub fn sends_callers_on(&self) -> bool {
        let others = *self.others.lock();
        let is_busy =
            || others.is_some_and(|it| it.is_exceeded_by(self.in_flight(), self.clock.now()));
        self.is_leaving() || is_busy()
    }

    /// Entries that share the targets, this one included.
    #[must_use]
    pub fn entries(&self) -> u32 {
        *self.entries.lock()
    }

    /// Works with the choice among targets of plain services.
    pub fn with_plain<T>(&self, work: impl FnOnce(&mut PlainChoice) -> T) -> T {
        work(&mut self.plain.lock())
    }

    /// Counts the first send of a request.
    pub fn count_first_send(&self, service: &ServiceName) {
        self.with_retries(service, RetryBudget::count_request);
    }

    /// Whether the budget of a service allows a further send now.
    pub fn has_retry(&self, service: &ServiceName) -> bool {
        self.with_retries(service, |budget| budget.has_retry())
    }

    /// Takes a further send from the budget of the service.
    pub fn try_retry(&self, service: &ServiceName) -> bool {
        self.with_retries(service, RetryBudget::try_retry)
    }

    fn with_retries<T>(
        &self,
        service: &ServiceName,
        work: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        // Taken before the budgets, as by whoever sets it.
        let entries = self.entries().max(STARTING_ENTRIES);
        let mut budgets = self.retries.lock();
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
    pub fn follow_targets(&self) {
        let now = self.clock.now();
        let entries = {
            let view = self.view.lock();
            self.roster.lock().follow(&view.targets(now), now);
            count_entries(&view, now)
        };
        self.set_entries(entries);
        let roster = self.roster.lock();
        let mut chains = self.chains.lock();
        for (service, router) in chains.iter_mut() {
            let targets = roster.iter().filter_map(|target| {
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
        let plain = roster.iter().filter(|target| target.forwarding().is_none());
        self.plain.lock().set_targets(plain, &self.settings.place);
        self.metrics
            .targets
            .set(to_gauge(roster.iter().count() as u64));
    }

    fn set_entries(&self, entries: u32) {
        let mut held = self.entries.lock();
        if *held != entries {
            info!(from = *held, to = entries, "entries that share the targets");
            *held = entries;
            let share = self.settings.retries.max_saved / entries.max(1);
            for budget in self.retries.lock().values_mut() {
                budget.set_max_saved(share);
            }
        }
    }

    fn follow_models(&self) {
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
