//! Paths on loan from the router; a lease gives its reservation back when it is dropped.

use std::sync::Arc;

use mgw_pipe::Stage;
use mgw_route::{NoPath, Path, PathRequest};
use mgw_world::{LayerRange, ModelVersion, TargetName};
use tracing::info;

use crate::app::App;

/// A path with its reservation.
pub struct PathLease {
    app: Arc<App>,
    path: Path,
}

impl PathLease {
    /// Chooses a path and reserves it.
    ///
    /// # Errors
    /// When no path can be chosen now.
    pub fn choose(app: &Arc<App>, request: &PathRequest) -> Result<Self, NoPath> {
        let path = app.router.lock().choose_path(request, app.clock.now())?;
        Ok(Self {
            app: Arc::clone(app),
            path,
        })
    }

    /// The stages for a pipeline.
    #[must_use]
    pub fn stages(&self) -> Vec<Stage> {
        to_pipe_stages(&self.path.stages, &self.path.version)
    }

    /// Replaces the stages that cover some layers; empty when there is no replacement now or the
    /// retry budget is used up.
    pub fn replace(
        &mut self,
        old: &Stage,
        layers: LayerRange,
        excluded: &[TargetName],
    ) -> Vec<Stage> {
        if !self.app.retries.lock().try_retry() {
            info!(target = %old.target, "retry budget is used up; the stage waits");
            return Vec::new();
        }
        let now = self.app.clock.now();
        let replaced = self
            .app
            .router
            .lock()
            .replace_stage(&mut self.path, layers, excluded, now);
        match replaced {
            Ok(stages) => to_pipe_stages(&stages, &self.path.version),
            Err(error) => {
                info!(target = %old.target, %error, "no replacement for the stage yet");
                Vec::new()
            }
        }
    }
}

impl Drop for PathLease {
    fn drop(&mut self) {
        self.app.router.lock().release(self.path.reservation);
    }
}

fn to_pipe_stages(stages: &[mgw_route::Stage], version: &ModelVersion) -> Vec<Stage> {
    let convert = |stage: &mgw_route::Stage| Stage {
        target: stage.target.clone(),
        address: stage.address,
        layers: stage.layers,
        version: version.clone(),
    };
    stages.iter().map(convert).collect()
}
