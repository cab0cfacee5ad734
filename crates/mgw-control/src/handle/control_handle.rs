//! The handle through which adapters call a control.

use std::sync::Arc;

use crate::app::App;

/// Handle to a control that runs in this process; cheap to clone.
#[derive(Clone)]
pub struct ControlHandle {
    pub(crate) app: Arc<App>,
}

impl ControlHandle {
    pub(crate) const fn new(app: Arc<App>) -> Self {
        Self { app }
    }
}
