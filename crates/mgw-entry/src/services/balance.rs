//! Choice among the targets of a plain service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mgw_world::{ServiceName, TargetKind, TargetName};
use parking_lot::Mutex;

use crate::app::App;

/// Calls in flight at each target of the plain services.
#[derive(Debug, Clone, Default)]
pub struct PlainBalance {
    in_flight: Arc<Mutex<BTreeMap<TargetName, u32>>>,
}

/// A target chosen for one call; counted until it is dropped.
#[derive(Debug)]
pub struct PlainChoice {
    /// The target.
    pub target: TargetName,
    /// Where it takes calls.
    pub address: SocketAddr,
    balance: PlainBalance,
}

impl Drop for PlainChoice {
    fn drop(&mut self) {
        let mut in_flight = self.balance.in_flight.lock();
        if let Some(count) = in_flight.get_mut(&self.target) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Chooses the target with the fewest calls of this entry for its share; none when there is none
/// that may be chosen.
pub fn choose_plain(
    app: &App,
    service: &ServiceName,
    excluded: &[TargetName],
) -> Option<PlainChoice> {
    let now = app.clock.now();
    let view = app.members.view.lock();
    let mut in_flight = app.plain.in_flight.lock();
    let mut best: Option<(f64, TargetName, SocketAddr)> = None;
    for choice in view.eligible_targets(now) {
        let target = choice.target;
        let serves = matches!(&target.duty, TargetKind::Plain { service: of } if of == service);
        let count = in_flight.get(&target.name).copied().unwrap_or_default();
        if !serves || excluded.contains(&target.name) || count >= target.limits.max_requests {
            continue;
        }
        let pressure = f64::from(count + 1) / choice.share.max(f64::EPSILON);
        if best.as_ref().is_none_or(|(least, ..)| pressure < *least) {
            best = Some((pressure, target.name.clone(), target.address));
        }
    }
    let (_, target, address) = best?;
    *in_flight.entry(target.clone()).or_default() += 1;
    Some(PlainChoice {
        target,
        address,
        balance: app.plain.clone(),
    })
}
