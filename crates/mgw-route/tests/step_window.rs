//! Tests of step windows: when steps are delayed, how the window adapts to the target, and that the
//! stages of a path are busy at the same time.

use std::collections::VecDeque;

use mgw_route::{StepWindow, StepWindowSettings};

fn window(initial: f64) -> StepWindow {
    StepWindow::new(StepWindowSettings {
        initial,
        ..StepWindowSettings::default()
    })
}

macro_rules! grant_cases {
    ($($name:ident: $initial:expr, [$($waiting:expr => $granted:expr),*];)*) => {$(
        #[test]
        fn $name() {
            let mut window = window($initial);
            $(assert_eq!(window.grant($waiting), $granted, "{} waiting", $waiting);)*
        }
    )*};
}

grant_cases! {
    all_steps_are_sent_while_the_window_is_empty: 8.0, [5 => 5];
    the_window_bounds_the_steps_in_flight: 8.0, [20 => 8, 12 => 0];
    a_second_message_takes_the_free_half_of_the_window: 8.0, [4 => 4, 20 => 4, 16 => 0];
    steps_fewer_than_half_a_window_are_sent_if_all_fit: 8.0, [4 => 4, 2 => 2];
    more_steps_than_fit_are_held_while_less_than_half_the_window_is_free: 8.0, [5 => 5, 10 => 0];
    without_waiting_steps_none_are_sent: 8.0, [0 => 0];
}

#[test]
fn the_window_grows_while_steps_wait_and_the_target_is_fast() {
    let mut window = window(4.0);
    for _ in 0..200 {
        let granted = window.grant(100);
        window.complete(granted, Some(10.0), 100);
    }
    assert!(window.allowed() >= 100, "{window:?}");
    let before = window.allowed();
    for _ in 0..50 {
        let granted = window.grant(3);
        window.complete(granted, Some(10.0), 0);
    }
    assert_eq!(
        window.allowed(),
        before,
        "the window must not grow while no step waits"
    );
}

#[test]
fn the_window_shrinks_to_its_minimum_while_the_target_is_slow() {
    let mut window = window(64.0);
    window.grant(1);
    window.complete(1, Some(10.0), 0);
    let mut last = window.allowed();
    for _ in 0..200 {
        let granted = window.grant(100);
        assert!(granted >= 1);
        window.complete(granted, Some(40.0), 100);
        assert!(window.allowed() <= last);
        last = window.allowed();
    }
    assert_eq!(last, 4, "{window:?}");
}

#[test]
fn a_lost_message_frees_its_part_of_the_window_and_leaves_the_size_unchanged() {
    let mut window = window(8.0);
    assert_eq!(window.grant(20), 8);
    window.complete(8, None, 20);
    assert_eq!(window.allowed(), 8);
    assert_eq!(window.grant(20), 8);
}

const STAGES: usize = 3;
const SESSIONS: usize = 96;
const STEP_MS: u64 = 12;
const TOKENS_PER_S: u64 = 500;
const WARM_UP_MS: u64 = 5_000;
const END_MS: u64 = 25_000;

/// A message at an engine: the index of its entry, its number of steps and when it was sent.
type Message = (usize, usize, u64);

/// One stage of a path: an engine that runs all waiting steps in one iteration, and each entry's
/// window and number of steps not yet sent.
struct StageSim {
    windows: Vec<StepWindow>,
    waiting: Vec<usize>,
    arrived: Vec<Message>,
    running: Vec<Message>,
    free_at: u64,
}

impl StageSim {
    fn send(&mut self, entry: usize, now: u64) {
        loop {
            let granted = self.windows[entry].grant(self.waiting[entry]);
            if granted == 0 {
                return;
            }
            self.waiting[entry] -= granted;
            self.arrived.push((entry, granted, now));
        }
    }

    /// Starts an iteration if the engine is free.
    fn start(&mut self, now: u64) {
        if !self.running.is_empty() || self.arrived.is_empty() {
            return;
        }
        self.running = std::mem::take(&mut self.arrived);
        let steps: usize = self.running.iter().map(|(_, steps, _)| steps).sum();
        self.free_at = now + STEP_MS.max(steps as u64 * 1_000 / TOKENS_PER_S);
    }
}

/// Simulates sessions that all start at once; returns their throughput as a fraction of the
/// engines'.
fn run_path(entries: usize, settings: StepWindowSettings) -> f64 {
    let stage = |_| StageSim {
        windows: vec![StepWindow::new(settings); entries],
        waiting: vec![0; entries],
        arrived: Vec::new(),
        running: Vec::new(),
        free_at: 0,
    };
    let mut stages: Vec<StageSim> = (0..STAGES).map(stage).collect();
    stages[0].waiting = vec![SESSIONS / entries; entries];
    let mut tokens = 0;
    for now in 0..END_MS {
        let mut moved = VecDeque::new();
        for (index, stage) in stages.iter_mut().enumerate() {
            if stage.free_at <= now {
                moved.extend(stage.running.drain(..).map(|message| (index, message)));
            }
        }
        for (index, (entry, steps, sent)) in moved {
            let stage = &mut stages[index];
            let waiting = stage.waiting[entry];
            stage.windows[entry].complete(steps, Some((now - sent) as f64), waiting);
            if index + 1 == STAGES && now >= WARM_UP_MS {
                tokens += steps;
            }
            stages[(index + 1) % STAGES].waiting[entry] += steps;
        }
        for stage in &mut stages {
            for entry in 0..entries {
                stage.send(entry, now);
            }
            stage.start(now);
        }
    }
    let max_tokens = (END_MS - WARM_UP_MS) * TOKENS_PER_S / 1_000;
    tokens as f64 / max_tokens as f64
}

#[test]
fn step_windows_keep_all_stages_of_a_path_busy() {
    let unlimited = StepWindowSettings {
        initial: 1024.0,
        min: 1024.0,
        ..StepWindowSettings::default()
    };
    for entries in [1, 2, 6] {
        let without = run_path(entries, unlimited);
        let with = run_path(entries, StepWindowSettings::default());
        assert!(
            without <= 0.4,
            "throughput of {entries} entries without a window: {without}"
        );
        assert!(
            with >= 0.95,
            "throughput of {entries} entries with a window: {with}"
        );
    }
}
