//! Prints election times in logical milliseconds, and commit latency and syncs per entry of three
//! replicas whose data folders are on the disk of the folder given as argument.

use mgw_quorum::{
    DiskWrite, Envelope, Membership, Output, RecoveredState, Replica, ReplicaId, Role, Settings,
    Snapshot, Storage, WriteId,
};
use mgw_world::Millis;
use std::error::Error;
use std::io::Write;
use std::path::Path;
use std::thread;
use std::time::Instant;

const VOTERS: usize = 3;
const ELECTION_SEEDS: u64 = 1_000;
const BATCHES: [usize; 5] = [1, 8, 64, 256, 1_024];
const ROUNDS: usize = 100;
const COMMAND_BYTES: usize = 200;
const STEP: Millis = Millis(1);

fn main() -> Result<(), Box<dyn Error>> {
    let folder = std::env::args().nth(1).ok_or("usage: figures FOLDER")?;
    let mut out = std::io::stdout();
    print_elections(&mut out)?;
    for batch in BATCHES {
        print_commits(&mut out, Path::new(&folder), batch)?;
    }
    Ok(())
}

fn ids() -> Vec<ReplicaId> {
    let disks = 1..=VOTERS as u64;
    disks
        .map(|disk| ReplicaId::new(format!("vm-{disk}"), disk))
        .collect()
}

fn founding() -> RecoveredState {
    RecoveredState {
        snapshot: Some(Snapshot::founding(Membership::of_voters(ids()))),
        ..RecoveredState::default()
    }
}

fn start(seed: u64) -> Vec<Replica> {
    let start_one = |(at, id): (usize, ReplicaId)| {
        let seed = seed * VOTERS as u64 + at as u64;
        Replica::new(id, Settings::default(), founding(), Millis(0), seed)
    };
    ids().into_iter().enumerate().map(start_one).collect()
}

fn deliver(replicas: &mut [Replica], messages: Vec<Envelope>, now: Millis) {
    for envelope in messages {
        if let Some(replica) = replicas.iter_mut().find(|it| *it.id() == envelope.to) {
            replica.receive(envelope, now);
        }
    }
}

/// Moves all replicas by one step; messages take one step and syncs none.
fn step(replicas: &mut [Replica], now: Millis) {
    let mut messages = Vec::new();
    for replica in &mut *replicas {
        replica.tick(now);
        let output = replica.take_output();
        messages.extend(output.messages);
        if let Some(write) = output.disk_write {
            replica.confirm_synced(write.id, now);
            messages.extend(replica.take_output().messages);
        }
    }
    deliver(replicas, messages, now);
}

fn leader_of(replicas: &[Replica], now: Millis) -> Option<usize> {
    replicas
        .iter()
        .position(|it| it.role() == Role::Leader && it.has_lease_at(now))
}

/// Time from the loss of the leader until another has committed in its term.
fn measure_election(seed: u64) -> u64 {
    let mut replicas = start(seed);
    let mut now = Millis(0);
    while leader_of(&replicas, now).is_none() {
        now += STEP;
        step(&mut replicas, now);
    }
    let lost_after = Millis(500 + seed % 50);
    for _ in 0..lost_after.0 {
        now += STEP;
        step(&mut replicas, now);
    }
    let Some(leader) = leader_of(&replicas, now) else {
        return 0;
    };
    replicas.remove(leader);
    let lost_at = now;
    while leader_of(&replicas, now).is_none() {
        now += STEP;
        step(&mut replicas, now);
    }
    (now - lost_at).0
}

fn print_elections(out: &mut impl Write) -> Result<(), Box<dyn Error>> {
    let mut times: Vec<u64> = (0..ELECTION_SEEDS).map(measure_election).collect();
    times.sort_unstable();
    let at = |part: usize| times[(times.len() - 1) * part / 100];
    writeln!(
        out,
        "election_ms seeds={ELECTION_SEEDS} min={} p50={} p90={} p99={} max={}",
        at(0),
        at(50),
        at(90),
        at(99),
        at(100)
    )?;
    Ok(())
}

struct Bench {
    replicas: Vec<Replica>,
    storages: Vec<Storage>,
    now: Millis,
    committed: usize,
}

impl Bench {
    fn new(folder: &Path) -> Result<Self, Box<dyn Error>> {
        let mut storages = Vec::new();
        for id in ids() {
            let path = folder.join(&id.name);
            let hook = Box::new(|_| Ok(()));
            let (mut storage, _) = Storage::open(&path, &id.name, id.disk, hook)?;
            storage.write(&DiskWrite {
                id: WriteId(0),
                snapshot: founding().snapshot,
                ..DiskWrite::default()
            })?;
            storages.push(storage);
        }
        Ok(Self {
            replicas: start(1),
            storages,
            now: Millis(0),
            committed: 0,
        })
    }

    /// Carries out the outputs of all replicas, their syncs at the same time.
    fn pump(&mut self) -> Result<(), Box<dyn Error>> {
        let outputs: Vec<Output> = self.replicas.iter_mut().map(Replica::take_output).collect();
        let leader = leader_of(&self.replicas, self.now);
        thread::scope(|scope| {
            let writes = outputs.iter().zip(&mut self.storages);
            let jobs: Vec<_> = writes
                .filter_map(|(output, storage)| Some((output.disk_write.as_ref()?, storage)))
                .map(|(write, storage)| scope.spawn(move || storage.write(write)))
                .collect();
            jobs.into_iter().try_for_each(|job| {
                job.join()
                    .map_err(|_| "a writer panicked")?
                    .map_err(Box::<dyn Error>::from)
            })
        })?;
        for (at, output) in outputs.into_iter().enumerate() {
            if leader == Some(at) {
                self.committed += output.committed.len();
            }
            if let Some(write) = output.disk_write {
                self.replicas[at].confirm_synced(write.id, self.now);
            }
            deliver(&mut self.replicas, output.messages, self.now);
        }
        Ok(())
    }

    fn elect(&mut self) -> Result<usize, Box<dyn Error>> {
        loop {
            self.now += STEP;
            for replica in &mut self.replicas {
                replica.tick(self.now);
            }
            self.pump()?;
            if let Some(leader) = leader_of(&self.replicas, self.now) {
                return Ok(leader);
            }
        }
    }

    /// Proposes the batch and waits until all of it is committed.
    fn commit_batch(&mut self, leader: usize, batch: usize) -> Result<(), Box<dyn Error>> {
        let wanted = self.committed + batch;
        for _ in 0..batch {
            self.replicas[leader].propose(vec![7; COMMAND_BYTES], self.now)?;
        }
        while self.committed < wanted {
            self.pump()?;
        }
        Ok(())
    }
}

fn print_commits(out: &mut impl Write, folder: &Path, batch: usize) -> Result<(), Box<dyn Error>> {
    let folder = folder.join(format!("batch-{batch}"));
    let mut bench = Bench::new(&folder)?;
    let leader = bench.elect()?;
    for _ in 0..10 {
        bench.pump()?;
    }
    let syncs_before = bench.storages[leader].sync_count();
    let mut latencies_us = Vec::new();
    let begun = Instant::now();
    for _ in 0..ROUNDS {
        let proposed = Instant::now();
        bench.commit_batch(leader, batch)?;
        latencies_us.push(proposed.elapsed().as_micros());
    }
    let elapsed_s = begun.elapsed().as_secs_f64();
    latencies_us.sort_unstable();
    let entries = (ROUNDS * batch) as f64;
    let syncs = (bench.storages[leader].sync_count() - syncs_before) as f64;
    writeln!(
        out,
        "commit batch={batch} p50_us={} p99_us={} entries_per_s={:.0} leader_syncs_per_entry={:.4}",
        latencies_us[ROUNDS / 2],
        latencies_us[ROUNDS * 99 / 100],
        entries / elapsed_s,
        syncs / entries
    )?;
    Ok(())
}
