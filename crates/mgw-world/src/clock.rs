//! The clock of the project: milliseconds since an arbitrary start, read from the machine or set by
//! a test.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// A point on the monotonic clock of one process, or a span of time, in milliseconds.
///
/// Points of different processes can't be compared.
///
/// ```
/// use mgw_world::Millis;
/// assert_eq!(Millis(5) + Millis(7), Millis(12));
/// assert_eq!(Millis(5) - Millis(7), Millis(0));
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(transparent)]
#[display("{_0} ms")]
pub struct Millis(pub u64);

impl Millis {
    /// The start of the clock, and the empty span.
    pub const ZERO: Self = Self(0);
    /// Later than every point that a clock reaches.
    pub const MAX: Self = Self(u64::MAX);

    /// Converts the span to a standard duration.
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Converts a standard duration, rounded down to milliseconds.
    #[must_use]
    pub fn from_duration(span: Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }

    /// Multiplies a span, saturating at [`Self::MAX`].
    #[must_use]
    pub const fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl std::ops::Add for Millis {
    type Output = Self;

    fn add(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl std::ops::AddAssign for Millis {
    fn add_assign(&mut self, span: Self) {
        *self = *self + span;
    }
}

/// Subtraction saturates at zero.
impl std::ops::Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// Wall-clock time in milliseconds since 1970 (UTC); used only for the audit trail and for display
/// to operators.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

/// Where a clock takes the time from.
#[derive(Debug, Clone)]
enum Source {
    Monotonic(Instant),
    Manual(Arc<AtomicU64>),
}

/// A source of the current time; cheap to clone.
#[derive(Debug, Clone)]
pub struct Clock {
    source: Source,
}

impl Clock {
    /// Creates a clock that follows the machine's monotonic time and starts at zero now.
    #[must_use]
    pub fn monotonic() -> Self {
        Self {
            source: Source::Monotonic(Instant::now()),
        }
    }

    /// Creates a clock that starts at zero and changes only through the returned handle.
    #[must_use]
    pub fn manual() -> (Self, ManualClock) {
        let now_ms = Arc::new(AtomicU64::new(0));
        (
            Self {
                source: Source::Manual(Arc::clone(&now_ms)),
            },
            ManualClock { now_ms },
        )
    }

    /// Time since the start of the clock.
    #[must_use]
    pub fn now(&self) -> Millis {
        match &self.source {
            Source::Monotonic(start) => Millis::from_duration(start.elapsed()),
            Source::Manual(now_ms) => Millis(now_ms.load(Ordering::SeqCst)),
        }
    }

    /// The current time in microseconds, for measuring short spans.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        match &self.source {
            Source::Monotonic(start) => {
                u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
            }
            Source::Manual(now_ms) => now_ms.load(Ordering::SeqCst).saturating_mul(1000),
        }
    }

    /// The current wall-clock time of this machine.
    #[must_use]
    pub fn wall() -> UnixMillis {
        let span = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        UnixMillis(Millis::from_duration(span).0)
    }
}

/// A handle that advances a manual [`Clock`].
#[derive(Debug, Clone)]
pub struct ManualClock {
    now_ms: Arc<AtomicU64>,
}

impl ManualClock {
    /// Moves the clock forward by a span.
    pub fn advance(&self, span: Millis) {
        self.now_ms.fetch_add(span.0, Ordering::SeqCst);
    }
}
