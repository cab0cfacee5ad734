//! Blocks of ports, below those that the system gives out by itself.

use std::net::TcpListener;
use std::sync::atomic::{AtomicU16, Ordering};

const FIRST: u16 = 10_000;
const BLOCK: u16 = 400;
const BLOCKS: u16 = 16;
/// Numbers within a block that the files in `examples/local` use.
const USED: std::ops::RangeInclusive<u16> = 100..=319;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// A block in which nothing listens.
pub fn take_block() -> u16 {
    let offset = u16::try_from(std::process::id() % u32::from(BLOCKS)).unwrap();
    for _ in 0..BLOCKS {
        let number = (offset + NEXT.fetch_add(1, Ordering::SeqCst)) % BLOCKS;
        let base = FIRST + number * BLOCK;
        let is_free = |port| TcpListener::bind(("127.0.0.1", base + port)).is_ok();
        if USED.into_iter().all(is_free) {
            return base;
        }
    }
    panic!("no free block of ports");
}
