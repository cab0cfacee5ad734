//! Holds the durable state on a machine with a disk.
