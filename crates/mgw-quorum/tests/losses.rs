//! Several losses of replicas, while lost ones are replaced and afterwards: which sequences of
//! events keep a quorum.
#![allow(clippy::unwrap_used)]

mod common;

use common::Cluster;
use mgw_quorum::Settings;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// The VM is lost together with its disk.
    Lose(usize),
    /// The process stops; its disk stays intact.
    Stop(usize),
    /// The stopped process starts again.
    Return(usize),
    /// The operator removes a voter.
    Remove(usize),
    /// A replica with an empty disk joins as a learner.
    Join,
    /// The operator promotes a learner to a voter.
    Promote(usize),
}

use Event::{Join, Lose, Promote, Remove, Return, Stop};

fn apply_event(cluster: &mut Cluster, event: Event) {
    match event {
        Lose(position) | Stop(position) => cluster.crash(position, 0),
        Return(position) => cluster.start(position),
        Remove(position) => {
            let leader = cluster.run_until_leader().unwrap();
            let id = cluster.nodes[position].id.clone();
            let result = cluster.change_membership(leader, |replica, now| replica.remove(&id, now));
            result.unwrap().unwrap();
        }
        Join => {
            let leader = cluster.run_until_leader().unwrap();
            let added = cluster.add_empty_node();
            let id = cluster.nodes[added].id.clone();
            let result =
                cluster.change_membership(leader, |replica, now| replica.add_learner(id, now));
            result.unwrap().unwrap();
        }
        Promote(position) => {
            let leader = cluster.run_until_leader().unwrap();
            let id = cluster.nodes[position].id.clone();
            let result = cluster.change_membership(leader, |replica, now| replica.promote(id, now));
            result.unwrap().unwrap();
        }
    }
    cluster.run(1_500).unwrap();
}

/// Whether a proposal is committed after the events. Asserts that the entry committed before them
/// is not lost if a leader is elected.
fn keeps_quorum(voters: usize, events: &[Event]) -> bool {
    let mut cluster = Cluster::new(voters, Settings::default(), 11);
    let leader = cluster.run_until_leader().unwrap();
    cluster.propose(leader, b"before").unwrap();
    cluster.run(500).unwrap();
    for event in events {
        apply_event(&mut cluster, *event);
    }
    let Ok(leader) = cluster.run_until_leader() else {
        return false;
    };
    cluster.propose(leader, b"after").unwrap();
    cluster.run(500).unwrap();
    assert_eq!(cluster.count_committed(b"before"), 1);
    cluster.count_committed(b"after") == 1
}

macro_rules! quorum_after_losses_tests {
    ($($name:ident: $voters:literal, [$($event:expr),+] => $keeps_quorum:literal;)+) => {$(
        #[test]
        fn $name() {
            assert_eq!(keeps_quorum($voters, &[$($event),+]), $keeps_quorum);
        }
    )+};
}

quorum_after_losses_tests! {
    three_voters_lose_one: 3, [Lose(0)] => true;
    three_voters_lose_two: 3, [Lose(0), Lose(1)] => false;
    three_voters_lose_one_and_another_restarts: 3, [Lose(0), Stop(1), Return(1)] => true;
    three_voters_lose_another_after_the_removal: 3, [Lose(0), Remove(0), Lose(1)] => false;
    three_voters_lose_another_while_the_replacement_is_a_learner:
        3, [Lose(0), Remove(0), Join, Lose(1)] => false;
    three_voters_lose_another_after_the_promotion_but_before_the_removal:
        3, [Lose(0), Join, Promote(3), Lose(1)] => false;
    three_voters_lose_another_after_the_replacement:
        3, [Lose(0), Remove(0), Join, Promote(3), Lose(1)] => true;
    three_voters_lose_the_replacement: 3, [Lose(0), Remove(0), Join, Promote(3), Lose(3)] => true;
    three_voters_lose_another_after_the_promotion_and_then_the_removal:
        3, [Lose(0), Join, Promote(3), Remove(0), Lose(1)] => true;
    five_voters_lose_two: 5, [Lose(0), Lose(1)] => true;
    five_voters_lose_three: 5, [Lose(0), Lose(1), Lose(2)] => false;
    five_voters_lose_another_after_one_removal: 5, [Lose(0), Remove(0), Lose(1)] => true;
    five_voters_lose_two_more_after_one_removal: 5, [Lose(0), Remove(0), Lose(1), Lose(2)] => false;
    five_voters_lose_a_third_after_one_of_two_removals:
        5, [Lose(0), Lose(1), Remove(0), Lose(2)] => false;
    five_voters_lose_a_third_after_both_removals:
        5, [Lose(0), Lose(1), Remove(0), Remove(1), Lose(2)] => true;
    five_voters_lose_two_more_after_the_replacement:
        5, [Lose(0), Remove(0), Join, Promote(5), Lose(1), Lose(2)] => true;
    five_voters_lose_a_third_after_the_promotion_but_before_the_removals:
        5, [Lose(0), Lose(1), Join, Promote(5), Lose(2)] => false;
}
