//! Sends messages to the other replicas; those queued while a call is in flight form the next
//! batch.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mgw_peer::PeerPool;
use mgw_quorum::Envelope;
use mgw_world::{Clock, Millis};
use prometheus::IntCounter;
use tokio::sync::mpsc;
use tracing::{info, warn};

/// Capacity of the queue to one replica. Further messages are dropped: the protocol tolerates lost
/// messages.
const QUEUE_CAPACITY_MESSAGES: usize = 4096;
/// Largest number of messages in one call.
const MAX_BATCH_MESSAGES: usize = 256;
/// Time within which a delivery must be acknowledged.
const DELIVERY_TIMEOUT_MS: Millis = Millis(500);

/// A queue and a sending task for each other replica.
#[derive(Debug)]
pub struct Senders {
    delivery: DeliveryContext,
    queues: BTreeMap<String, mpsc::Sender<Envelope>>,
}

/// What every sending task uses.
#[derive(Debug, Clone)]
struct DeliveryContext {
    pool: Arc<PeerPool>,
    clock: Clock,
    failed_deliveries: IntCounter,
}

impl Senders {
    /// Starts a sending task for each named peer.
    pub fn start(
        pool: &Arc<PeerPool>,
        clock: &Clock,
        failed_deliveries: &IntCounter,
        peers: impl IntoIterator<Item = (String, SocketAddr)>,
    ) -> Self {
        let mut senders = Self {
            delivery: DeliveryContext {
                pool: Arc::clone(pool),
                clock: clock.clone(),
                failed_deliveries: failed_deliveries.clone(),
            },
            queues: BTreeMap::new(),
        };
        for (name, address) in peers {
            senders.start_sender(name, address);
        }
        senders
    }

    /// Queues a message for its receiver. The name of a member that isn't in the settings is its
    /// address; a message to any other unknown name is dropped.
    pub fn send(&mut self, envelope: Envelope) {
        let name = &envelope.to.name;
        if !self.queues.contains_key(name) {
            let Ok(address) = name.parse() else {
                return;
            };
            self.start_sender(name.clone(), address);
        }
        if let Some(queue) = self.queues.get(&envelope.to.name) {
            // A message that doesn't fit is dropped; the protocol sends it again.
            let _ = queue.try_send(envelope);
        }
    }

    fn start_sender(&mut self, name: String, address: SocketAddr) {
        let (queue, queued) = mpsc::channel(QUEUE_CAPACITY_MESSAGES);
        tokio::spawn(send_batches(self.delivery.clone(), address, queued));
        self.queues.insert(name, queue);
    }
}

async fn send_batches(
    delivery: DeliveryContext,
    address: SocketAddr,
    mut queued: mpsc::Receiver<Envelope>,
) {
    let mut batch = Vec::new();
    let mut was_delivered = true;
    while queued.recv_many(&mut batch, MAX_BATCH_MESSAGES).await > 0 {
        let messages = std::mem::take(&mut batch);
        let count = messages.len();
        let started_at = delivery.clock.now();
        // A failed delivery isn't retried here; the protocol sends the messages again.
        let delivered = delivery
            .pool
            .call(address, DELIVERY_TIMEOUT_MS, |client, context| async move {
                client.deliver(context, messages).await
            })
            .await;
        let ms = (delivery.clock.now() - started_at).0;
        // Only changes are logged: a control that is down would fill the log.
        match &delivered {
            Err(failure) => {
                delivery.failed_deliveries.inc();
                if was_delivered {
                    warn!(control = %address, %failure, count, ms, "log messages aren't delivered");
                }
            }
            Ok(_) if !was_delivered => {
                info!(control = %address, count, ms, "log messages are delivered again");
            }
            Ok(_) => {}
        }
        was_delivered = delivered.is_ok();
    }
}
