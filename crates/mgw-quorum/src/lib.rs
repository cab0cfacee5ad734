//! Replicated log: elections, leases, snapshots and synced files.
