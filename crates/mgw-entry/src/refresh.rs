//! Brings path choice, admission and the step times in line with the view.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use mgw_member::{NodePhase, NodeRole, determine_availability};
use mgw_route::TargetInput;
use mgw_world::{Millis, Target, TargetName};
use tokio::time::sleep;

use crate::app::App;

/// Time between two refreshes.
const REFRESH_MS: Millis = Millis(100);

/// Targets as they were given to path choice, so that they are copied only when they change.
type KnownTargets = BTreeMap<TargetName, Arc<Target>>;

/// Refreshes until the process ends.
pub async fn run_refresh(app: Arc<App>) {
    let mut excluded = BTreeSet::new();
    let mut known = KnownTargets::new();
    loop {
        exclude_targets(&app, &mut excluded);
        refresh_targets(&app, &mut known);
        refresh_capacity(&app);
        follow_phase(&app);
        app.sample_tokens();
        sleep(REFRESH_MS.to_duration()).await;
    }
}

/// Takes out of choice what an operator drains and, if the inventory lists targets, what it
/// doesn't list.
fn exclude_targets(app: &App, excluded: &mut BTreeSet<TargetName>) {
    let config = app.config.load();
    let listed: BTreeSet<&TargetName> = config
        .inventory
        .targets
        .iter()
        .map(|target| &target.name)
        .collect();
    let now = app.clock.now();
    let mut view = app.members.view.lock();
    let mut wanted = app.drained_targets.lock().clone();
    if !listed.is_empty() {
        let known = view.targets(now);
        let names = known.iter().map(|status| &status.target.name);
        wanted.extend(names.filter(|name| !listed.contains(name)).cloned());
    }
    if wanted != *excluded {
        view.set_excluded(wanted.clone(), now);
        *excluded = wanted;
    }
}

/// Takes a target out of what is known if it is the same still, else copies it.
fn share_target(known: &mut KnownTargets, target: &Target) -> Arc<Target> {
    let same = known.remove(&target.name).filter(|it| **it == *target);
    same.unwrap_or_else(|| Arc::new(target.clone()))
}

fn refresh_targets(app: &App, known: &mut KnownTargets) {
    let now = app.clock.now();
    let (inputs, entries) = {
        let view = app.members.view.lock();
        let inputs: Vec<TargetInput> = view
            .eligible_targets(now)
            .into_iter()
            .filter(|choice| choice.target.engine().is_some())
            .map(|choice| TargetInput {
                target: share_target(known, choice.target),
                warm_share: choice.share,
                load: choice.load,
                load_age_ms: choice.age_ms,
            })
            .collect();
        let nodes = view.nodes(now);
        let entries = nodes.iter().filter(|node| {
            node.info.role == NodeRole::Entry
                && node.is_alive
                && node.info.phase == NodePhase::Serving
        });
        (inputs, u32::try_from(entries.count()).unwrap_or(u32::MAX))
    };
    *known = inputs
        .iter()
        .map(|input| (input.target.name.clone(), Arc::clone(&input.target)))
        .collect();
    let mut router = app.router.lock();
    router.set_entries(entries.max(1));
    router.update_targets(inputs, now);
}

fn refresh_capacity(app: &App) {
    let now = app.clock.now();
    let config = app.config.load();
    for model in &config.inventory.models {
        let capacity = app
            .router
            .lock()
            .capacity(&model.name, &model.version, None, now);
        if let Some(capacity) = capacity {
            app.gate.lock().set_capacity(&model.name, capacity);
        }
    }
    let queued = app.gate.lock().queued();
    app.metrics
        .queued
        .set(i64::try_from(queued).unwrap_or(i64::MAX));
}

/// Serves callers once the view is complete and a configuration is in force.
fn follow_phase(app: &App) {
    let is_ready = app.config.is_ready();
    let mut view = app.members.view.lock();
    if view.own_info().phase == NodePhase::Starting && view.is_complete() && is_ready {
        view.set_phase(NodePhase::Serving);
        let availability = determine_availability(&view, app.clock.now());
        tracing::info!(%availability, "serving callers");
    }
}
