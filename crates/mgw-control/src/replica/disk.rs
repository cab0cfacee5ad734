//! The thread that writes and syncs; a failed write ends the process.

use std::sync::mpsc::{Receiver, Sender, channel};

use mgw_quorum::{DiskWrite, Storage};
use ractor::ActorRef;
use tracing::error;

use super::ReplicaMessage;

/// Exit code of a process whose disk failed.
const DISK_FAILED: i32 = 1;

/// Starts the thread; the returned sender takes the writes in order.
pub fn start_disk(mut storage: Storage, actor: ActorRef<ReplicaMessage>) -> Sender<DiskWrite> {
    let (sender, writes): (_, Receiver<DiskWrite>) = channel();
    std::thread::spawn(move || {
        for write in writes {
            if let Err(failure) = storage.write(&write) {
                // What the disk holds is not known any more; only a restart reads it anew.
                error!(%failure, "couldn't sync the data folder; the process ends");
                std::process::exit(DISK_FAILED);
            }
            let synced = ReplicaMessage::Synced(write.id, storage.sync_count());
            if actor.cast(synced).is_err() {
                return;
            }
        }
    });
    sender
}
