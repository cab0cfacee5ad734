//! Chooses the target of a plain service that gets a call.

use std::collections::HashMap;
use std::net::SocketAddr;

use mgw_route::{EntryRateLimits, RequestRate, TargetRun};
use mgw_world::{Millis, PlaceName, ServiceName, Target, TargetName};

/// Time for which a failure of a target counts in the choice.
const FAILURE_WINDOW_MS: Millis = Millis(4_000);
/// Number of in-flight calls that one recent failure counts as.
const FAILURE_WEIGHT: u32 = 3;

#[derive(Debug, Clone)]
struct PlainTarget {
    run: TargetRun,
    address: SocketAddr,
    is_same_zone: bool,
    in_flight: u32,
    failures: Vec<Millis>,
    /// The target asked for no requests until then.
    paused_until: Millis,
}

impl PlainTarget {
    /// In-flight calls of this process, where each recent failure counts as several.
    fn load(&self, now: Millis) -> u32 {
        let failures = self.failures.iter();
        let recent = failures.filter(|failed_at| now - **failed_at < FAILURE_WINDOW_MS);
        let failures = u32::try_from(recent.count()).unwrap_or(u32::MAX);
        self.in_flight
            .saturating_add(failures.saturating_mul(FAILURE_WEIGHT))
    }

    /// Whether the target's rate limit leaves room for a call.
    fn may_get_call(&self, limits: &EntryRateLimits, now: Millis) -> bool {
        limits.may_send(&self.run.name, self.run.incarnation, now)
    }
}

/// The targets of plain services with this process's in-flight calls and recent failures.
///
/// A call goes to the target with the fewest in-flight calls of this process, where each recent
/// failure counts as several calls. Among equal targets one in the same zone is preferred, then
/// they take turns.
#[derive(Debug, Default)]
pub struct PlainBalancer {
    services: HashMap<ServiceName, Vec<PlainTarget>>,
    rotation: usize,
}

/// One in-flight call at a target, counted until it is released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainReservation {
    /// Service of the target.
    pub service: ServiceName,
    /// Target that runs the call, in its incarnation when it was chosen.
    pub run: TargetRun,
    /// Address where the target takes calls.
    pub address: SocketAddr,
}

/// Why no target was found for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum NoTarget {
    /// no target of the service is known that wasn't tried
    Unknown,
    /// all targets of the service asked for a pause, the first of them until {until}
    Paused {
        /// When the first of the pauses ends.
        until: Millis,
    },
    /// the rate limits of the service's targets leave no room for the call
    Limited,
    /// the call is quarantined, because targets end under it
    Quarantined,
}

impl PlainBalancer {
    /// Replaces the targets that may get new work. Targets that stay keep their counts of in-flight
    /// calls and failures.
    pub fn set_targets<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a Target>,
        own_place: &PlaceName,
    ) {
        let previous_services = std::mem::take(&mut self.services);
        for target in targets {
            let Some(service) = target.service() else {
                continue;
            };
            let previous = previous_services.get(service).into_iter().flatten();
            let previous = previous.into_iter().find(|it| it.run.name == target.name);
            let target = PlainTarget {
                run: TargetRun::from(target),
                address: target.address,
                is_same_zone: target.place == *own_place,
                in_flight: previous.map_or(0, |it| it.in_flight),
                failures: previous.map(|it| it.failures.clone()).unwrap_or_default(),
                // Pauses in force are applied again after the list was replaced.
                paused_until: Millis::ZERO,
            };
            self.services
                .entry(service.clone())
                .or_default()
                .push(target);
        }
    }

    /// Leaves a target out of the choice until then because it asked for a pause.
    pub fn pause(&mut self, target: &TargetRun, until: Millis) {
        let mut targets = self.services.values_mut().flatten();
        if let Some(paused) = targets.find(|it| it.run == *target) {
            paused.paused_until = paused.paused_until.max(until);
        }
    }

    /// Chooses a target that isn't among those to avoid, counts a call in flight there and spends a token
    /// if the target has a rate limit.
    ///
    /// # Errors
    /// When no target is left, or all that are left asked for a pause or have a rate limit that is reached.
    pub fn choose(
        &mut self,
        service: &ServiceName,
        avoid: &[TargetName],
        limits: &mut EntryRateLimits,
        now: Millis,
    ) -> Result<PlainReservation, NoTarget> {
        self.rotation = self.rotation.wrapping_add(1);
        let rotation = self.rotation;
        let targets = self.services.get_mut(service).ok_or(NoTarget::Unknown)?;
        let count = targets.len().max(1);
        let candidates = targets
            .iter_mut()
            .enumerate()
            .filter(|(_, target)| !avoid.contains(&target.run.name) && now >= target.paused_until);
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_by_cached_key(|(at, target)| {
            let rank = (at + rotation) % count;
            (target.load(now), !target.is_same_zone, rank)
        });
        if let Some((_, preferred)) = candidates.first()
            && !preferred.may_get_call(limits, now)
        {
            limits.want(&preferred.run);
        }
        let mut within_limits = candidates.into_iter().map(|(_, target)| target);
        let Some(best) = within_limits.find(|target| target.may_get_call(limits, now)) else {
            return Err(explain(targets, avoid, now));
        };
        limits.take(&best.run, now);
        best.in_flight += 1;
        Ok(PlainReservation {
            service: service.clone(),
            run: best.run.clone(),
            address: best.address,
        })
    }

    /// Requests a second that the rate limits of a service's targets allow together.
    #[must_use]
    pub fn limited_per_s(&self, service: &ServiceName, limits: &EntryRateLimits) -> f64 {
        let targets = self.services.get(service).into_iter().flatten();
        let rates = targets.filter_map(|it| limits.rate(&it.run.name, it.run.incarnation));
        rates.map(RequestRate::per_s).sum()
    }

    /// Ends a call in flight. A failure counts in the choice for `FAILURE_WINDOW_MS`.
    pub fn release(&mut self, reservation: &PlainReservation, failed: bool, now: Millis) {
        let targets = self.services.get_mut(&reservation.service);
        let mut targets = targets.into_iter().flatten();
        if let Some(target) = targets.find(|target| target.run.name == reservation.run.name) {
            target.in_flight = target.in_flight.saturating_sub(1);
            target
                .failures
                .retain(|failed_at| now - *failed_at < FAILURE_WINDOW_MS);
            if failed {
                target.failures.push(now);
            }
        }
    }
}

/// Why none of the targets can be chosen.
fn explain(targets: &[PlainTarget], avoid: &[TargetName], now: Millis) -> NoTarget {
    let left = targets.iter().filter(|it| !avoid.contains(&it.run.name));
    match left.map(|it| it.paused_until).min() {
        None => NoTarget::Unknown,
        Some(until) if now < until => NoTarget::Paused { until },
        Some(_) => NoTarget::Limited,
    }
}
