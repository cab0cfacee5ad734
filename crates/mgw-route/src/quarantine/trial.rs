//! Trials of quarantined requests: whether one that only shared the ends of another request may be sent
//! again shows when it is sent once.

use std::collections::BTreeMap;

use mgw_world::{Millis, Subject};

/// How long an entry may use a trial.
pub(super) const TRIAL_VALID_MS: Millis = Millis(8_000);
/// Time after the grant until its outcome is known to the control.
const OUTCOME_MS: Millis = Millis(10_000);
/// Time after the last end until a trial, in which the targets that ended have started again.
const QUIET_MS: Millis = Millis(4_000);
/// Most trials of one request. The first one may stay unused, as the next request may come to another entry.
const MAX_TRIALS: u32 = 2;
/// Most requests whose trials are remembered.
const MAX_REQUESTS: usize = 1_000;

#[derive(Debug, Clone, Copy, Default)]
struct Trial {
    count: u32,
    granted_at: Millis,
}

/// The trials that one control has granted to entries.
#[derive(Debug, Clone, Default)]
pub(super) struct Trials {
    granted: BTreeMap<Subject, Trial>,
}

impl Trials {
    /// Grants a trial of a request under which a target last ended then, unless the outcome of an earlier
    /// one is open or there were enough of them.
    pub fn grant(&mut self, subject: Subject, last_ended_at: Millis, now: Millis) -> bool {
        if now - last_ended_at < QUIET_MS {
            return false;
        }
        let is_known = self.granted.contains_key(&subject);
        if !is_known && self.granted.len() >= MAX_REQUESTS {
            return false;
        }
        let trial = self.granted.entry(subject).or_default();
        let is_open = trial.count > 0 && now - trial.granted_at < OUTCOME_MS;
        if is_open || trial.count >= MAX_TRIALS {
            return false;
        }
        trial.count += 1;
        trial.granted_at = now;
        true
    }

    /// The requests that were sound in their trial, by the time of their last sound answer.
    pub fn passed(&self, sound_at: impl Fn(Subject) -> Option<Millis>) -> Vec<Subject> {
        let granted = self.granted.iter();
        let passed = granted.filter(|(subject, trial)| {
            let sound_at = sound_at(**subject);
            sound_at.is_some_and(|at| at >= trial.granted_at)
        });
        passed.map(|(subject, _)| *subject).collect()
    }
}
