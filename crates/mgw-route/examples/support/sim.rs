//! The events: steps wait at targets, run in batches and move on.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;

use mgw_world::{Link, Millis, Model, PlaceName, Target};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::{Shape, make_fleet};
use super::policy::{Chain, Chooser, Policy};

const BATCH: usize = 16;
const TICK_US: u64 = 50_000;
const HOP_US: u64 = 500;
const MEAN_TOKENS: u32 = 64;

/// What is run.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    pub shape: Shape,
    pub policy: Policy,
    pub lag_ms: u64,
    /// The first target runs at its stated speed divided by this.
    pub slowdown: u32,
    pub entries: usize,
    /// Requests that each entry keeps running.
    pub sessions_per_entry: usize,
    pub warm_s: u64,
    pub measured_s: u64,
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    pub bound_per_s: f64,
    pub reached_per_s: f64,
    /// Largest use of a target relative to its speed, against the mean of all.
    pub imbalance: f64,
    /// Mean time of a token in milliseconds.
    pub token_ms: f64,
}

impl Outcome {
    pub fn part(&self) -> f64 {
        self.reached_per_s / self.bound_per_s
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Tick,
    Open(usize),
    Arrive(usize),
    Batch(usize),
}

struct Session {
    entry: usize,
    chain: Chain,
    stage: usize,
    tokens_left: u32,
    step_at: u64,
    token_at: u64,
}

struct Server {
    target: Arc<Target>,
    queue: VecDeque<usize>,
    batch: Vec<usize>,
    done: u64,
}

impl Server {
    fn load(&self) -> u32 {
        (self.queue.len() + self.batch.len()) as u32
    }

    /// Half of the time of a full batch is spent whatever its size.
    fn batch_us(&self) -> u64 {
        let full_us = BATCH as f64 * 1e6 / f64::from(self.target.limits.tokens_per_s);
        (full_us * (0.5 + 0.5 * self.batch.len() as f64 / BATCH as f64)) as u64
    }
}

/// A link: activations leave one after the other.
struct Wire {
    us_per_token: f64,
    free_at_us: f64,
}

struct Sim {
    run: Run,
    wires: BTreeMap<(PlaceName, PlaceName), Wire>,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, Step)>>,
    order: u64,
    entries: Vec<Chooser>,
    sessions: Vec<Session>,
    servers: Vec<Server>,
    history: VecDeque<Vec<u32>>,
    tokens: u64,
    token_us: u64,
}

/// Runs one policy.
pub fn run(run: Run) -> Outcome {
    let fleet = make_fleet(run.shape);
    let mut true_fleet = fleet.clone();
    let first = Arc::make_mut(&mut true_fleet.1[0]);
    first.limits.tokens_per_s /= run.slowdown;
    let entry = |index: usize| {
        Chooser::new(
            run.policy,
            run.seed * 1_000 + index as u64,
            run.entries as u32,
            &fleet,
        )
    };
    let server = |target: &Arc<Target>| Server {
        target: Arc::clone(target),
        queue: VecDeque::new(),
        batch: Vec::new(),
        done: 0,
    };
    let mut probe = Chooser::new(Policy::FlowGuided, 0, 1, &true_fleet);
    probe.report(&vec![0; fleet.1.len()], Millis::ZERO, Millis::ZERO);
    let mut sim = Sim {
        run,
        wires: make_wires(&fleet.0, &fleet.2),
        rng: ChaCha8Rng::seed_from_u64(run.seed),
        events: BinaryHeap::new(),
        order: 0,
        entries: (0..run.entries).map(entry).collect(),
        sessions: Vec::new(),
        servers: true_fleet.1.iter().map(server).collect(),
        history: VecDeque::new(),
        tokens: 0,
        token_us: 0,
    };
    sim.play();
    sim.judge(probe.bound(Millis::ZERO))
}

fn make_wires(model: &Model, links: &[Link]) -> BTreeMap<(PlaceName, PlaceName), Wire> {
    let mut wires = BTreeMap::new();
    for link in links {
        for (from, to) in [(&link.from, &link.to), (&link.to, &link.from)] {
            let wire = Wire {
                us_per_token: f64::from(model.activation_bytes) * 1e6 / link.bytes_per_s as f64,
                free_at_us: 0.0,
            };
            wires.insert((from.clone(), to.clone()), wire);
        }
    }
    wires
}

impl Sim {
    fn plan(&mut self, at: u64, step: Step) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, step)));
    }

    fn play(&mut self) {
        self.tick(0);
        for index in 0..self.run.entries * self.run.sessions_per_entry {
            self.sessions.push(Session {
                entry: index % self.run.entries,
                chain: Chain::default(),
                stage: 0,
                tokens_left: 0,
                step_at: 0,
                token_at: 0,
            });
            let at = self.rng.random_range(0..500_000);
            self.plan(at, Step::Open(index));
        }
        let warm_us = self.run.warm_s * 1_000_000;
        let end_us = warm_us + self.run.measured_s * 1_000_000;
        let mut is_warm = false;
        while let Some(Reverse((at, _, step))) = self.events.pop() {
            if at >= warm_us && !is_warm {
                is_warm = true;
                self.reset();
            }
            if at >= end_us {
                break;
            }
            match step {
                Step::Tick => self.tick(at),
                Step::Open(session) => self.open(at, session),
                Step::Arrive(session) => self.arrive(at, session),
                Step::Batch(server) => self.end_batch(at, server),
            }
        }
    }

    fn reset(&mut self) {
        self.tokens = 0;
        self.token_us = 0;
        for server in &mut self.servers {
            server.done = 0;
        }
    }

    fn tick(&mut self, at: u64) {
        let loads = self.servers.iter().map(Server::load).collect();
        self.history.push_back(loads);
        let kept = (self.run.lag_ms * 1_000 / TICK_US) as usize + 1;
        while self.history.len() > kept {
            self.history.pop_front();
        }
        for entry in &mut self.entries {
            entry.report(
                &self.history[0],
                Millis(self.run.lag_ms),
                Millis(at / 1_000),
            );
        }
        self.plan(at + TICK_US, Step::Tick);
    }

    fn open(&mut self, at: u64, index: usize) {
        let session = &mut self.sessions[index];
        match self.entries[session.entry].choose(Millis(at / 1_000)) {
            Ok(chain) => {
                session.chain = chain;
                session.tokens_left = self.rng.random_range(1..=MEAN_TOKENS * 2);
                session.token_at = at;
                self.arrive(at, index);
            }
            Err(wait) => self.plan(at + wait.0 * 1_000, Step::Open(index)),
        }
    }

    fn arrive(&mut self, at: u64, index: usize) {
        let session = &mut self.sessions[index];
        session.step_at = at;
        let server = session.chain.stages[session.stage];
        self.servers[server].queue.push_back(index);
        self.start_batch(at, server);
    }

    fn start_batch(&mut self, at: u64, index: usize) {
        let server = &mut self.servers[index];
        if !server.batch.is_empty() || server.queue.is_empty() {
            return;
        }
        let count = server.queue.len().min(BATCH);
        server.batch = server.queue.drain(..count).collect();
        let end = at + server.batch_us();
        self.plan(end, Step::Batch(index));
    }

    fn end_batch(&mut self, at: u64, index: usize) {
        let batch = std::mem::take(&mut self.servers[index].batch);
        self.servers[index].done += batch.len() as u64;
        for session in batch {
            self.move_on(at, session, index);
        }
        self.start_batch(at, index);
    }

    fn move_on(&mut self, at: u64, index: usize, server: usize) {
        let session = &mut self.sessions[index];
        let latency = Millis((at - session.step_at) / 1_000);
        self.entries[session.entry].observe(server, latency);
        session.stage += 1;
        if session.stage == session.chain.stages.len() {
            session.stage = 0;
            session.tokens_left -= 1;
            self.tokens += 1;
            self.token_us += at - session.token_at;
            session.token_at = at;
            if session.tokens_left == 0 {
                self.entries[session.entry].release(&session.chain);
                self.plan(at + HOP_US, Step::Open(index));
                return;
            }
        }
        let (from, to) = (server, session.chain.stages[session.stage]);
        let is_first = session.stage == 0;
        let arrives = if is_first {
            at + HOP_US
        } else {
            self.carry(at, from, to)
        };
        self.plan(arrives, Step::Arrive(index));
    }

    /// When an activation that leaves now arrives.
    fn carry(&mut self, at: u64, from: usize, to: usize) -> u64 {
        let place = |index: usize| self.servers[index].target.place.clone();
        let Some(wire) = self.wires.get_mut(&(place(from), place(to))) else {
            return at + HOP_US;
        };
        wire.free_at_us = wire.free_at_us.max(at as f64) + wire.us_per_token;
        wire.free_at_us as u64 + HOP_US
    }

    fn judge(&self, bound_per_s: f64) -> Outcome {
        let seconds = self.run.measured_s as f64;
        let uses = self.servers.iter().map(|server| {
            server.done as f64 / seconds / f64::from(server.target.limits.tokens_per_s)
        });
        let uses: Vec<_> = uses.collect();
        let mean = uses.iter().sum::<f64>() / uses.len() as f64;
        Outcome {
            bound_per_s,
            reached_per_s: self.tokens as f64 / seconds,
            imbalance: uses.iter().copied().fold(0.0, f64::max) / mean,
            token_ms: self.token_us as f64 / 1_000.0 / self.tokens.max(1) as f64,
        }
    }
}
