//! Tests of the goodput of admission control above capacity, in simulated time, with callers that
//! retry.

use std::collections::BTreeMap;

use mgw_route::{
    Admission, AdmissionCapacity, AdmissionRequest, AdmissionSettings, Decision, Event,
};
use mgw_world::{Millis, RequestId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 20;
const SERVICE_MS: u64 = 500;
const TOKENS: u32 = 50;
const DEADLINE_MS: u64 = 2_000;
const CAPACITY_PER_S: f64 = 40.0;
/// Load before and after the overload, as a fraction of the capacity.
const NORMAL_LOAD: f64 = 0.8;
/// When the overload starts.
const OVERLOAD_START_S: u64 = 20;
const OVERLOAD_END_S: u64 = 80;
const STOP_S: u64 = 480;
const WINDOW_S: u64 = 10;
/// Time after the overload by which refusals end if callers don't wait as told: nothing is left of
/// their requests.
const SETTLE_S: u64 = 20;
/// Time after the overload by which refusals end if callers wait as told: they are served from the
/// spare capacity, which takes long.
const RETRIES_SERVED_S: u64 = 360;

#[derive(Debug, Clone, Copy)]
enum SimEvent {
    Arrive { tries: u32 },
    Retry { tries: u32 },
    Finish { id: RequestId, deadline: u64 },
    Poll,
}

/// Behaviour of callers after a refusal.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Callers {
    GiveUp,
    RetryAsTold,
    RetryAtOnce,
}

#[derive(Debug, Default)]
struct Count {
    /// Answered within the deadline.
    good: u64,
    late: u64,
    refused: u64,
    offers: u64,
}

struct Sim {
    admission: Admission,
    rng: ChaCha8Rng,
    /// Planned events by time and order of planning.
    events: BTreeMap<(u64, u64), SimEvent>,
    order: u64,
    /// Deadline and earlier attempts of each queued request.
    queued: BTreeMap<RequestId, (u64, u32)>,
    /// When the next poll is planned.
    next_poll: Option<u64>,
    callers: Callers,
    seconds: Vec<Count>,
}

impl Sim {
    fn new(callers: Callers, seed: u64) -> Self {
        let capacity = AdmissionCapacity {
            max_requests: SLOTS,
            ..AdmissionCapacity::default()
        };
        Self {
            admission: Admission::new(AdmissionSettings::default(), capacity),
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            order: 0,
            queued: BTreeMap::new(),
            next_poll: None,
            callers,
            seconds: (0..=STOP_S + 60).map(|_| Count::default()).collect(),
        }
    }

    fn plan(&mut self, at: u64, event: SimEvent) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    fn run(&mut self, overload: f64) {
        self.plan(0, SimEvent::Arrive { tries: 0 });
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= STOP_S * 1_000 {
                break;
            }
            match event {
                SimEvent::Arrive { tries } => {
                    let is_high = (OVERLOAD_START_S..OVERLOAD_END_S).contains(&(at / 1_000));
                    let rate = CAPACITY_PER_S * if is_high { overload } else { NORMAL_LOAD };
                    let gap = -self.rng.random::<f64>().max(1e-9).ln() * 1_000.0 / rate;
                    self.plan(at + gap.round() as u64, event);
                    self.offer(at, tries);
                }
                SimEvent::Retry { tries } => self.offer(at, tries),
                SimEvent::Finish { id, deadline } => self.finish(at, id, deadline),
                SimEvent::Poll => {
                    self.next_poll = None;
                    self.poll(at);
                }
            }
        }
    }

    fn offer(&mut self, at: u64, tries: u32) {
        self.order += 1;
        let id = RequestId(u128::from(self.order));
        let deadline = at + DEADLINE_MS;
        let decision = self.admission.offer(
            AdmissionRequest {
                id,
                workspace: "brightfield".into(),
                weight: 1,
                priority: 0,
                deadline_ms: Some(Millis(deadline)),
                tokens: TOKENS,
                kv_bytes: 0,
            },
            Millis(at),
        );
        self.seconds[(at / 1_000) as usize].offers += 1;
        match decision {
            Decision::Start => self.start(at, id, deadline),
            Decision::Queued => {
                self.queued.insert(id, (deadline, tries));
                self.poll(at);
            }
            Decision::Refused { retry_after_ms, .. } => self.refused(at, tries, retry_after_ms),
        }
    }

    fn start(&mut self, at: u64, id: RequestId, deadline: u64) {
        let spread = self.rng.random_range(80..=120);
        self.plan(
            at + SERVICE_MS * spread / 100,
            SimEvent::Finish { id, deadline },
        );
    }

    fn finish(&mut self, at: u64, id: RequestId, deadline: u64) {
        let second = &mut self.seconds[(at / 1_000) as usize];
        if at <= deadline {
            second.good += 1;
        } else {
            second.late += 1;
        }
        self.admission.finished(id, Millis(at));
        self.poll(at);
    }

    fn poll(&mut self, at: u64) {
        for event in self.admission.poll(Millis(at)) {
            match event {
                Event::Start { id } => {
                    let (deadline, _) = self.queued.remove(&id).expect("the request was queued");
                    self.start(at, id, deadline);
                }
                Event::Refused {
                    id, retry_after_ms, ..
                } => {
                    let (_, tries) = self.queued.remove(&id).expect("the request was queued");
                    self.refused(at, tries, retry_after_ms);
                }
            }
        }
        if let Some(next) = self.admission.next_poll() {
            let next = next.0.max(at + 1);
            if self.next_poll.is_none_or(|planned| next < planned) {
                self.next_poll = Some(next);
                self.plan(next, SimEvent::Poll);
            }
        }
    }

    fn refused(&mut self, at: u64, tries: u32, retry_after_ms: Millis) {
        self.seconds[(at / 1_000) as usize].refused += 1;
        let wait = match self.callers {
            Callers::GiveUp => return,
            Callers::RetryAsTold => retry_after_ms.0,
            Callers::RetryAtOnce => 10,
        };
        if tries < 5 {
            self.plan(at + wait, SimEvent::Retry { tries: tries + 1 });
        }
    }

    fn sum(&self, from_s: u64, to_s: u64, part: impl Fn(&Count) -> u64) -> u64 {
        self.seconds[from_s as usize..to_s as usize]
            .iter()
            .map(part)
            .sum()
    }
}

macro_rules! overload_case {
    ($name:ident, $load:expr, $callers:expr) => {
        #[test]
        fn $name() {
            let mut sim = Sim::new($callers, 11);
            sim.run($load);
            let seconds = (OVERLOAD_END_S - OVERLOAD_START_S - 5) as f64;
            let good = sim.sum(OVERLOAD_START_S + 5, OVERLOAD_END_S, |it| it.good) as f64 / seconds;
            let late = sim.sum(OVERLOAD_START_S + 5, OVERLOAD_END_S, |it| it.late) as f64 / seconds;
            let offers = sim.sum(OVERLOAD_START_S + 5, OVERLOAD_END_S, |it| it.offers) as f64 / seconds;
            assert!(
                good >= CAPACITY_PER_S * 0.95,
                "goodput of {good} a second, with {offers} offers a second"
            );
            assert!(late <= CAPACITY_PER_S * 0.01, "{late} late answers a second");
            let returns = $callers == Callers::RetryAsTold;
            let no_refusals_s = OVERLOAD_END_S + if returns { RETRIES_SERVED_S } else { SETTLE_S };
            assert_eq!(
                sim.sum(no_refusals_s, STOP_S, |it| it.refused),
                0,
                "refused after {no_refusals_s} s"
            );
            for from in (OVERLOAD_END_S + SETTLE_S..STOP_S).step_by(WINDOW_S as usize) {
                let refused = sim.sum(from, from + WINDOW_S, |it| it.refused);
                let good = sim.sum(from, from + WINDOW_S, |it| it.good) as f64;
                let is_full = good >= CAPACITY_PER_S * 0.95 * WINDOW_S as f64;
                assert!(
                    is_full || refused <= 20,
                    "{refused} requests refused and {good} answered in time in the window from {from} s"
                );
            }
        }
    };
}

overload_case!(twice_the_capacity_without_retries, 2.0, Callers::GiveUp);
overload_case!(
    twice_the_capacity_with_retries_after_the_stated_time,
    2.0,
    Callers::RetryAsTold
);
overload_case!(
    twice_the_capacity_with_immediate_retries,
    2.0,
    Callers::RetryAtOnce
);
overload_case!(
    five_times_the_capacity_without_retries,
    5.0,
    Callers::GiveUp
);
overload_case!(
    five_times_the_capacity_with_retries_after_the_stated_time,
    5.0,
    Callers::RetryAsTold
);
overload_case!(
    five_times_the_capacity_with_immediate_retries,
    5.0,
    Callers::RetryAtOnce
);
