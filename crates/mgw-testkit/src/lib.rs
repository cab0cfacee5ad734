//! Helpers that the tests of several crates share: loopback addresses, slow links and built
//! programs.

mod loopback;
mod programs;
mod slow_link;

pub use loopback::{free_address, unique_loopback_ip};
pub use programs::build_programs;
pub use slow_link::start_slow_link;
