//! Compressed routing documents.

#![allow(clippy::unwrap_used)]

use mgw_routing::{PackedRouting, RoutingDocument, UnpackError};
use mgw_world::RoutingVersion;

fn document(source: &[u8]) -> RoutingDocument {
    RoutingDocument {
        version: RoutingVersion(7),
        source: source.into(),
    }
}

#[test]
fn a_document_is_the_same_after_it_was_packed_and_unpacked() {
    for source in [&b""[..], b"{}", &[0, 255, 1, 254], &[b'a'; 70_000]] {
        let document = document(source);
        let packed = PackedRouting::pack(&document).unwrap();
        assert_eq!(packed.unpack().unwrap(), document);
    }
}

/// Load pattern: an operator adds over a thousand routes at once.
#[test]
fn a_document_of_many_routes_shrinks_to_less_than_a_tenth() {
    let route = |number: u32| {
        let id = number.wrapping_mul(2_654_435_761) % 9_999_991;
        format!(
            "{{\"name\":\"r-{id}\",\"host\":\"drills.example\",\"pathPrefix\":\"/{id}/\",\"kind\":\"safe\",\
             \"timeoutMs\":20000,\"service\":\"pool\",\"maxAttempts\":2,\"public\":false}},"
        )
    };
    let source: String = (0..1_400).map(route).collect();
    let packed = PackedRouting::pack(&document(source.as_bytes())).unwrap();
    assert!(
        packed.size_bytes() * 10 < source.len(),
        "{}",
        packed.size_bytes()
    );
}

#[test]
fn damaged_bytes_are_refused() {
    let packed = PackedRouting::pack(&document(&[b'a'; 5_000])).unwrap();
    let encoded = serde_json::to_value(&packed).unwrap();
    let bytes = encoded["compressed"].as_array().unwrap();
    for length in [0, 1, bytes.len() - 1] {
        let mut cut = encoded.clone();
        cut["compressed"] = bytes[..length].to_vec().into();
        let cut: PackedRouting = serde_json::from_value(cut).unwrap();
        assert!(
            matches!(cut.unpack(), Err(UnpackError::Damaged { .. })),
            "{length}"
        );
    }
}
