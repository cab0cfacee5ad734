//! A small discrete-event measurement of prefix caches: prefill, eviction, late and lost events.

use std::collections::{BTreeMap, VecDeque};

use mgw_contract::target::CacheEvent;
use mgw_route::{
    CacheSyncState, PREFIX_BLOCK_TOKENS, PathRequest, PrefixDigest, ReservationKey, Router,
    RouterSettings, TargetInput, digest_prefixes,
};
use mgw_world::{Incarnation, Millis, Model, Target};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::{LAYERS, make_target};

use std::sync::Arc;

const BLOCKS: usize = 12;
const OWN_BLOCKS: usize = 2;
const BLOCK_MS: u64 = 20;
const DECODE_MS: u64 = 1_000;
const EVENT_LAG_MS: u64 = 500;
const STAGES: usize = 2;
const COPIES: usize = 6;

/// What is run.
#[derive(Debug, Clone, Copy)]
pub struct CacheRun {
    /// Whether the prompt's prefixes are given to the router.
    pub with_affinity: bool,
    /// Common prefixes in use.
    pub prefixes: usize,
    /// Blocks that each target caches.
    pub cached_blocks: usize,
    /// Cache events lost, in percent.
    pub lost_percent: u32,
    pub entries: usize,
    /// Whether a target's cache events reach one entry only, and not all of them.
    pub one_hears: bool,
    pub requests_per_s: u64,
    pub seconds: u64,
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Copy)]
pub struct CacheOutcome {
    /// Part of the blocks of common prefixes that were cached.
    pub hit_rate: f64,
    /// Mean and 99th percentile of the time to the first token.
    pub mean_ms: f64,
    pub p99_ms: u64,
    /// Requests at the most used target against the mean.
    pub imbalance: f64,
    /// Lists that targets had to send anew.
    pub resends: u64,
}

/// One target: its cache, the least recently used block last, and when it is free.
#[derive(Default)]
struct Engine {
    cache: VecDeque<PrefixDigest>,
    events: VecDeque<(u64, CacheEvent)>,
    sequence: u64,
    free_at: u64,
    requests: u64,
}

impl Engine {
    fn emit(&mut self, now: u64, prefix: PrefixDigest, stored: bool) {
        self.sequence += 1;
        let event = CacheEvent {
            sequence: self.sequence,
            prefix: prefix.0,
            tokens: PREFIX_BLOCK_TOKENS as u32,
            stored,
        };
        self.events.push_back((now + EVENT_LAG_MS, event));
    }

    /// Runs a prompt; gives how many blocks were cached.
    fn prefill(&mut self, now: u64, prompt: &[PrefixDigest], capacity: usize) -> usize {
        let cached = prompt
            .iter()
            .take_while(|block| self.cache.contains(*block))
            .count();
        for block in prompt {
            if let Some(place) = self.cache.iter().position(|held| held == block) {
                self.cache.remove(place);
            } else {
                self.emit(now, *block, true);
            }
            self.cache.push_front(*block);
        }
        while self.cache.len() > capacity {
            if let Some(evicted) = self.cache.pop_back() {
                self.emit(now, evicted, false);
            }
        }
        cached
    }

    fn resend(&mut self, now: u64) {
        self.events.clear();
        let held: Vec<_> = self.cache.iter().copied().collect();
        for prefix in held {
            self.emit(now, prefix, true);
        }
    }
}

struct CacheSim {
    run: CacheRun,
    rng: ChaCha8Rng,
    targets: Vec<Arc<Target>>,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    ends: BTreeMap<u64, Vec<(usize, ReservationKey)>>,
    waits: Vec<u64>,
    hits: u64,
    common: u64,
    resends: u64,
}

/// Runs one setting.
pub fn run_caches(run: CacheRun) -> CacheOutcome {
    let mut targets = Vec::new();
    for stage in 0..STAGES {
        let first = stage as u16 * LAYERS / STAGES as u16;
        for _ in 0..COPIES {
            let end = first + LAYERS / STAGES as u16;
            targets.push(make_target(targets.len(), "pos-a", first, end, 100));
        }
    }
    let router = |index: usize| {
        let mut router = Router::new(RouterSettings {
            seed: run.seed + index as u64,
            ..RouterSettings::default()
        });
        router.update_models([Model {
            name: "drill".into(),
            version: "v1".into(),
            layers: LAYERS,
            activation_bytes: 8_192,
            kv_bytes_per_layer: 1,
        }]);
        router
    };
    let mut sim = CacheSim {
        run,
        rng: ChaCha8Rng::seed_from_u64(run.seed),
        engines: targets.iter().map(|_| Engine::default()).collect(),
        targets,
        routers: (0..run.entries).map(router).collect(),
        ends: BTreeMap::new(),
        waits: Vec::new(),
        hits: 0,
        common: 0,
        resends: 0,
    };
    sim.play();
    sim.judge()
}

impl CacheSim {
    fn play(&mut self) {
        let mut next = 0.0;
        for now in 0..self.run.seconds * 1_000 {
            if now % 100 == 0 {
                self.tick(now);
            }
            for (entry, reservation) in self.ends.remove(&now).unwrap_or_default() {
                self.routers[entry].release(reservation);
            }
            while next <= now as f64 {
                let gap = -self.rng.random::<f64>().max(1e-9).ln() * 1_000.0;
                next += gap / self.run.requests_per_s as f64;
                self.request(now);
            }
        }
    }

    fn tick(&mut self, now: u64) {
        let entries = self.routers.len();
        for (index, (engine, target)) in self.engines.iter_mut().zip(&self.targets).enumerate() {
            let mut due = Vec::new();
            while engine.events.front().is_some_and(|(at, _)| *at <= now) {
                let event = engine.events.pop_front();
                let is_kept = self.rng.random_range(0..100) >= self.run.lost_percent;
                due.extend(event.filter(|_| is_kept).map(|(_, event)| event));
            }
            let mut resend = false;
            let home = index % entries;
            for (entry, router) in self.routers.iter_mut().enumerate() {
                if self.run.one_hears && entry != home {
                    continue;
                }
                let news = router.update_cache(&target.name, Incarnation(1), &due);
                resend |= news == CacheSyncState::ResendNeeded;
            }
            if resend && engine.events.is_empty() {
                engine.resend(now);
                self.resends += 1;
            }
        }
        for router in &mut self.routers {
            let inputs = self.targets.iter().map(|target| TargetInput {
                target: Arc::clone(target),
                warm_share: 1.0,
                load: Default::default(),
                load_age_ms: Millis(500),
            });
            router.update_targets(inputs, Millis(now));
        }
    }

    fn request(&mut self, now: u64) {
        let prefix = self.pick_prefix();
        let common = (0..BLOCKS * PREFIX_BLOCK_TOKENS).map(|index| (prefix * 1_000 + index) as u32);
        let own = (0..OWN_BLOCKS * PREFIX_BLOCK_TOKENS).map(|_| self.rng.random());
        let tokens: Vec<u32> = common.chain(own).collect();
        let prompt = digest_prefixes(&tokens);
        let request = PathRequest {
            model: "drill".into(),
            version: "v1".into(),
            prefixes: if self.run.with_affinity {
                prompt.clone()
            } else {
                Vec::new()
            },
            tokens: 1,
            ..PathRequest::default()
        };
        let entry = self.rng.random_range(0..self.run.entries);
        let path = self.routers[entry].choose_path(&request, Millis(now));
        let path = path.expect("the fleet covers the model");
        let mut at = now;
        for stage in &path.stages {
            let place = self.targets.iter().position(|it| it.name == stage.target);
            let engine = &mut self.engines[place.expect("the stage is of this fleet")];
            let cached = engine.prefill(now, &prompt, self.run.cached_blocks);
            let work = (prompt.len() - cached) as u64 * BLOCK_MS / STAGES as u64;
            engine.free_at = engine.free_at.max(at) + work;
            engine.requests += 1;
            at = engine.free_at;
            self.hits += cached.min(BLOCKS) as u64;
            self.common += BLOCKS as u64;
        }
        self.waits.push(at - now);
        let end = self.ends.entry(at + DECODE_MS).or_default();
        end.push((entry, path.reservation));
    }

    /// Prefixes are used unevenly: the square of an even draw favours the first ones.
    fn pick_prefix(&mut self) -> usize {
        let draw = self.rng.random::<f64>();
        (draw * draw * self.run.prefixes as f64) as usize
    }

    fn judge(mut self) -> CacheOutcome {
        self.waits.sort_unstable();
        let requests = self.engines.iter().map(|engine| engine.requests);
        let most = requests.clone().max().unwrap_or(0) as f64;
        let mean = requests.sum::<u64>() as f64 / self.engines.len() as f64;
        CacheOutcome {
            hit_rate: self.hits as f64 / self.common.max(1) as f64,
            mean_ms: self.waits.iter().sum::<u64>() as f64 / self.waits.len().max(1) as f64,
            p99_ms: self
                .waits
                .get(self.waits.len() * 99 / 100)
                .copied()
                .unwrap_or(0),
            imbalance: most / mean,
            resends: self.resends,
        }
    }
}
