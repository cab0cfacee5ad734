//! Updates path choice and admission from the view at regular intervals, and samples token counts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use mgw_member::{NodePhase, NodeRole, determine_availability};
use mgw_route::TargetInput;
use mgw_world::{Millis, Target, TargetName};
use tokio::time::sleep;

use crate::app::App;

/// Pause between two refreshes.
const REFRESH_MS: Millis = Millis(100);

/// Targets as they were last passed to path choice, so that a target is copied only when it
/// changed.
type SharedTargets = BTreeMap<TargetName, Arc<Target>>;

/// Refreshes until the process ends.
pub async fn run_refresh(app: Arc<App>) {
    let mut excluded = BTreeSet::new();
    let mut shared = SharedTargets::new();
    loop {
        exclude_targets(&app, &mut excluded);
        refresh_targets(&app, &mut shared);
        refresh_capacity(&app);
        update_phase(&app);
        app.sample_tokens();
        sleep(REFRESH_MS.to_duration()).await;
    }
}

/// Makes targets ineligible that an operator drains and, if the inventory lists targets, those that
/// it doesn't list.
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
    let mut to_exclude = app.drained_targets.lock().clone();
    if !listed.is_empty() {
        let known = view.targets(now);
        let names = known.iter().map(|status| &status.target.name);
        to_exclude.extend(names.filter(|name| !listed.contains(name)).cloned());
    }
    if to_exclude != *excluded {
        view.set_excluded(to_exclude.clone(), now);
        *excluded = to_exclude;
    }
}

/// Takes a target out of `shared` if it has not changed, else copies it.
fn share_target(shared: &mut SharedTargets, target: &Target) -> Arc<Target> {
    let unchanged = shared
        .remove(&target.name)
        .filter(|known| **known == *target);
    unchanged.unwrap_or_else(|| Arc::new(target.clone()))
}

/// Passes the eligible engines and the number of serving entries to path choice.
fn refresh_targets(app: &App, shared: &mut SharedTargets) {
    let now = app.clock.now();
    let (inputs, entries) = {
        let view = app.members.view.lock();
        let inputs: Vec<TargetInput> = view
            .eligible_targets(now)
            .into_iter()
            .filter(|eligible| eligible.target.engine().is_some())
            .map(|eligible| TargetInput {
                target: share_target(shared, eligible.target),
                warm_share: eligible.share,
                load: eligible.load,
                load_age_ms: eligible.age_ms,
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
    *shared = inputs
        .iter()
        .map(|input| (input.target.name.clone(), Arc::clone(&input.target)))
        .collect();
    let mut router = app.router.lock();
    router.set_entries(entries.max(1));
    router.update_targets(inputs, now);
}

/// Passes the capacity of each model from path choice to admission.
fn refresh_capacity(app: &App) {
    let now = app.clock.now();
    let config = app.config.load();
    for model in &config.inventory.models {
        let capacity = app
            .router
            .lock()
            .capacity(&model.name, &model.version, None, now);
        if let Some(capacity) = capacity {
            app.admissions.lock().set_capacity(&model.name, capacity);
        }
    }
    let queued = app.admissions.lock().queued_count();
    app.metrics
        .queued
        .set(i64::try_from(queued).unwrap_or(i64::MAX));
}

/// Starts to serve callers once the view is complete and a configuration is in force.
fn update_phase(app: &App) {
    let is_ready = app.config.is_ready();
    let mut view = app.members.view.lock();
    if view.own_info().phase == NodePhase::Starting && view.is_complete() && is_ready {
        view.set_phase(NodePhase::Serving);
        let availability = determine_availability(&view, app.clock.now());
        tracing::info!(%availability, "view and configuration are complete; serving callers");
    }
}
