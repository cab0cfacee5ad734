//! RPC interfaces between the system's own processes.
