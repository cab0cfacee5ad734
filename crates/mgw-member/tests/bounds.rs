//! Bounds on messages, bytes and records, measured as deterministic counts.

mod support;

use std::mem::size_of;

use mgw_contract::target::LoadReport;
use mgw_member::{Age, LoadLevel, MemberSettings};
use mgw_world::Millis;
use support::{BYTES_PER_S, Net, announcement, peak_traffic};

#[test]
fn traffic_of_each_node_stays_within_its_limits_at_each_group_size() {
    for (nodes, settle_ms) in [(10, 12_000), (30, 8000)] {
        let mut net = Net::new(nodes, 600, 31);
        net.run(Millis(settle_ms));
        let (bytes, messages) = peak_traffic(&mut net, 3);
        assert!(bytes <= BYTES_PER_S, "{bytes} B/s at {nodes} nodes");
        assert!(messages <= 24, "{messages} messages/s at {nodes} nodes");
    }
}

#[test]
fn catch_up_completes_within_its_rate_and_reply_cap() {
    let mut net = Net::new(6, 600, 32);
    net.run(Millis(10_000));
    let settings = MemberSettings::default();
    net.restart(5, 2);
    net.largest_reply = 0;
    let (bytes, _) = peak_traffic(&mut net, 4);
    assert!(net.largest_reply <= settings.reply_cap_bytes);
    let rate = 2 * settings.catch_up_bytes_per_s + BYTES_PER_S;
    assert!(bytes <= rate, "{bytes} B/s while a node starts");
    assert!(net.views[5].is_complete());
}

#[test]
fn ages_round_up_and_are_unknown_beyond_the_maximum() {
    let table = [
        (0, Some(0)),
        (1, Some(20)),
        (20, Some(20)),
        (5080, Some(5080)),
        (5081, None),
    ];
    for (span, back) in table {
        assert_eq!(
            Age::from_span(Millis(span)).span(),
            back.map(Millis),
            "{span} ms"
        );
    }
    assert_eq!(size_of::<Age>(), 1);
}

#[test]
fn load_levels_round_up_and_only_idle_is_zero() {
    let limits = announcement(0).target.limits;
    let level = |in_flight, kv_bytes_used| {
        let report = LoadReport {
            in_flight,
            kv_bytes_used,
            tokens_per_s: 9,
        };
        LoadLevel::of(&report, &limits).report(&limits)
    };
    assert_eq!(level(0, 0), LoadReport::default());
    assert!(level(1, 1).in_flight >= 1 && level(1, 1).kv_bytes_used >= 1);
    let full = level(limits.max_requests + 5, limits.kv_bytes);
    assert_eq!(full.in_flight, limits.max_requests);
    for in_flight in 0..limits.max_requests {
        assert!(level(in_flight, 0).in_flight >= in_flight);
    }
}
