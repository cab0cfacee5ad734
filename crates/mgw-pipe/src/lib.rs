//! A request's way through its stages, and its recovery.
