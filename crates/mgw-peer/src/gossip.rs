//! Gossip task: sends the exchanges that a view asks for and passes the replies back to it.

use std::sync::Arc;

use mgw_member::{ExchangeFailure, OutgoingExchange, View};
use mgw_world::{Clock, Millis};
use parking_lot::Mutex;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{CallFailure, PeerPool};

/// Longest time between two ticks of a view.
const MAX_TICK_INTERVAL_MS: Millis = Millis(200);

/// Everything that the gossip task of a process works with.
#[derive(Clone)]
pub struct Gossip {
    /// The view of this process.
    pub view: Arc<Mutex<View>>,
    /// Connections to the other processes.
    pub pool: Arc<PeerPool>,
    /// The clock that the view was started with.
    pub clock: Clock,
    /// Called with the encoded size in bytes of each exchange and its reply together.
    pub count_bytes: Arc<dyn Fn(u64) + Send + Sync>,
}

/// Ticks the view and sends its exchanges until `stop` is cancelled.
pub async fn run_gossip(gossip: Gossip, stop: CancellationToken) {
    loop {
        let mut due_exchanges = Vec::new();
        let pause = {
            let now = gossip.clock.now();
            let mut view = gossip.view.lock();
            view.tick(now);
            while let Some(exchange) = view.next_exchange(now) {
                due_exchanges.push(exchange);
            }
            (view.next_exchange_at() - now)
                .min(MAX_TICK_INTERVAL_MS)
                .max(Millis(1))
        };
        for exchange in due_exchanges {
            tokio::spawn(send_exchange(gossip.clone(), exchange));
        }
        if stop
            .run_until_cancelled(sleep(pause.to_duration()))
            .await
            .is_none()
        {
            return;
        }
    }
}

async fn send_exchange(gossip: Gossip, outgoing: OutgoingExchange) {
    let exchange_timeout = gossip.view.lock().settings().exchange_timeout_ms;
    let OutgoingExchange {
        ticket,
        peer_address,
        exchange,
    } = outgoing;
    let sent_bytes = encoded_size_bytes(&exchange);
    let result = gossip
        .pool
        .call(
            peer_address,
            exchange_timeout,
            |client, context| async move { client.exchange(context, exchange).await },
        )
        .await;
    let now = gossip.clock.now();
    let mut view = gossip.view.lock();
    match result {
        Ok(reply) => {
            (gossip.count_bytes)(sent_bytes + encoded_size_bytes(&reply));
            view.handle_reply(ticket, &reply, now);
        }
        Err(CallFailure::NothingListens) => {
            view.exchange_failed(ticket, ExchangeFailure::Refused, now);
        }
        Err(_) => view.exchange_failed(ticket, ExchangeFailure::TimedOut, now),
    }
}

fn encoded_size_bytes<T: serde::Serialize>(value: &T) -> u64 {
    postcard::experimental::serialized_size(value).map_or(0, |bytes| bytes as u64)
}
