//! Limits the steps that one entry has in flight at a target.

/// Settings of a step window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepWindowSettings {
    /// Size of the window before the first observation, in steps.
    pub initial: f64,
    /// The window never falls below this number of steps.
    pub min: f64,
    /// The window never rises above this number of steps.
    pub max: f64,
    /// The window grows only while a message takes at most this multiple of the unloaded time and
    /// at least a whole window of steps is waiting. It falls while messages take longer.
    pub tolerance: f64,
    /// Fraction by which a whole window of slow steps reduces the window.
    pub decrease: f64,
}

impl Default for StepWindowSettings {
    fn default() -> Self {
        Self {
            initial: 8.0,
            min: 4.0,
            max: 1024.0,
            tolerance: 3.0,
            decrease: 0.1,
        }
    }
}

/// Weight of one message in the recent average.
const RECENT_WEIGHT: f64 = 0.1;
/// Fraction of a message's share of the window by which the window falls while less than a whole
/// window is waiting: with all steps in few messages, stages would be idle between them.
const PARTIAL_DECREASE: f64 = 0.25;
/// Rate at which the unloaded time drifts up towards the recent average.
const UNLOADED_DRIFT: f64 = 0.000_1;

/// Delays steps that a target couldn't include in its next iterations anyway.
///
/// An engine runs all waiting steps in one iteration. Without a limit, the requests of a path end
/// up in one batch, which moves from stage to stage while the other stages are idle. Two messages
/// in flight, of half a window each, keep the stages busy at the same time.
///
/// ```
/// use mgw_route::{StepWindow, StepWindowSettings};
/// let mut window = StepWindow::new(StepWindowSettings { initial: 4.0, ..Default::default() });
/// assert_eq!(window.grant(10), 4);
/// assert_eq!(window.grant(6), 0);
/// window.complete(4, Some(5.0), 6);
/// assert_eq!(window.grant(6), 5);
/// ```
#[derive(Debug, Clone)]
pub struct StepWindow {
    settings: StepWindowSettings,
    allowed: f64,
    unloaded_ms: f64,
    recent_ms: f64,
    in_flight: usize,
}

impl StepWindow {
    /// Creates a window without any observation.
    #[must_use]
    pub const fn new(settings: StepWindowSettings) -> Self {
        Self {
            settings,
            allowed: settings.initial,
            unloaded_ms: 0.0,
            recent_ms: 0.0,
            in_flight: 0,
        }
    }

    /// Most steps in flight at once.
    #[must_use]
    pub fn allowed(&self) -> usize {
        self.allowed.floor() as usize
    }

    /// Returns how many of the waiting steps to send now, in one message, and counts them as in
    /// flight.
    pub fn grant(&mut self, waiting: usize) -> usize {
        let free = self.allowed().saturating_sub(self.in_flight);
        let half = self.allowed().div_ceil(2);
        if self.in_flight > 0 && free < half.min(waiting) {
            return 0;
        }
        let granted = free.min(waiting);
        self.in_flight += granted;
        granted
    }

    /// Records that a message with this number of steps ended: after `took_ms` milliseconds if it
    /// was answered, `None` if it wasn't, while `waiting` steps were not yet sent.
    pub fn complete(&mut self, steps: usize, took_ms: Option<f64>, waiting: usize) {
        self.in_flight = self.in_flight.saturating_sub(steps);
        let Some(took_ms) = took_ms else {
            return;
        };
        if self.recent_ms <= 0.0 {
            self.recent_ms = took_ms;
            self.unloaded_ms = took_ms;
        }
        self.recent_ms += RECENT_WEIGHT * (took_ms - self.recent_ms);
        self.unloaded_ms += UNLOADED_DRIFT * (self.recent_ms - self.unloaded_ms);
        self.unloaded_ms = self.unloaded_ms.min(self.recent_ms);
        let share = steps as f64 / self.allowed;
        if took_ms > self.unloaded_ms * self.settings.tolerance {
            self.allowed *= 1.0 - self.settings.decrease * share.min(1.0);
        } else if waiting as f64 >= self.allowed {
            self.allowed += share;
        } else if waiting > 0 {
            self.allowed -= share * PARTIAL_DECREASE;
        }
        self.allowed = self.allowed.clamp(self.settings.min, self.settings.max);
    }
}
