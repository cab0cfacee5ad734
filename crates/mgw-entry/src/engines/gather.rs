//! Gathers the steps of many requests for one engine, so that they go out in one message.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use mgw_contract::engine::{StageOutput, StageStep};
use mgw_route::{StepWindow, StepWindowSettings};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::{EngineSettings, SentMark, StepError};

/// A step that waits to be sent.
#[derive(Debug)]
pub(super) struct Job {
    /// The step.
    pub step: StageStep,
    /// Set when the step is sent.
    pub sent: SentMark,
    /// Where its result goes; closed once nobody wants it any more.
    pub reply: oneshot::Sender<Result<StageOutput, StepError>>,
}

/// The steps that wait for one engine, by priority and then in order of arrival.
#[derive(Debug)]
struct Lane {
    jobs: VecDeque<Job>,
    window: StepWindow,
    is_called: bool,
}

/// The steps that wait, by engine.
#[derive(Debug)]
pub(super) struct Gatherer {
    window: StepWindowSettings,
    lanes: Mutex<BTreeMap<SocketAddr, Lane>>,
}

impl Gatherer {
    /// Nothing waits yet.
    pub fn new(settings: EngineSettings) -> Self {
        let usual = StepWindowSettings::default();
        let least = f64::from(settings.least_steps_out.max(1));
        let window = StepWindowSettings {
            min: least,
            initial: usual.initial.max(least),
            max: usual.max.max(least),
            ..usual
        };
        Self {
            window,
            lanes: Mutex::default(),
        }
    }

    /// Adds a step; returns whether someone has to come and take it.
    pub fn push(&self, address: SocketAddr, job: Job) -> bool {
        let mut lanes = self.lanes.lock();
        let lane = lanes.entry(address).or_insert_with(|| Lane {
            jobs: VecDeque::new(),
            window: StepWindow::new(self.window),
            is_called: false,
        });
        let priority = job.step.priority;
        let place = lane
            .jobs
            .partition_point(|other| other.step.priority >= priority);
        lane.jobs.insert(place, job);
        !std::mem::replace(&mut lane.is_called, true)
    }

    /// Takes the next message for an engine, without the steps that nobody wants any more; empty
    /// when what waits has to wait on.
    pub fn take(&self, address: SocketAddr, most: usize) -> Vec<Job> {
        let mut lanes = self.lanes.lock();
        let Some(lane) = lanes.get_mut(&address) else {
            return Vec::new();
        };
        lane.is_called = false;
        lane.jobs.retain(|job| !job.reply.is_closed());
        let granted = lane.window.grant(lane.jobs.len().min(most));
        lane.jobs.drain(..granted).collect()
    }

    /// Takes note of the end of a message.
    pub fn end(&self, address: SocketAddr, steps: usize, took_ms: Option<f64>) {
        if let Some(lane) = self.lanes.lock().get_mut(&address) {
            lane.window.complete(steps, took_ms, lane.jobs.len());
        }
    }
}

/// Whether a step may go out together with steps of other requests.
///
/// A message is answered when all of its steps have ended. Long steps would hold the others back,
/// and a step that opens a session must not run any more once its caller went away.
pub(super) const fn may_share(step: &StageStep) -> bool {
    step.count == 1 && step.first.0 > 0
}
