//! Collects the steps of many requests for one engine and sends them in one message.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use mgw_contract::engine::{StageOutput, StageStep};
use mgw_route::{StepWindow, StepWindowSettings};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::{EngineSettings, SendTime, StepError};

/// A step that is queued for sending.
#[derive(Debug)]
pub(super) struct QueuedStep {
    /// The step to send.
    pub step: StageStep,
    /// Records when the step is sent.
    pub send_time: SendTime,
    /// Receives the result; closed when the request no longer waits for it.
    pub reply: oneshot::Sender<Result<StageOutput, StepError>>,
}

/// The queued steps of one engine, by descending priority and then in order of arrival.
#[derive(Debug)]
struct EngineQueue {
    steps: VecDeque<QueuedStep>,
    window: StepWindow,
    /// Whether a task is already scheduled to send the next batch.
    is_send_scheduled: bool,
}

/// The queued steps of all engines, by address of the engine.
#[derive(Debug)]
pub(super) struct StepBatcher {
    window: StepWindowSettings,
    queues: Mutex<BTreeMap<SocketAddr, EngineQueue>>,
}

impl StepBatcher {
    /// Creates a batcher without queued steps; each engine gets a window of its own.
    pub fn new(settings: EngineSettings) -> Self {
        let default = StepWindowSettings::default();
        let min_window = f64::from(settings.least_steps_out.max(1));
        let window = StepWindowSettings {
            min: min_window,
            initial: default.initial.max(min_window),
            max: default.max.max(min_window),
            ..default
        };
        Self {
            window,
            queues: Mutex::default(),
        }
    }

    /// Queues a step; returns whether the caller must schedule a task that sends the next batch.
    pub fn push(&self, address: SocketAddr, queued: QueuedStep) -> bool {
        let mut queues = self.queues.lock();
        let queue = queues.entry(address).or_insert_with(|| EngineQueue {
            steps: VecDeque::new(),
            window: StepWindow::new(self.window),
            is_send_scheduled: false,
        });
        let priority = queued.step.priority;
        let position = queue
            .steps
            .partition_point(|other| other.step.priority >= priority);
        queue.steps.insert(position, queued);
        !std::mem::replace(&mut queue.is_send_scheduled, true)
    }

    /// Removes up to `max_steps` steps for the engine's next message, and drops the steps whose
    /// request no longer waits; empty when the engine's window allows no further step now.
    pub fn next_batch(&self, address: SocketAddr, max_steps: usize) -> Vec<QueuedStep> {
        let mut queues = self.queues.lock();
        let Some(queue) = queues.get_mut(&address) else {
            return Vec::new();
        };
        queue.is_send_scheduled = false;
        queue.steps.retain(|queued| !queued.reply.is_closed());
        let granted = queue.window.grant(queue.steps.len().min(max_steps));
        queue.steps.drain(..granted).collect()
    }

    /// Updates the engine's window after a message ended; `took_ms` is `None` when the message got
    /// no answer.
    pub fn complete(&self, address: SocketAddr, steps: usize, took_ms: Option<f64>) {
        if let Some(queue) = self.queues.lock().get_mut(&address) {
            queue.window.complete(steps, took_ms, queue.steps.len());
        }
    }
}

/// Whether a step may be sent in one message with steps of other requests.
///
/// A message is answered when all of its steps have ended. Long steps would delay the others, and a
/// step that opens a session must not run any more once its caller has disconnected, so it is sent
/// in a message that can be dropped alone.
pub(super) const fn can_be_batched(step: &StageStep) -> bool {
    step.count == 1 && step.first.0 > 0
}
