//! The policies that are compared.

use std::sync::Arc;

use mgw_route::{NoPath, PathRequest, ReservationKey, Router, RouterSettings, TargetInput};
use mgw_world::{Link, Millis, Model, Target};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::LAYERS;

/// How an entry chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Any target that holds the next layers.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The least of reported plus own requests.
    LeastInFlight,
    /// The lesser of two by reported plus own requests.
    TwoChoices,
    /// The router of this crate.
    FlowGuided,
}

/// One entry under a policy.
pub struct Chooser {
    policy: Policy,
    rng: ChaCha8Rng,
    targets: Vec<Arc<Target>>,
    own: Vec<u32>,
    reported: Vec<u32>,
    turns: Vec<usize>,
    router: Router,
}

/// A chosen chain.
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
            own: vec![0; targets.len()],
            reported: vec![0; targets.len()],
            turns: vec![0; usize::from(LAYERS)],
            router,
        }
    }

    pub fn report(&mut self, in_flight: &[u32], age: Millis, now: Millis) {
        self.reported.copy_from_slice(in_flight);
        if self.policy != Policy::FlowGuided {
            return;
        }
        let inputs = self
            .targets
            .iter()
            .zip(in_flight)
            .map(|(target, steps)| TargetInput {
                target: Arc::clone(target),
                warm_share: 1.0,
                load: mgw_contract::target::LoadReport {
                    in_flight: *steps,
                    ..Default::default()
                },
                load_age_ms: age,
            });
        self.router.update_targets(inputs.collect::<Vec<_>>(), now);
    }

    pub fn bound(&mut self, now: Millis) -> f64 {
        let bound = self.router.bound(&"drill".into(), &"v1".into(), None, now);
        bound.map_or(0.0, |bound| bound.tokens_per_s)
    }

    /// A chain, or when to ask again.
    pub fn choose(&mut self, now: Millis) -> Result<Chain, Millis> {
        let chain = if self.policy == Policy::FlowGuided {
            self.choose_by_flow(now)?
        } else {
            self.choose_by_stage()
        };
        for stage in &chain.stages {
            self.own[*stage] += 1;
        }
        Ok(chain)
    }

    pub fn release(&mut self, chain: &Chain) {
        for stage in &chain.stages {
            self.own[*stage] -= 1;
        }
        if let Some(reservation) = chain.reservation {
            self.router.release(reservation);
        }
    }

    pub fn observe(&mut self, stage: usize, latency: Millis) {
        if self.policy == Policy::FlowGuided {
            self.router
                .record_step_latency(&self.targets[stage].name, latency);
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
            Err(error) => panic!("the fleet covers the model: {error}"),
        };
        let place = |name| self.targets.iter().position(|target| target.name == name);
        let stages = path
            .stages
            .iter()
            .filter_map(|stage| place(stage.target.clone()));
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
        let load = |index: &usize| self.own[*index] + self.reported[*index];
        let mut draw = || candidates[self.rng.random_range(0..candidates.len())];
        match self.policy {
            Policy::RoundRobin => {
                self.turns[layer] += 1;
                candidates[self.turns[layer] % candidates.len()]
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
