//! What every stand-in has whatever its role: name, clock, faults and journal.

use std::sync::atomic::{AtomicU64, Ordering};

use mgw_world::{Clock, Incarnation, TargetName};
use tokio::sync::{Notify, watch};

use crate::faults::{Fault, Faults};
use crate::journal::{Journal, JournalEvent, JournalLine};

/// Exit code of a process that was told to die.
const DEATH_EXIT_CODE: i32 = 70;

/// Shared parts of a stand-in.
#[derive(Debug)]
pub struct StandinContext {
    /// Name of the target.
    pub name: TargetName,
    /// Clock of the process.
    pub clock: Clock,
    /// Notified when there is news to announce at once.
    pub announce_soon: Notify,
    incarnation: AtomicU64,
    steps: AtomicU64,
    faults: watch::Sender<Faults>,
    journal: Journal,
}

impl StandinContext {
    /// A stand-in that starts now.
    #[must_use]
    pub fn new(name: TargetName, faults: Faults, journal: Journal) -> Self {
        Self {
            name,
            clock: Clock::monotonic(),
            announce_soon: Notify::new(),
            incarnation: AtomicU64::new(Clock::wall().0),
            steps: AtomicU64::new(0),
            faults: watch::Sender::new(faults),
            journal,
        }
    }

    /// The present incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::SeqCst))
    }

    /// Takes an incarnation that is newer than its own and than `known`.
    pub fn renew_incarnation(&self, known: Incarnation) {
        let newer = known.next().0.max(Clock::wall().0);
        let own = self.incarnation.load(Ordering::SeqCst);
        self.incarnation.store(newer.max(own + 1), Ordering::SeqCst);
    }

    /// Faults in force.
    #[must_use]
    pub fn faults(&self) -> Faults {
        *self.faults.borrow()
    }

    /// Changes the faults and returns those in force.
    pub fn inject(&self, fault: Fault) -> Faults {
        let fault = match fault {
            Fault::DieAfterSteps(steps) => {
                Fault::DieAfterSteps(self.steps.load(Ordering::SeqCst) + steps)
            }
            other => other,
        };
        self.faults
            .send_modify(|faults| *faults = fault.apply(*faults));
        self.faults()
    }

    /// Waits until the stand-in doesn't hang.
    pub async fn while_hanging(&self) {
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| !faults.hang).await;
    }

    /// Waits as long as a slow link holds a call back.
    pub async fn delay_call(&self) {
        tokio::time::sleep(self.faults().link_delay_ms.to_duration()).await;
    }

    /// Holds an answer back, for ever if it is to be lost.
    pub async fn delay_answer(&self) {
        tokio::time::sleep(self.faults().answer_delay_ms.to_duration()).await;
        let loses = |faults: &mut Faults| {
            let loses = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            loses
        };
        if self.faults.send_if_modified(loses) {
            std::future::pending::<()>().await;
        }
    }

    /// Counts steps that ran and ends the process if it was to die then.
    pub fn count_steps(&self, steps: u64) {
        let ran = self.steps.fetch_add(steps, Ordering::SeqCst) + steps;
        let limit = self.faults().die_after_steps;
        if limit.is_some_and(|limit| ran >= limit) {
            tracing::warn!(steps = ran, "ends as it was told to");
            std::process::exit(DEATH_EXIT_CODE);
        }
    }

    /// Writes to the journal. Without a journal nothing may run, so a failed write ends the
    /// process.
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
            tracing::error!(%error, "can't write the journal");
            std::process::exit(DEATH_EXIT_CODE);
        }
    }

    /// The journal as text.
    ///
    /// # Errors
    /// When its file can't be read.
    pub fn read_journal(&self) -> std::io::Result<Vec<u8>> {
        self.journal.read()
    }
}
