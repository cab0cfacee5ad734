//! Second and third losses during and after a repair: which sequences keep a quorum.
#![allow(clippy::unwrap_used)]

mod common;

use common::Cluster;
use mgw_quorum::Settings;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// The VM is gone with its disk.
    Lose(usize),
    /// The process is down and its disk is whole.
    Stop(usize),
    /// The stopped process comes back.
    Return(usize),
    /// The operator removes a voter.
    Remove(usize),
    /// A replica with an empty disk joins as a learner.
    Join,
    /// The operator makes a voter of the learner.
    Promote(usize),
}

use Step::{Join, Lose, Promote, Remove, Return, Stop};

fn take(cluster: &mut Cluster, step: Step) {
    match step {
        Lose(at) | Stop(at) => cluster.crash(at, 0),
        Return(at) => cluster.start(at),
        Remove(at) => {
            let leader = cluster.run_to_leader().unwrap();
            let id = cluster.nodes[at].id.clone();
            let done = cluster.change(leader, |replica, now| replica.remove(&id, now));
            done.unwrap().unwrap();
        }
        Join => {
            let leader = cluster.run_to_leader().unwrap();
            let added = cluster.add_empty();
            let id = cluster.nodes[added].id.clone();
            let done = cluster.change(leader, |replica, now| replica.add_learner(id, now));
            done.unwrap().unwrap();
        }
        Promote(at) => {
            let leader = cluster.run_to_leader().unwrap();
            let id = cluster.nodes[at].id.clone();
            let done = cluster.change(leader, |replica, now| replica.promote(id, now));
            done.unwrap().unwrap();
        }
    }
    cluster.run(1_500).unwrap();
}

/// Whether a proposal is committed after the steps, and what was committed before is kept.
fn keeps_quorum(voters: usize, steps: &[Step]) -> bool {
    let mut cluster = Cluster::new(voters, Settings::default(), 11);
    let leader = cluster.run_to_leader().unwrap();
    cluster.propose(leader, b"before").unwrap();
    cluster.run(500).unwrap();
    for step in steps {
        take(&mut cluster, *step);
    }
    let Ok(leader) = cluster.run_to_leader() else {
        return false;
    };
    cluster.propose(leader, b"after").unwrap();
    cluster.run(500).unwrap();
    assert_eq!(cluster.has_committed(b"before"), 1);
    cluster.has_committed(b"after") == 1
}

macro_rules! loss_table {
    ($($name:ident: $voters:literal, [$($step:expr),+] => $kept:literal;)+) => {$(
        #[test]
        fn $name() {
            assert_eq!(keeps_quorum($voters, &[$($step),+]), $kept);
        }
    )+};
}

loss_table! {
    three_lose_one: 3, [Lose(0)] => true;
    three_lose_two: 3, [Lose(0), Lose(1)] => false;
    three_lose_one_and_the_other_returns: 3, [Lose(0), Stop(1), Return(1)] => true;
    three_lose_one_after_the_removal: 3, [Lose(0), Remove(0), Lose(1)] => false;
    three_lose_one_beside_a_learner: 3, [Lose(0), Remove(0), Join, Lose(1)] => false;
    three_lose_one_before_the_late_removal: 3, [Lose(0), Join, Promote(3), Lose(1)] => false;
    three_lose_one_after_the_repair: 3, [Lose(0), Remove(0), Join, Promote(3), Lose(1)] => true;
    three_lose_the_repair: 3, [Lose(0), Remove(0), Join, Promote(3), Lose(3)] => true;
    three_lose_one_after_the_late_removal:
        3, [Lose(0), Join, Promote(3), Remove(0), Lose(1)] => true;
    five_lose_two: 5, [Lose(0), Lose(1)] => true;
    five_lose_three: 5, [Lose(0), Lose(1), Lose(2)] => false;
    five_lose_one_after_one_removal: 5, [Lose(0), Remove(0), Lose(1)] => true;
    five_lose_two_after_one_removal: 5, [Lose(0), Remove(0), Lose(1), Lose(2)] => false;
    five_lose_one_after_half_a_repair: 5, [Lose(0), Lose(1), Remove(0), Lose(2)] => false;
    five_lose_one_after_both_removals:
        5, [Lose(0), Lose(1), Remove(0), Remove(1), Lose(2)] => true;
    five_lose_two_after_the_repair:
        5, [Lose(0), Remove(0), Join, Promote(5), Lose(1), Lose(2)] => true;
    five_lose_one_before_the_late_removal:
        5, [Lose(0), Lose(1), Join, Promote(5), Lose(2)] => false;
}
