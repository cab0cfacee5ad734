//! Simulates the steps of sessions: they queue at targets, run in batches and go to the next stage.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;

use mgw_world::{Link, Millis, Model, PlaceName, Target};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::{Shape, make_fleet};
use super::policy::{Chain, Chooser, Policy};

/// Maximum number of steps in a batch.
const MAX_BATCH: usize = 16;
/// Interval between load reports to the entries.
const REPORT_INTERVAL_US: u64 = 50_000;
/// Network latency between two stages.
const HOP_LATENCY_US: u64 = 500;
/// Approximate mean number of tokens in an answer.
const MEAN_TOKENS: u32 = 64;

/// Settings of one simulation.
#[derive(Debug, Clone, Copy)]
pub struct SimSettings {
    pub shape: Shape,
    pub policy: Policy,
    /// Age of the load reports that entries get.
    pub lag_ms: u64,
    /// Divides the actual speed of the first target; its announced speed stays the same.
    pub slowdown: u32,
    pub entries: usize,
    /// Number of sessions per entry; each starts a new request when its last one ends.
    pub sessions_per_entry: usize,
    /// Time before the measurement starts.
    pub warmup_s: u64,
    /// Duration of the measurement.
    pub measurement_s: u64,
    pub seed: u64,
}

/// Measured results of one simulation.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// Bound of the fleet at its actual speeds, in tokens per second.
    pub bound_per_s: f64,
    /// Measured throughput in tokens per second.
    pub reached_per_s: f64,
    /// Highest utilization of a target divided by the mean utilization of all targets.
    pub imbalance: f64,
    /// Mean time per token in milliseconds.
    pub token_ms: f64,
}

impl Outcome {
    /// Throughput as a fraction of the bound.
    pub fn bound_fraction(&self) -> f64 {
        self.reached_per_s / self.bound_per_s
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// Entries get new load reports.
    LoadReport,
    /// A session chooses a path for its next request.
    Open(usize),
    /// A step of a session arrives at the target of its current stage.
    Arrive(usize),
    /// A server finishes its batch.
    BatchDone(usize),
}

/// A client that sends one request after the other.
struct Session {
    entry: usize,
    chain: Chain,
    stage: usize,
    tokens_left: u32,
    /// When the current step arrived at its target.
    step_arrived_us: u64,
    /// When the current token was started.
    token_started_us: u64,
}

/// A simulated target with the sessions that wait at it.
struct Server {
    target: Arc<Target>,
    queue: VecDeque<usize>,
    batch: Vec<usize>,
    completed_steps: u64,
}

impl Server {
    fn load(&self) -> u32 {
        (self.queue.len() + self.batch.len()) as u32
    }

    /// Returns the duration of the current batch: half of a full batch's time is fixed, the other
    /// half grows with the batch size.
    fn batch_us(&self) -> u64 {
        let full_us = MAX_BATCH as f64 * 1e6 / f64::from(self.target.limits.tokens_per_s);
        (full_us * (0.5 + 0.5 * self.batch.len() as f64 / MAX_BATCH as f64)) as u64
    }
}

/// One direction of a link, which transmits one activation at a time.
struct LinkState {
    us_per_token: f64,
    free_at_us: f64,
}

struct Sim {
    settings: SimSettings,
    links: BTreeMap<(PlaceName, PlaceName), LinkState>,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Number of the last scheduled event; orders events at the same time.
    last_event: u64,
    entries: Vec<Chooser>,
    sessions: Vec<Session>,
    servers: Vec<Server>,
    /// Recent loads of all servers, oldest first; entries see the oldest.
    load_history: VecDeque<Vec<u32>>,
    tokens: u64,
    total_token_us: u64,
}

/// Simulates one policy.
pub fn run_sim(settings: SimSettings) -> Outcome {
    let fleet = make_fleet(settings.shape);
    let mut actual_fleet = fleet.clone();
    let first = Arc::make_mut(&mut actual_fleet.1[0]);
    first.limits.tokens_per_s /= settings.slowdown;
    let entry = |index: usize| {
        Chooser::new(
            settings.policy,
            settings.seed * 1_000 + index as u64,
            settings.entries as u32,
            &fleet,
        )
    };
    let server = |target: &Arc<Target>| Server {
        target: Arc::clone(target),
        queue: VecDeque::new(),
        batch: Vec::new(),
        completed_steps: 0,
    };
    let mut bound_chooser = Chooser::new(Policy::FlowGuided, 0, 1, &actual_fleet);
    bound_chooser.update_loads(&vec![0; fleet.1.len()], Millis::ZERO, Millis::ZERO);
    let mut sim = Sim {
        settings,
        links: make_link_states(&fleet.0, &fleet.2),
        rng: ChaCha8Rng::seed_from_u64(settings.seed),
        events: BinaryHeap::new(),
        last_event: 0,
        entries: (0..settings.entries).map(entry).collect(),
        sessions: Vec::new(),
        servers: actual_fleet.1.iter().map(server).collect(),
        load_history: VecDeque::new(),
        tokens: 0,
        total_token_us: 0,
    };
    sim.run();
    sim.summarize(bound_chooser.bound(Millis::ZERO))
}

/// Creates the state of each link, one per direction.
fn make_link_states(model: &Model, links: &[Link]) -> BTreeMap<(PlaceName, PlaceName), LinkState> {
    let mut states = BTreeMap::new();
    for link in links {
        for (from, to) in [(&link.from, &link.to), (&link.to, &link.from)] {
            let state = LinkState {
                us_per_token: f64::from(model.activation_bytes) * 1e6 / link.bytes_per_s as f64,
                free_at_us: 0.0,
            };
            states.insert((from.clone(), to.clone()), state);
        }
    }
    states
}

impl Sim {
    fn schedule(&mut self, at_us: u64, event: Event) {
        self.last_event += 1;
        self.events.push(Reverse((at_us, self.last_event, event)));
    }

    fn run(&mut self) {
        self.report_loads(0);
        for index in 0..self.settings.entries * self.settings.sessions_per_entry {
            self.sessions.push(Session {
                entry: index % self.settings.entries,
                chain: Chain::default(),
                stage: 0,
                tokens_left: 0,
                step_arrived_us: 0,
                token_started_us: 0,
            });
            let at_us = self.rng.random_range(0..500_000);
            self.schedule(at_us, Event::Open(index));
        }
        let warmup_us = self.settings.warmup_s * 1_000_000;
        let end_us = warmup_us + self.settings.measurement_s * 1_000_000;
        let mut is_measuring = false;
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us >= warmup_us && !is_measuring {
                is_measuring = true;
                self.reset_counters();
            }
            if at_us >= end_us {
                break;
            }
            match event {
                Event::LoadReport => self.report_loads(at_us),
                Event::Open(session) => self.open(at_us, session),
                Event::Arrive(session) => self.arrive(at_us, session),
                Event::BatchDone(server) => self.end_batch(at_us, server),
            }
        }
    }

    /// Resets the counters at the end of the warm-up.
    fn reset_counters(&mut self) {
        self.tokens = 0;
        self.total_token_us = 0;
        for server in &mut self.servers {
            server.completed_steps = 0;
        }
    }

    /// Records the current loads and reports loads of `lag_ms` ago to all entries.
    fn report_loads(&mut self, at_us: u64) {
        let loads = self.servers.iter().map(Server::load).collect();
        self.load_history.push_back(loads);
        let max_history = (self.settings.lag_ms * 1_000 / REPORT_INTERVAL_US) as usize + 1;
        while self.load_history.len() > max_history {
            self.load_history.pop_front();
        }
        for entry in &mut self.entries {
            entry.update_loads(
                &self.load_history[0],
                Millis(self.settings.lag_ms),
                Millis(at_us / 1_000),
            );
        }
        self.schedule(at_us + REPORT_INTERVAL_US, Event::LoadReport);
    }

    /// Chooses a path for the next request of a session, or tries again later when targets are
    /// full.
    fn open(&mut self, at_us: u64, index: usize) {
        let session = &mut self.sessions[index];
        match self.entries[session.entry].choose(Millis(at_us / 1_000)) {
            Ok(chain) => {
                session.chain = chain;
                session.tokens_left = self.rng.random_range(1..=MEAN_TOKENS * 2);
                session.token_started_us = at_us;
                self.arrive(at_us, index);
            }
            Err(wait) => self.schedule(at_us + wait.0 * 1_000, Event::Open(index)),
        }
    }

    /// Queues a step at the target of its session's current stage.
    fn arrive(&mut self, at_us: u64, index: usize) {
        let session = &mut self.sessions[index];
        session.step_arrived_us = at_us;
        let server = session.chain.stages[session.stage];
        self.servers[server].queue.push_back(index);
        self.start_batch(at_us, server);
    }

    /// Starts a batch if the server is idle and steps are waiting.
    fn start_batch(&mut self, at_us: u64, index: usize) {
        let server = &mut self.servers[index];
        if !server.batch.is_empty() || server.queue.is_empty() {
            return;
        }
        let count = server.queue.len().min(MAX_BATCH);
        server.batch = server.queue.drain(..count).collect();
        let end_us = at_us + server.batch_us();
        self.schedule(end_us, Event::BatchDone(index));
    }

    fn end_batch(&mut self, at_us: u64, index: usize) {
        let batch = std::mem::take(&mut self.servers[index].batch);
        self.servers[index].completed_steps += batch.len() as u64;
        for session in batch {
            self.advance_session(at_us, session, index);
        }
        self.start_batch(at_us, index);
    }

    /// Advances a session after a step: to the next stage, the next token or the next request.
    fn advance_session(&mut self, at_us: u64, index: usize, server: usize) {
        let session = &mut self.sessions[index];
        let latency = Millis((at_us - session.step_arrived_us) / 1_000);
        self.entries[session.entry].record_step_latency(server, latency);
        session.stage += 1;
        if session.stage == session.chain.stages.len() {
            session.stage = 0;
            session.tokens_left -= 1;
            self.tokens += 1;
            self.total_token_us += at_us - session.token_started_us;
            session.token_started_us = at_us;
            if session.tokens_left == 0 {
                self.entries[session.entry].release(&session.chain);
                self.schedule(at_us + HOP_LATENCY_US, Event::Open(index));
                return;
            }
        }
        let (from, to) = (server, session.chain.stages[session.stage]);
        let is_first = session.stage == 0;
        let arrives_us = if is_first {
            at_us + HOP_LATENCY_US
        } else {
            self.transfer(at_us, from, to)
        };
        self.schedule(arrives_us, Event::Arrive(index));
    }

    /// Sends an activation over the link between two servers and returns when it arrives.
    fn transfer(&mut self, at_us: u64, from: usize, to: usize) -> u64 {
        let place = |index: usize| self.servers[index].target.place.clone();
        let Some(link) = self.links.get_mut(&(place(from), place(to))) else {
            return at_us + HOP_LATENCY_US;
        };
        link.free_at_us = link.free_at_us.max(at_us as f64) + link.us_per_token;
        link.free_at_us as u64 + HOP_LATENCY_US
    }

    /// Computes the results from the counters of the measurement.
    fn summarize(&self, bound_per_s: f64) -> Outcome {
        let seconds = self.settings.measurement_s as f64;
        let utilizations = self.servers.iter().map(|server| {
            server.completed_steps as f64 / seconds / f64::from(server.target.limits.tokens_per_s)
        });
        let utilizations: Vec<_> = utilizations.collect();
        let mean = utilizations.iter().sum::<f64>() / utilizations.len() as f64;
        Outcome {
            bound_per_s,
            reached_per_s: self.tokens as f64 / seconds,
            imbalance: utilizations.iter().copied().fold(0.0, f64::max) / mean,
            token_ms: self.total_token_us as f64 / 1_000.0 / self.tokens.max(1) as f64,
        }
    }
}
