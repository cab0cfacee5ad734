//! Announcements of targets that arrive late at controls that have restarted since, and odd ones.
#![allow(clippy::unwrap_used)]

mod open_group;

use std::thread::sleep;
use std::time::Duration;

use mgw_contract::target::{Announcement, LoadReport, Readiness};
use mgw_control::AnnounceError;
use mgw_world::{Incarnation, Limits, Target, TargetKind};
use open_group::OpenGroup;

/// Time in which a change reaches the views of all controls.
const SPREAD: Duration = Duration::from_millis(1_500);

fn announcement(incarnation: u64, sequence: u64, readiness: Readiness) -> Announcement {
    Announcement {
        target: Target {
            name: "worker".into(),
            incarnation: Incarnation(incarnation),
            vm: "".into(),
            place: "home".into(),
            address: ([127, 0, 0, 1], 9).into(),
            duty: TargetKind::Plain {
                service: "records".into(),
            },
            limits: Limits {
                max_requests: 6,
                kv_bytes: 0,
                tokens_per_s: 0,
            },
        },
        sequence,
        readiness,
        load: LoadReport::default(),
        cache_events: Vec::new(),
    }
}

fn announce(group: &OpenGroup, at: usize, announcement: &Announcement) {
    let handle = group.handle(at);
    group.block_on(at, handle.announce(announcement)).unwrap();
}

fn leave(group: &OpenGroup, at: usize) {
    let handle = group.handle(at);
    group.block_on(at, handle.leave(&"worker".into())).unwrap();
}

fn restart(group: &mut OpenGroup, at: usize) {
    group.kill(at);
    group.start_again(at);
}

/// The targets that each control would use.
fn usable_targets(group: &OpenGroup) -> [u32; 3] {
    [0, 1, 2].map(|at| group.usable_targets(at))
}

/// How a target says that it is leaving.
#[derive(Debug, Clone, Copy)]
enum Notice {
    Leave,
    Draining,
}

/// Review case 3: only the control that heard it knew that a target was leaving, in memory, so that an older
/// announcement brought the target back into use after a restart of that control.
#[test]
fn late_announcement_brings_no_leaving_target_back_after_restarts() {
    // (notice of the target, controls that restart one after the other, control that gets the late announcement)
    let table = [
        (Notice::Leave, vec![0], 0),
        (Notice::Leave, vec![0], 1),
        (Notice::Leave, vec![0, 1, 2], 2),
        (Notice::Draining, vec![0, 1, 2], 0),
    ];
    for (notice, restarted, late_at) in table {
        let mut group = OpenGroup::start(3);
        announce(&group, 0, &announcement(1, 4, Readiness::Ready));
        match notice {
            Notice::Leave => leave(&group, 0),
            Notice::Draining => announce(&group, 0, &announcement(1, 6, Readiness::Leaving)),
        }
        for at in &restarted {
            restart(&mut group, *at);
            group.wait_for_voters(3);
        }
        announce(&group, late_at, &announcement(1, 5, Readiness::Ready));
        sleep(SPREAD);
        let usable = usable_targets(&group);
        assert_eq!(usable, [0; 3], "{notice:?} {restarted:?} {late_at}");
        // The answer to the leave was lost: the target says it again.
        leave(&group, late_at);
        announce(&group, late_at, &announcement(2, 1, Readiness::Ready));
        sleep(SPREAD);
        assert_eq!(usable_targets(&group), [1; 3], "a new incarnation");
    }
}

/// One odd entry among those of the targets, as another writer may leave it: nobody ends, and the others hold.
#[test]
fn odd_announcement_is_refused_and_the_others_hold() {
    let odd: [fn(&mut Announcement); 6] = [
        |it| it.target.address.set_port(0),
        |it| it.target.address = ([0, 0, 0, 0], 80).into(),
        |it| it.target.incarnation = Incarnation(u64::MAX),
        |it| it.sequence = u64::MAX,
        |it| it.target.name = "x".repeat(100_000).as_str().into(),
        |it| it.target.place = "x".repeat(100_000).as_str().into(),
    ];
    let group = OpenGroup::start(1);
    let sound = announcement(1, 4, Readiness::Ready);
    announce(&group, 0, &sound);
    for change in odd {
        let mut odd = announcement(2, 1, Readiness::Ready);
        odd.target.name = "odd".into();
        change(&mut odd);
        let handle = group.handle(0);
        let outcome = group.block_on(0, handle.announce(&odd));
        assert!(matches!(outcome, Err(AnnounceError::Invalid(_))), "{odd:?}");
    }
    assert_eq!(group.usable_targets(0), 1);
}
