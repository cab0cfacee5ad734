//! Entries, a control and targets in logical time: streams begin, go on and end, targets end under them,
//! and entries exchange evidence as often as they do in operation.
#![allow(dead_code, reason = "each test uses a part")]

use mgw_route::{
    EntryQuarantine, EvidenceReport, QuarantineTable, TargetEnd, TargetRun, report_interval_ms,
};
use mgw_world::{Incarnation, Millis, PromptPart};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const HARMFUL: PromptPart = PromptPart(0xbad);
/// First part of the requests with the harmful one; sound streams of the same caller have it too.
const FIRST_OF_HARMFUL: PromptPart = PromptPart(3);
const TICK_MS: Millis = Millis(5);
/// Time from the send of a stream to its first event.
const BEGIN_MS: Millis = Millis(180);
/// Time from the send of a stream to its second event.
const SOUND_MS: Millis = Millis(230);
/// Time from the end of a target until it takes streams again.
const RESTART_MS: Millis = Millis(3_000);
/// Time after which a caller repeats a request that failed.
const CALLER_PAUSE_MS: Millis = Millis(300);
/// Shortest time between two reports of an entry.
const MIN_REPORT_MS: Millis = Millis(100);

/// Size of a deployment and its traffic.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub entries: usize,
    /// Targets that streams are sent to.
    pub targets: usize,
    pub streams_per_s: u64,
    /// Different first parts; each stream has one of them.
    pub first_parts: u64,
    /// Time from the fifth end until the part is known everywhere.
    pub spread_limit_ms: Millis,
}

/// The deployments with 6, 66 and 291 entries.
pub const SIZES: [Size; 3] = [
    Size {
        entries: 6,
        targets: 6,
        streams_per_s: 45,
        first_parts: 10,
        spread_limit_ms: Millis(3_000),
    },
    Size {
        entries: 66,
        targets: 12,
        streams_per_s: 300,
        first_parts: 24,
        spread_limit_ms: Millis(4_000),
    },
    Size {
        entries: 291,
        targets: 25,
        streams_per_s: 500,
        first_parts: 40,
        spread_limit_ms: Millis(5_000),
    },
];

#[derive(Debug, Clone)]
struct Stream {
    entry: usize,
    parts: Vec<PromptPart>,
    target: usize,
    sent_at: Millis,
    is_sound: bool,
    is_repeat: bool,
    /// Whether the caller repeats the request if it fails.
    caller_repeats: bool,
}

#[derive(Debug, Clone, Copy)]
struct TargetState {
    incarnation: u64,
    up_at: Millis,
}

#[derive(Debug)]
struct Entry {
    quarantine: EntryQuarantine,
    report_at: Millis,
    reported_at: Millis,
    hears_control: bool,
}

/// What happened to requests.
#[derive(Debug, Default)]
pub struct Counts {
    /// When requests with the harmful part were sent to targets.
    pub harmful_sent_at: Vec<Millis>,
    /// When targets ended under them.
    pub ends_at: Vec<Millis>,
    /// Streams without the part that were refused because of a quarantine.
    pub sound_refused: usize,
    pub sound_sent: usize,
}

/// A system in logical time.
pub struct System {
    pub now: Millis,
    pub size: Size,
    pub counts: Counts,
    pub table: QuarantineTable,
    /// Time between two requests with the harmful part; none come without it.
    pub harmful_interval_ms: Option<Millis>,
    /// Time between two ends of a target that no request caused.
    pub crash_interval_ms: Option<Millis>,
    committed: Vec<PromptPart>,
    revision: u64,
    entries: Vec<Entry>,
    targets: Vec<TargetState>,
    streams: Vec<Stream>,
    callers: Vec<(Millis, Vec<PromptPart>)>,
    rng: ChaCha8Rng,
}

impl System {
    pub fn new(size: Size, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let interval_ms = report_interval_ms(u32::try_from(size.entries).unwrap());
        let entries = (0..size.entries).map(|_| Entry {
            quarantine: EntryQuarantine::default(),
            report_at: Millis(rng.random_range(0..=interval_ms.0)),
            reported_at: Millis::ZERO,
            hears_control: true,
        });
        let target = TargetState {
            incarnation: 1,
            up_at: Millis::ZERO,
        };
        Self {
            entries: entries.collect(),
            now: Millis(10_000),
            size,
            counts: Counts::default(),
            table: QuarantineTable::default(),
            harmful_interval_ms: None,
            crash_interval_ms: None,
            committed: Vec::new(),
            revision: 0,
            targets: vec![target; size.targets],
            streams: Vec::new(),
            callers: Vec::new(),
            rng,
        }
    }

    pub fn run(&mut self, span_ms: Millis) {
        let ends_at = self.now + span_ms;
        while self.now < ends_at {
            self.now += TICK_MS;
            self.begin_requests();
            self.advance_streams();
            self.exchange_reports();
        }
    }

    /// Ends many targets at once, as when a rack loses power.
    pub fn end_targets(&mut self, count: usize) {
        for target in 0..count {
            self.end_target(target);
        }
    }

    /// The collecting control is lost, and another one begins without evidence.
    pub fn replace_control(&mut self) {
        self.table = QuarantineTable::default();
        let committed = self.committed.iter().copied();
        self.table
            .set_quarantined(self.revision, committed, self.now);
    }

    pub fn restart_entry(&mut self, entry: usize) {
        self.entries[entry].quarantine = EntryQuarantine::default();
        self.entries[entry].report_at = self.now + MIN_REPORT_MS;
    }

    pub fn cut_entry(&mut self, entry: usize) {
        self.entries[entry].hears_control = false;
    }

    pub fn lift(&mut self, part: PromptPart) {
        self.committed.retain(|it| *it != part);
        self.revision += 1;
    }

    pub fn knows(&self, entry: usize, part: PromptPart) -> bool {
        let quarantine = &self.entries[entry].quarantine;
        quarantine.find_quarantined(&[part], self.now).is_some()
    }

    pub fn entries_that_know(&self, part: PromptPart) -> usize {
        let entries = 0..self.entries.len();
        entries.filter(|entry| self.knows(*entry, part)).count()
    }

    /// Parts that were quarantined although they are sound.
    pub fn wrongly_quarantined(&self) -> Vec<PromptPart> {
        let parts = self.committed.iter().copied();
        parts.filter(|part| *part != HARMFUL).collect()
    }

    /// Requests with the harmful part that were sent later than the limit after the fifth end.
    pub fn late_sends(&self) -> usize {
        let Some(fifth) = self.counts.ends_at.get(4) else {
            return 0;
        };
        let sent_at = self.counts.harmful_sent_at.iter();
        sent_at
            .filter(|at| **at > *fifth + self.size.spread_limit_ms)
            .count()
    }

    fn is_due(&mut self, interval_ms: Option<Millis>) -> bool {
        interval_ms.is_some_and(|it| self.rng.random_ratio(5, u32::try_from(it.0).unwrap()))
    }

    fn begin_requests(&mut self) {
        let per_tick = self.size.streams_per_s as f64 * TICK_MS.0 as f64 / 1_000.0;
        let mut count = per_tick.floor() as usize;
        count += usize::from(self.rng.random_bool(per_tick.fract()));
        for _ in 0..count {
            let first = PromptPart(self.rng.random_range(0..self.size.first_parts));
            let session = PromptPart(0x1000 + self.rng.random_range(0..400));
            self.call(vec![first, session], true);
        }
        if self.is_due(self.harmful_interval_ms) {
            self.call(vec![FIRST_OF_HARMFUL, HARMFUL], true);
        }
        if self.is_due(self.crash_interval_ms) {
            let target = self.rng.random_range(0..self.targets.len());
            self.end_target(target);
        }
        let now = self.now;
        let due: Vec<_> = self.callers.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, parts) in due {
            self.call(parts, false);
        }
    }

    /// A caller sends a request to an entry at random.
    fn call(&mut self, parts: Vec<PromptPart>, caller_repeats: bool) {
        let entry = self.rng.random_range(0..self.entries.len());
        self.send(Stream {
            entry,
            parts,
            target: 0,
            sent_at: self.now,
            is_sound: false,
            is_repeat: false,
            caller_repeats,
        });
    }

    /// Sends a stream to a target at random.
    fn send(&mut self, stream: Stream) {
        let Stream { entry, parts, .. } = &stream;
        let is_harmful = parts.contains(&HARMFUL);
        let quarantine = &self.entries[*entry].quarantine;
        if quarantine.find_quarantined(parts, self.now).is_some() {
            self.counts.sound_refused += usize::from(!is_harmful);
            return;
        }
        let up = (0..self.targets.len()).filter(|it| self.targets[*it].up_at <= self.now);
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            return;
        }
        let target = up[self.rng.random_range(0..up.len())];
        if is_harmful {
            self.counts.harmful_sent_at.push(self.now);
        } else {
            self.counts.sound_sent += 1;
        }
        self.streams.push(Stream {
            target,
            sent_at: self.now,
            ..stream
        });
    }

    fn advance_streams(&mut self) {
        let now = self.now;
        let ending: Vec<usize> = self
            .streams
            .iter()
            .filter(|it| it.parts.contains(&HARMFUL) && now >= it.sent_at + BEGIN_MS)
            .map(|it| it.target)
            .collect();
        for target in ending {
            if self.targets[target].up_at <= now {
                self.counts.ends_at.push(now);
                self.end_target(target);
            }
        }
        for stream in &mut self.streams {
            if !stream.is_sound && now >= stream.sent_at + SOUND_MS {
                stream.is_sound = true;
                let quarantine = &mut self.entries[stream.entry].quarantine;
                quarantine.record_sound(&stream.parts, stream.sent_at + BEGIN_MS);
            }
        }
        // Streams last on, but what follows doesn't matter here.
        self.streams.retain(|it| now < it.sent_at + Millis(1_000));
    }

    fn end_target(&mut self, target: usize) {
        let now = self.now;
        let state = &mut self.targets[target];
        if state.up_at > now {
            return;
        }
        let run = TargetRun {
            name: format!("target-{target}").as_str().into(),
            incarnation: Incarnation(state.incarnation),
        };
        state.incarnation += 1;
        state.up_at = now + RESTART_MS;
        let broken: Vec<Stream> = self
            .streams
            .extract_if(.., |it| it.target == target)
            .collect();
        for stream in broken.into_iter().filter(|it| !it.is_sound) {
            let entry = &mut self.entries[stream.entry];
            let times = TargetEnd {
                sent_at: stream.sent_at,
                ended_at: now,
            };
            if entry.quarantine.record_end(&stream.parts, &run, times) {
                entry.report_at = entry
                    .report_at
                    .min(entry.reported_at + MIN_REPORT_MS)
                    .max(now);
            }
            if !stream.is_repeat && entry.quarantine.may_repeat(&stream.parts) {
                self.send(Stream {
                    is_repeat: true,
                    ..stream
                });
            } else if stream.caller_repeats {
                self.callers.push((now + CALLER_PAUSE_MS, stream.parts));
            }
        }
    }

    fn exchange_reports(&mut self) {
        let now = self.now;
        let interval_ms = report_interval_ms(u32::try_from(self.entries.len()).unwrap());
        for (number, entry) in self.entries.iter_mut().enumerate() {
            if now < entry.report_at {
                continue;
            }
            entry.reported_at = now;
            entry.report_at = now + interval_ms;
            if !entry.hears_control {
                continue;
            }
            let report: EvidenceReport = entry.quarantine.report(now);
            let committed = self.committed.iter().copied();
            self.table.set_quarantined(self.revision, committed, now);
            let update = self.table.exchange(&number.to_string(), &report, now);
            entry.quarantine.update(&update, now);
            for suspect in update.uncommitted() {
                if !self.committed.contains(&suspect.part) {
                    self.committed.push(suspect.part);
                    self.revision += 1;
                }
            }
        }
    }
}
