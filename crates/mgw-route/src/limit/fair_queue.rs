//! One queue per workspace, served in proportion to the workspaces' weights.
//!
//! Start-time fair queueing: each workspace has a virtual start time for its next request, which
//! advances with each request by the request's tokens divided by the weight. The workspace with the
//! earliest start time is served first. A workspace that was idle starts at the current virtual
//! time, so that it neither accumulates credit nor waits for the others' backlog. When all queues
//! are empty, the virtual times are reset, so that past use has no effect.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use mgw_world::{Millis, RequestId, WorkspaceName};

use crate::AdmissionRequest;

/// How often other requests may be served before one that waits for KV memory.
const MAX_SKIPPED: u32 = 32;

/// Order in a workspace's queue: by priority, then by arrival.
type Rank = (Reverse<u8>, u64);

/// A request in the queue.
#[derive(Debug, Clone)]
pub(super) struct QueuedRequest {
    pub request: AdmissionRequest,
    /// Time after which it may no longer start.
    pub latest_start: Millis,
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    weight: f64,
    /// Virtual time at which the next request may start.
    virtual_start: f64,
    /// Sum of the tokens of the queued requests.
    tokens: u64,
    /// How often the first request was skipped since the last start.
    skipped: u32,
    requests: BTreeMap<Rank, QueuedRequest>,
}

/// All queued requests, by workspace.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    virtual_now: f64,
    arrivals: u64,
    queues: BTreeMap<WorkspaceName, WorkspaceQueue>,
    positions: BTreeMap<RequestId, (WorkspaceName, Rank)>,
    latest_starts: BTreeMap<(Millis, RequestId), ()>,
}

impl FairQueue {
    /// Appends a request to the queue of its workspace.
    pub fn push(&mut self, queued: QueuedRequest) {
        let request = &queued.request;
        let id = request.id;
        let tokens = u64::from(request.tokens);
        let rank = (Reverse(request.priority), self.arrivals);
        self.arrivals += 1;
        let virtual_now = self.virtual_now;
        let queue = self.queues.entry(request.workspace.clone()).or_default();
        if queue.requests.is_empty() {
            queue.virtual_start = queue.virtual_start.max(virtual_now);
        }
        queue.weight = f64::from(request.weight.max(1));
        queue.tokens += tokens;
        self.positions.insert(id, (request.workspace.clone(), rank));
        self.latest_starts.insert((queued.latest_start, id), ());
        queue.requests.insert(rank, queued);
    }

    /// Removes and returns the request to serve next.
    ///
    /// A request that doesn't fit is skipped, but only a limited number of times.
    pub fn pop(&mut self, fits: impl Fn(&AdmissionRequest) -> bool) -> Option<QueuedRequest> {
        let queues = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.requests.is_empty());
        let mut order: Vec<_> = queues
            .map(|(name, queue)| (queue.virtual_start, name.clone()))
            .collect();
        order.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut skipped = Vec::new();
        for (virtual_start, name) in order {
            let queue = self.queues.get(&name)?;
            let head = queue.requests.values().next()?;
            if fits(&head.request) {
                let id = head.request.id;
                self.count_skipped(&skipped);
                self.virtual_now = self.virtual_now.max(virtual_start);
                return self.remove_request(id, true);
            }
            if queue.skipped >= MAX_SKIPPED {
                return None;
            }
            skipped.push(name);
        }
        None
    }

    fn count_skipped(&mut self, skipped: &[WorkspaceName]) {
        for name in skipped {
            if let Some(queue) = self.queues.get_mut(name) {
                queue.skipped += 1;
            }
        }
    }

    /// Removes a request at any position.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        self.remove_request(id, false)
    }

    fn remove_request(&mut self, id: RequestId, starts: bool) -> Option<QueuedRequest> {
        let (name, rank) = self.positions.remove(&id)?;
        let queue = self.queues.get_mut(&name)?;
        let queued = queue.requests.remove(&rank)?;
        let tokens = u64::from(queued.request.tokens);
        queue.tokens -= tokens;
        if starts {
            queue.skipped = 0;
            queue.virtual_start += tokens.max(1) as f64 / queue.weight;
        }
        self.latest_starts.remove(&(queued.latest_start, id));
        if queue.requests.is_empty() && queue.virtual_start <= self.virtual_now {
            self.queues.remove(&name);
        }
        if self.positions.is_empty() {
            self.queues.clear();
            self.virtual_now = 0.0;
        }
        Some(queued)
    }

    /// Removes and returns the requests whose latest start is before `now`.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<QueuedRequest> {
        let expired = self
            .latest_starts
            .keys()
            .take_while(|(latest, _)| *latest < now);
        let ids: Vec<_> = expired.map(|(_, id)| *id).collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Removes the last request of the workspace with the largest backlog relative to its weight,
    /// unless that is `workspace` itself, to make space for a request of `workspace`.
    pub fn evict_for(&mut self, workspace: &WorkspaceName) -> Option<QueuedRequest> {
        let backlog = |queue: &WorkspaceQueue| queue.tokens as f64 / queue.weight.max(1.0);
        let queues = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.requests.is_empty());
        let longest = queues.max_by(|left, right| backlog(left.1).total_cmp(&backlog(right.1)));
        let (name, queue) = longest?;
        if name == workspace {
            return None;
        }
        let id = queue.requests.values().next_back()?.request.id;
        self.remove(id)
    }

    /// Upper bound of the tokens that are served before a new request.
    ///
    /// These are the queue of its own workspace, and of each other workspace as much as its weight
    /// allows in the meantime.
    pub fn tokens_ahead_of(&self, request: &AdmissionRequest) -> f64 {
        let weight = f64::from(request.weight.max(1));
        let own = self
            .queues
            .get(&request.workspace)
            .map_or(0, |queue| queue.tokens);
        let rounds = (own + u64::from(request.tokens)) as f64 / weight;
        let others = self
            .queues
            .iter()
            .filter(|(name, _)| **name != request.workspace);
        let ahead = others.map(|(_, queue)| (queue.tokens as f64).min(rounds * queue.weight));
        own as f64 + ahead.sum::<f64>()
    }

    /// The earliest latest start of all queued requests.
    pub fn earliest_latest_start(&self) -> Option<Millis> {
        self.latest_starts.keys().next().map(|(latest, _)| *latest)
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}
