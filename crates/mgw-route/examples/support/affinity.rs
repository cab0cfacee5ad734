//! A small discrete-event simulation of prefix caches: prefill, eviction, delayed and lost cache
//! events.

use std::collections::{BTreeMap, VecDeque};

use mgw_contract::target::{CacheEvent, LoadReport};
use mgw_route::{
    CacheSyncState, PREFIX_BLOCK_TOKENS, PathRequest, PrefixDigest, PrefixRule, ReservationKey,
    Router, RouterSettings, TargetInput, digest_prefixes,
};
use mgw_world::{Incarnation, Millis, Model, Target};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::{LAYERS, make_target};

use std::sync::Arc;

/// Blocks of a prompt.
const PROMPT_BLOCKS: usize = 14;
/// Prefill time of a block over all stages.
const PREFILL_BLOCK_MS: u64 = 20;
/// Time that a request decodes after its first token.
const DECODE_MS: u64 = 1_000;
/// Delay of cache events and load reports.
const EVENT_LAG_MS: u64 = 500;
/// Time between two load reports.
const REPORT_INTERVAL_MS: u64 = 100;
const STAGES: usize = 2;
const TARGETS_PER_STAGE: usize = 6;

/// Settings of one simulation.
#[derive(Debug, Clone, Copy)]
pub struct CacheSimSettings {
    /// Whether the router gets the prefixes of each prompt.
    pub with_affinity: bool,
    /// Rule by which the router follows cached prefixes.
    pub prefix_rule: PrefixRule,
    /// Number of common prefixes in use.
    pub prefixes: usize,
    /// Blocks of a prompt that belong to a common prefix; no other prompt has the rest.
    pub common_blocks: usize,
    /// Percentage of requests that begin with the first prefix, beside its part of the others.
    pub popular_percent: u32,
    /// Number of blocks that each target can cache.
    pub cache_capacity_blocks: usize,
    /// Percentage of cache events that are lost.
    pub lost_percent: u32,
    pub entries: usize,
    /// Whether each target sends its cache events to only one entry instead of all.
    pub events_to_one_entry: bool,
    pub requests_per_s: u64,
    pub seconds: u64,
    pub seed: u64,
}

/// Measured results of one simulation.
#[derive(Debug, Clone, Copy)]
pub struct CacheOutcome {
    /// Fraction of the blocks of common prefixes that were cached.
    pub hit_rate: f64,
    /// Tokens that weren't prefilled again, counted in whole prompts through all stages.
    pub saved_tokens: u64,
    /// Mean time to the first token.
    pub mean_ms: f64,
    /// Median of the time to the first token.
    pub p50_ms: u64,
    /// 99th percentile of the time to the first token.
    pub p99_ms: u64,
    /// Requests at the most used target divided by the mean of all targets.
    pub imbalance: f64,
    /// Number of times that a target had to send its whole cache again.
    pub resends: u64,
}

/// The simulated engine of one target: its cache, with the least recently used block last, the
/// cache events on their way to entries, and the time at which it is free.
#[derive(Default)]
struct Engine {
    cache: VecDeque<PrefixDigest>,
    events: VecDeque<(u64, CacheEvent)>,
    sequence: u64,
    free_at: u64,
    requests: u64,
    /// When each running request ends.
    ends: Vec<u64>,
    /// Numbers of running requests that were reported within `EVENT_LAG_MS`, oldest first.
    reports: VecDeque<u32>,
}

impl Engine {
    /// Queues a cache event, which reaches entries after `EVENT_LAG_MS`.
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

    /// Runs a prompt through the cache; returns how many of its first blocks were cached.
    fn prefill(&mut self, now: u64, prompt: &[PrefixDigest], capacity: usize) -> usize {
        let cached = prompt
            .iter()
            .take_while(|block| self.cache.contains(*block))
            .count();
        for block in prompt {
            if let Some(index) = self.cache.iter().position(|cached| cached == block) {
                self.cache.remove(index);
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

    /// Reports the load; returns the report that reaches the entries now.
    fn report(&mut self, now: u64) -> LoadReport {
        self.ends.retain(|end| *end > now);
        self.reports.push_back(self.ends.len() as u32);
        let is_delivered = self.reports.len() as u64 > EVENT_LAG_MS / REPORT_INTERVAL_MS;
        let delivered = is_delivered.then(|| self.reports.pop_front()).flatten();
        LoadReport {
            in_flight: delivered.unwrap_or(0),
            ..LoadReport::default()
        }
    }

    /// Drops all queued events and sends the whole cache again.
    fn resend(&mut self, now: u64) {
        self.events.clear();
        let cached: Vec<_> = self.cache.iter().copied().collect();
        for prefix in cached {
            self.emit(now, prefix, true);
        }
    }
}

struct CacheSim {
    settings: CacheSimSettings,
    rng: ChaCha8Rng,
    /// Decides which cache events are lost, so that the requests are the same in every setting.
    loss_rng: ChaCha8Rng,
    targets: Vec<Arc<Target>>,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    /// Entry and reservation of the requests that end at each time.
    releases: BTreeMap<u64, Vec<(usize, ReservationKey)>>,
    /// Time to the first token of each request.
    first_token_ms: Vec<u64>,
    /// Blocks of common prefixes that were cached, counted once per stage.
    cached_common_blocks: u64,
    /// Blocks of common prefixes in all prompts, counted once per stage.
    common_blocks: u64,
    resends: u64,
}

/// Simulates one setting.
pub fn run_cache_sim(settings: CacheSimSettings) -> CacheOutcome {
    let mut targets = Vec::new();
    for stage in 0..STAGES {
        let first = stage as u16 * LAYERS / STAGES as u16;
        for _ in 0..TARGETS_PER_STAGE {
            let end = first + LAYERS / STAGES as u16;
            targets.push(make_target(targets.len(), "pos-a", first, end, 100));
        }
    }
    let router = |index: usize| {
        let mut router = Router::new(RouterSettings {
            seed: settings.seed + index as u64,
            prefix_rule: settings.prefix_rule,
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
        settings,
        rng: ChaCha8Rng::seed_from_u64(settings.seed),
        loss_rng: ChaCha8Rng::seed_from_u64(settings.seed + 1),
        engines: targets.iter().map(|_| Engine::default()).collect(),
        targets,
        routers: (0..settings.entries).map(router).collect(),
        releases: BTreeMap::new(),
        first_token_ms: Vec::new(),
        cached_common_blocks: 0,
        common_blocks: 0,
        resends: 0,
    };
    sim.run();
    sim.summarize()
}

impl CacheSim {
    fn run(&mut self) {
        let mut next_request = 0.0;
        for now in 0..self.settings.seconds * 1_000 {
            if now % REPORT_INTERVAL_MS == 0 {
                self.update_routers(now);
            }
            for (entry, reservation) in self.releases.remove(&now).unwrap_or_default() {
                self.routers[entry].release(reservation);
            }
            while next_request <= now as f64 {
                let gap = -self.rng.random::<f64>().max(1e-9).ln() * 1_000.0;
                next_request += gap / self.settings.requests_per_s as f64;
                self.request(now);
            }
        }
    }

    /// Delivers the cache events that are due and updates the targets of all routers.
    fn update_routers(&mut self, now: u64) {
        let entries = self.routers.len();
        for (index, (engine, target)) in self.engines.iter_mut().zip(&self.targets).enumerate() {
            let mut delivered = Vec::new();
            while engine.events.front().is_some_and(|(at, _)| *at <= now) {
                let event = engine.events.pop_front();
                let is_delivered = self.loss_rng.random_range(0..100) >= self.settings.lost_percent;
                delivered.extend(event.filter(|_| is_delivered).map(|(_, event)| event));
            }
            let mut resend = false;
            let event_entry = index % entries;
            for (entry, router) in self.routers.iter_mut().enumerate() {
                if self.settings.events_to_one_entry && entry != event_entry {
                    continue;
                }
                let result = router.apply_cache_events(&target.name, Incarnation(1), &delivered);
                resend |= result == CacheSyncState::ResendNeeded;
            }
            if resend && engine.events.is_empty() {
                engine.resend(now);
                self.resends += 1;
            }
        }
        let loads: Vec<LoadReport> = self.engines.iter_mut().map(|it| it.report(now)).collect();
        for router in &mut self.routers {
            let inputs = self
                .targets
                .iter()
                .zip(&loads)
                .map(|(target, load)| TargetInput {
                    target: Arc::clone(target),
                    warm_share: 1.0,
                    load: *load,
                    load_age_ms: Millis(EVENT_LAG_MS),
                });
            router.update_targets(inputs, Millis(now));
        }
    }

    /// Routes one request and runs its prefill on each stage.
    fn request(&mut self, now: u64) {
        let prefix = self.pick_prefix();
        let common_blocks = self.settings.common_blocks;
        let common =
            (0..common_blocks * PREFIX_BLOCK_TOKENS).map(|index| (prefix * 1_000 + index) as u32);
        let unique =
            (0..(PROMPT_BLOCKS - common_blocks) * PREFIX_BLOCK_TOKENS).map(|_| self.rng.random());
        let tokens: Vec<u32> = common.chain(unique).collect();
        let prompt = digest_prefixes(&tokens);
        let request = PathRequest {
            model: "drill".into(),
            version: "v1".into(),
            prefixes: if self.settings.with_affinity {
                prompt.clone()
            } else {
                Vec::new()
            },
            tokens: 1,
            ..PathRequest::default()
        };
        let entry = self.rng.random_range(0..self.settings.entries);
        let path = self.routers[entry].choose_path(&request, Millis(now));
        let path = path.expect("the fleet covers the model");
        let mut stage_end = now;
        for stage in &path.stages {
            let index = self.targets.iter().position(|it| it.name == stage.target);
            let engine =
                &mut self.engines[index.expect("the target of the stage is in this fleet")];
            let cached = engine.prefill(now, &prompt, self.settings.cache_capacity_blocks);
            let work = (prompt.len() - cached) as u64 * PREFILL_BLOCK_MS / STAGES as u64;
            engine.free_at = engine.free_at.max(stage_end) + work;
            engine.requests += 1;
            stage_end = engine.free_at;
            engine.ends.push(stage_end + DECODE_MS);
            self.cached_common_blocks += cached.min(common_blocks) as u64;
            self.common_blocks += common_blocks as u64;
        }
        self.first_token_ms.push(stage_end - now);
        let releases = self.releases.entry(stage_end + DECODE_MS).or_default();
        releases.push((entry, path.reservation));
    }

    /// Picks a common prefix. Squaring a uniform random number makes the first prefixes more
    /// frequent.
    fn pick_prefix(&mut self) -> usize {
        let popular_percent = self.settings.popular_percent;
        if popular_percent > 0 && self.rng.random_range(0..100) < popular_percent {
            return 0;
        }
        let uniform = self.rng.random::<f64>();
        (uniform * uniform * self.settings.prefixes as f64) as usize
    }

    /// Returns a percentile of the sorted times to the first token.
    fn percentile(&self, percent: usize) -> u64 {
        let index = self.first_token_ms.len() * percent / 100;
        self.first_token_ms.get(index).copied().unwrap_or(0)
    }

    /// Computes the results from the counters.
    fn summarize(mut self) -> CacheOutcome {
        self.first_token_ms.sort_unstable();
        let requests = self.engines.iter().map(|engine| engine.requests);
        let max = requests.clone().max().unwrap_or(0) as f64;
        let mean = requests.sum::<u64>() as f64 / self.engines.len() as f64;
        CacheOutcome {
            hit_rate: self.cached_common_blocks as f64 / self.common_blocks.max(1) as f64,
            mean_ms: self.first_token_ms.iter().sum::<u64>() as f64
                / self.first_token_ms.len().max(1) as f64,
            saved_tokens: self.cached_common_blocks * PREFIX_BLOCK_TOKENS as u64 / STAGES as u64,
            p50_ms: self.percentile(50),
            p99_ms: self.percentile(99),
            imbalance: max / mean,
            resends: self.resends,
        }
    }
}
