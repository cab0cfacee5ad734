//! Entries, two controls and one target with a rate limit in logical time. Entries report as often
//! as they do in operation; messages and answers take time.
#![allow(dead_code, reason = "each test uses a part")]

use std::collections::VecDeque;

use mgw_route::{
    EntryCounts, EntryRateLimits, LimitReport, LimitUpdate, RateLimitTable, RequestRate, TargetRun,
    report_interval_ms,
};
use mgw_world::{Incarnation, Millis};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK_MS: Millis = Millis(5);
/// Time of a message between an entry and a control.
const MESSAGE_MS: Millis = Millis(5);
/// Time from a request to the head of its answer.
const ANSWER_MS: Millis = Millis(60);
/// Shortest time between two reports of an entry.
const MIN_REPORT_MS: Millis = Millis(100);
/// Span over which requests are counted.
pub const WINDOW_MS: Millis = Millis(4_000);

/// Size of a deployment and its traffic.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub entries: usize,
    /// Requests a second of each entry, all of which would go to the target.
    pub per_entry_s: f64,
    /// Time from the first statement of a limit until it has to be kept.
    pub settle_ms: Millis,
}

/// The deployments with 6, 66 and 291 entries.
pub const SIZES: [Size; 3] = [
    Size {
        entries: 6,
        per_entry_s: 13.5,
        settle_ms: Millis(3_000),
    },
    Size {
        entries: 66,
        per_entry_s: 4.7,
        settle_ms: Millis(4_000),
    },
    Size {
        entries: 291,
        per_entry_s: 1.7,
        settle_ms: Millis(5_000),
    },
];

/// Most requests that a target with this limit may get in a window.
pub fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * 4.0 + 5.0) as usize
}

pub fn run_of(incarnation: u64) -> TargetRun {
    TargetRun {
        name: "target".into(),
        incarnation: Incarnation(incarnation),
    }
}

enum Message {
    Report(LimitReport),
    Update(LimitUpdate),
}

struct Entry {
    limits: EntryRateLimits,
    /// The control that it reports to; none while it reaches none.
    control: Option<usize>,
    frozen_until: Millis,
    next_report_at: Millis,
    asked_at: Millis,
    in_flight: Option<(Millis, Message)>,
}

impl Entry {
    fn new(next_report_at: Millis) -> Self {
        Self {
            limits: EntryRateLimits::default(),
            control: Some(0),
            frozen_until: Millis::ZERO,
            next_report_at,
            asked_at: Millis::ZERO,
            in_flight: None,
        }
    }
}

struct PendingAnswer {
    at: Millis,
    entry: usize,
    incarnation: u64,
    limit: Option<RequestRate>,
}

/// A play in logical time.
pub struct Play {
    pub size: Size,
    entries: Vec<Entry>,
    controls: [RateLimitTable; 2],
    answers: VecDeque<PendingAnswer>,
    rng: ChaCha8Rng,
    /// What the target states.
    pub limit: Option<f64>,
    pub incarnation: u64,
    /// When requests reached the target.
    arrivals: Vec<Millis>,
    pub now: Millis,
}

impl Play {
    pub fn new(size: Size, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let interval_ms = report_interval_ms(size.entries as u32);
        let mut first_report = || Millis(rng.random_range(0..interval_ms.0));
        let entries = (0..size.entries).map(|_| Entry::new(first_report()));
        Self {
            entries: entries.collect(),
            controls: Default::default(),
            answers: VecDeque::new(),
            rng,
            limit: None,
            incarnation: 1,
            arrivals: Vec::new(),
            now: Millis::ZERO,
            size,
        }
    }

    pub fn run_until(&mut self, end: Millis) {
        while self.now < end {
            self.deliver_answers();
            for entry in 0..self.entries.len() {
                if self.entries[entry].frozen_until <= self.now {
                    self.deliver_message(entry);
                    self.report_if_due(entry);
                    self.send_if_drawn(entry);
                }
            }
            self.now += TICK_MS;
        }
    }

    pub fn run_to_s(&mut self, second: u64) {
        self.run_until(Millis(second * 1_000));
    }

    /// Has these entries report to a control, or to none.
    pub fn set_control(&mut self, entries: std::ops::Range<usize>, control: Option<usize>) {
        for entry in &mut self.entries[entries] {
            entry.control = control;
        }
    }

    /// A control loses what it knows.
    pub fn restart_control(&mut self, control: usize) {
        self.controls[control] = RateLimitTable::default();
    }

    pub fn freeze(&mut self, entry: usize, until: Millis) {
        self.entries[entry].frozen_until = until;
    }

    pub fn restart_entry(&mut self, entry: usize) {
        self.entries[entry] = Entry::new(self.now);
    }

    /// Number of entries that know this limit of the target.
    pub fn count_knowing(&self, per_s: Option<f64>) -> usize {
        let rate = per_s.and_then(RequestRate::from_per_s);
        let run = run_of(self.incarnation);
        let known = self.entries.iter();
        known
            .filter(|it| it.limits.rate(&run.name, run.incarnation) == rate)
            .count()
    }

    /// Most requests in a window that begins in this span.
    pub fn busiest(&self, from: Millis, until: Millis) -> usize {
        let times = &self.arrivals;
        let starts = times.iter().enumerate();
        let starts = starts.filter(|(_, at)| (from..until).contains(*at));
        let counts = starts.map(|(first, start)| {
            let end = times.partition_point(|at| *at < *start + WINDOW_MS);
            end - first
        });
        counts.max().unwrap_or_default()
    }

    /// Number of requests between two seconds.
    pub fn count_s(&self, from_s: u64, until_s: u64) -> usize {
        let span = Millis(from_s * 1_000)..Millis(until_s * 1_000);
        let times = self.arrivals.iter();
        times.filter(|at| span.contains(*at)).count()
    }

    fn deliver_answers(&mut self) {
        while self.answers.front().is_some_and(|it| it.at <= self.now) {
            let Some(answer) = self.answers.pop_front() else {
                return;
            };
            let entry = &mut self.entries[answer.entry];
            let run = run_of(answer.incarnation);
            let change = entry.limits.record_answer(&run, answer.limit, self.now);
            if change.is_some() {
                entry.next_report_at = entry.next_report_at.min(entry.asked_at + MIN_REPORT_MS);
            }
        }
    }

    fn deliver_message(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        let Some((_, message)) = entry.in_flight.take_if(|(at, _)| *at <= self.now) else {
            return;
        };
        let control = entry.control;
        let reporting = self.entries.iter().filter(|it| it.control == control);
        let reporting = reporting.count() as u32;
        let entry = &mut self.entries[number];
        match (message, entry.control) {
            (Message::Report(report), Some(control)) => {
                let counts = EntryCounts {
                    reporting,
                    in_view: self.size.entries as u32,
                };
                let name = number.to_string();
                let table = &mut self.controls[control];
                let update = table.exchange(&name, &report, counts, self.now);
                entry.in_flight = Some((self.now + MESSAGE_MS, Message::Update(update)));
            }
            (Message::Update(update), _) => {
                entry.limits.apply(&update, entry.asked_at, self.now);
            }
            (Message::Report(_), None) => {}
        }
    }

    fn report_if_due(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        if self.now < entry.next_report_at || entry.in_flight.is_some() {
            return;
        }
        let entries = self.size.entries as u32;
        entry.next_report_at = self.now + report_interval_ms(entries);
        entry.asked_at = self.now;
        let report = entry.limits.report(entries, self.now);
        if entry.control.is_some() {
            entry.in_flight = Some((self.now + MESSAGE_MS, Message::Report(report)));
        }
    }

    fn send_if_drawn(&mut self, number: usize) {
        let chance = self.size.per_entry_s * TICK_MS.0 as f64 / 1_000.0;
        let entry = &mut self.entries[number];
        if !self.rng.random_bool(chance) || !entry.limits.is_informed() {
            return;
        }
        let run = run_of(self.incarnation);
        if !entry.limits.take(&run, self.now) {
            entry.limits.want(&run);
            return;
        }
        self.arrivals.push(self.now);
        self.answers.push_back(PendingAnswer {
            at: self.now + ANSWER_MS,
            entry: number,
            incarnation: self.incarnation,
            limit: self.limit.and_then(RequestRate::from_per_s),
        });
    }
}
