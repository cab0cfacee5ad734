//! The rate limits of targets as one entry knows them.

use std::collections::HashMap;

use mgw_world::{Incarnation, Millis, TargetName};

use super::rate::RequestRate;
use crate::exclusions::TargetRun;

/// What an entry knows of the limit of one run of a target.
#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    incarnation: Incarnation,
    /// `None` after the target has answered without a limit.
    rate: Option<RequestRate>,
    /// When the target last said so.
    stated_at: Millis,
}

/// A limit that is new, has another value or has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitChange {
    /// The target.
    pub run: TargetRun,
    /// The limit before.
    pub from: Option<RequestRate>,
    /// The limit from now on.
    pub to: Option<RequestRate>,
}

/// The rate limits of targets as one entry knows them.
#[derive(Debug, Clone, Default)]
pub struct EntryRateLimits {
    targets: HashMap<TargetName, KnownLimit>,
}

impl EntryRateLimits {
    /// Records what an answer of a target stated: its limit, or that it has none. Returns the change,
    /// if it is one.
    pub fn record_answer(
        &mut self,
        run: &TargetRun,
        rate: Option<RequestRate>,
        now: Millis,
    ) -> Option<LimitChange> {
        let known = self.targets.get(&run.name);
        let known = known.filter(|it| it.incarnation == run.incarnation);
        let from = known.and_then(|it| it.rate);
        if known.is_none() && rate.is_none() {
            return None;
        }
        let limit = KnownLimit {
            incarnation: run.incarnation,
            rate,
            stated_at: now,
        };
        self.targets.insert(run.name.clone(), limit);
        (from != rate).then(|| LimitChange {
            run: run.clone(),
            from,
            to: rate,
        })
    }

    /// Time since a target last stated its limit; `None` if none is known for this run.
    #[must_use]
    pub fn stated_age_ms(&self, run: &TargetRun, now: Millis) -> Option<Millis> {
        let known = self.targets.get(&run.name);
        let limited = known.filter(|it| it.incarnation == run.incarnation && it.rate.is_some());
        limited.map(|it| now - it.stated_at)
    }

    /// Number of targets with a limit.
    #[must_use]
    pub fn len(&self) -> usize {
        let limits = self.targets.values();
        limits.filter(|it| it.rate.is_some()).count()
    }

    /// Whether no target has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
