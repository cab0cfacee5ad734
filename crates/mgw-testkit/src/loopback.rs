//! Loopback addresses that no other test uses at the same time.
//!
//! A port that is free when a test looks may be taken when its process listens. The whole of
//! 127.0.0.0/8 is local, so each test has IP addresses of its own and needs not look.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// IP addresses that one process of tests takes before it meets those of the next process id.
const ADDRESSES_OF_PROCESS: u32 = 512;
/// Addresses from 127.1.0.0 on; those before it belong to everyone.
const FIRST: u32 = 0x7f01_0000;
/// Number of addresses from there on.
const COUNT: u32 = 0x00fe_0000;
/// Port of an address that is given out whole.
const PORT: u16 = 7_400;

static TAKEN: AtomicU32 = AtomicU32::new(0);

/// A loopback IP address that is this caller's alone.
#[must_use]
pub fn unique_loopback_ip() -> Ipv4Addr {
    let from = std::process::id().wrapping_mul(ADDRESSES_OF_PROCESS);
    let next = from.wrapping_add(TAKEN.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::from(FIRST + next % COUNT)
}

/// An address at which nothing listens.
#[must_use]
pub fn free_address() -> SocketAddr {
    SocketAddr::from((unique_loopback_ip(), PORT))
}
