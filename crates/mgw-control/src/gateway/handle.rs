//! The handle that adapters hold.

use std::sync::Arc;

use crate::app::App;

/// Calls a control that runs in this process; cheap to clone.
#[derive(Clone)]
pub struct Gateway {
    pub(crate) app: Arc<App>,
}

impl Gateway {
    pub(crate) const fn new(app: Arc<App>) -> Self {
        Self { app }
    }
}
