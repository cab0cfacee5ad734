//! Bounds at the maximum size of 330 nodes: traffic of each node, and leaving targets.

mod support;

use mgw_world::Millis;
use support::{
    BYTES_PER_S, LeaveCause, Net, assert_leave_in_time, busiest_window, isolate_every_tenth_node,
    peak_traffic,
};

/// Maximum bytes that a node may send and receive in a second, on average over all nodes.
const MEAN_BYTES_PER_S: u64 = 20_000;

#[test]
fn traffic_of_each_of_330_nodes_stays_within_its_limits() {
    let mut net = Net::new(330, 600, 31);
    // All nodes start at once; their catch-up transfers are over by then.
    net.run(Millis(7000));
    let (bytes, messages) = peak_traffic(&mut net, 3);
    assert!(bytes <= BYTES_PER_S, "{bytes} B/s");
    let sum: u64 = net
        .traffic
        .iter()
        .map(|t| t.sent_bytes + t.received_bytes)
        .sum();
    let mean = sum / 3 / 330;
    assert!(mean <= MEAN_BYTES_PER_S, "{mean} B/s on average");
    assert!(messages <= 24, "{messages} messages/s");
}

#[test]
fn busiest_of_330_nodes_stays_within_its_byte_limit_in_each_window() {
    let mut net = Net::new(330, 600, 41);
    net.run(Millis(7000));
    let bytes = busiest_window(&mut net, 15);
    assert!(bytes <= BYTES_PER_S, "{bytes} B/s");
}

#[test]
fn hundred_leaving_targets_are_ineligible_at_330_nodes_in_time() {
    let mut net = Net::new(330, 600, 200);
    net.loss_percent = 5;
    net.run(Millis(3500));
    isolate_every_tenth_node(&mut net);
    let targets: Vec<usize> = (0..330).filter(|t| t % 10 < 4).take(100).collect();
    assert_leave_in_time(&mut net, &targets, Millis(0), LeaveCause::Announcement);
}
