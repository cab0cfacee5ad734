//! Queues per workspace, served in proportion to the workspaces' weights.
