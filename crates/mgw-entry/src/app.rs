//! What the parts of an entry share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use hyper::Request;
use mgw_contract::caller::{EntryAddress, WORKSPACE_HEADER};
use mgw_pipe::StepTimes;
use mgw_route::{RetryBudget, RetryBudgetSettings, Router, RouterSettings};
use mgw_serve::Shutdown;
use mgw_world::{Clock, RequestId, TargetName, WorkspaceName};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha12Rng;
use tokio::sync::Notify;
use tokio_util::task::TaskTracker;

use crate::config::ConfigHolder;
use crate::controls::Controls;
use crate::engines::EngineClient;
use crate::gate::Gate;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::settings::EntrySettings;

/// What the parts of an entry share.
pub struct App {
    /// Settings of the process.
    pub settings: EntrySettings,
    /// The clock.
    pub clock: Clock,
    /// Tokens that end the process.
    pub shutdown: Shutdown,
    /// Metrics.
    pub metrics: Metrics,
    /// Configuration in force.
    pub config: ConfigHolder,
    /// What is believed of nodes and targets.
    pub members: Members,
    /// Path choice.
    pub router: Mutex<Router>,
    /// Admission.
    pub gate: Mutex<Gate>,
    /// Notified when a request starts to wait.
    pub gate_changed: Notify,
    /// One budget of retries for all stages and calls.
    pub retries: Mutex<RetryBudget>,
    /// Observed step times.
    pub times: Mutex<StepTimes>,
    /// Client of the engines.
    pub engines: EngineClient,
    /// Client of the controls.
    pub controls: Controls,
    /// Requests that run.
    pub runs: TaskTracker,
    refuses: AtomicBool,
    ids: Mutex<ChaCha12Rng>,
}

impl App {
    /// Puts the parts together; `seed` must differ from process to process.
    ///
    /// # Errors
    /// When the metrics can't be registered.
    pub fn new(
        settings: EntrySettings,
        shutdown: Shutdown,
        seed: u64,
    ) -> Result<Arc<Self>, prometheus::Error> {
        let clock = Clock::monotonic();
        let router_settings = RouterSettings { seed, ..RouterSettings::default() };
        Ok(Arc::new(Self {
            metrics: Metrics::new()?,
            config: ConfigHolder::new(settings.data.clone()),
            members: Members::new(&settings, seed, clock.now()),
            router: Mutex::new(Router::new(router_settings)),
            gate: Mutex::default(),
            gate_changed: Notify::new(),
            retries: Mutex::new(RetryBudget::new(RetryBudgetSettings::default())),
            times: Mutex::new(StepTimes::new(settings.times.clone())),
            engines: EngineClient::default(),
            controls: Controls::new(&settings.controls),
            runs: TaskTracker::new(),
            refuses: AtomicBool::new(false),
            ids: Mutex::new(ChaCha12Rng::seed_from_u64(seed)),
            settings,
            clock,
            shutdown,
        }))
    }

    /// A request id that no other request has.
    #[must_use]
    pub fn new_request_id(&self) -> RequestId {
        RequestId(self.ids.lock().random())
    }

    /// The workspace that a request names in its header.
    #[must_use]
    pub fn named_workspace<B>(&self, request: &Request<B>) -> Option<WorkspaceName> {
        let value = request.headers().get(WORKSPACE_HEADER)?;
        value.to_str().ok().map(WorkspaceName::from)
    }

    /// Stops taking new requests for good.
    pub fn stop_new_work(&self) {
        self.refuses.store(true, Ordering::SeqCst);
    }

    /// Whether new requests are refused.
    #[must_use]
    pub fn refuses_new_work(&self) -> bool {
        self.refuses.load(Ordering::SeqCst)
    }

    /// Entries other than this one that a caller may use.
    #[must_use]
    pub fn other_entries(&self) -> Vec<EntryAddress> {
        self.members.other_entries(self.clock.now())
    }

    /// Takes in the time of a step.
    pub fn observe_step(&self, target: &TargetName, count: u32, took_us: u64) {
        #[expect(clippy::cast_precision_loss)]
        let took_ms = took_us as f64 / 1000.0;
        self.metrics.steps.inc();
        self.metrics.step_seconds.observe(took_ms / 1000.0);
        if count == 1 {
            self.times.lock().observe(target, took_ms);
            let latency = mgw_world::Millis(took_us / 1000);
            self.router.lock().observe_step(target, latency);
        }
    }

    /// Takes a target out of this entry's choice for a while.
    pub fn suspect(&self, target: &TargetName) {
        self.router.lock().suspect(target, self.clock.now());
    }
}
