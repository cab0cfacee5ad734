//! Maximum flow over the groups of a graph.
