//! The control from which a newer routing document is fetched.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use mgw_relay::{RoutingSource, RoutingSources};
use mgw_world::{Millis, RoutingVersion};

fn control(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_000).into()
}

fn source(number: u8, version: u64) -> Option<RoutingSource> {
    Some(RoutingSource {
        control: control(number),
        version: RoutingVersion(version),
    })
}

const CURRENT: RoutingVersion = RoutingVersion(3);

#[test]
fn the_control_with_the_highest_version_is_chosen_and_a_near_one_among_equals() {
    let mut sources = RoutingSources::default();
    assert_eq!(sources.choose(CURRENT, &[], Millis(0)), None);
    sources.record_version(control(1), RoutingVersion(3));
    assert_eq!(sources.choose(CURRENT, &[], Millis(0)), None);
    sources.record_version(control(1), RoutingVersion(5));
    sources.record_version(control(2), RoutingVersion(5));
    assert_eq!(
        sources.choose(CURRENT, &[control(1)], Millis(0)),
        source(1, 5)
    );
    sources.record_version(control(3), RoutingVersion(6));
    assert_eq!(
        sources.choose(CURRENT, &[control(1)], Millis(0)),
        source(3, 6)
    );
}

/// A partition begins after a control has reported a new version and before the document is
/// fetched. A control reports a version only once, so it must be asked again when the partition
/// ends.
#[test]
fn a_control_whose_fetch_failed_is_asked_again() {
    let mut sources = RoutingSources::default();
    sources.record_version(control(1), RoutingVersion(5));
    sources.record_failure(control(1), Millis(100));
    assert_eq!(sources.choose(CURRENT, &[], Millis(200)), source(1, 5));
    sources.record_version(control(2), RoutingVersion(4));
    assert_eq!(sources.choose(CURRENT, &[], Millis(200)), source(2, 4));
    assert_eq!(sources.choose(CURRENT, &[], Millis(1_200)), source(1, 5));
}

/// Load pattern: hundreds of entries fetch a new document at once, and some get it late. Such an entry
/// must know that it is behind, or it would refuse routes that the new document adds as unknown.
#[test]
fn the_newest_version_counts_also_while_its_control_cant_be_reached() {
    let mut sources = RoutingSources::default();
    assert_eq!(sources.newest_version(), RoutingVersion(0));
    sources.record_version(control(1), RoutingVersion(5));
    sources.record_version(control(2), RoutingVersion(4));
    sources.record_failure(control(1), Millis(100));
    assert_eq!(sources.newest_version(), RoutingVersion(5));
}

/// After a restart a control may hold an older version than it reported. A report that arrives while
/// that is found out is newer than the finding.
#[test]
fn a_corrected_version_is_not_chosen_and_a_later_report_is_kept() {
    let mut sources = RoutingSources::default();
    sources.record_version(control(1), RoutingVersion(9));
    sources.record_version(control(2), RoutingVersion(5));
    let reported = sources.choose(CURRENT, &[], Millis(0)).unwrap();
    sources.correct_version(reported, RoutingVersion(3));
    assert_eq!(sources.choose(CURRENT, &[], Millis(0)), source(2, 5));
    assert_eq!(sources.newest_version(), RoutingVersion(5));
    sources.record_version(control(1), RoutingVersion(10));
    sources.correct_version(reported, RoutingVersion(3));
    assert_eq!(sources.choose(CURRENT, &[], Millis(0)), source(1, 10));
}
