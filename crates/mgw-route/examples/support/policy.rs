//! The path choice policies that are compared.

use std::sync::Arc;

use mgw_route::{NoPath, PathRequest, ReservationKey, Router, RouterSettings, TargetInput};
use mgw_world::{Link, Millis, Model, Target};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::LAYERS;

/// How an entry chooses the targets of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// A random target that runs the next layers.
    Random,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest reported plus own requests in flight.
    LeastInFlight,
    /// Of two random targets, the one with fewer reported plus own requests in flight.
    TwoChoices,
    /// The planned flow, as followed by this crate's `Router`.
    FlowGuided,
}

/// Chooses paths for one entry by a policy.
pub struct Chooser {
    policy: Policy,
    rng: ChaCha8Rng,
    targets: Vec<Arc<Target>>,
    /// This entry's requests in flight at each target.
    own_in_flight: Vec<u32>,
    /// Requests in flight at each target by the latest load reports.
    reported_in_flight: Vec<u32>,
    /// Number of choices made so far by first layer, for `RoundRobin`.
    round_robin_counters: Vec<usize>,
    router: Router,
}

/// A chosen chain of targets, as indices into the fleet.
#[derive(Debug, Clone, Default)]
pub struct Chain {
    pub stages: Vec<usize>,
    reservation: Option<ReservationKey>,
}

impl Chooser {
    pub fn new(
        policy: Policy,
        seed: u64,
        entries: u32,
        fleet: &(Model, Vec<Arc<Target>>, Vec<Link>),
    ) -> Self {
        let (model, targets, links) = fleet;
        let mut router = Router::new(RouterSettings {
            seed,
            ..RouterSettings::default()
        });
        router.update_models([model.clone()]);
        router.update_links(links.iter().cloned());
        router.set_entries(entries);
        Self {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            targets: targets.clone(),
            own_in_flight: vec![0; targets.len()],
            reported_in_flight: vec![0; targets.len()],
            round_robin_counters: vec![0; usize::from(LAYERS)],
            router,
        }
    }

    /// Updates the load reports of all targets: requests in flight, as of `report_age` ago.
    pub fn update_loads(&mut self, in_flight: &[u32], report_age: Millis, now: Millis) {
        self.reported_in_flight.copy_from_slice(in_flight);
        if self.policy != Policy::FlowGuided {
            return;
        }
        let inputs = self
            .targets
            .iter()
            .zip(in_flight)
            .map(|(target, in_flight)| TargetInput {
                target: Arc::clone(target),
                warm_share: 1.0,
                load: mgw_contract::target::LoadReport {
                    in_flight: *in_flight,
                    ..Default::default()
                },
                load_age_ms: report_age,
            });
        self.router.update_targets(inputs.collect::<Vec<_>>(), now);
    }

    /// Returns the bound of the fleet in tokens per second.
    pub fn bound(&mut self, now: Millis) -> f64 {
        let bound = self.router.bound(&"drill".into(), &"v1".into(), None, now);
        bound.map_or(0.0, |bound| bound.tokens_per_s)
    }

    /// Chooses a chain, or returns how long to wait before the next try.
    pub fn choose(&mut self, now: Millis) -> Result<Chain, Millis> {
        let chain = if self.policy == Policy::FlowGuided {
            self.choose_by_flow(now)?
        } else {
            self.choose_by_stage()
        };
        for stage in &chain.stages {
            self.own_in_flight[*stage] += 1;
        }
        Ok(chain)
    }

    pub fn release(&mut self, chain: &Chain) {
        for stage in &chain.stages {
            self.own_in_flight[*stage] -= 1;
        }
        if let Some(reservation) = chain.reservation {
            self.router.release(reservation);
        }
    }

    /// Records the latency of one step at a target.
    pub fn record_step_latency(&mut self, target: usize, latency: Millis) {
        if self.policy == Policy::FlowGuided {
            self.router
                .record_step_latency(&self.targets[target].name, latency);
        }
    }

    fn choose_by_flow(&mut self, now: Millis) -> Result<Chain, Millis> {
        let request = PathRequest {
            model: "drill".into(),
            version: "v1".into(),
            tokens: 1,
            ..PathRequest::default()
        };
        let path = match self.router.choose_path(&request, now) {
            Ok(path) => path,
            Err(NoPath::Full { retry_after_ms, .. }) => return Err(retry_after_ms),
            Err(error) => panic!("no path although the fleet covers the model: {error}"),
        };
        let find_index = |name| self.targets.iter().position(|target| target.name == name);
        let stages = path
            .stages
            .iter()
            .filter_map(|stage| find_index(stage.target.clone()));
        Ok(Chain {
            stages: stages.collect(),
            reservation: Some(path.reservation),
        })
    }

    fn choose_by_stage(&mut self) -> Chain {
        let mut stages = Vec::new();
        let mut next = 0;
        while next < LAYERS {
            let range = |index: &usize| self.targets[*index].engine().map(|it| it.layers);
            let all = 0..self.targets.len();
            let starts = |index: &usize| range(index).is_some_and(|it| it.first() == next);
            let candidates: Vec<_> = all.filter(starts).collect();
            let chosen = self.choose_one(&candidates, usize::from(next));
            next = self.targets[chosen]
                .engine()
                .map_or(LAYERS, |it| it.layers.end());
            stages.push(chosen);
        }
        Chain {
            stages,
            reservation: None,
        }
    }

    fn choose_one(&mut self, candidates: &[usize], layer: usize) -> usize {
        let load = |index: &usize| self.own_in_flight[*index] + self.reported_in_flight[*index];
        let mut draw = || candidates[self.rng.random_range(0..candidates.len())];
        match self.policy {
            Policy::RoundRobin => {
                self.round_robin_counters[layer] += 1;
                candidates[self.round_robin_counters[layer] % candidates.len()]
            }
            Policy::LeastInFlight => {
                let least = candidates.iter().min_by_key(|index| load(index));
                least.copied().unwrap_or(candidates[0])
            }
            Policy::TwoChoices => {
                let (left, right) = (draw(), draw());
                if load(&left) <= load(&right) {
                    left
                } else {
                    right
                }
            }
            Policy::Random | Policy::FlowGuided => draw(),
        }
    }
}
