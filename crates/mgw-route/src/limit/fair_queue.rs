//! Queues per workspace, served in proportion to the workspaces' weights.
//!
//! Start-time fair queueing: each workspace has a virtual time at which its next request may start;
//! a request moves it on by its work over the weight. The earliest goes first. A workspace that
//! was idle starts at the present virtual time, so that it neither saves up turns nor waits for
//! others' queues. Once nobody waits, past use counts against no one.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use mgw_world::{Millis, RequestId, WorkspaceName};

use crate::AdmissionRequest;

/// Most times that requests pass one that waits for KV memory.
const MAX_PASSED: u32 = 32;

/// Place in a workspace's queue: priority first, then order of arrival.
type Rank = (Reverse<u8>, u64);

/// A request that waits.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub request: AdmissionRequest,
    /// When it has to have started.
    pub latest_start: Millis,
}

#[derive(Debug, Default)]
struct Lane {
    weight: f64,
    start: f64,
    tokens: u64,
    passed: u32,
    queue: BTreeMap<Rank, Waiting>,
}

/// All requests that wait, by workspace.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    now: f64,
    arrivals: u64,
    lanes: BTreeMap<WorkspaceName, Lane>,
    places: BTreeMap<RequestId, (WorkspaceName, Rank)>,
    deadlines: BTreeMap<(Millis, RequestId), ()>,
}

impl FairQueue {
    /// Appends a request to the queue of its workspace.
    pub fn push(&mut self, waiting: Waiting) {
        let request = &waiting.request;
        let id = request.id;
        let tokens = u64::from(request.tokens);
        let rank = (Reverse(request.priority), self.arrivals);
        self.arrivals += 1;
        let now = self.now;
        let lane = self.lanes.entry(request.workspace.clone()).or_default();
        if lane.queue.is_empty() {
            lane.start = lane.start.max(now);
        }
        lane.weight = f64::from(request.weight.max(1));
        lane.tokens += tokens;
        self.places.insert(id, (request.workspace.clone(), rank));
        self.deadlines.insert((waiting.latest_start, id), ());
        lane.queue.insert(rank, waiting);
    }

    /// Takes the request whose turn it is out of the queue.
    ///
    /// A request that doesn't fit is passed by others, but only a limited number of times.
    pub fn pop(&mut self, fits: impl Fn(&AdmissionRequest) -> bool) -> Option<Waiting> {
        let lanes = self.lanes.iter().filter(|(_, lane)| !lane.queue.is_empty());
        let mut order: Vec<_> = lanes
            .map(|(name, lane)| (lane.start, name.clone()))
            .collect();
        order.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut passed = Vec::new();
        for (start, name) in order {
            let lane = self.lanes.get(&name)?;
            let head = lane.queue.values().next()?;
            if fits(&head.request) {
                let id = head.request.id;
                self.count_passed(&passed);
                self.now = self.now.max(start);
                return self.take(id, true);
            }
            if lane.passed >= MAX_PASSED {
                return None;
            }
            passed.push(name);
        }
        None
    }

    fn count_passed(&mut self, passed: &[WorkspaceName]) {
        for name in passed {
            if let Some(lane) = self.lanes.get_mut(name) {
                lane.passed += 1;
            }
        }
    }

    /// Removes a request, wherever it stands.
    pub fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        self.take(id, false)
    }

    fn take(&mut self, id: RequestId, starts: bool) -> Option<Waiting> {
        let (name, rank) = self.places.remove(&id)?;
        let lane = self.lanes.get_mut(&name)?;
        let waiting = lane.queue.remove(&rank)?;
        let tokens = u64::from(waiting.request.tokens);
        lane.tokens -= tokens;
        if starts {
            lane.passed = 0;
            lane.start += tokens.max(1) as f64 / lane.weight;
        }
        self.deadlines.remove(&(waiting.latest_start, id));
        if lane.queue.is_empty() && lane.start <= self.now {
            self.lanes.remove(&name);
        }
        if self.places.is_empty() {
            self.lanes.clear();
            self.now = 0.0;
        }
        Some(waiting)
    }

    /// Requests that had to have started before this point.
    pub fn take_late(&mut self, now: Millis) -> Vec<Waiting> {
        let late = self
            .deadlines
            .keys()
            .take_while(|(latest, _)| *latest < now);
        let ids: Vec<_> = late.map(|(_, id)| *id).collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Takes out the last request of the workspace with the most work waiting for its weight,
    /// unless that is `workspace` itself.
    pub fn push_out_for(&mut self, workspace: &WorkspaceName) -> Option<Waiting> {
        let backlog = |lane: &Lane| lane.tokens as f64 / lane.weight.max(1.0);
        let lanes = self.lanes.iter().filter(|(_, lane)| !lane.queue.is_empty());
        let longest = lanes.max_by(|left, right| backlog(left.1).total_cmp(&backlog(right.1)));
        let (name, lane) = longest?;
        if name == workspace {
            return None;
        }
        let id = lane.queue.values().next_back()?.request.id;
        self.remove(id)
    }

    /// Tokens that are served before a new request of a workspace, at the most.
    ///
    /// The workspace has its own queue before it, and of each other one what its weight allows in
    /// the meantime.
    pub fn tokens_before(&self, request: &AdmissionRequest) -> f64 {
        let weight = f64::from(request.weight.max(1));
        let own = self
            .lanes
            .get(&request.workspace)
            .map_or(0, |lane| lane.tokens);
        let rounds = (own + u64::from(request.tokens)) as f64 / weight;
        let others = self
            .lanes
            .iter()
            .filter(|(name, _)| **name != request.workspace);
        let before = others.map(|(_, lane)| (lane.tokens as f64).min(rounds * lane.weight));
        own as f64 + before.sum::<f64>()
    }

    /// The earliest point at which a request has to have started.
    pub fn first_deadline(&self) -> Option<Millis> {
        self.deadlines.keys().next().map(|(latest, _)| *latest)
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
