//! Paths chosen by the router; a [`PathLease`] releases its reservation when it is dropped.

use std::sync::Arc;

use mgw_pipe::Stage;
use mgw_route::{NoPath, Path, PathRequest};
use mgw_world::{LayerRange, ModelVersion, TargetName};
use tracing::info;

use crate::app::App;

/// A chosen path and its reservation, which is released on drop.
pub struct PathLease {
    app: Arc<App>,
    path: Path,
}

impl PathLease {
    /// Chooses a path and reserves capacity on it.
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

    /// The stages of the path, for a pipeline.
    #[must_use]
    pub fn stages(&self) -> Vec<Stage> {
        to_pipe_stages(&self.path.stages, &self.path.version)
    }

    /// Replaces the stages of the first span in `spans` that other targets can serve; returns the
    /// new stages, or none if no span has a replacement now.
    ///
    /// Leaves out the `excluded` targets and targets that have recently taken over as many requests
    /// as they may.
    pub fn replace(
        &mut self,
        old: &Stage,
        spans: &[LayerRange],
        excluded: &[TargetName],
    ) -> Vec<Stage> {
        let now = self.app.clock.now();
        let mut all_excluded = self.app.moves.lock().list_exhausted(now);
        all_excluded.extend_from_slice(excluded);
        let mut router = self.app.router.lock();
        for span in spans {
            let replaced = router.replace_stage(&mut self.path, *span, &all_excluded, now);
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
        info!(target = %old.target, "no target can replace the one of this stage now");
        Vec::new()
    }
}

impl Drop for PathLease {
    fn drop(&mut self) {
        self.app.router.lock().release(self.path.reservation);
    }
}

/// Converts stages of a path to stages of a pipeline.
fn to_pipe_stages(stages: &[mgw_route::Stage], version: &ModelVersion) -> Vec<Stage> {
    let convert = |stage: &mgw_route::Stage| Stage {
        target: stage.target.clone(),
        address: stage.address,
        layers: stage.layers,
        version: version.clone(),
    };
    stages.iter().map(convert).collect()
}
