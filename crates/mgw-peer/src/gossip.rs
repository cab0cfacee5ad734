//! Spreads views: sends the exchanges that a view asks for and feeds it with the answers.

use std::sync::Arc;

use mgw_member::{ExchangeFailure, OutgoingExchange, View};
use mgw_world::{Clock, Millis};
use parking_lot::Mutex;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{CallFailure, PeerPool};

/// Longest time between two ticks of a view.
const TICK_MS: Millis = Millis(200);

/// What spreading needs.
#[derive(Clone)]
pub struct Gossip {
    /// The view of this process.
    pub view: Arc<Mutex<View>>,
    /// Connections to the other processes.
    pub pool: Arc<PeerPool>,
    /// The clock that the view was started with.
    pub clock: Clock,
    /// Told the bytes of each exchange and its answer.
    pub count_bytes: Arc<dyn Fn(u64) + Send + Sync>,
}

/// Ticks the view and sends its exchanges until the token is cancelled.
pub async fn run_gossip(spread: Gossip, ended: CancellationToken) {
    loop {
        let mut due = Vec::new();
        let pause = {
            let now = spread.clock.now();
            let mut view = spread.view.lock();
            view.tick(now);
            while let Some(exchange) = view.next_exchange(now) {
                due.push(exchange);
            }
            (view.next_exchange_at() - now).min(TICK_MS).max(Millis(1))
        };
        for exchange in due {
            tokio::spawn(send_exchange(spread.clone(), exchange));
        }
        if ended
            .run_until_cancelled(sleep(pause.to_duration()))
            .await
            .is_none()
        {
            return;
        }
    }
}

async fn send_exchange(spread: Gossip, out: OutgoingExchange) {
    let limit = spread.view.lock().settings().exchange_timeout_ms;
    let OutgoingExchange {
        ticket,
        peer_address,
        exchange,
    } = out;
    let sent_bytes = encoded_bytes(&exchange);
    let answer = spread
        .pool
        .call(peer_address, limit, |client, context| async move {
            client.exchange(context, exchange).await
        })
        .await;
    let now = spread.clock.now();
    let mut view = spread.view.lock();
    match answer {
        Ok(reply) => {
            (spread.count_bytes)(sent_bytes + encoded_bytes(&reply));
            view.handle_reply(ticket, &reply, now);
        }
        Err(CallFailure::NothingListens) => {
            view.exchange_failed(ticket, ExchangeFailure::Refused, now);
        }
        Err(_) => view.exchange_failed(ticket, ExchangeFailure::TimedOut, now),
    }
}

fn encoded_bytes<T: serde::Serialize>(value: &T) -> u64 {
    postcard::experimental::serialized_size(value).map_or(0, |bytes| bytes as u64)
}
