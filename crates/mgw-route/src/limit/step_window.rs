//! How many steps of one entry may be out at a target at once.

/// Settings of a step window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepWindowSettings {
    /// Steps allowed before anything was observed.
    pub initial: f64,
    /// The window never falls below this number of steps.
    pub min: f64,
    /// The window never rises above this number of steps.
    pub max: f64,
    /// The window grows only while a message takes at most this multiple of the unloaded time, and a
    /// whole window waits.
    pub tolerance: f64,
    /// Part of the window that a whole window of slow steps takes off.
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

/// Weight of one message in the short average.
const SHORT_WEIGHT: f64 = 0.1;
/// Part of a message by which the window falls while less than a window waits: with all steps in few
/// messages, stages stand idle between them.
const FALL_PART: f64 = 0.25;
/// Rate at which the unloaded time drifts up towards the short average.
const BASE_DRIFT: f64 = 0.000_1;

/// Holds back the steps that a target can't take into its next iterations anyway.
///
/// An engine takes all waiting steps into one iteration. Where nothing holds them back, the
/// requests of a path end up in one batch, which goes from stage to stage while the other stages
/// stand idle. Messages of half a window, two of them out, keep the stages busy at the same time.
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
    base_ms: f64,
    short_ms: f64,
    out: usize,
}

impl StepWindow {
    /// A window that has observed nothing yet.
    #[must_use]
    pub const fn new(settings: StepWindowSettings) -> Self {
        Self {
            settings,
            allowed: settings.initial,
            base_ms: 0.0,
            short_ms: 0.0,
            out: 0,
        }
    }

    /// Steps that may be out at once.
    #[must_use]
    pub fn allowed(&self) -> usize {
        self.allowed.floor() as usize
    }

    /// How many of the waiting steps go out now, in one message; they count as out from now on.
    pub fn grant(&mut self, waiting: usize) -> usize {
        let free = self.allowed().saturating_sub(self.out);
        let half = self.allowed().div_ceil(2);
        if self.out > 0 && free < half.min(waiting) {
            return 0;
        }
        let granted = free.min(waiting);
        self.out += granted;
        granted
    }

    /// Takes in the end of a message: its steps, its time in milliseconds if it was answered, and
    /// how many steps were waiting.
    pub fn complete(&mut self, steps: usize, took_ms: Option<f64>, waiting: usize) {
        self.out = self.out.saturating_sub(steps);
        let Some(took_ms) = took_ms else {
            return;
        };
        if self.short_ms <= 0.0 {
            self.short_ms = took_ms;
            self.base_ms = took_ms;
        }
        self.short_ms += SHORT_WEIGHT * (took_ms - self.short_ms);
        self.base_ms += BASE_DRIFT * (self.short_ms - self.base_ms);
        self.base_ms = self.base_ms.min(self.short_ms);
        let part = steps as f64 / self.allowed;
        if took_ms > self.base_ms * self.settings.tolerance {
            self.allowed *= 1.0 - self.settings.decrease * part.min(1.0);
        } else if waiting as f64 >= self.allowed {
            self.allowed += part;
        } else if waiting > 0 {
            self.allowed -= part * FALL_PART;
        }
        self.allowed = self.allowed.clamp(self.settings.min, self.settings.max);
    }
}
