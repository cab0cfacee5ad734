//! Load balancing over the targets of a plain service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mgw_world::{ServiceName, TargetKind, TargetName};
use parking_lot::Mutex;

use crate::app::App;

/// Counts this entry's calls in flight at each target of the plain services.
#[derive(Debug, Clone, Default)]
pub struct ServiceBalancer {
    in_flight: Arc<Mutex<BTreeMap<TargetName, u32>>>,
}

/// A target chosen for one call; the call counts as in flight until this is dropped.
#[derive(Debug)]
pub struct ChosenTarget {
    /// Name of the target.
    pub target: TargetName,
    /// Address at which the target accepts calls.
    pub address: SocketAddr,
    balancer: ServiceBalancer,
}

impl Drop for ChosenTarget {
    fn drop(&mut self) {
        let mut in_flight = self.balancer.in_flight.lock();
        if let Some(count) = in_flight.get_mut(&self.target) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Chooses the eligible target with the fewest calls in flight from this entry relative to its
/// share; `None` when no target is eligible and below its request limit.
pub fn choose_target(
    app: &App,
    service: &ServiceName,
    excluded: &[TargetName],
) -> Option<ChosenTarget> {
    let now = app.clock.now();
    let view = app.members.view.lock();
    let mut in_flight = app.service_balancer.in_flight.lock();
    let mut best: Option<(f64, TargetName, SocketAddr)> = None;
    for eligible in view.eligible_targets(now) {
        let target = eligible.target;
        let serves =
            matches!(&target.duty, TargetKind::Plain { service: served } if served == service);
        let count = in_flight.get(&target.name).copied().unwrap_or_default();
        if !serves || excluded.contains(&target.name) || count >= target.limits.max_requests {
            continue;
        }
        let relative_load = f64::from(count + 1) / eligible.share.max(f64::EPSILON);
        if best
            .as_ref()
            .is_none_or(|(least, ..)| relative_load < *least)
        {
            best = Some((relative_load, target.name.clone(), target.address));
        }
    }
    let (_, target, address) = best?;
    *in_flight.entry(target.clone()).or_default() += 1;
    Some(ChosenTarget {
        target,
        address,
        balancer: app.service_balancer.clone(),
    })
}
