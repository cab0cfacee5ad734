//! The engine as a process: the batch loop, the clock and the journal round the core.

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

/// Most of a timer's lateness that the next iteration makes up for.
const MAX_CATCH_UP: Duration = Duration::from_millis(5);
/// Interval between searches for idle sessions.
const IDLE_SEARCH_MS: Millis = Millis(1000);

type Job = QueuedStep<oneshot::Sender<StepReply>>;
type Queue = BatchQueue<oneshot::Sender<StepReply>>;

/// One engine.
#[derive(Debug)]
pub struct EngineServer {
    /// What it shares with the other roles.
    pub context: Arc<StandinContext>,
    /// Its settings.
    pub settings: EngineSettings,
    core: Mutex<EngineCore>,
    jobs: mpsc::UnboundedSender<Job>,
    in_flight: AtomicU32,
}

impl EngineServer {
    /// Starts an engine that holds `layers`; its loops run until the process ends.
    #[must_use]
    pub fn start(
        context: Arc<StandinContext>,
        settings: EngineSettings,
        layers: LayerRange,
    ) -> Arc<Self> {
        let (jobs, waiting) = mpsc::unbounded_channel();
        let core = EngineCore::new(context.name.clone(), settings.clone(), layers);
        let engine = Arc::new(Self {
            context,
            settings,
            core: Mutex::new(core),
            jobs,
            in_flight: AtomicU32::new(0),
        });
        tokio::spawn(Arc::clone(&engine).run_batches(waiting));
        tokio::spawn(Arc::clone(&engine).free_idle_sessions());
        engine
    }

    /// The decisions.
    pub fn core(&self) -> MutexGuard<'_, EngineCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The present load.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        self.core().load(in_flight, self.context.clock.now())
    }

    /// Runs a step in one of the next iterations. A step whose caller goes away before it started
    /// doesn't run.
    pub async fn run_step(&self, step: StageStep) -> StepReply {
        let refused = refuse(&step, StepRefusal::Leaving);
        let (reply, result) = oneshot::channel();
        let job = QueuedStep {
            step,
            arrived: self.context.clock.now(),
            reply,
        };
        let _counted = InFlight::count(&self.in_flight);
        if self.jobs.send(job).is_err() {
            return refused;
        }
        result.await.unwrap_or(refused)
    }

    /// Frees a session and says so in the journal.
    pub fn free(&self, key: SessionKey) -> bool {
        let was_open = self.core().sessions_mut().free(key);
        if was_open {
            self.context.record([JournalEvent::Free { session: key }]);
        }
        was_open
    }

    async fn run_batches(self: Arc<Self>, mut jobs: mpsc::UnboundedReceiver<Job>) {
        let mut queue = Queue::default();
        let mut free_at = Instant::now();
        loop {
            drain(&mut jobs, &mut queue);
            let was_idle = queue.is_empty();
            if was_idle {
                let Some(job) = jobs.recv().await else {
                    return;
                };
                queue.push(job);
                drain(&mut jobs, &mut queue);
            }
            let (batch, positions) = self.start_batch(&mut queue);
            if batch.is_empty() {
                continue;
            }
            let now = Instant::now();
            let catches_up = !was_idle && now.duration_since(free_at) < MAX_CATCH_UP;
            let start = if catches_up { free_at } else { now };
            let slow_factor = self.context.faults().slow_factor;
            free_at = start + self.pace().iteration(positions, slow_factor);
            sleep_until(free_at).await;
            self.context.while_hanging().await;
            self.finish_batch(batch);
        }
    }

    const fn pace(&self) -> IterationTiming {
        IterationTiming {
            step_ms: self.settings.step_ms,
            tokens_per_s: self.settings.tokens_per_s,
        }
    }

    /// Starts the steps of an iteration and returns them with the positions that take time.
    fn start_batch(&self, queue: &mut Queue) -> (Vec<Job>, u32) {
        let now = self.context.clock.now();
        let mut core = self.core();
        let mut started = Vec::new();
        let mut positions = 0;
        for job in queue.take(self.settings.batch_positions) {
            if job.reply.is_closed() {
                continue;
            }
            let result = if job.is_late(now) {
                Err(StepRefusal::TooLate)
            } else {
                core.start(&job.step, now)
            };
            match result {
                Ok(cost) => {
                    positions += cost;
                    started.push(job);
                }
                Err(refusal) => answer(job, Err(refusal)),
            }
        }
        (started, positions)
    }

    /// Ends an iteration: the journal is written before anyone hears of the results.
    fn finish_batch(&self, batch: Vec<Job>) {
        let now = self.context.clock.now();
        let mut core = self.core();
        let mut lines = Vec::new();
        let mut answers = Vec::new();
        for job in batch {
            let finished = core.finish(&job.step, now);
            lines.extend(finished.line.map(JournalEvent::Step));
            answers.push((job, finished.result));
        }
        drop(core);
        let steps = lines.len() as u64;
        self.context.record(lines);
        self.context.count_steps(steps);
        for (job, result) in answers {
            answer(job, result);
        }
    }

    async fn free_idle_sessions(self: Arc<Self>) {
        loop {
            tokio::time::sleep(IDLE_SEARCH_MS.to_duration()).await;
            let now = self.context.clock.now();
            let idle = self.core().sessions_mut().free_idle(now);
            let freed = idle.into_iter();
            self.context
                .record(freed.map(|session| JournalEvent::Free { session }));
        }
    }
}

fn drain(jobs: &mut mpsc::UnboundedReceiver<Job>, queue: &mut Queue) {
    while let Ok(job) = jobs.try_recv() {
        queue.push(job);
    }
}

fn refuse(step: &StageStep, refusal: StepRefusal) -> StepReply {
    StepReply {
        session: step.session,
        first: step.first,
        result: Err(refusal),
    }
}

fn answer(job: Job, result: StepResult) {
    let reply = StepReply {
        session: job.step.session,
        first: job.step.first,
        result,
    };
    let _ = job.reply.send(reply);
}

/// Counts a step as in flight until it is dropped.
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
