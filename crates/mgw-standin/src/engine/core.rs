//! State and decisions of an engine: which steps run, what they output, and which orders are
//! accepted.

use std::collections::VecDeque;

use mgw_contract::engine::{
    EngineOrder, EngineState, KvImage, OrderReply, SessionKey, SessionStanding, StageInput,
    StageOutput, StageStep, StepRefusal, StepResult,
};
use mgw_contract::target::{LoadReport, Readiness};
use mgw_world::{Engine, FenceNumber, LayerRange, Millis, TargetName};

use super::prefixes::PrefixCache;
use super::sessions::{SessionLimits, SessionStore, StepSpan};
use crate::journal::StepLine;
use crate::model::{
    decode_activations, embed, encode_activations, initial_states, model_seed, pick_token,
    run_layers,
};
use crate::settings::EngineSettings;

/// Window over which the token rate is measured.
const RATE_WINDOW_MS: Millis = Millis(1000);

/// Outcome of a step: the result for the caller and the line for the journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedStep {
    /// Result that is returned to the caller of the stage.
    pub result: StepResult,
    /// Journal line of the step; `None` when nothing ran.
    pub line: Option<StepLine>,
}

/// How an engine reacts to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderDecision {
    /// Reply to the sender of the order.
    pub reply: OrderReply,
    /// Whether the caller must start to load weights for the order now.
    pub starts_load: bool,
}

/// State of an engine, without I/O: sessions, prefix cache, loaded weights and orders.
#[derive(Debug)]
pub struct EngineCore {
    name: TargetName,
    settings: EngineSettings,
    loaded: Engine,
    seed: u64,
    sessions: SessionStore,
    prefixes: PrefixCache,
    fence: FenceNumber,
    order_sequence: u64,
    pending_order: Option<EngineOrder>,
    leaving: bool,
    recent_steps: VecDeque<(Millis, u32)>,
}

impl EngineCore {
    /// Creates an engine that has `layers` of its model loaded and no sessions.
    #[must_use]
    pub fn new(name: TargetName, settings: EngineSettings, layers: LayerRange) -> Self {
        let loaded = Engine {
            model: settings.model.clone(),
            version: settings.version.clone(),
            adapter: settings.adapter.clone(),
            layers,
            accelerator: settings.accelerator.clone(),
        };
        let limits = SessionLimits {
            max_requests: settings.max_requests,
            kv_bytes: settings.kv_bytes,
            kv_bytes_per_layer: settings.kv_bytes_per_layer,
            idle_ms: settings.session_idle_ms,
        };
        Self {
            name,
            seed: model_seed(&loaded.model, &loaded.version),
            loaded,
            sessions: SessionStore::new(limits),
            prefixes: PrefixCache::new(settings.prefix_blocks as usize),
            settings,
            fence: FenceNumber::default(),
            order_sequence: 0,
            pending_order: None,
            leaving: false,
            recent_steps: VecDeque::new(),
        }
    }

    /// Model, version, adapter and layers that are loaded.
    #[must_use]
    pub const fn loaded(&self) -> &Engine {
        &self.loaded
    }

    /// Sessions of the engine.
    #[must_use]
    pub const fn sessions(&self) -> &SessionStore {
        &self.sessions
    }

    /// Mutable access to the sessions, used to free some.
    pub const fn sessions_mut(&mut self) -> &mut SessionStore {
        &mut self.sessions
    }

    /// Mutable access to the prefix cache.
    pub const fn prefixes_mut(&mut self) -> &mut PrefixCache {
        &mut self.prefixes
    }

    /// Puts the engine into the leaving state, in which it refuses new sessions.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Readiness to accept new sessions.
    #[must_use]
    pub const fn readiness(&self) -> Readiness {
        if self.leaving {
            Readiness::Leaving
        } else if self.pending_order.is_some() {
            Readiness::Loading
        } else {
            Readiness::Ready
        }
    }

    /// Starts a step and returns the number of positions that cost time: positions of a cached
    /// prefix cost none.
    ///
    /// # Errors
    /// When the step is refused; the state is then unchanged.
    pub fn start(&mut self, step: &StageStep, now: Millis) -> Result<u32, StepRefusal> {
        if step.layers != self.loaded.layers || step.version != self.loaded.version {
            return Err(StepRefusal::WrongLayers);
        }
        if self.pending_order.is_some() {
            return Err(StepRefusal::Leaving);
        }
        let opens_session = self.sessions.session_status(step.session).is_none();
        if self.leaving && opens_session && step.first.0 == 0 {
            return Err(StepRefusal::Leaving);
        }
        if self.read_input(step).is_none() {
            return Err(StepRefusal::WrongInput);
        }
        let seed = self.seed;
        let span = StepSpan {
            session: step.session,
            layers: step.layers,
            first: step.first,
            count: step.count,
        };
        self.sessions
            .start(span, || initial_states(seed, step.layers), now)?;
        let cached = match &step.input {
            StageInput::Tokens(tokens) if opens_session => self.prefixes.look_up_and_store(tokens),
            _ => 0,
        };
        Ok(step.count - cached.min(step.count))
    }

    /// Runs the layers of a started step and completes it.
    pub fn finish(&mut self, step: &StageStep, now: Millis) -> FinishedStep {
        let Some(inputs) = self.read_input(step) else {
            return refused_step(StepRefusal::WrongInput);
        };
        let run = |states: &mut [u64]| -> Vec<u64> {
            let mut position = step.first;
            let values = inputs.iter().map(|value| {
                let output = run_layers(states, step.layers.first(), position, *value);
                position = position.advance(1);
                output
            });
            values.collect()
        };
        let Some(outputs) = self.sessions.finish(step.session, now, run) else {
            return refused_step(StepRefusal::NoSession);
        };
        self.recent_steps.push_back((now, step.count));
        let value_in = inputs.last().copied().unwrap_or_default();
        let value_out = outputs.last().copied().unwrap_or_default();
        let line = StepLine {
            session: step.session,
            version: step.version.clone(),
            layers: step.layers,
            first: step.first,
            count: step.count,
            value_in,
            value_out,
        };
        FinishedStep {
            result: Ok(self.write_output(&outputs)),
            line: Some(line),
        }
    }

    /// Values that enter the first layer; `None` when the input has the wrong kind or size.
    fn read_input(&self, step: &StageStep) -> Option<Vec<u64>> {
        let takes_tokens = step.layers.first() == 0;
        let values = match &step.input {
            StageInput::Tokens(tokens) if takes_tokens => {
                let has_right_length = tokens.len() == step.count as usize;
                has_right_length.then(|| {
                    tokens
                        .iter()
                        .map(|token| embed(self.seed, *token))
                        .collect()
                })?
            }
            StageInput::Activations(bytes) if !takes_tokens => {
                let activation_bytes = self.settings.activation_bytes as usize;
                decode_activations(bytes, step.count, activation_bytes)?
            }
            _ => return None,
        };
        (!values.is_empty()).then_some(values)
    }

    fn write_output(&self, values: &[u64]) -> StageOutput {
        if self.loaded.layers.end() == self.settings.model_layers {
            return StageOutput::Token(pick_token(values.last().copied().unwrap_or_default()));
        }
        let activation_bytes = self.settings.activation_bytes as usize;
        StageOutput::Activations(encode_activations(values, activation_bytes))
    }

    /// Exports the KV cache of a session; `None` when the session isn't open.
    #[must_use]
    pub fn export(&self, key: SessionKey) -> Option<KvImage> {
        self.sessions.export(key, &self.loaded.version)
    }

    /// Opens a session from a KV cache.
    ///
    /// # Errors
    /// When the image belongs to other layers or another version than the loaded ones, or the
    /// session can't be opened.
    pub fn import(
        &mut self,
        key: SessionKey,
        image: &KvImage,
        now: Millis,
    ) -> Result<SessionStanding, StepRefusal> {
        if image.layers != self.loaded.layers || image.version != self.loaded.version {
            return Err(StepRefusal::WrongLayers);
        }
        if self.readiness() != Readiness::Ready {
            return Err(StepRefusal::Leaving);
        }
        self.sessions.import(key, image, now)
    }

    /// Accepts or rejects an order. With `checks_fence` false the engine ignores fencing numbers
    /// (an injected fault).
    pub fn decide_order(&mut self, order: &EngineOrder, checks_fence: bool) -> OrderDecision {
        let order_number = (order.fence, order.sequence);
        let newest_number = (self.fence, self.order_sequence);
        if checks_fence && order_number < newest_number {
            return decision(OrderReply::Fenced { newest: self.fence }, false);
        }
        self.fence = order.fence.max(self.fence);
        self.order_sequence = order.sequence;
        if self.already_fulfills(order) {
            return decision(OrderReply::Unchanged, false);
        }
        self.pending_order = Some(order.clone());
        decision(OrderReply::Accepted, true)
    }

    /// Completes a load: replaces the loaded weights by the ordered ones and frees all sessions.
    /// Does nothing and returns false when another order was accepted in the meantime.
    pub fn finish_load(&mut self, order: &EngineOrder) -> bool {
        if self.pending_order.as_ref() != Some(order) {
            return false;
        }
        self.pending_order = None;
        self.sessions.free_all();
        self.prefixes.clear();
        self.loaded = Engine {
            model: order.model.clone(),
            version: order.version.clone(),
            adapter: order.adapter.clone(),
            layers: order.layers,
            accelerator: self.loaded.accelerator.clone(),
        };
        self.seed = model_seed(&self.loaded.model, &self.loaded.version);
        true
    }

    /// Whether the ordered state is already loaded or, if a load is pending, being loaded.
    fn already_fulfills(&self, order: &EngineOrder) -> bool {
        if let Some(pending) = &self.pending_order {
            return pending.model == order.model
                && pending.version == order.version
                && pending.adapter == order.adapter
                && pending.layers == order.layers;
        }
        self.loaded.model == order.model
            && self.loaded.version == order.version
            && self.loaded.adapter == order.adapter
            && self.loaded.layers == order.layers
    }

    /// State as reported to its callers; an engine that ignores fencing numbers reports no fence.
    #[must_use]
    pub fn state(&self, checks_fence: bool) -> EngineState {
        EngineState {
            target: self.name.clone(),
            fence: checks_fence.then_some(self.fence),
            model: self.loaded.model.clone(),
            version: self.loaded.version.clone(),
            adapter: self.loaded.adapter.clone(),
            layers: self.loaded.layers,
            loading: self.pending_order.is_some(),
        }
    }

    /// Current load; `in_flight` is the number of steps running or queued.
    pub fn load_report(&mut self, in_flight: u32, now: Millis) -> LoadReport {
        while let Some((finished_at, _)) = self.recent_steps.front()
            && now - *finished_at >= RATE_WINDOW_MS
        {
            self.recent_steps.pop_front();
        }
        LoadReport {
            in_flight,
            kv_bytes_used: self.sessions.kv_bytes_used(),
            tokens_per_s: self.recent_steps.iter().map(|(_, count)| *count).sum(),
        }
    }
}

const fn refused_step(refusal: StepRefusal) -> FinishedStep {
    FinishedStep {
        result: Err(refusal),
        line: None,
    }
}

const fn decision(reply: OrderReply, starts_load: bool) -> OrderDecision {
    OrderDecision { reply, starts_load }
}
