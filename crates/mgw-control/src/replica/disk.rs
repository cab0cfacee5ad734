//! The thread that writes records to the data folder and syncs them. A failed write ends the
//! process.

use std::sync::mpsc::{Receiver, Sender, channel};

use mgw_quorum::{DiskWrite, Storage};
use ractor::ActorRef;
use tracing::error;

use super::ReplicaMessage;

/// Exit code after a failed write or sync of the data folder.
const DISK_FAILURE_EXIT_CODE: i32 = 1;

/// Starts the thread. Writes passed to the returned sender are executed in order, and each is
/// reported to the actor once it is synced.
pub fn start_disk(mut storage: Storage, actor: ActorRef<ReplicaMessage>) -> Sender<DiskWrite> {
    let (sender, writes): (_, Receiver<DiskWrite>) = channel();
    std::thread::spawn(move || {
        for write in writes {
            if let Err(failure) = storage.write(&write) {
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
