//! What the parts of an entry share.

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

use crate::config::ConfigHolder;
use crate::controls::Controls;
use crate::engines::EngineClient;
use crate::gate::Gate;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::services::PlainBalance;
use crate::settings::EntrySettings;

/// How many samples of token counts make the rate that is shown.
const RATE_SAMPLES: usize = 30;
/// Age of the last answer of a leader up to which a quorum counts as within reach.
const QUORUM_AGE_MS: Millis = Millis(4_000);

/// Tokens generated for a model.
#[derive(Debug, Default)]
struct TokenCount {
    total: u64,
    samples: VecDeque<(Millis, u64)>,
}

/// Counts a request as in flight until it is dropped.
pub struct InFlight {
    app: Arc<App>,
    id: RequestId,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.app.in_flight.lock().remove(&self.id);
    }
}

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
    /// Stage inputs held for all requests together.
    pub activations: ActivationBudget,
    /// Moves of running requests to each target.
    pub moves: Mutex<MoveBudget>,
    /// Observed step times.
    pub times: Mutex<StepTimes>,
    /// Judges which targets became much slower.
    pub paces: Mutex<DegradationDetector>,
    /// Client of the engines.
    pub engines: EngineClient,
    /// Client of the controls.
    pub controls: Controls,
    /// Client of plain services.
    pub plain_client: HttpClient,
    /// Client of plain services for calls that run at most once; each has a connection of its own.
    pub once_client: HttpClient,
    /// Calls in flight at plain services.
    pub plain: PlainBalance,
    /// Tasks that must end before the process does.
    pub runs: TaskTracker,
    /// Requests in flight.
    pub in_flight: Mutex<BTreeSet<RequestId>>,
    /// Targets that an operator asked to leave.
    pub drained_targets: Mutex<BTreeSet<TargetName>>,
    /// Cancelled when this entry shall leave.
    pub leaving: CancellationToken,
    tokens_by_model: Mutex<BTreeMap<ModelName, TokenCount>>,
    quorum_at: Mutex<Option<Millis>>,
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
        pool: Arc<PeerPool>,
        seed: u64,
    ) -> Result<Arc<Self>, prometheus::Error> {
        let clock = Clock::monotonic();
        let router_settings = RouterSettings {
            seed,
            ..RouterSettings::default()
        };
        let metrics = Metrics::new()?;
        Ok(Arc::new(Self {
            engines: EngineClient::new(settings.engines, metrics.engines.clone(), clock.clone()),
            metrics,
            config: ConfigHolder::new(settings.data.clone()),
            members: Members::new(&settings, seed, clock.now()),
            router: Mutex::new(Router::new(router_settings)),
            gate: Mutex::default(),
            gate_changed: Notify::new(),
            retries: Mutex::new(RetryBudget::new(RetryBudgetSettings::default())),
            activations: ActivationBudget::new(settings.activation_bytes),
            moves: Mutex::new(MoveBudget::new(settings.moves.clone())),
            times: Mutex::new(StepTimes::new(settings.times.clone())),
            paces: Mutex::new(DegradationDetector::new(settings.paces.clone())),
            controls: Controls::new(&settings.controls, pool),
            plain_client: client(),
            once_client: unpooled_client(),
            plain: PlainBalance::default(),
            runs: TaskTracker::new(),
            in_flight: Mutex::default(),
            drained_targets: Mutex::default(),
            leaving: shutdown.graceful.child_token(),
            tokens_by_model: Mutex::default(),
            quorum_at: Mutex::default(),
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
        self.members
            .other_entries(self.ids.lock().random(), self.clock.now())
    }

    /// Takes in the time of a step; returns whether the target became much slower than it was.
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
            self.suspect(target);
        }
        degraded
    }

    /// Takes a target out of this entry's choice for a while; failures of several requests at the
    /// same time count once.
    pub fn suspect(&self, target: &TargetName) {
        let now = self.clock.now();
        let mut router = self.router.lock();
        let known = router.targets().into_iter().find(|it| it.name == *target);
        let until = known.and_then(|view| view.suspect_until);
        if until.is_none_or(|until| until <= now) {
            router.mark_suspect(target, now);
        }
    }

    /// Whether a target is out of this entry's choice after a failure.
    #[must_use]
    pub fn is_suspect(&self, target: &TargetName) -> bool {
        let now = self.clock.now();
        let views = self.router.lock().targets();
        let view = views.into_iter().find(|view| view.name == *target);
        view.and_then(|view| view.suspect_until)
            .is_some_and(|until| until > now)
    }

    /// Counts a request as in flight.
    #[must_use]
    pub fn count_in_flight(self: &Arc<Self>, id: RequestId) -> InFlight {
        self.in_flight.lock().insert(id);
        InFlight {
            app: Arc::clone(self),
            id,
        }
    }

    /// Starts the leaving of this entry.
    pub fn start_leaving(&self) {
        self.leaving.cancel();
    }

    /// Notes that a leader confirmed by a quorum answered.
    pub fn note_quorum(&self) {
        *self.quorum_at.lock() = Some(self.clock.now());
    }

    /// Time since a leader confirmed by a quorum answered.
    #[must_use]
    pub fn quorum_age(&self) -> Millis {
        self.quorum_at
            .lock()
            .map_or(Millis::MAX, |at| self.clock.now() - at)
    }

    /// Whether a quorum answered lately.
    #[must_use]
    pub fn has_quorum(&self) -> bool {
        self.quorum_age() <= QUORUM_AGE_MS
    }

    /// Counts a token handed to a caller.
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

    /// Takes a sample of the token counts, from which rates are shown.
    pub fn sample_tokens(&self) {
        let now = self.clock.now();
        for count in self.tokens_by_model.lock().values_mut() {
            count.samples.push_back((now, count.total));
            if count.samples.len() > RATE_SAMPLES {
                count.samples.pop_front();
            }
        }
    }

    /// Tokens a second over the last samples, by model.
    #[must_use]
    pub fn token_rate(&self) -> BTreeMap<ModelName, u64> {
        let rate = |count: &TokenCount| {
            let (first, last) = (count.samples.front()?, count.samples.back()?);
            let span = (last.0 - first.0).0;
            (span > 0).then(|| (last.1 - first.1) * 1000 / span)
        };
        let counts = self.tokens_by_model.lock();
        counts
            .iter()
            .map(|(model, count)| (model.clone(), rate(count).unwrap_or(0)))
            .collect()
    }
}
