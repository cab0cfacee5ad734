//! Transfers of compressed documents in parts, from several controls, while newer versions follow.

#![allow(clippy::unwrap_used)]

use mgw_routing::{
    AddedPart, PART_BYTES, PackedRouting, PartPosition, PartialRouting, RoutingDocument,
    TransferableRoutings,
};
use mgw_world::RoutingVersion;

/// Parts of a document after compression.
const PARTS: usize = 3;

/// A document that compresses badly.
fn packed(version: u64) -> PackedRouting {
    let mut random = version;
    let mut source = Vec::new();
    while source.len() < PARTS * PART_BYTES - PART_BYTES / 2 {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        source.extend_from_slice(&(random >> 16).to_be_bytes()[2..]);
    }
    let document = RoutingDocument {
        version: RoutingVersion(version),
        source: source.into(),
    };
    PackedRouting::pack(&document).unwrap()
}

fn next(transfer: &Option<PartialRouting>) -> Option<PartPosition> {
    transfer.as_ref().map(PartialRouting::next_position)
}

/// Each control has its own list of documents; the transfer changes controls after each part.
#[test]
fn a_transfer_goes_on_at_another_control() {
    let document = packed(5);
    let mut controls = [
        TransferableRoutings::default(),
        TransferableRoutings::default(),
    ];
    let mut transfer = None;
    for step in 0..PARTS {
        let part = controls[step % 2].part(next(&transfer), &document);
        let added = PartialRouting::add(&mut transfer, &part);
        let expected = if step + 1 < PARTS {
            AddedPart::Incomplete
        } else {
            AddedPart::Whole(document.clone())
        };
        assert_eq!(added, expected, "part {step}");
    }
    assert!(transfer.is_none());
}

/// Load pattern: versions follow one another faster than one of them is transferred. If each began a
/// new transfer, none would ever end.
#[test]
fn a_transfer_ends_although_newer_versions_follow() {
    let mut control = TransferableRoutings::default();
    let mut transfer = None;
    for version in 1..=2 {
        let part = control.part(next(&transfer), &packed(version));
        assert_eq!(part.position.version, RoutingVersion(1));
        assert_eq!(
            PartialRouting::add(&mut transfer, &part),
            AddedPart::Incomplete
        );
    }
    let part = control.part(next(&transfer), &packed(3));
    let whole = AddedPart::Whole(packed(1));
    assert_eq!(PartialRouting::add(&mut transfer, &part), whole);
}

#[test]
fn a_version_that_is_no_longer_kept_is_replaced_by_the_newest() {
    let mut control = TransferableRoutings::default();
    let mut transfer = None;
    let part = control.part(None, &packed(1));
    PartialRouting::add(&mut transfer, &part);
    for version in 2..30 {
        control.part(None, &packed(version));
    }
    let part = control.part(next(&transfer), &packed(30));
    assert_eq!(
        PartialRouting::add(&mut transfer, &part),
        AddedPart::Incomplete
    );
    assert_eq!(transfer.unwrap().version(), RoutingVersion(30));
}

/// The control that holds version 6 may be lost for good, so that only version 5 can be had.
#[test]
fn a_transfer_begins_anew_at_a_control_that_holds_another_version() {
    for other in [4, 6] {
        let mut transfer = None;
        PartialRouting::add(&mut transfer, &packed(5).part(0));
        let position = next(&transfer);
        let part = TransferableRoutings::default().part(position, &packed(other));
        assert_eq!(
            PartialRouting::add(&mut transfer, &part),
            AddedPart::Incomplete
        );
        assert_eq!(transfer.unwrap().version(), RoutingVersion(other));
    }
}

#[test]
fn parts_that_dont_fit_change_nothing() {
    let document = packed(5);
    let mut transfer = None;
    PartialRouting::add(&mut transfer, &document.part(0));
    let position = next(&transfer);
    let size = document.size_bytes() as u64;
    let unfit = [
        document.part(0),
        document.part(2 * PART_BYTES as u64),
        document.part(size),
        packed(6).part(PART_BYTES as u64),
    ];
    for part in unfit {
        assert_eq!(
            PartialRouting::add(&mut transfer, &part),
            AddedPart::Rejected
        );
        assert_eq!(next(&transfer), position);
    }
}
