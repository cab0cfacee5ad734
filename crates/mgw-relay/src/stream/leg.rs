//! A stream's stay on one chain.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mgw_route::{Chain, ChainReservation, Hop};
use mgw_world::{Millis, ServiceName};

use crate::app::App;
use crate::targets::Lent;

/// A place on a chain, given back when dropped.
pub struct ChainPlace {
    app: Arc<App>,
    service: ServiceName,
    /// The targets.
    pub hops: Vec<Hop>,
    /// The router's key of the place.
    pub hold: ChainReservation,
}

impl ChainPlace {
    /// Takes over the place that the router gave.
    #[must_use]
    pub fn new(app: Arc<App>, service: ServiceName, chain: Chain) -> Self {
        Self {
            app,
            service,
            hops: chain.hops,
            hold: chain.reservation,
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

impl Drop for ChainPlace {
    fn drop(&mut self) {
        let hold = self.hold;
        self.app
            .with_chains(&self.service, |chains| chains.release(hold));
        self.app.room.notify_one();
    }
}

/// A stream that comes over a chain.
pub struct Leg {
    /// Its place.
    pub place: ChainPlace,
    /// When the last bytes came, or the request was sent.
    pub heard_at: Millis,
    body: Incoming,
    lent: Option<Lent>,
}

/// What came of a read.
pub enum Piece {
    /// Bytes.
    Data(Bytes),
    /// The target ended the answer.
    End,
    /// The connection broke.
    Broken,
}

impl Leg {
    /// Takes over an answer whose head was read.
    #[must_use]
    pub const fn new(place: ChainPlace, body: Incoming, lent: Lent, now: Millis) -> Self {
        Self {
            place,
            heard_at: now,
            body,
            lent: Some(lent),
        }
    }

    /// Waits for the next bytes.
    pub async fn read(&mut self) -> Piece {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return Piece::Data(data),
                    Err(_trailers) => {}
                },
                Some(Err(_)) => return Piece::Broken,
                None => return Piece::End,
            }
        }
    }

    /// Gives the connection back after the answer's end.
    pub fn finish(mut self) {
        if let Some(lent) = self.lent.take() {
            self.place.app.connections.give_back(lent);
        }
    }
}
