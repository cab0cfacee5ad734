//! Throughput bound, path choice, limits, queues and the retry budget.
