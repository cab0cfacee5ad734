//! The part of a stream that arrives over one chain.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mgw_route::{Chain, ChainReservation, Hop};
use mgw_world::{Millis, ServiceName};

use crate::app::App;
use crate::targets::PooledConnection;

/// A reservation on a chain, released when dropped.
pub struct ReservedChain {
    app: Arc<App>,
    service: ServiceName,
    /// Targets of the chain in the order in which they forward the request.
    pub hops: Vec<Hop>,
    /// Key of the reservation in the router.
    pub reservation: ChainReservation,
    /// When the request was sent over the chain.
    pub sent_at: Millis,
    /// When the first new events arrived over the chain.
    pub begun_at: Option<Millis>,
    /// Whether events went on to arrive after the first ones, so that the request is sound.
    pub is_sound: bool,
}

impl ReservedChain {
    /// Takes ownership of the reservation that came with a chosen chain.
    #[must_use]
    pub fn new(app: Arc<App>, service: ServiceName, chain: Chain) -> Self {
        Self {
            app,
            service,
            hops: chain.hops,
            reservation: chain.reservation,
            sent_at: Millis::ZERO,
            begun_at: None,
            is_sound: false,
        }
    }

    /// Lists the targets with their layers, for log lines.
    #[must_use]
    pub fn describe(&self) -> String {
        let hops = self.hops.iter();
        let hops: Vec<String> = hops
            .map(|hop| format!("{}={}", hop.target, hop.layers))
            .collect();
        hops.join(",")
    }
}

impl Drop for ReservedChain {
    fn drop(&mut self) {
        let reservation = self.reservation;
        self.app
            .with_chains(&self.service, |chains| chains.release(reservation));
        let now = self.app.clock.now();
        self.app.waiters.notify_freed(&self.service, now);
    }
}

/// An answer that is being read from a chain.
pub struct ChainStream {
    /// Reservation on the chain.
    pub reserved: ReservedChain,
    /// When the last new events arrived, or when the head of the answer was read.
    pub received_at: Millis,
    /// Number of bytes that arrived since then.
    pub bytes_since: usize,
    body: Incoming,
    connection: Option<PooledConnection>,
}

/// Result of reading from a chain.
pub enum ReadOutcome {
    /// Some bytes of the answer.
    Data(Bytes),
    /// The target ended the answer.
    End,
    /// The connection broke.
    Broken,
}

impl ChainStream {
    /// Starts reading the body of an answer whose head was read.
    #[must_use]
    pub const fn new(
        reserved: ReservedChain,
        body: Incoming,
        connection: PooledConnection,
        now: Millis,
    ) -> Self {
        Self {
            reserved,
            received_at: now,
            bytes_since: 0,
            body,
            connection: Some(connection),
        }
    }

    /// Waits for the next bytes.
    pub async fn read(&mut self) -> ReadOutcome {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return ReadOutcome::Data(data),
                    Err(_trailers) => {}
                },
                Some(Err(_)) => return ReadOutcome::Broken,
                None => return ReadOutcome::End,
            }
        }
    }

    /// Returns the connection to the pool after the end of the answer.
    pub fn finish(mut self) {
        if let Some(connection) = self.connection.take() {
            self.reserved.app.connection_pool.put_back(connection);
        }
    }
}
