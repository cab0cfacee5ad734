//! What an engine decides: which steps run, what comes out of them, and which orders it takes.

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
    decode_activations, embed, empty_states, encode_activations, model_seed, pick_token, run_layers,
};
use crate::settings::EngineSettings;

/// Span over which the token rate is counted.
const RATE_WINDOW_MS: Millis = Millis(1000);

/// A step that ran, with its result and what the journal says of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedStep {
    /// What the caller of the stage gets.
    pub result: StepResult,
    /// What the journal says; none when nothing ran.
    pub line: Option<StepLine>,
}

/// What to do about an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderDecision {
    /// Answer.
    pub reply: OrderReply,
    /// Whether a load starts now.
    pub starts_load: bool,
}

/// State of an engine.
#[derive(Debug)]
pub struct EngineCore {
    name: TargetName,
    settings: EngineSettings,
    held: Engine,
    seed: u64,
    sessions: SessionStore,
    prefixes: PrefixCache,
    fence: FenceNumber,
    order_sequence: u64,
    pending: Option<EngineOrder>,
    leaving: bool,
    ran: VecDeque<(Millis, u32)>,
}

impl EngineCore {
    /// An engine without sessions that holds `layers`.
    #[must_use]
    pub fn new(name: TargetName, settings: EngineSettings, layers: LayerRange) -> Self {
        let held = Engine {
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
            seed: model_seed(&held.model, &held.version),
            held,
            sessions: SessionStore::new(limits),
            prefixes: PrefixCache::new(settings.prefix_blocks as usize),
            settings,
            fence: FenceNumber::default(),
            order_sequence: 0,
            pending: None,
            leaving: false,
            ran: VecDeque::new(),
        }
    }

    /// What it holds.
    #[must_use]
    pub const fn held(&self) -> &Engine {
        &self.held
    }

    /// Its sessions.
    #[must_use]
    pub const fn sessions(&self) -> &SessionStore {
        &self.sessions
    }

    /// Its sessions, to free some.
    pub const fn sessions_mut(&mut self) -> &mut SessionStore {
        &mut self.sessions
    }

    /// Its prefix cache.
    pub const fn prefixes_mut(&mut self) -> &mut PrefixCache {
        &mut self.prefixes
    }

    /// Takes no new sessions from now on.
    pub const fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether it takes new sessions.
    #[must_use]
    pub const fn readiness(&self) -> Readiness {
        if self.leaving {
            Readiness::Leaving
        } else if self.pending.is_some() {
            Readiness::Loading
        } else {
            Readiness::Ready
        }
    }

    /// Starts a step and returns for how many positions it takes time: those of a cached prefix
    /// take none.
    ///
    /// # Errors
    /// When the step may not run; it then changed nothing.
    pub fn start(&mut self, step: &StageStep, now: Millis) -> Result<u32, StepRefusal> {
        if step.layers != self.held.layers || step.version != self.held.version {
            return Err(StepRefusal::WrongLayers);
        }
        if self.pending.is_some() {
            return Err(StepRefusal::Leaving);
        }
        let opens = self.sessions.standing(step.session).is_none();
        if self.leaving && opens && step.first.0 == 0 {
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
            .start(span, || empty_states(seed, step.layers), now)?;
        let cached = match &step.input {
            StageInput::Tokens(tokens) if opens => self.prefixes.visit(tokens),
            _ => 0,
        };
        Ok(step.count - cached.min(step.count))
    }

    /// Runs a started step.
    pub fn finish(&mut self, step: &StageStep, now: Millis) -> FinishedStep {
        let Some(inputs) = self.read_input(step) else {
            return refused(StepRefusal::WrongInput);
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
            return refused(StepRefusal::NoSession);
        };
        self.ran.push_back((now, step.count));
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

    /// Values that enter the first layer; none when the input has the wrong size.
    fn read_input(&self, step: &StageStep) -> Option<Vec<u64>> {
        let takes_tokens = step.layers.first() == 0;
        let values = match &step.input {
            StageInput::Tokens(tokens) if takes_tokens => {
                let fits = tokens.len() == step.count as usize;
                fits.then(|| {
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
        if self.held.layers.end() == self.settings.model_layers {
            return StageOutput::Token(pick_token(values.last().copied().unwrap_or_default()));
        }
        let activation_bytes = self.settings.activation_bytes as usize;
        StageOutput::Activations(encode_activations(values, activation_bytes))
    }

    /// Exports a session's KV cache.
    #[must_use]
    pub fn export(&self, key: SessionKey) -> Option<KvImage> {
        self.sessions.export(key, &self.held.version)
    }

    /// Opens a session from a KV cache.
    ///
    /// # Errors
    /// When the image is of other layers or another version, or the session can't be opened.
    pub fn import(
        &mut self,
        key: SessionKey,
        image: &KvImage,
        now: Millis,
    ) -> Result<SessionStanding, StepRefusal> {
        if image.layers != self.held.layers || image.version != self.held.version {
            return Err(StepRefusal::WrongLayers);
        }
        if self.readiness() != Readiness::Ready {
            return Err(StepRefusal::Leaving);
        }
        self.sessions.import(key, image, now)
    }

    /// Decides on an order; `checks_fence` is false in an engine that ignores fencing numbers.
    pub fn take_order(&mut self, order: &EngineOrder, checks_fence: bool) -> OrderDecision {
        let number = (order.fence, order.sequence);
        let newest = (self.fence, self.order_sequence);
        if checks_fence && number < newest {
            return decide(OrderReply::Fenced { newest: self.fence }, false);
        }
        self.fence = order.fence.max(self.fence);
        self.order_sequence = order.sequence;
        if self.will_have_state_of(order) {
            return decide(OrderReply::Unchanged, false);
        }
        self.pending = Some(order.clone());
        decide(OrderReply::Accepted, true)
    }

    /// Ends a load: the engine holds what was ordered, and its sessions are gone. Does nothing and
    /// returns false when another order came in between.
    pub fn finish_load(&mut self, order: &EngineOrder) -> bool {
        if self.pending.as_ref() != Some(order) {
            return false;
        }
        self.pending = None;
        self.sessions.free_all();
        self.prefixes.clear();
        self.held = Engine {
            model: order.model.clone(),
            version: order.version.clone(),
            adapter: order.adapter.clone(),
            layers: order.layers,
            accelerator: self.held.accelerator.clone(),
        };
        self.seed = model_seed(&self.held.model, &self.held.version);
        true
    }

    fn will_have_state_of(&self, order: &EngineOrder) -> bool {
        if let Some(pending) = &self.pending {
            return pending.model == order.model
                && pending.version == order.version
                && pending.adapter == order.adapter
                && pending.layers == order.layers;
        }
        self.held.model == order.model
            && self.held.version == order.version
            && self.held.adapter == order.adapter
            && self.held.layers == order.layers
    }

    /// What it says that it has; an engine that ignores fencing numbers knows none.
    #[must_use]
    pub fn state(&self, checks_fence: bool) -> EngineState {
        EngineState {
            target: self.name.clone(),
            fence: checks_fence.then_some(self.fence),
            model: self.held.model.clone(),
            version: self.held.version.clone(),
            adapter: self.held.adapter.clone(),
            layers: self.held.layers,
            loading: self.pending.is_some(),
        }
    }

    /// Its load, with `in_flight` steps running or waiting.
    pub fn load(&mut self, in_flight: u32, now: Millis) -> LoadReport {
        while let Some((ran_at, _)) = self.ran.front()
            && now - *ran_at >= RATE_WINDOW_MS
        {
            self.ran.pop_front();
        }
        LoadReport {
            in_flight,
            kv_bytes_used: self.sessions.kv_bytes_used(),
            tokens_per_s: self.ran.iter().map(|(_, count)| *count).sum(),
        }
    }
}

const fn refused(refusal: StepRefusal) -> FinishedStep {
    FinishedStep {
        result: Err(refusal),
        line: None,
    }
}

const fn decide(reply: OrderReply, starts_load: bool) -> OrderDecision {
    OrderDecision { reply, starts_load }
}
