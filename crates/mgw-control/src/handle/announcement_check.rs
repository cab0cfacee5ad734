//! Checks what a target says about itself before it reaches the views of all nodes. Anybody can announce, and
//! what one control accepts is read by all others.

use std::net::SocketAddr;

use mgw_contract::target::Announcement;
use mgw_world::{Incarnation, Millis, UnixMillis};

/// Longest name of a target, a service, a zone or a kind of accelerator.
const MAX_NAME_BYTES: usize = 256;
/// How far the start of a target may lie ahead of this control's clock. Clocks differ by seconds; a start far ahead
/// would outrank every target that really starts at that address.
const MAX_AHEAD_MS: Millis = Millis(60 * 60 * 1_000);
/// Largest sequence number that a target may use; the view uses larger ones for final announcements.
const MAX_SEQUENCE: u64 = 1 << 62;

/// Why an announcement isn't taken.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, derive_more::Error)]
pub enum AnnouncementFault {
    /// nothing can listen at {address}; help: announce the address that callers connect to
    Address {
        /// Address that was announced.
        address: SocketAddr,
    },
    /// the start {incarnation} lies ahead of this control's clock, which shows {now_unix_ms}
    FutureStart {
        /// Start that was announced.
        incarnation: Incarnation,
        /// Time of day at this control.
        now_unix_ms: UnixMillis,
    },
    /// the sequence number {sequence} is too large
    Sequence {
        /// Number that was announced.
        sequence: u64,
    },
    /// the {field} has {bytes} bytes, at most 256 are taken
    LongName {
        /// What the name is of.
        field: &'static str,
        /// Its length.
        bytes: usize,
    },
}

/// Checks an announcement; the first fault counts.
pub fn check_announcement(
    announcement: &Announcement,
    now_unix_ms: UnixMillis,
) -> Result<(), AnnouncementFault> {
    let target = &announcement.target;
    let address = target.address;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        return Err(AnnouncementFault::Address { address });
    }
    let latest_start = now_unix_ms.0.saturating_add(MAX_AHEAD_MS.0);
    if target.incarnation.0 > latest_start {
        return Err(AnnouncementFault::FutureStart {
            incarnation: target.incarnation,
            now_unix_ms,
        });
    }
    if announcement.sequence > MAX_SEQUENCE {
        return Err(AnnouncementFault::Sequence {
            sequence: announcement.sequence,
        });
    }
    check_names(announcement)
}

fn check_names(announcement: &Announcement) -> Result<(), AnnouncementFault> {
    let target = &announcement.target;
    let service = target.service().map_or("", |service| service.as_str());
    let accelerator = target.forwarding().map(|engine| &engine.accelerator);
    let names = [
        ("name", target.name.as_str()),
        ("zone", target.place.as_str()),
        ("service", service),
        ("accelerator", accelerator.map_or("", |kind| kind.as_str())),
    ];
    let mut long = names
        .into_iter()
        .filter(|(_, name)| name.len() > MAX_NAME_BYTES);
    match long.next() {
        Some((field, name)) => Err(AnnouncementFault::LongName {
            field,
            bytes: name.len(),
        }),
        None => Ok(()),
    }
}
