//! Which target of a chain has ended: that is evidence against the parts of the requests on it.

#![allow(clippy::unwrap_used)]

mod chain_support;

use chain_support::{router, target};
use mgw_route::{ChainRequest, ProbeOutcome};
use mgw_world::Millis;

const REQUEST: ChainRequest<'_> = ChainRequest {
    prompt_tokens: 760,
    answer_tokens: 200,
    avoid: &[],
    limits: None,
};

/// The target in the middle ends, and those beside it only stall.
#[test]
fn of_a_chain_only_the_target_that_ended_is_named() {
    let mut router = router(vec![
        target("a", "home", "fast", 0, 30),
        target("b", "home", "fast", 30, 60),
        target("c", "home", "fast", 60, 80),
    ]);
    let chain = router.choose(&REQUEST, Millis(0)).unwrap();
    assert_eq!(router.ended_targets(chain.reservation), []);
    router.record_probe(&"b".into(), ProbeOutcome::Ended, Millis(10));
    router.record_probe(&"c".into(), ProbeOutcome::Dead, Millis(10));
    let ended = router.ended_targets(chain.reservation);
    assert_eq!(ended, [chain.hops[1].run()]);
    assert!(router.has_lost_target(chain.reservation));
}

#[test]
fn a_token_or_an_answered_probe_shows_that_a_target_has_not_ended() {
    let mut router = router(vec![target("a", "home", "fast", 0, 80)]);
    let chain = router.choose(&REQUEST, Millis(0)).unwrap();
    router.record_probe(&"a".into(), ProbeOutcome::Ended, Millis(10));
    router.record_token(chain.reservation, Millis(20));
    assert_eq!(router.ended_targets(chain.reservation), []);
    router.record_probe(&"a".into(), ProbeOutcome::Ended, Millis(30));
    let alive = ProbeOutcome::Alive { slowness: 1.0 };
    router.record_probe(&"a".into(), alive, Millis(40));
    assert_eq!(router.ended_targets(chain.reservation), []);
}
