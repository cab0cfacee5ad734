//! Helpers that the tests of several crates share: loopback addresses and built programs.

mod loopback;
mod programs;

pub use loopback::{free_address, unique_loopback_ip};
pub use programs::build_programs;
