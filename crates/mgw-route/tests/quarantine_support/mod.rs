//! Entries, controls and targets in logical time: streams and plain calls begin, go on and end, targets end
//! under them, and entries exchange evidence as often as they do in operation.
#![allow(dead_code, reason = "each test uses a part")]

use mgw_route::{
    EntryQuarantine, QuarantineTable, QuarantineUpdate, TargetEnd, TargetRun, report_interval_ms,
};
use mgw_world::{Incarnation, Millis, PromptPart, RequestDigest, Subject};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const HARMFUL: PromptPart = PromptPart(0xbad);
/// A call that ends each target of the plain service, or a stream whose own content does.
pub const HARMFUL_REQUEST: RequestDigest = RequestDigest([0xbd; 16]);
/// A sound call that comes again and again.
pub const POPULAR: RequestDigest = RequestDigest([0x50; 16]);
/// First part of the requests with the harmful one; sound streams of the same caller have it too.
pub const FIRST_OF_HARMFUL: PromptPart = PromptPart(3);
const TICK_MS: Millis = Millis(5);
/// Time from the send of a request to its first event or its answer.
const BEGIN_MS: Millis = Millis(180);
/// Time from the send of a stream to its second event.
const SOUND_MS: Millis = Millis(230);
/// Time from the send of a plain call to its answer.
const CALL_MS: Millis = Millis(60);
/// Time from the end of a target until it takes requests again.
const RESTART_MS: Millis = Millis(3_000);
/// Time after which a caller repeats a request that failed.
const CALLER_PAUSE_MS: Millis = Millis(300);
/// Shortest time between two reports of an entry.
const MIN_REPORT_MS: Millis = Millis(100);
/// Time after which an entry gives up a control that doesn't answer.
const ANSWER_TIMEOUT_MS: Millis = Millis(500);
/// Time until all entries use another control after one was lost.
const SWITCH_MS: Millis = Millis(3_000);
const SUBSTITUTES: usize = 2;
const CONTROLS: usize = 5;

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
    /// Targets of the plain service.
    pub plain_targets: usize,
    pub calls_per_s: u64,
}

/// The deployments with 6, 66 and 291 entries.
pub const SIZES: [Size; 3] = [
    Size {
        entries: 6,
        targets: 6,
        streams_per_s: 45,
        first_parts: 10,
        spread_limit_ms: Millis(3_000),
        plain_targets: 3,
        calls_per_s: 10,
    },
    Size {
        entries: 66,
        targets: 12,
        streams_per_s: 300,
        first_parts: 24,
        spread_limit_ms: Millis(4_000),
        plain_targets: 4,
        calls_per_s: 40,
    },
    Size {
        entries: 291,
        targets: 25,
        streams_per_s: 500,
        first_parts: 40,
        spread_limit_ms: Millis(5_000),
        plain_targets: 5,
        calls_per_s: 60,
    },
];

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pool {
    Streams,
    Plain,
}

#[derive(Debug, Clone)]
struct Sent {
    entry: usize,
    subjects: Vec<Subject>,
    pool: Pool,
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
    has_new_ends: bool,
    /// Neither reports nor sends until then.
    frozen_until: Millis,
}

#[derive(Debug, Default)]
struct Control {
    table: QuarantineTable,
    lost_at: Option<Millis>,
}

/// What happened to requests.
#[derive(Debug, Default)]
pub struct Counts {
    /// When harmful requests were sent to targets, and by which entry.
    pub harmful_sent: Vec<(Millis, usize)>,
    /// When targets ended under them.
    pub ends_at: Vec<Millis>,
    /// Requests that aren't harmful and were refused because of a quarantine.
    pub sound_refused: usize,
    pub sound_sent: usize,
}

/// A system in logical time.
pub struct System {
    pub now: Millis,
    pub size: Size,
    pub counts: Counts,
    /// Time between two requests with the harmful part; none come without it.
    pub harmful_interval_ms: Option<Millis>,
    /// Time between two copies of the harmful request, and where it goes.
    pub harmful_request: Option<(Millis, Pool)>,
    /// Time from the arrival of the harmful request to the end of its target.
    pub ends_after_ms: Millis,
    /// Calls a second of the popular one.
    pub popular_per_s: u64,
    /// Time between two ends of a target that no request caused.
    pub crash_interval_ms: Option<Millis>,
    /// Whether verdicts can be committed.
    pub has_quorum: bool,
    committed: Vec<Subject>,
    /// Requests that came with the harmful part.
    with_harmful_part: Vec<Subject>,
    revision: u64,
    controls: Vec<Control>,
    entries: Vec<Entry>,
    targets: Vec<TargetState>,
    requests: Vec<Sent>,
    callers: Vec<(Millis, Pool, Vec<Subject>)>,
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
            has_new_ends: false,
            frozen_until: Millis::ZERO,
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
            harmful_interval_ms: None,
            harmful_request: None,
            ends_after_ms: CALL_MS,
            popular_per_s: 0,
            crash_interval_ms: None,
            has_quorum: true,
            committed: Vec::new(),
            with_harmful_part: Vec::new(),
            revision: 0,
            controls: (0..CONTROLS).map(|_| Control::default()).collect(),
            targets: vec![target; size.targets + size.plain_targets],
            requests: Vec::new(),
            callers: Vec::new(),
            rng,
        }
    }

    pub fn run(&mut self, span_ms: Millis) {
        let ends_at = self.now + span_ms;
        while self.now < ends_at {
            self.now += TICK_MS;
            self.begin_requests();
            self.advance_requests();
            self.exchange_reports();
        }
    }

    /// Runs until so many targets have ended under harmful requests, for ten seconds at most.
    pub fn run_until_ends(&mut self, count: usize) {
        let ends_at = self.now + Millis(10_000);
        while self.counts.ends_at.len() < count && self.now < ends_at {
            self.run(TICK_MS);
        }
    }

    /// Ends many targets at once, as when a rack loses power.
    pub fn end_targets(&mut self, targets: std::ops::Range<usize>) {
        for target in targets {
            self.end_target(target);
        }
    }

    /// The targets of the plain service.
    pub fn plain_targets(&self) -> std::ops::Range<usize> {
        self.size.targets..self.targets.len()
    }

    /// The collecting control is lost; entries call it in vain until they switch to another one.
    pub fn lose_control(&mut self) {
        let now = self.now;
        let running = self.controls.iter_mut().find(|it| it.lost_at.is_none());
        running.unwrap().lost_at = Some(now);
    }

    pub fn restart_entry(&mut self, entry: usize) {
        self.entries[entry].quarantine = EntryQuarantine::default();
        self.entries[entry].report_at = self.now + MIN_REPORT_MS;
    }

    pub fn freeze_entry(&mut self, entry: usize, span_ms: Millis) {
        self.entries[entry].frozen_until = self.now + span_ms;
    }

    /// Targets end one after the other while an entry has sent the subject there.
    pub fn record_ends_at(
        &mut self,
        entry: usize,
        subject: Subject,
        targets: std::ops::Range<usize>,
    ) {
        for target in targets {
            self.end_target(target);
            let times = TargetEnd {
                sent_at: self.now - Millis(60),
                ended_at: self.now,
            };
            let run = TargetRun {
                name: format!("target-{target}").as_str().into(),
                incarnation: Incarnation(self.targets[target].incarnation - 1),
            };
            let quarantine = &mut self.entries[entry].quarantine;
            quarantine.record_end(&[subject], &run, times);
            self.run(Millis(100));
        }
    }

    /// An entry has seen the subject sound.
    pub fn record_sound_at(&mut self, entry: usize, subject: Subject) {
        let now = self.now;
        let quarantine = &mut self.entries[entry].quarantine;
        quarantine.record_sound(&[subject], now);
    }

    pub fn lift(&mut self, subject: Subject) {
        self.committed.retain(|it| *it != subject);
        self.revision += 1;
    }

    pub fn knows(&self, entry: usize, subject: impl Into<Subject>) -> bool {
        let quarantine = &self.entries[entry].quarantine;
        quarantine
            .find_quarantined(&[subject.into()], self.now)
            .is_some()
    }

    pub fn entries_that_know(&self, subject: impl Into<Subject>) -> usize {
        let subject = subject.into();
        let entries = 0..self.entries.len();
        entries.filter(|entry| self.knows(*entry, subject)).count()
    }

    /// Subjects that were quarantined although they are sound.
    pub fn wrongly_quarantined(&self) -> Vec<Subject> {
        let subjects = self.committed.iter().copied();
        subjects
            .filter(|it| !is_harmful(&[*it]) && !self.with_harmful_part.contains(it))
            .collect()
    }

    /// Harmful requests that were sent later than the limit after the end with this number.
    pub fn late_sends(&self, known_end: usize, limit_ms: Millis) -> usize {
        self.late_sends_of(known_end, limit_ms, |_| Millis::ZERO)
    }

    /// As [`Self::late_sends`], for entries whose sends count only from some time on.
    pub fn late_sends_of(
        &self,
        known_end: usize,
        limit_ms: Millis,
        counted_from: impl Fn(usize) -> Millis,
    ) -> usize {
        let Some(known_at) = self.counts.ends_at.get(known_end - 1) else {
            return 0;
        };
        let sent = self.counts.harmful_sent.iter();
        sent.filter(|(at, entry)| *at > *known_at + limit_ms && *at > counted_from(*entry))
            .count()
    }

    fn is_due(&mut self, interval_ms: Option<Millis>) -> bool {
        interval_ms.is_some_and(|it| self.rng.random_ratio(5, u32::try_from(it.0).unwrap()))
    }

    fn count_due(&mut self, per_s: u64) -> usize {
        let per_tick = per_s as f64 * TICK_MS.0 as f64 / 1_000.0;
        per_tick.floor() as usize + usize::from(self.rng.random_bool(per_tick.fract()))
    }

    fn new_request(&mut self) -> Subject {
        Subject::Request(RequestDigest(self.rng.random()))
    }

    fn begin_requests(&mut self) {
        for _ in 0..self.count_due(self.size.streams_per_s) {
            let first = PromptPart(self.rng.random_range(0..self.size.first_parts));
            let session = PromptPart(0x1000 + self.rng.random_range(0..400));
            let request = self.new_request();
            self.call(
                Pool::Streams,
                vec![first.into(), session.into(), request],
                true,
            );
        }
        for _ in 0..self.count_due(self.size.calls_per_s) {
            let request = self.new_request();
            self.call(Pool::Plain, vec![request], true);
        }
        for _ in 0..self.count_due(self.popular_per_s) {
            self.call(Pool::Plain, vec![POPULAR.into()], true);
        }
        if self.is_due(self.harmful_interval_ms) {
            let request = self.new_request();
            self.with_harmful_part.push(request);
            let subjects = vec![FIRST_OF_HARMFUL.into(), HARMFUL.into(), request];
            self.call(Pool::Streams, subjects, true);
        }
        if let Some((interval_ms, pool)) = self.harmful_request
            && self.is_due(Some(interval_ms))
        {
            self.call_harmful(pool, 1);
        }
        if self.is_due(self.crash_interval_ms) {
            let target = self.rng.random_range(0..self.targets.len());
            self.end_target(target);
        }
        let now = self.now;
        let due: Vec<_> = self.callers.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, pool, subjects) in due {
            self.call(pool, subjects, false);
        }
    }

    /// Sends copies of the harmful request at the same moment.
    pub fn call_harmful(&mut self, pool: Pool, copies: usize) {
        let mut subjects: Vec<Subject> = vec![HARMFUL_REQUEST.into()];
        if pool == Pool::Streams {
            subjects.insert(0, FIRST_OF_HARMFUL.into());
        }
        for _ in 0..copies {
            self.call(pool, subjects.clone(), true);
        }
    }

    /// A caller sends a request to an entry at random.
    fn call(&mut self, pool: Pool, subjects: Vec<Subject>, caller_repeats: bool) {
        let entry = self.rng.random_range(0..self.entries.len());
        if self.entries[entry].frozen_until > self.now {
            return;
        }
        self.send(Sent {
            entry,
            subjects,
            pool,
            target: 0,
            sent_at: self.now,
            is_sound: false,
            is_repeat: false,
            caller_repeats,
        });
    }

    /// Sends a request to a target at random.
    fn send(&mut self, request: Sent) {
        let quarantine = &mut self.entries[request.entry].quarantine;
        let is_harmful = is_harmful(&request.subjects);
        if !quarantine.is_informed() && self.now > Millis(11_000) {
            return;
        }
        if quarantine.admit(&request.subjects, self.now).is_err() {
            self.counts.sound_refused += usize::from(!is_harmful);
            return;
        }
        let targets = match request.pool {
            Pool::Streams => 0..self.size.targets,
            Pool::Plain => self.plain_targets(),
        };
        let up: Vec<usize> = targets
            .filter(|it| self.targets[*it].up_at <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        let target = up[self.rng.random_range(0..up.len())];
        if is_harmful {
            self.counts.harmful_sent.push((self.now, request.entry));
        } else {
            self.counts.sound_sent += 1;
        }
        self.requests.push(Sent {
            target,
            sent_at: self.now,
            ..request
        });
    }

    fn advance_requests(&mut self) {
        let now = self.now;
        let ends_after_ms = self.ends_after_ms;
        let ending: Vec<usize> = self
            .requests
            .iter()
            .filter(|it| {
                let after_ms = match it.pool {
                    Pool::Streams => BEGIN_MS,
                    Pool::Plain => ends_after_ms,
                };
                is_harmful(&it.subjects) && now >= it.sent_at + after_ms
            })
            .map(|it| it.target)
            .collect();
        for target in ending {
            if self.targets[target].up_at <= now {
                self.counts.ends_at.push(now);
                self.end_target(target);
            }
        }
        for request in &mut self.requests {
            let (sound_after_ms, shown_after_ms) = match request.pool {
                Pool::Streams => (SOUND_MS, BEGIN_MS),
                Pool::Plain => (CALL_MS, CALL_MS),
            };
            if request.is_sound || now < request.sent_at + sound_after_ms {
                continue;
            }
            request.is_sound = true;
            let shown_at = request.sent_at + shown_after_ms;
            let entry = &mut self.entries[request.entry];
            let quarantine = &mut entry.quarantine;
            let is_due = match request.pool {
                Pool::Streams => quarantine.record_sound_stream(&request.subjects, shown_at),
                Pool::Plain => quarantine.record_sound(&request.subjects, shown_at),
            };
            if is_due {
                entry.report_soon(now);
            }
        }
        // Streams last on, but what follows doesn't matter here.
        self.requests.retain(|it| {
            let is_done = it.pool == Pool::Plain && it.is_sound;
            !is_done && now < it.sent_at + Millis(1_000)
        });
    }

    pub fn end_target(&mut self, target: usize) {
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
        let broken: Vec<Sent> = self
            .requests
            .extract_if(.., |it| it.target == target)
            .collect();
        for request in broken.into_iter().filter(|it| !it.is_sound) {
            let entry = &mut self.entries[request.entry];
            let times = TargetEnd {
                sent_at: request.sent_at,
                ended_at: now,
            };
            if entry.quarantine.record_end(&request.subjects, &run, times) {
                entry.has_new_ends = true;
                entry.report_soon(now);
            }
            if !request.is_repeat && entry.quarantine.may_repeat(&request.subjects) {
                self.send(Sent {
                    is_repeat: true,
                    ..request
                });
            } else if request.caller_repeats {
                let at = now + CALLER_PAUSE_MS;
                self.callers.push((at, request.pool, request.subjects));
            }
        }
    }

    fn exchange_reports(&mut self) {
        let now = self.now;
        let interval_ms = report_interval_ms(u32::try_from(self.entries.len()).unwrap());
        for number in 0..self.entries.len() {
            let entry = &mut self.entries[number];
            if now < entry.report_at.max(entry.frozen_until) {
                continue;
            }
            entry.reported_at = now;
            entry.report_at = now + interval_ms;
            self.exchange(number);
        }
    }

    /// An entry calls the first control that it takes to be alive, or else its substitutes.
    fn exchange(&mut self, number: usize) {
        let now = self.now;
        let is_listed = |control: &&mut Control| {
            let lost_at = control.lost_at;
            lost_at.is_none_or(|at| now < at + SWITCH_MS)
        };
        let controls = self.controls.iter_mut().filter(is_listed);
        let mut controls: Vec<&mut Control> = controls.take(1 + SUBSTITUTES).collect();
        let entry = &mut self.entries[number];
        let report = entry.quarantine.report(now);
        let name = number.to_string();
        if std::mem::take(&mut entry.has_new_ends) {
            let substitutes = controls.iter_mut().skip(1);
            for control in substitutes.filter(|it| it.lost_at.is_none()) {
                control.table.record(&name, &report, now);
            }
        }
        let Some(answering) = controls.iter().position(|it| it.lost_at.is_none()) else {
            return;
        };
        let table = &mut controls[answering].table;
        let committed = self.committed.iter().copied();
        table.set_quarantined(self.revision, committed, now);
        let update = table.exchange(&name, &report, now);
        if answering == 0 {
            entry.quarantine.update(&update, now);
        } else {
            entry.quarantine.update_by_substitute(&update, now);
            // The control before it was waited for.
            entry.report_at += ANSWER_TIMEOUT_MS.times(answering as u64);
        }
        let to_lift = table.to_lift();
        self.commit(&update);
        for subject in to_lift {
            self.lift(subject);
        }
    }

    fn commit(&mut self, update: &QuarantineUpdate) {
        for suspect in update.to_commit().filter(|_| self.has_quorum) {
            if !self.committed.contains(&suspect.subject) {
                self.committed.push(suspect.subject);
                self.revision += 1;
            }
        }
    }
}

impl Entry {
    fn report_soon(&mut self, now: Millis) {
        let soon = self.reported_at + MIN_REPORT_MS;
        self.report_at = self.report_at.min(soon).max(now);
    }
}

fn is_harmful(subjects: &[Subject]) -> bool {
    subjects.contains(&HARMFUL.into()) || subjects.contains(&HARMFUL_REQUEST.into())
}
