//! Runs an [`EngineCore`] with a batch loop, timers and the journal.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use mgw_contract::engine::{SessionKey, StageStep, StepRefusal, StepReply, StepResult};
use mgw_contract::target::LoadReport;
use mgw_world::{LayerRange, Millis};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use super::batch::{BatchQueue, IterationTiming, QueuedStep};
use super::core::EngineCore;
use crate::context::StandinContext;
use crate::journal::JournalEvent;
use crate::settings::EngineSettings;

/// Maximum lateness of a timer that the next iteration compensates for.
const MAX_CATCH_UP: Duration = Duration::from_millis(5);
/// Interval between checks for idle sessions.
const IDLE_CHECK_MS: Millis = Millis(1000);

type Job = QueuedStep<oneshot::Sender<StepReply>>;
type Queue = BatchQueue<oneshot::Sender<StepReply>>;

/// A running engine: its state and the queue of its batch loop.
#[derive(Debug)]
pub struct EngineServer {
    /// Name, clock, faults and journal of the stand-in.
    pub context: Arc<StandinContext>,
    /// Settings of the engine.
    pub settings: EngineSettings,
    core: Mutex<EngineCore>,
    jobs: mpsc::UnboundedSender<Job>,
    in_flight: AtomicU32,
}

impl EngineServer {
    /// Starts an engine that has `layers` loaded. Its background tasks run until the process ends.
    #[must_use]
    pub fn start(
        context: Arc<StandinContext>,
        settings: EngineSettings,
        layers: LayerRange,
    ) -> Arc<Self> {
        let (jobs, received_jobs) = mpsc::unbounded_channel();
        let core = EngineCore::new(context.name.clone(), settings.clone(), layers);
        let engine = Arc::new(Self {
            context,
            settings,
            core: Mutex::new(core),
            jobs,
            in_flight: AtomicU32::new(0),
        });
        tokio::spawn(Arc::clone(&engine).run_batches(received_jobs));
        tokio::spawn(Arc::clone(&engine).free_idle_sessions());
        engine
    }

    /// Locks the state of the engine.
    pub fn core(&self) -> MutexGuard<'_, EngineCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Current load.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        self.core().load_report(in_flight, self.context.clock.now())
    }

    /// Queues a step for one of the next iterations and waits for its result. A step whose caller
    /// cancels before it has started doesn't run.
    pub async fn run_step(&self, step: StageStep) -> StepReply {
        let refused = refusal_reply(&step, StepRefusal::Leaving);
        let (reply, result) = oneshot::channel();
        let job = QueuedStep {
            step,
            arrived_at: self.context.clock.now(),
            reply,
        };
        let _in_flight = InFlight::count(&self.in_flight);
        if self.jobs.send(job).is_err() {
            return refused;
        }
        result.await.unwrap_or(refused)
    }

    /// Frees a session and journals it. Returns whether the session was open.
    pub fn free_session(&self, key: SessionKey) -> bool {
        let was_open = self.core().sessions_mut().free(key);
        if was_open {
            self.context.record([JournalEvent::Free { session: key }]);
        }
        was_open
    }

    async fn run_batches(self: Arc<Self>, mut jobs: mpsc::UnboundedReceiver<Job>) {
        let mut queue = Queue::default();
        let mut busy_until = Instant::now();
        loop {
            drain_into_queue(&mut jobs, &mut queue);
            let was_idle = queue.is_empty();
            if was_idle {
                let Some(job) = jobs.recv().await else {
                    return;
                };
                queue.push(job);
                drain_into_queue(&mut jobs, &mut queue);
            }
            let (batch, positions) = self.start_batch(&mut queue);
            if batch.is_empty() {
                continue;
            }
            let now = Instant::now();
            let catches_up = !was_idle && now.duration_since(busy_until) < MAX_CATCH_UP;
            let start = if catches_up { busy_until } else { now };
            let slow_factor = self.context.faults().slow_factor;
            busy_until = start + self.timing().iteration_duration(positions, slow_factor);
            sleep_until(busy_until).await;
            self.context.wait_while_hanging().await;
            self.finish_batch(batch);
        }
    }

    const fn timing(&self) -> IterationTiming {
        IterationTiming {
            step_ms: self.settings.step_ms,
            tokens_per_s: self.settings.tokens_per_s,
        }
    }

    /// Starts the steps of an iteration and returns them with the number of positions that cost
    /// time. Steps that are refused are answered at once; steps whose caller has disconnected are
    /// dropped.
    fn start_batch(&self, queue: &mut Queue) -> (Vec<Job>, u32) {
        let now = self.context.clock.now();
        let mut core = self.core();
        let mut started = Vec::new();
        let mut positions = 0;
        for job in queue.take_batch(self.settings.batch_positions) {
            if job.reply.is_closed() {
                continue;
            }
            let result = if job.is_past_deadline(now) {
                Err(StepRefusal::TooLate)
            } else {
                core.start(&job.step, now)
            };
            match result {
                Ok(cost_positions) => {
                    positions += cost_positions;
                    started.push(job);
                }
                Err(refusal) => send_reply(job, Err(refusal)),
            }
        }
        (started, positions)
    }

    /// Completes an iteration. The journal is written before any result is sent.
    fn finish_batch(&self, batch: Vec<Job>) {
        let now = self.context.clock.now();
        let mut core = self.core();
        let mut lines = Vec::new();
        let mut results = Vec::new();
        for job in batch {
            let finished = core.finish(&job.step, now);
            lines.extend(finished.line.map(JournalEvent::Step));
            results.push((job, finished.result));
        }
        drop(core);
        let steps = lines.len() as u64;
        self.context.record(lines);
        self.context.count_steps(steps);
        for (job, result) in results {
            send_reply(job, result);
        }
    }

    async fn free_idle_sessions(self: Arc<Self>) {
        loop {
            tokio::time::sleep(IDLE_CHECK_MS.to_duration()).await;
            let now = self.context.clock.now();
            let idle = self.core().sessions_mut().free_idle(now);
            let freed = idle.into_iter();
            self.context
                .record(freed.map(|session| JournalEvent::Free { session }));
        }
    }
}

fn drain_into_queue(jobs: &mut mpsc::UnboundedReceiver<Job>, queue: &mut Queue) {
    while let Ok(job) = jobs.try_recv() {
        queue.push(job);
    }
}

fn refusal_reply(step: &StageStep, refusal: StepRefusal) -> StepReply {
    StepReply {
        session: step.session,
        first: step.first,
        result: Err(refusal),
    }
}

fn send_reply(job: Job, result: StepResult) {
    let reply = StepReply {
        session: job.step.session,
        first: job.step.first,
        result,
    };
    let _ = job.reply.send(reply);
}

/// Counts a step as in flight until this guard is dropped.
struct InFlight<'a>(&'a AtomicU32);

impl<'a> InFlight<'a> {
    fn count(counter: &'a AtomicU32) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
