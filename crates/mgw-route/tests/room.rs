//! Tests of what refusals for lack of room tell the entries.
//!
//! Load pattern: more requests come than the targets can hold, from many entries whose reports of
//! their load are as old as the number of entries demands.

#![allow(clippy::unwrap_used)]

mod chain_support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use chain_support::{REQUEST, fill, model, names, router, target, two_zones};
use mgw_route::{
    ChainReservation, ChainRouter, ChainSettings, ChainTarget, EntryLoad, EntryLoadTable,
    FullTarget, Hop, TargetLoad, report_interval_ms,
};
use mgw_world::{Incarnation, Millis};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP_MS: u64 = 10;
const DAY_MS: u64 = 26_000;
/// When the load rises and falls, and the load before and after in parts of what targets can hold.
const RISE_MS: u64 = 5_000;
const FALL_MS: u64 = 18_000;
const CALM_LOAD: f64 = 0.7;
/// Load between the rise and the fall.
const LOAD: f64 = 1.2;
/// How long a request occupies its targets on average.
const HOLD_MS: f64 = 1_500.0;
/// Time between two attempts of a request that waits for room, and its number of attempts.
const WAIT_STEP_MS: u64 = 80;
const ATTEMPTS: u32 = 8;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Most sends of a request.
const MAX_SENDS: u32 = 2;
/// Part of a target's memory that other uses take, unknown to the entries.
const UNKNOWN_USE: f64 = 0.25;
/// Most entries that one target may refuse in a second.
const MAX_REFUSED_ENTRIES: usize = 3;
/// Time after the fall of the load from which all requests are served again.
const SETTLE_MS: u64 = 4_000;

/// What entries know of refusals.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Refusals {
    /// An entry blocks a target that refused its own request.
    Blocked,
    /// Refusals are reported as well and lower the room that entries believe in.
    Told,
}

struct Entry {
    router: ChainRouter,
    name: String,
    next_report_ms: u64,
    last_report_ms: u64,
}

struct Running {
    entry: usize,
    reservation: ChainReservation,
    uses: Vec<(SocketAddr, f64)>,
}

#[derive(Debug, Default)]
struct Outcome {
    refusals: usize,
    begun: usize,
    /// Requests that didn't begin, once the load had fallen for a while.
    lost_late: usize,
    /// Largest number of entries that one target refused in one second.
    refused_entries: usize,
}

struct Sim {
    refusals: Refusals,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    table: EntryLoadTable,
    /// Memory and its use at each target, in tokens times layers.
    memory: BTreeMap<SocketAddr, (f64, f64)>,
    /// Ends of requests by time and order.
    ends: BTreeMap<(u64, usize), Running>,
    /// Requests that try by time and order: their entry and the attempts so far.
    attempts: BTreeMap<(u64, usize), (usize, u32, u32)>,
    order: usize,
    refused_by: BTreeMap<(SocketAddr, u64), BTreeSet<usize>>,
    outcome: Outcome,
}

fn zones() -> Vec<ChainTarget> {
    let zones = ["home", "far", "third"];
    let copies = zones
        .iter()
        .flat_map(|zone| (0..2).map(move |at| (zone, at)));
    let halves = copies.flat_map(|(zone, at)| {
        let first = target(&format!("{zone}-a{at}"), zone, "fast", 0, 40);
        [
            first,
            target(&format!("{zone}-b{at}"), zone, "fast", 40, 80),
        ]
    });
    let numbered = halves.enumerate().map(|(at, target)| ChainTarget {
        address: ([10, 0, 0, at as u8], 80).into(),
        ..target
    });
    numbered.collect()
}

impl Sim {
    fn new(refusals: Refusals, entries: u32, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let interval_ms = report_interval_ms(entries).0;
        let zones_of_entries = ["home", "far", "third"].iter().cycle();
        let entries = (0..entries).zip(zones_of_entries).map(|(at, zone)| {
            let settings = ChainSettings {
                entries,
                ..ChainSettings::default()
            };
            let mut router = ChainRouter::new(settings, model(), (*zone).into());
            router.set_targets(zones(), Millis(0));
            Entry {
                router,
                name: format!("entry-{at}"),
                next_report_ms: rng.random_range(0..interval_ms),
                last_report_ms: 0,
            }
        });
        let entries = entries.collect();
        let memory = zones().into_iter().map(|target| {
            let model = model();
            let accelerator = model.accelerator(&target.accelerator).unwrap();
            let memory = model.kv_token_layers(accelerator, target.layers.count());
            (target.address, (memory * (1.0 - UNKNOWN_USE), 0.0))
        });
        Self {
            refusals,
            memory: memory.collect(),
            rng,
            entries,
            table: EntryLoadTable::default(),
            ends: BTreeMap::new(),
            attempts: BTreeMap::new(),
            order: 0,
            refused_by: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    /// Runs a day with `load` times the requests that the targets can hold.
    fn run(mut self, load: f64) -> Outcome {
        let per_request = f64::from(REQUEST.prompt_tokens + REQUEST.answer_tokens) * 80.0;
        let memory: f64 = self.memory.values().map(|(memory, _)| memory).sum();
        let room_per_step = memory / per_request / HOLD_MS * STEP_MS as f64;
        for step in 0..DAY_MS / STEP_MS {
            let now = step * STEP_MS;
            self.end_until(now);
            self.report(now);
            let is_high = (RISE_MS..FALL_MS).contains(&now);
            let load = if is_high { load } else { CALM_LOAD };
            let per_step = load * room_per_step;
            let mut arrivals = per_step.floor() as usize;
            arrivals += usize::from(self.rng.random_bool(per_step.fract()));
            for _ in 0..arrivals {
                let entry = self.rng.random_range(0..self.entries.len());
                self.plan(now, entry, 0, 0);
            }
            while let Some(next) = self.attempts.first_entry()
                && next.key().0 <= now
            {
                let (entry, attempt, sends) = next.remove();
                self.attempt(entry, attempt, sends, now);
            }
        }
        let refused = self.refused_by.values().map(BTreeSet::len);
        self.outcome.refused_entries = refused.max().unwrap_or_default();
        self.outcome
    }

    fn plan(&mut self, at: u64, entry: usize, attempt: u32, sends: u32) {
        self.order += 1;
        self.attempts
            .insert((at, self.order), (entry, attempt, sends));
    }

    fn end_until(&mut self, now: u64) {
        while let Some(next) = self.ends.first_entry()
            && next.key().0 <= now
        {
            let ended = next.remove();
            let router = &mut self.entries[ended.entry].router;
            router.release(ended.reservation);
            for (address, token_layers) in ended.uses {
                self.memory.get_mut(&address).unwrap().1 -= token_layers;
            }
        }
    }

    fn report(&mut self, now: u64) {
        let interval_ms = report_interval_ms(self.entries.len() as u32).0;
        for entry in &mut self.entries {
            if now < entry.next_report_ms {
                continue;
            }
            let load = EntryLoad {
                uses: entry.router.own_loads(),
                full: entry.router.own_full_targets(Millis(now)),
                ..EntryLoad::default()
            };
            let others = self.table.exchange(&entry.name, load, Millis(now));
            let at = Millis(now);
            entry
                .router
                .set_other_entries_load(&others.uses, &others.lost, at);
            if self.refusals == Refusals::Told {
                entry.router.learn_full_targets(&others.full, at);
            }
            entry.last_report_ms = now;
            entry.next_report_ms = now + interval_ms;
        }
    }

    fn attempt(&mut self, entry: usize, attempt: u32, sends: u32, now: u64) {
        let router = &mut self.entries[entry].router;
        let Ok(chain) = router.choose(&REQUEST, Millis(now)) else {
            if attempt + 1 < ATTEMPTS {
                self.plan(now + WAIT_STEP_MS, entry, attempt + 1, sends);
            } else {
                self.lose(now);
            }
            return;
        };
        let uses = self.draw_uses(&chain.hops);
        let full = uses.iter().find(|(address, needed)| {
            let (memory, used) = self.memory[address];
            used + needed > memory
        });
        if let Some((address, _)) = full {
            self.refuse(entry, chain.reservation, *address, now);
            if sends + 1 < MAX_SENDS {
                self.plan(now + STEP_MS, entry, attempt + 1, sends + 1);
            } else {
                self.lose(now);
            }
            return;
        }
        for (address, needed) in &uses {
            self.memory.get_mut(address).unwrap().1 += needed;
        }
        let router = &mut self.entries[entry].router;
        router.record_token(chain.reservation, Millis(now));
        self.outcome.begun += 1;
        let hold_ms = -self.rng.random::<f64>().max(1e-9).ln() * HOLD_MS;
        self.order += 1;
        let running = Running {
            entry,
            reservation: chain.reservation,
            uses,
        };
        self.ends
            .insert((now + hold_ms as u64, self.order), running);
    }

    fn lose(&mut self, now: u64) {
        self.outcome.lost_late += usize::from(now > FALL_MS + SETTLE_MS);
    }

    /// What a request takes at each target of its chain; its answer has another length than expected.
    fn draw_uses(&mut self, hops: &[Hop]) -> Vec<(SocketAddr, f64)> {
        let factor = self.rng.random_range(0.0..2.0);
        let answer_tokens = f64::from(REQUEST.answer_tokens) * factor;
        let tokens = f64::from(REQUEST.prompt_tokens) + answer_tokens;
        let hops = hops.iter();
        hops.map(|hop| (hop.address, tokens * f64::from(hop.layers.count())))
            .collect()
    }

    fn refuse(
        &mut self,
        entry: usize,
        reservation: ChainReservation,
        address: SocketAddr,
        now: u64,
    ) {
        self.outcome.refusals += 1;
        let refused = self.refused_by.entry((address, now / 1_000)).or_default();
        refused.insert(entry);
        let entry = &mut self.entries[entry];
        let name = entry.router.name_at(address).unwrap();
        entry.router.block(&name, Millis(now));
        if self.refusals == Refusals::Told {
            entry.router.record_full(reservation, address, Millis(now));
            // A refusal is reported soon.
            let soon_ms = (now + STEP_MS).max(entry.last_report_ms + 100);
            entry.next_report_ms = entry.next_report_ms.min(soon_ms);
        }
        entry.router.release(reservation);
    }
}

fn check_tenth(entries: u32) {
    for seed in SEEDS {
        let blocked = Sim::new(Refusals::Blocked, entries, seed).run(LOAD);
        let told = Sim::new(Refusals::Told, entries, seed).run(LOAD);
        assert!(
            told.refusals * 10 <= blocked.refusals,
            "{entries} entries, seed {seed}: blocked {blocked:?}, told {told:?}"
        );
    }
}

#[test]
fn told_refusals_fall_to_a_tenth_with_many_entries() {
    check_tenth(77);
    check_tenth(291);
}

#[test]
fn told_refusals_fall_to_a_tenth_with_few_entries() {
    check_tenth(9);
}

/// Requests that are still refused long after the load fell would be the fault of what entries
/// believe, not of the targets.
fn check_settled(entries: u32) {
    for seed in SEEDS {
        let told = Sim::new(Refusals::Told, entries, seed).run(LOAD);
        assert_eq!(told.lost_late, 0, "{entries} entries, seed {seed}");
    }
}

#[test]
fn all_requests_begin_4_s_after_the_load_fell() {
    check_settled(9);
    check_settled(77);
}

#[test]
fn all_requests_of_291_entries_begin_4_s_after_the_load_fell() {
    check_settled(291);
}

#[test]
fn at_most_three_entries_run_into_a_full_target_each_second() {
    for (entries, seed) in [9, 77, 291].into_iter().zip(SEEDS) {
        let told = Sim::new(Refusals::Told, entries, seed).run(LOAD);
        assert!(
            told.refused_entries <= MAX_REFUSED_ENTRIES,
            "{entries} entries, seed {seed}: {told:?}"
        );
    }
}

/// Exchanges the report of a router with the table, as entry `name`.
fn exchange(
    router: &mut ChainRouter,
    table: &mut EntryLoadTable,
    name: &str,
    now: Millis,
) -> usize {
    let load = EntryLoad {
        uses: router.own_loads(),
        full: router.own_full_targets(now),
        ..EntryLoad::default()
    };
    let others = table.exchange(name, load, now);
    router.set_other_entries_load(&others.uses, &others.lost, now);
    router.learn_full_targets(&others.full, now)
}

/// Has the target `h2` refuse a request of this router, which then holds a half of its room.
fn refuse_at_h2(router: &mut ChainRouter, now: Millis) -> Vec<ChainReservation> {
    let half = fill(&mut chain_support::router(two_zones())) / 4;
    let held = (0..half).map(|_| router.choose(&REQUEST, now).unwrap().reservation);
    let held: Vec<ChainReservation> = held.collect();
    let refused = router.choose(&REQUEST, now).unwrap();
    router.record_full(refused.reservation, refused.hops[1].address, now);
    router.release(refused.reservation);
    held
}

/// A zone whose last layers are full by another entry's refusal uses another zone's targets.
#[test]
fn a_refusal_told_by_another_entry_sends_requests_to_another_zone() {
    let mut table = EntryLoadTable::default();
    let (mut one, mut two) = (router(two_zones()), router(two_zones()));
    for router in [&mut one, &mut two] {
        router.set_entries(2);
        exchange(router, &mut table, "warm-up", Millis(0));
    }
    let held = refuse_at_h2(&mut one, Millis(500));
    assert!(!names(&one.choose(&REQUEST, Millis(500)).unwrap()).contains(&"h2"));
    assert_eq!(exchange(&mut one, &mut table, "one", Millis(510)), 0);
    assert_eq!(exchange(&mut two, &mut table, "two", Millis(600)), 1);
    assert_eq!(two.count_full_targets(Millis(600)), 1);
    let chain = two.choose(&REQUEST, Millis(600)).unwrap();
    assert_eq!(names(&chain), ["f1", "f2"]);
    // The same refusal isn't learnt again, and counts no more once requests have ended.
    for reservation in held {
        one.release(reservation);
    }
    assert_eq!(exchange(&mut one, &mut table, "one", Millis(900)), 0);
    assert_eq!(exchange(&mut two, &mut table, "two", Millis(1_000)), 0);
    let chain = two.choose(&REQUEST, Millis(1_000)).unwrap();
    assert_eq!(names(&chain), ["h1", "h2"]);
}

#[test]
fn room_comes_back_with_requests_that_begin_and_with_reports() {
    let mut table = EntryLoadTable::default();
    let mut one = router(two_zones());
    one.set_entries(2);
    exchange(&mut one, &mut table, "one", Millis(0));
    let held = refuse_at_h2(&mut one, Millis(500));
    assert_eq!(one.count_full_targets(Millis(500)), 1);
    // Others hold all of its memory by a report that is younger than the refusal.
    let all = TargetLoad {
        token_layers: u64::from(u32::MAX),
        ..one
            .own_loads()
            .into_iter()
            .find(|load| load.address == two_zones()[1].address)
            .unwrap()
    };
    one.set_other_entries_load(&[all], &[], Millis(2_000));
    assert_eq!(
        one.count_full_targets(Millis(2_000)),
        0,
        "it holds that much"
    );
    drop(held);
}

#[test]
fn a_new_run_at_the_address_has_room() {
    let mut router = router(two_zones());
    router.set_entries(2);
    let mut restarted = two_zones();
    restarted[1].incarnation = Incarnation(2);
    router.set_targets(restarted, Millis(2_000));
    let full = |age_ms| FullTarget {
        address: two_zones()[1].address,
        age_ms: Millis(age_ms),
    };
    assert_eq!(router.learn_full_targets(&[full(500)], Millis(2_100)), 0);
    assert_eq!(router.learn_full_targets(&[full(10)], Millis(2_100)), 1);
    assert_eq!(
        router.learn_full_targets(&[full(60_000)], Millis(90_000)),
        0
    );
}

#[test]
fn the_table_keeps_a_bounded_number_of_young_refusals() {
    let mut table = EntryLoadTable::default();
    let full = (0..60_000_u32).map(|at| FullTarget {
        address: ([10, 0, (at >> 8) as u8, at as u8], 80).into(),
        age_ms: Millis(u64::from(at % 2_000)),
    });
    let load = EntryLoad {
        full: full.collect(),
        ..EntryLoad::default()
    };
    for at in 0..3 {
        table.exchange("liar", load.clone(), Millis(10_000 + at));
    }
    let seen = table.exchange("here", EntryLoad::default(), Millis(10_010));
    assert!(!seen.full.is_empty() && seen.full.len() <= 1_024);
    let seen = table.exchange("here", EntryLoad::default(), Millis(20_000));
    assert_eq!(seen.full, []);
}
