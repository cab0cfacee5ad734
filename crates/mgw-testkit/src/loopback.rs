//! Loopback addresses that no other test uses at the same time.
//!
//! A port that is free when a test checks it may be in use by the time its process listens. The
//! whole of 127.0.0.0/8 is local, so each test gets IP addresses of its own instead.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of IP addresses that a test process can use before they overlap with those of the next
/// process id.
const ADDRESSES_PER_PROCESS: u32 = 512;
/// First address that is handed out, 127.1.0.0; those before it are left to other programs.
const FIRST_ADDRESS: u32 = 0x7f01_0000;
/// Number of addresses that are handed out, from [`FIRST_ADDRESS`] on.
const ADDRESS_COUNT: u32 = 0x00fe_0000;
/// Port of the socket addresses that [`free_address`] returns.
const PORT: u16 = 7_400;

/// Number of addresses handed out by this process.
static HANDED_OUT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback IP address that no other caller gets.
#[must_use]
pub fn unique_loopback_ip() -> Ipv4Addr {
    let process_offset = std::process::id().wrapping_mul(ADDRESSES_PER_PROCESS);
    let offset = process_offset.wrapping_add(HANDED_OUT.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::from(FIRST_ADDRESS + offset % ADDRESS_COUNT)
}

/// Returns a loopback socket address at which nothing listens.
#[must_use]
pub fn free_address() -> SocketAddr {
    SocketAddr::from((unique_loopback_ip(), PORT))
}
