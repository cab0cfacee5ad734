//! A stream's stay on one chain.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mgw_route::{Chain, ChainReservation, Hop};
use mgw_world::{Millis, ServiceName};

use crate::app::App;
use crate::targets::PooledConnection;

/// A place on a chain, given back when dropped.
pub struct ReservedChain {
    app: Arc<App>,
    service: ServiceName,
    /// The targets.
    pub hops: Vec<Hop>,
    /// The router's key of the place.
    pub reservation: ChainReservation,
}

impl ReservedChain {
    /// Takes over the place that the router gave.
    #[must_use]
    pub fn new(app: Arc<App>, service: ServiceName, chain: Chain) -> Self {
        Self {
            app,
            service,
            hops: chain.hops,
            reservation: chain.reservation,
        }
    }

    /// The targets with their layers, for the log.
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
        self.app.capacity_freed.notify_one();
    }
}

/// A stream that comes over a chain.
pub struct ChainStream {
    /// Its place.
    pub reserved: ReservedChain,
    /// When the last bytes came, or the request was sent.
    pub received_at: Millis,
    body: Incoming,
    connection: Option<PooledConnection>,
}

/// What came of a read.
pub enum ReadOutcome {
    /// Bytes.
    Data(Bytes),
    /// The target ended the answer.
    End,
    /// The connection broke.
    Broken,
}

impl ChainStream {
    /// Takes over an answer whose head was read.
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

    /// Gives the connection back after the answer's end.
    pub fn finish(mut self) {
        if let Some(connection) = self.connection.take() {
            self.reserved.app.connection_pool.put_back(connection);
        }
    }
}
