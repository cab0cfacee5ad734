//! Connections to targets, as requests and probes get them.

use std::io::{ErrorKind, Result};
use std::net::SocketAddr;

use crate::app::App;
use crate::targets::PooledConnection;

impl App {
    /// Returns an idle connection to a target that still looks open, or else a new one.
    ///
    /// # Errors
    /// When no connection can be established. Nothing was sent then.
    pub async fn connect(
        &self,
        address: SocketAddr,
        needs_new_connection: bool,
    ) -> Result<PooledConnection> {
        let acquired = self
            .connection_pool
            .acquire(address, needs_new_connection)
            .await;
        let outcome = match &acquired {
            Ok(connection) if connection.is_reused => "reused",
            Ok(_) => "opened",
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => "refused",
            Err(error) if error.kind() == ErrorKind::TimedOut => "timed out",
            Err(_) => "failed",
        };
        self.metrics.count_connection(outcome);
        acquired
    }
}
