//! Order of requests that wait for room.

use mgw_route::UrgencyQueue;
use mgw_world::Millis;

#[test]
fn the_most_urgent_then_the_longest_waiting_tries_first() {
    let mut queue = UrgencyQueue::default();
    let joined = [2, 1, 0, 1, 0].map(|urgency| queue.join(urgency));
    let order = [2, 4, 1, 3, 0].map(|index: usize| joined[index]);
    for (step, expected) in order.into_iter().enumerate() {
        assert_eq!(queue.record_freed(Millis(step as u64)), Some(expected));
        queue.leave(expected);
    }
    assert_eq!(queue.record_freed(Millis(9)), None);
}

#[test]
fn a_less_urgent_request_knows_how_long_it_waits() {
    let mut queue = UrgencyQueue::default();
    assert!(queue.may_try(2));
    for now in (0..1_000).step_by(100) {
        queue.record_freed(Millis(now));
    }
    assert_eq!(queue.expected_wait_ms(2), None);
    let urgent = [0, 1, 0].map(|urgency| queue.join(urgency));
    assert_eq!(queue.expected_wait_ms(2), Some(Millis(300)));
    assert_eq!(queue.expected_wait_ms(1), Some(Millis(200)));
    assert_eq!(queue.expected_wait_ms(0), None);
    assert!(!queue.may_try(1) && queue.may_try(0));
    for key in urgent {
        queue.leave(key);
    }
    assert!(queue.may_try(2));
}
