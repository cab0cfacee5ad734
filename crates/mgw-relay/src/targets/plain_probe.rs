//! Finds out whether the process of a plain target has ended after a connection to it broke. A single
//! broken connection doesn't show that: it may have been reset on its way.

use std::io::ErrorKind;
use std::sync::Arc;

use mgw_route::BrokenSend;
use mgw_world::Millis;
use tokio::time::sleep;
use tracing::info;

use super::PlainReservation;
use super::probe::PROBE_ID;
use crate::app::App;
use crate::links::TargetLink;
use crate::quarantine::list_subjects;

/// How long a new connection has to stay open: a proxy in front of a process that has ended accepts it
/// and closes it at once.
const OPEN_FOR_MS: Millis = Millis(100);
/// Time between two checks of the new connection.
const CHECK_INTERVAL_MS: Millis = Millis(20);

/// What a new connection tells of a target's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
enum ProcessState {
    /// Nothing serves at the address any more.
    #[display("ended")]
    Ended,
    /// Something accepts connections at the address.
    #[display("listens")]
    Listens,
    /// No connection was established, which may be the network's fault.
    #[display("silent")]
    Silent,
}

/// Connects in the background to the target under which a call's connection broke. If its process has ended,
/// that is recorded against the call.
pub fn probe_plain_after_break(app: &Arc<App>, reservation: &PlainReservation, send: BrokenSend) {
    let app = Arc::clone(app);
    let reservation = reservation.clone();
    tokio::spawn(async move {
        let state = probe(&app, &reservation).await;
        app.metrics
            .broken_sends
            .with_label_values(&[&state.to_string()])
            .inc();
        let now = app.clock.now();
        info!(
            target_name = %reservation.run.name,
            incarnation = %reservation.run.incarnation,
            service = %reservation.service,
            subjects = %list_subjects(&send.subjects),
            target_state = %state,
            sent_ms = (now - send.times.sent_at).0,
            ended_ms = (now - send.times.ended_at).0,
            "connection to a target broke under a call"
        );
        match state {
            ProcessState::Ended => app.record_target_end(&reservation.run, &send),
            ProcessState::Silent => {
                app.keep_unresolved(reservation.address, reservation.run, send);
            }
            ProcessState::Listens => {}
        }
    });
}

async fn probe(app: &App, reservation: &PlainReservation) -> ProcessState {
    let link = TargetLink {
        id: PROBE_ID,
        run: &reservation.run,
        address: reservation.address,
        needs_new_connection: true,
        time_left_ms: OPEN_FOR_MS.times(2),
    };
    let connection = match app.connect(&link).await {
        Ok(connection) => connection,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => return ProcessState::Ended,
        Err(_) => return ProcessState::Silent,
    };
    let mut open_ms = Millis::ZERO;
    while open_ms < OPEN_FOR_MS {
        sleep(CHECK_INTERVAL_MS.to_duration()).await;
        open_ms += CHECK_INTERVAL_MS;
        if connection.sender.is_closed() {
            return ProcessState::Ended;
        }
    }
    ProcessState::Listens
}
