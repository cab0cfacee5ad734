//! Serves callers and targets and drives pipelines.
