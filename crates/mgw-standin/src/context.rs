//! State that a stand-in has in every role: name, incarnation, clock, faults and journal.

use std::sync::atomic::{AtomicU64, Ordering};

use mgw_world::{Clock, Incarnation, TargetName};
use tokio::sync::{Notify, watch};

use crate::faults::{Fault, Faults};
use crate::journal::{Journal, JournalEvent, JournalLine};

/// Exit code after the fault `die_after_steps` or a failed write to the journal.
const ABORT_EXIT_CODE: i32 = 70;

/// State shared by the request handlers, the role handler and the announcer of a stand-in.
#[derive(Debug)]
pub struct StandinContext {
    /// Name of the target.
    pub name: TargetName,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Notified when a change must be announced without waiting for the next renewal.
    pub announce_now: Notify,
    incarnation: AtomicU64,
    /// Steps and calls run since the process started.
    steps_run: AtomicU64,
    faults: watch::Sender<Faults>,
    journal: Journal,
}

impl StandinContext {
    /// Creates the context of a stand-in that starts now; its incarnation is the wall clock.
    #[must_use]
    pub fn new(name: TargetName, faults: Faults, journal: Journal) -> Self {
        Self {
            name,
            clock: Clock::monotonic(),
            announce_now: Notify::new(),
            incarnation: AtomicU64::new(Clock::wall().0),
            steps_run: AtomicU64::new(0),
            faults: watch::Sender::new(faults),
            journal,
        }
    }

    /// Current incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::SeqCst))
    }

    /// Moves to an incarnation that is newer than both the current one and `known`.
    pub fn advance_incarnation(&self, known: Incarnation) {
        let candidate = known.next().0.max(Clock::wall().0);
        let current = self.incarnation.load(Ordering::SeqCst);
        self.incarnation
            .store(candidate.max(current + 1), Ordering::SeqCst);
    }

    /// Active faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        *self.faults.borrow()
    }

    /// Applies a change of the faults and returns the active faults. `DieAfterSteps` counts from
    /// the steps that have already run.
    pub fn inject(&self, fault: Fault) -> Faults {
        let fault = match fault {
            Fault::DieAfterSteps(steps) => {
                Fault::DieAfterSteps(self.steps_run.load(Ordering::SeqCst) + steps)
            }
            other => other,
        };
        self.faults
            .send_modify(|faults| *faults = fault.apply(*faults));
        self.faults()
    }

    /// Waits while the fault `hang` is active.
    pub async fn wait_while_hanging(&self) {
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| !faults.hang).await;
    }

    /// Delays a call by the fault `link_delay_ms`.
    pub async fn delay_call(&self) {
        tokio::time::sleep(self.faults().link_delay_ms.to_duration()).await;
    }

    /// Delays an answer by the fault `answer_delay_ms`, and forever if `lose_answers` applies.
    pub async fn delay_answer(&self) {
        tokio::time::sleep(self.faults().answer_delay_ms.to_duration()).await;
        let take_lost_answer = |faults: &mut Faults| {
            let is_lost = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            is_lost
        };
        if self.faults.send_if_modified(take_lost_answer) {
            std::future::pending::<()>().await;
        }
    }

    /// Counts steps or calls that ran and exits the process if `die_after_steps` is reached.
    pub fn count_steps(&self, steps: u64) {
        let steps_run = self.steps_run.fetch_add(steps, Ordering::SeqCst) + steps;
        let limit = self.faults().die_after_steps;
        if limit.is_some_and(|limit| steps_run >= limit) {
            tracing::warn!(
                steps = steps_run,
                "exiting: the injected fault die_after_steps is reached"
            );
            std::process::exit(ABORT_EXIT_CODE);
        }
    }

    /// Appends events to the journal. Nothing may run without being journaled, so a failed write
    /// exits the process.
    pub fn record(&self, events: impl IntoIterator<Item = JournalEvent>) {
        let lines = events.into_iter().map(|event| JournalLine {
            target: self.name.clone(),
            incarnation: self.incarnation(),
            event,
        });
        let lines: Vec<JournalLine> = lines.collect();
        if lines.is_empty() {
            return;
        }
        if let Err(error) = self.journal.append(&lines) {
            tracing::error!(%error, "exiting: could not append to the journal");
            std::process::exit(ABORT_EXIT_CODE);
        }
    }

    /// Contents of the journal: one JSON line for each event.
    ///
    /// # Errors
    /// When its file can't be read.
    pub fn read_journal(&self) -> std::io::Result<Vec<u8>> {
        self.journal.read()
    }
}
