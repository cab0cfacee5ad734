//! Helpers that the tests of several crates share.

mod loopback;

pub use loopback::{free_address, own_ip};
