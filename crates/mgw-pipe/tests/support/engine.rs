//! Simulated engines: their layers, sessions and injected faults.

use std::collections::BTreeMap;

use mgw_contract::engine::SessionKey;
use mgw_pipe::{GenerationRequest, Stage};
use mgw_world::{LayerRange, Millis, ModelVersion, RequestId, TargetName};

/// Bytes of one position's activation in these tests.
pub const ACTIVATION_BYTES: usize = 8;
/// Duration of a step at an engine without faults.
pub const STEP_MS: Millis = Millis(5);

/// A fault of one step, identified by its number among all steps that reach the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The target is dead from this step on; the step didn't run.
    Die,
    /// The step runs, but its answer is lost and the connection breaks.
    LoseAnswer,
    /// The connection breaks before the step runs.
    LoseStep,
    /// The target answers nothing from this step on.
    Hang,
    /// The step and all later ones take this much longer.
    Slow(u64),
    /// The step is refused: 0 as full, 1 as leaving, else for wrong layers.
    Refuse(u8),
    /// The target loses all its sessions before this step.
    DropSessions,
    /// The step runs, and the target is then reported as degraded.
    Degrade,
}

/// A fault of one export or import, identified by its number among all that reach the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferFault {
    /// The call is refused.
    Fail,
    /// The call takes effect, but its answer is lost.
    LoseAnswer,
    /// The call is never answered.
    Hang,
    /// The answer takes this much longer.
    Slow(u64),
    /// The exported image contains one position more than the session ran.
    ExtraPosition,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Session {
    pub(super) next: u32,
    pub(super) states: BTreeMap<u16, u64>,
}

/// A simulated engine.
#[derive(Debug, Clone)]
pub struct Engine {
    pub stage: Stage,
    /// Faults by the number of the step.
    pub faults: BTreeMap<u32, Fault>,
    /// Faults by the number of the export or import.
    pub transfer_faults: BTreeMap<u32, TransferFault>,
    pub(super) transfers: u32,
    pub(super) sessions: BTreeMap<SessionKey, Session>,
    pub(super) steps: u32,
    pub(super) dead: bool,
    pub(super) hung: bool,
    pub(super) slow_ms: u64,
}

pub(super) fn mix(left: u64, right: u64) -> u64 {
    let value = (left ^ right.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value ^ (value >> 29)
}

pub(super) fn run_layers(
    states: &mut BTreeMap<u16, u64>,
    layers: LayerRange,
    position: u32,
    input: u64,
) -> u64 {
    let mut value = input;
    for layer in layers.first()..layers.end() {
        let state = states.entry(layer).or_default();
        *state = mix(
            *state,
            mix(value, u64::from(position) << 16 | u64::from(layer)),
        );
        value = mix(value, *state);
    }
    value
}

pub(super) fn to_token(value: u64) -> u32 {
    (value % 32_000) as u32
}

/// The answer that engines without faults give.
pub fn reference_answer(layers: u16, prompt: &[u32], count: usize) -> Vec<u32> {
    let all_layers = LayerRange::new(0, layers).unwrap();
    let mut states = BTreeMap::new();
    let mut tokens = prompt.to_vec();
    let mut position = 0;
    while tokens.len() < prompt.len() + count {
        let value = run_layers(
            &mut states,
            all_layers,
            position,
            u64::from(tokens[position as usize]),
        );
        position += 1;
        if position as usize == tokens.len() {
            tokens.push(to_token(value));
        }
    }
    tokens.split_off(prompt.len())
}

pub fn stage(name: &str, first: u16, end: u16) -> Stage {
    Stage {
        target: TargetName::from(name),
        address: "127.0.0.1:1".parse().unwrap(),
        layers: LayerRange::new(first, end).unwrap(),
        version: ModelVersion::from("v1"),
    }
}

pub fn generation_request(prompt: usize, max_tokens: u32) -> GenerationRequest {
    GenerationRequest {
        request_id: RequestId(7),
        prompt: (0..prompt as u32).map(|index| index * 31 % 997).collect(),
        max_tokens,
        activation_bytes: ACTIVATION_BYTES as u32,
        priority: 0,
        deadline_ms: Some(Millis(60_000)),
    }
}

impl Engine {
    pub fn new(stage: Stage) -> Self {
        Self {
            stage,
            faults: BTreeMap::new(),
            transfer_faults: BTreeMap::new(),
            transfers: 0,
            sessions: BTreeMap::new(),
            steps: 0,
            dead: false,
            hung: false,
            slow_ms: 0,
        }
    }

    pub fn with_fault(mut self, step: u32, fault: Fault) -> Self {
        self.faults.insert(step, fault);
        self
    }

    pub fn with_transfer_fault(mut self, transfer: u32, fault: TransferFault) -> Self {
        self.transfer_faults.insert(transfer, fault);
        self
    }

    pub(super) fn next_transfer_fault(&mut self) -> Option<TransferFault> {
        let number = self.transfers;
        self.transfers += 1;
        self.transfer_faults.get(&number).copied()
    }

    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }
}
