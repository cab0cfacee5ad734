//! Measures three replicas and prints their election times, in milliseconds of simulated time, and
//! their commit latency, throughput and syncs per entry. The data folders are created in the folder
//! given as argument, on whose disk the commit figures depend.

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
const BATCH_SIZES: [usize; 5] = [1, 8, 64, 256, 1_024];
const ROUNDS: usize = 100;
const COMMAND_BYTES: usize = 200;
const STEP_MS: Millis = Millis(1);

fn main() -> Result<(), Box<dyn Error>> {
    let folder = std::env::args().nth(1).ok_or("usage: figures FOLDER")?;
    let mut out = std::io::stdout();
    print_elections(&mut out)?;
    for batch in BATCH_SIZES {
        print_commits(&mut out, Path::new(&folder), batch)?;
    }
    Ok(())
}

fn voter_ids() -> Vec<ReplicaId> {
    let disks = 1..=VOTERS as u64;
    disks
        .map(|disk| ReplicaId::new(format!("vm-{disk}"), disk))
        .collect()
}

fn founding_state() -> RecoveredState {
    RecoveredState {
        snapshot: Some(Snapshot::founding(Membership::of_voters(voter_ids()))),
        ..RecoveredState::default()
    }
}

fn start_replicas(seed: u64) -> Vec<Replica> {
    let start_replica = |(position, id): (usize, ReplicaId)| {
        let seed = seed * VOTERS as u64 + position as u64;
        Replica::new(id, Settings::default(), founding_state(), Millis(0), seed)
    };
    voter_ids()
        .into_iter()
        .enumerate()
        .map(start_replica)
        .collect()
}

fn deliver(replicas: &mut [Replica], messages: Vec<Envelope>, now: Millis) {
    for envelope in messages {
        if let Some(replica) = replicas.iter_mut().find(|it| *it.id() == envelope.to) {
            replica.receive(envelope, now);
        }
    }
}

/// Advances all replicas by one time step. Messages take one step to arrive and syncs take no time.
fn run_step(replicas: &mut [Replica], now: Millis) {
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

fn find_leader(replicas: &[Replica], now: Millis) -> Option<usize> {
    replicas
        .iter()
        .position(|it| it.role() == Role::Leader && it.has_lease_at(now))
}

/// Time from the loss of the leader until another one holds a lease, which requires that it has
/// committed an entry of its term.
fn measure_election(seed: u64) -> u64 {
    let mut replicas = start_replicas(seed);
    let mut now = Millis(0);
    while find_leader(&replicas, now).is_none() {
        now += STEP_MS;
        run_step(&mut replicas, now);
    }
    let run_ms = Millis(500 + seed % 50);
    for _ in 0..run_ms.0 {
        now += STEP_MS;
        run_step(&mut replicas, now);
    }
    let Some(leader) = find_leader(&replicas, now) else {
        return 0;
    };
    replicas.remove(leader);
    let lost_at = now;
    while find_leader(&replicas, now).is_none() {
        now += STEP_MS;
        run_step(&mut replicas, now);
    }
    (now - lost_at).0
}

fn print_elections(out: &mut impl Write) -> Result<(), Box<dyn Error>> {
    let mut times_ms: Vec<u64> = (0..ELECTION_SEEDS).map(measure_election).collect();
    times_ms.sort_unstable();
    let percentile = |percent: usize| times_ms[(times_ms.len() - 1) * percent / 100];
    writeln!(
        out,
        "election_ms seeds={ELECTION_SEEDS} min={} p50={} p90={} p99={} max={}",
        percentile(0),
        percentile(50),
        percentile(90),
        percentile(99),
        percentile(100)
    )?;
    Ok(())
}

struct CommitBenchmark {
    replicas: Vec<Replica>,
    storages: Vec<Storage>,
    now: Millis,
    committed_count: usize,
}

impl CommitBenchmark {
    fn new(folder: &Path) -> Result<Self, Box<dyn Error>> {
        let mut storages = Vec::new();
        for id in voter_ids() {
            let path = folder.join(&id.name);
            let hook = Box::new(|_| Ok(()));
            let (mut storage, _) = Storage::open(&path, &id.name, id.disk, hook)?;
            storage.write(&DiskWrite {
                id: WriteId(0),
                snapshot: founding_state().snapshot,
                ..DiskWrite::default()
            })?;
            storages.push(storage);
        }
        Ok(Self {
            replicas: start_replicas(1),
            storages,
            now: Millis(0),
            committed_count: 0,
        })
    }

    /// Processes the outputs of all replicas. They write and sync in parallel.
    fn process_outputs(&mut self) -> Result<(), Box<dyn Error>> {
        let outputs: Vec<Output> = self.replicas.iter_mut().map(Replica::take_output).collect();
        let leader = find_leader(&self.replicas, self.now);
        thread::scope(|scope| {
            let writes = outputs.iter().zip(&mut self.storages);
            let handles: Vec<_> = writes
                .filter_map(|(output, storage)| Some((output.disk_write.as_ref()?, storage)))
                .map(|(write, storage)| scope.spawn(move || storage.write(write)))
                .collect();
            handles.into_iter().try_for_each(|handle| {
                handle
                    .join()
                    .map_err(|_| "a storage thread panicked")?
                    .map_err(Box::<dyn Error>::from)
            })
        })?;
        for (position, output) in outputs.into_iter().enumerate() {
            if leader == Some(position) {
                self.committed_count += output.committed.len();
            }
            if let Some(write) = output.disk_write {
                self.replicas[position].confirm_synced(write.id, self.now);
            }
            deliver(&mut self.replicas, output.messages, self.now);
        }
        Ok(())
    }

    fn elect(&mut self) -> Result<usize, Box<dyn Error>> {
        loop {
            self.now += STEP_MS;
            for replica in &mut self.replicas {
                replica.tick(self.now);
            }
            self.process_outputs()?;
            if let Some(leader) = find_leader(&self.replicas, self.now) {
                return Ok(leader);
            }
        }
    }

    /// Proposes a batch of commands and waits until all of them are committed.
    fn commit_batch(&mut self, leader: usize, batch: usize) -> Result<(), Box<dyn Error>> {
        let target_count = self.committed_count + batch;
        for _ in 0..batch {
            self.replicas[leader].propose(vec![7; COMMAND_BYTES], self.now)?;
        }
        while self.committed_count < target_count {
            self.process_outputs()?;
        }
        Ok(())
    }
}

fn print_commits(out: &mut impl Write, folder: &Path, batch: usize) -> Result<(), Box<dyn Error>> {
    let folder = folder.join(format!("batch-{batch}"));
    let mut benchmark = CommitBenchmark::new(&folder)?;
    let leader = benchmark.elect()?;
    for _ in 0..10 {
        benchmark.process_outputs()?;
    }
    let syncs_before = benchmark.storages[leader].sync_count();
    let mut latencies_us = Vec::new();
    let started_at = Instant::now();
    for _ in 0..ROUNDS {
        let proposed_at = Instant::now();
        benchmark.commit_batch(leader, batch)?;
        latencies_us.push(proposed_at.elapsed().as_micros());
    }
    let elapsed_s = started_at.elapsed().as_secs_f64();
    latencies_us.sort_unstable();
    let entry_count = (ROUNDS * batch) as f64;
    let sync_count = (benchmark.storages[leader].sync_count() - syncs_before) as f64;
    writeln!(
        out,
        "commit batch={batch} p50_us={} p99_us={} entries_per_s={:.0} leader_syncs_per_entry={:.4}",
        latencies_us[ROUNDS / 2],
        latencies_us[ROUNDS * 99 / 100],
        entry_count / elapsed_s,
        sync_count / entry_count
    )?;
    Ok(())
}
