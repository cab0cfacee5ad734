//! Which target of a plain service takes a call.

use std::collections::HashMap;
use std::net::SocketAddr;

use mgw_world::{Millis, PlaceName, ServiceName, Target, TargetName};

/// How long a failure counts against a target.
const FAULT_MS: Millis = Millis(4_000);
/// Calls in flight that one recent failure weighs as much as.
const FAULT_WEIGHT: u32 = 3;

#[derive(Debug, Clone)]
struct Member {
    name: TargetName,
    address: SocketAddr,
    is_near: bool,
    in_flight: u32,
    faults: Vec<Millis>,
}

/// The targets of plain services with this process's own calls and what they met with.
///
/// A call goes to the target with the fewest calls of this process, where recent failures weigh as
/// several calls; of equals to one in the same zone.
#[derive(Debug, Default)]
pub struct PlainChoice {
    services: HashMap<ServiceName, Vec<Member>>,
    next: usize,
}

/// A call's place at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainHold {
    /// Service of the target.
    pub service: ServiceName,
    /// The target.
    pub target: TargetName,
    /// Where it takes calls.
    pub address: SocketAddr,
}

impl PlainChoice {
    /// Takes the targets that may get new work; calls in flight are kept.
    pub fn set_targets<'a>(&mut self, targets: impl Iterator<Item = &'a Target>, home: &PlaceName) {
        let before = std::mem::take(&mut self.services);
        for target in targets {
            let Some(service) = target.service() else {
                continue;
            };
            let known = before.get(service).into_iter().flatten();
            let known = known.into_iter().find(|it| it.name == target.name);
            let member = Member {
                name: target.name.clone(),
                address: target.address,
                is_near: target.place == *home,
                in_flight: known.map_or(0, |it| it.in_flight),
                faults: known.map(|it| it.faults.clone()).unwrap_or_default(),
            };
            self.services
                .entry(service.clone())
                .or_default()
                .push(member);
        }
    }

    /// Chooses a target that isn't among those to avoid and takes a place there.
    pub fn choose(
        &mut self,
        service: &ServiceName,
        avoid: &[TargetName],
        now: Millis,
    ) -> Option<PlainHold> {
        self.next = self.next.wrapping_add(1);
        let turn = self.next;
        let members = self.services.get_mut(service)?;
        let count = members.len().max(1);
        let usable = members
            .iter_mut()
            .enumerate()
            .filter(|(_, member)| !avoid.contains(&member.name));
        let (_, best) = usable.min_by_key(|(at, member)| {
            let faults = member.faults.iter();
            let faults = faults.filter(|fault| now - **fault < FAULT_MS).count();
            let faults = u32::try_from(faults).unwrap_or(u32::MAX);
            let load = member
                .in_flight
                .saturating_add(faults.saturating_mul(FAULT_WEIGHT));
            (load, !member.is_near, (at + turn) % count)
        })?;
        best.in_flight += 1;
        Some(PlainHold {
            service: service.clone(),
            target: best.name.clone(),
            address: best.address,
        })
    }

    /// Gives a place back; a failure counts against the target for a while.
    pub fn release(&mut self, hold: &PlainHold, failed: bool, now: Millis) {
        let members = self.services.get_mut(&hold.service);
        let mut members = members.into_iter().flatten();
        if let Some(member) = members.find(|member| member.name == hold.target) {
            member.in_flight = member.in_flight.saturating_sub(1);
            member.faults.retain(|fault| now - *fault < FAULT_MS);
            if failed {
                member.faults.push(now);
            }
        }
    }
}
