//! State shared by all tasks of an entry.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use hyper::Request;
use mgw_contract::caller::{EntryAddress, WORKSPACE_HEADER};
use mgw_peer::PeerPool;
use mgw_pipe::{ActivationBudget, DegradationDetector, MoveBudget, StepTimes};
use mgw_route::{RetryBudget, RetryBudgetSettings, Router, RouterSettings};
use mgw_serve::Shutdown;
use mgw_serve::http::{HttpClient, client, unpooled_client};
use mgw_world::{Clock, Millis, ModelName, RequestId, TargetName, WorkspaceName};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha12Rng;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admission::ModelAdmissions;
use crate::config::ConfigHolder;
use crate::controls::Controls;
use crate::engines::EngineClient;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::services::ServiceBalancer;
use crate::settings::EntrySettings;

/// Number of samples of the token counts over which the shown rate is computed.
const RATE_SAMPLES: usize = 30;
/// Maximum age of a leader's last answer up to which the quorum counts as reachable.
const MAX_QUORUM_AGE_MS: Millis = Millis(4_000);

/// Tokens generated for a model: the total, and samples of it by time.
#[derive(Debug, Default)]
struct TokenCount {
    total: u64,
    samples: VecDeque<(Millis, u64)>,
}

/// Counts a request as in flight until the guard is dropped.
pub struct InFlightGuard {
    app: Arc<App>,
    id: RequestId,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.app.in_flight.lock().remove(&self.id);
    }
}

/// State shared by all tasks of an entry.
pub struct App {
    /// Settings of the process.
    pub settings: EntrySettings,
    /// Monotonic clock for all times within the process.
    pub clock: Clock,
    /// Cancellation tokens for a graceful and for a forced shutdown.
    pub shutdown: Shutdown,
    /// Metrics of the process and their registry.
    pub metrics: Metrics,
    /// Configuration in force.
    pub config: ConfigHolder,
    /// This entry's view of the nodes and targets.
    pub members: Members,
    /// Chooses paths and holds their reservations.
    pub router: Mutex<Router>,
    /// Admission of requests, by model.
    pub admissions: Mutex<ModelAdmissions>,
    /// Notified when a request is queued for admission.
    pub admission_queue_changed: Notify,
    /// Retry budget shared by all stages and service calls.
    pub retries: Mutex<RetryBudget>,
    /// Limits the bytes of stage inputs kept for all requests together.
    pub activations: ActivationBudget,
    /// Limits how many running requests are moved to each target.
    pub moves: Mutex<MoveBudget>,
    /// Step times observed per target, from which step deadlines are derived.
    pub times: Mutex<StepTimes>,
    /// Detects targets that became much slower than they were.
    pub paces: Mutex<DegradationDetector>,
    /// Client of the model engines.
    pub engines: EngineClient,
    /// Client of the control nodes.
    pub controls: Controls,
    /// HTTP client for calls to plain services.
    pub service_client: HttpClient,
    /// HTTP client for calls to plain services that run at most once; it opens a connection for
    /// each call.
    pub at_most_once_client: HttpClient,
    /// Balances calls over the targets of the plain services.
    pub service_balancer: ServiceBalancer,
    /// Tasks that must end before the process exits.
    pub tasks: TaskTracker,
    /// Ids of the requests in flight.
    pub in_flight: Mutex<BTreeSet<RequestId>>,
    /// Targets that an operator drains.
    pub drained_targets: Mutex<BTreeSet<TargetName>>,
    /// Cancelled when this entry starts its graceful shutdown.
    pub leaving: CancellationToken,
    tokens_by_model: Mutex<BTreeMap<ModelName, TokenCount>>,
    quorum_seen_at: Mutex<Option<Millis>>,
    is_refusing_requests: AtomicBool,
    rng: Mutex<ChaCha12Rng>,
}

impl App {
    /// Creates the state; `seed` must differ from process to process.
    ///
    /// # Errors
    /// When the metrics can't be registered.
    pub fn new(
        settings: EntrySettings,
        shutdown: Shutdown,
        pool: Arc<PeerPool>,
        seed: u64,
    ) -> Result<Arc<Self>, prometheus::Error> {
        let clock = Clock::monotonic();
        let router_settings = RouterSettings {
            seed,
            prefix_rule: settings.prefix_rule,
            ..RouterSettings::default()
        };
        let metrics = Metrics::new()?;
        Ok(Arc::new(Self {
            engines: EngineClient::new(settings.engines, metrics.engines.clone(), clock.clone()),
            metrics,
            config: ConfigHolder::new(settings.data.clone()),
            members: Members::new(&settings, seed, clock.now()),
            router: Mutex::new(Router::new(router_settings)),
            admissions: Mutex::default(),
            admission_queue_changed: Notify::new(),
            retries: Mutex::new(RetryBudget::new(RetryBudgetSettings::default())),
            activations: ActivationBudget::new(settings.activation_bytes),
            moves: Mutex::new(MoveBudget::new(settings.moves.clone())),
            times: Mutex::new(StepTimes::new(settings.times.clone())),
            paces: Mutex::new(DegradationDetector::new(settings.paces.clone())),
            controls: Controls::new(&settings.controls, pool),
            service_client: client(),
            at_most_once_client: unpooled_client(),
            service_balancer: ServiceBalancer::default(),
            tasks: TaskTracker::new(),
            in_flight: Mutex::default(),
            drained_targets: Mutex::default(),
            leaving: shutdown.graceful.child_token(),
            tokens_by_model: Mutex::default(),
            quorum_seen_at: Mutex::default(),
            is_refusing_requests: AtomicBool::new(false),
            rng: Mutex::new(ChaCha12Rng::seed_from_u64(seed)),
            settings,
            clock,
            shutdown,
        }))
    }

    /// Creates a request id that no other request has.
    #[must_use]
    pub fn new_request_id(&self) -> RequestId {
        RequestId(self.rng.lock().random())
    }

    /// The workspace that a request names in its [`WORKSPACE_HEADER`].
    #[must_use]
    pub fn workspace_header<B>(&self, request: &Request<B>) -> Option<WorkspaceName> {
        let value = request.headers().get(WORKSPACE_HEADER)?;
        value.to_str().ok().map(WorkspaceName::from)
    }

    /// Refuses all new requests from now on.
    pub fn stop_accepting_requests(&self) {
        self.is_refusing_requests.store(true, Ordering::SeqCst);
    }

    /// Whether new requests are refused.
    #[must_use]
    pub fn refuses_requests(&self) -> bool {
        self.is_refusing_requests.load(Ordering::SeqCst)
    }

    /// Entries other than this one that a caller may use.
    #[must_use]
    pub fn other_entries(&self) -> Vec<EntryAddress> {
        self.members
            .other_entries(self.rng.lock().random(), self.clock.now())
    }

    /// Records how long a step took; returns whether the request should move away because the
    /// target became much slower than it was.
    pub fn observe_step(&self, target: &TargetName, count: u32, took_us: u64) -> bool {
        #[expect(clippy::cast_precision_loss)]
        let took_ms = took_us as f64 / 1000.0;
        self.metrics.steps.inc();
        self.metrics.step_seconds.observe(took_ms / 1000.0);
        if count > 1 {
            return false;
        }
        self.times.lock().observe(target, took_ms);
        let latency = mgw_world::Millis(took_us / 1000);
        self.router.lock().record_step_latency(target, latency);
        let degraded = self.paces.lock().observe(target, took_ms);
        let degraded = degraded && self.settings.paces.moves_requests;
        if degraded {
            self.mark_suspect(target);
        }
        degraded
    }

    /// Makes a target ineligible at this entry for a while. Has no effect on a target that is
    /// suspect already, so that failures of several requests at the same time count once.
    pub fn mark_suspect(&self, target: &TargetName) {
        let now = self.clock.now();
        let mut router = self.router.lock();
        let view = router
            .targets()
            .into_iter()
            .find(|view| view.name == *target);
        let until = view.and_then(|view| view.suspect_until);
        if until.is_none_or(|until| until <= now) {
            router.mark_suspect(target, now);
        }
    }

    /// Whether a target is ineligible at this entry because it was marked suspect.
    #[must_use]
    pub fn is_suspect(&self, target: &TargetName) -> bool {
        let now = self.clock.now();
        let views = self.router.lock().targets();
        let view = views.into_iter().find(|view| view.name == *target);
        view.and_then(|view| view.suspect_until)
            .is_some_and(|until| until > now)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    #[must_use]
    pub fn count_in_flight(self: &Arc<Self>, id: RequestId) -> InFlightGuard {
        self.in_flight.lock().insert(id);
        InFlightGuard {
            app: Arc::clone(self),
            id,
        }
    }

    /// Starts the graceful shutdown of this entry.
    pub fn start_leaving(&self) {
        self.leaving.cancel();
    }

    /// Records that a leader confirmed by a quorum answered now.
    pub fn record_quorum(&self) {
        *self.quorum_seen_at.lock() = Some(self.clock.now());
    }

    /// Time since a leader confirmed by a quorum last answered.
    #[must_use]
    pub fn quorum_age(&self) -> Millis {
        self.quorum_seen_at
            .lock()
            .map_or(Millis::MAX, |at| self.clock.now() - at)
    }

    /// Whether a leader confirmed by a quorum answered within the last [`MAX_QUORUM_AGE_MS`].
    #[must_use]
    pub fn has_quorum(&self) -> bool {
        self.quorum_age() <= MAX_QUORUM_AGE_MS
    }

    /// Counts a token sent to a caller.
    pub fn count_token(&self, model: &ModelName) {
        self.metrics.tokens.inc();
        if let Some(count) = self.tokens_by_model.lock().get_mut(model) {
            count.total += 1;
            return;
        }
        self.tokens_by_model
            .lock()
            .entry(model.clone())
            .or_default()
            .total += 1;
    }

    /// Samples the token counts; [`Self::token_rate`] is computed from the samples.
    pub fn sample_tokens(&self) {
        let now = self.clock.now();
        for count in self.tokens_by_model.lock().values_mut() {
            count.samples.push_back((now, count.total));
            if count.samples.len() > RATE_SAMPLES {
                count.samples.pop_front();
            }
        }
    }

    /// Tokens per second over the kept samples, by model.
    #[must_use]
    pub fn token_rate(&self) -> BTreeMap<ModelName, u64> {
        let rate = |count: &TokenCount| {
            let (first, last) = (count.samples.front()?, count.samples.back()?);
            let span_ms = (last.0 - first.0).0;
            (span_ms > 0).then(|| (last.1 - first.1) * 1000 / span_ms)
        };
        let counts = self.tokens_by_model.lock();
        counts
            .iter()
            .map(|(model, count)| (model.clone(), rate(count).unwrap_or(0)))
            .collect()
    }
}
