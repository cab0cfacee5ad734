//! The thread that writes records to the data folder and syncs them.
//!
//! A full disk is waited for: nothing that depends on the write is sent, and another control can
//! lead meanwhile. Any other failure ends the process.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::sleep;

use mgw_quorum::{DiskWrite, Storage, StorageError};
use mgw_world::Millis;
use ractor::ActorRef;
use tracing::{error, info, warn};

use super::ReplicaMessage;

/// Exit code after a failed write or sync of the data folder.
const DISK_FAILURE_EXIT_CODE: i32 = 1;
/// First pause before a write to a full disk is repeated; it doubles with each attempt.
const FIRST_RETRY_PAUSE_MS: Millis = Millis(50);
/// Longest pause before a write to a full disk is repeated.
const MAX_RETRY_PAUSE_MS: Millis = Millis(800);

/// Starts the thread. Writes passed to the returned sender are executed in order, and each is
/// reported to the actor once it is synced.
pub fn start_disk(mut storage: Storage, actor: ActorRef<ReplicaMessage>) -> Sender<DiskWrite> {
    let (sender, writes): (_, Receiver<DiskWrite>) = channel();
    std::thread::spawn(move || {
        for write in writes {
            if let Err(failure) = write_when_possible(&mut storage, &write, &actor) {
                // After a failed sync the content of the disk is unknown; only a restart reads it
                // again.
                error!(%failure, "can't write or sync the data folder; exiting");
                std::process::exit(DISK_FAILURE_EXIT_CODE);
            }
            let message = ReplicaMessage::Synced(write.id, storage.sync_count());
            if actor.cast(message).is_err() {
                return;
            }
        }
    });
    sender
}

/// Writes, and repeats the write for as long as the disk is full.
fn write_when_possible(
    storage: &mut Storage,
    write: &DiskWrite,
    actor: &ActorRef<ReplicaMessage>,
) -> Result<(), StorageError> {
    let mut pause_ms = FIRST_RETRY_PAUSE_MS;
    let mut attempts = 0_u32;
    loop {
        let failure = match storage.write(write) {
            Ok(()) => break,
            Err(failure) if failure.is_disk_full() => failure,
            Err(failure) => return Err(failure),
        };
        if attempts == 0 {
            warn!(%failure, "the disk is full; acknowledging and voting nothing until it has space");
            // Without the actor the process is ending.
            let _ = actor.cast(ReplicaMessage::DiskFull);
        }
        attempts += 1;
        sleep(pause_ms.to_duration());
        pause_ms = pause_ms.times(2).min(MAX_RETRY_PAUSE_MS);
    }
    if attempts > 0 {
        info!(attempts, "the disk has space again");
    }
    Ok(())
}
