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

    /// Replaces the stages that cover the first of `spans` that others can cover; empty when there
    /// is no replacement now.
    ///
    /// Targets to which many requests moved just now take no more for a moment.
    pub fn replace(
        &mut self,
        old: &Stage,
        spans: &[LayerRange],
        excluded: &[TargetName],
    ) -> Vec<Stage> {
        let now = self.app.clock.now();
        let mut left_out = self.app.moves.lock().list_exhausted(now);
        left_out.extend_from_slice(excluded);
        let mut router = self.app.router.lock();
        for span in spans {
            let replaced = router.replace_stage(&mut self.path, *span, &left_out, now);
            let Ok(stages) = replaced else {
                continue;
            };
            drop(router);
            let mut moves = self.app.moves.lock();
            for stage in &stages {
                moves.record_move(&stage.target, now);
            }
            return to_pipe_stages(&stages, &self.path.version);
        }
        info!(target = %old.target, "no replacement for the stage now");
        Vec::new()
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
