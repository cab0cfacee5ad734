//! Sends messages to the other replicas, batched while a call is out.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mgw_peer::PeerPool;
use mgw_quorum::Envelope;
use mgw_world::Millis;
use tokio::sync::mpsc;

/// Messages that wait for one replica; more are dropped, as a network may do.
const QUEUE_MESSAGES: usize = 4096;
/// Most messages in one call.
const BATCH_MESSAGES: usize = 256;
/// Time within which a delivery must be acknowledged.
const DELIVERY_LIMIT_MS: Millis = Millis(500);

/// One sender for each other replica.
#[derive(Debug)]
pub struct Senders {
    pool: Arc<PeerPool>,
    queues: BTreeMap<String, mpsc::Sender<Envelope>>,
}

impl Senders {
    /// Starts a sender for each address.
    pub fn start(
        pool: &Arc<PeerPool>,
        peers: impl IntoIterator<Item = (String, SocketAddr)>,
    ) -> Self {
        let mut senders = Self {
            pool: Arc::clone(pool),
            queues: BTreeMap::new(),
        };
        for (name, address) in peers {
            senders.open(name, address);
        }
        senders
    }

    /// Queues a message for its receiver. A member that the settings don't name is reached at the
    /// address that is its name.
    pub fn send(&mut self, envelope: Envelope) {
        let name = &envelope.to.name;
        if !self.queues.contains_key(name) {
            let Ok(address) = name.parse() else {
                return;
            };
            self.open(name.clone(), address);
        }
        if let Some(queue) = self.queues.get(&envelope.to.name) {
            // The protocol repeats what gets lost.
            let _ = queue.try_send(envelope);
        }
    }

    fn open(&mut self, name: String, address: SocketAddr) {
        let (queue, waiting) = mpsc::channel(QUEUE_MESSAGES);
        tokio::spawn(send_batches(Arc::clone(&self.pool), address, waiting));
        self.queues.insert(name, queue);
    }
}

async fn send_batches(
    pool: Arc<PeerPool>,
    address: SocketAddr,
    mut waiting: mpsc::Receiver<Envelope>,
) {
    let mut batch = Vec::new();
    while waiting.recv_many(&mut batch, BATCH_MESSAGES).await > 0 {
        let messages = std::mem::take(&mut batch);
        // The protocol repeats what gets lost.
        let _ = pool
            .call(address, DELIVERY_LIMIT_MS, |client, context| async move {
                client.deliver(context, messages).await
            })
            .await;
    }
}
