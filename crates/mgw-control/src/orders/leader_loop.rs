//! The leader's order loop: reads engines, plans and sends orders while the lease is valid.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::join_all;
use mgw_contract::engine::{EngineState, OrderReply};
use mgw_serve::http::{HttpClient, unpooled_client};
use mgw_state::orders::{OrderPlanner, OrderSettings, PlannedOrder};
use mgw_world::{FenceNumber, Millis, TargetName};
use tokio::time::sleep;
use tracing::{info, warn};

use super::engines::{read_state, send_order};
use crate::app::App;

/// Time between two rounds of orders.
const ROUND_INTERVAL_MS: Millis = Millis(250);

/// State of the order loop: the planner of the current term and the HTTP client.
struct OrderLoop {
    app: Arc<App>,
    http: HttpClient,
    planner: Option<(FenceNumber, OrderPlanner)>,
}

/// The leader's lease as the replica reported it, with its term's fencing number.
#[derive(Debug, Clone, Copy)]
struct Lease {
    fence: FenceNumber,
    until: Millis,
}

/// Sends orders while this control is the leader, until its graceful shutdown starts.
pub async fn run_orders(app: Arc<App>) {
    let graceful = app.shutdown.graceful.clone();
    let mut order_loop = OrderLoop {
        app,
        // Not pooled: an order never reuses a connection that was opened in an earlier term.
        http: unpooled_client(),
        planner: None,
    };
    while graceful
        .run_until_cancelled(sleep(ROUND_INTERVAL_MS.to_duration()))
        .await
        .is_some()
    {
        match order_loop.read_lease().await {
            Some(lease) => order_loop.run_round(lease).await,
            None => order_loop.planner = None,
        }
    }
}

impl OrderLoop {
    /// Returns the lease once the fencing number of its term is committed.
    async fn read_lease(&self) -> Option<Lease> {
        let report = self.app.replica.describe().await?;
        let until = report.lease_until?;
        let fence = FenceNumber(report.term.0);
        let state = self.app.replica.state.read();
        let (newest, leader) = state.fence();
        let is_own_fence = newest == fence && leader == Some(&self.app.settings.name);
        is_own_fence.then_some(Lease { fence, until })
    }

    async fn run_round(&mut self, lease: Lease) {
        let now = self.app.clock.now();
        let planner = match self.planner.take() {
            Some((fence, planner)) if fence == lease.fence => planner,
            _ => OrderPlanner::new(lease.fence, now, OrderSettings::default()),
        };
        let (_, planner) = self.planner.insert((lease.fence, planner));
        if planner.is_superseded() {
            return;
        }
        let inventory = Arc::clone(self.app.replica.state.read().inventory());
        let plan = planner.plan(&inventory, now, lease.until);
        let addresses = self.list_addresses(now);
        self.send_orders(plan.orders, &addresses).await;
        self.read_engines(plan.reads, &addresses).await;
    }

    /// Addresses of the targets in the view.
    fn list_addresses(&self, now: Millis) -> BTreeMap<TargetName, SocketAddr> {
        let view = self.app.view.lock();
        let targets = view.targets(now);
        let to_address = |status: &mgw_member::TargetStatus<'_>| {
            (status.target.name.clone(), status.target.address)
        };
        targets.iter().map(to_address).collect()
    }

    async fn send_orders(
        &mut self,
        orders: Vec<PlannedOrder>,
        addresses: &BTreeMap<TargetName, SocketAddr>,
    ) {
        let sends = orders.iter().filter_map(|planned| {
            let address = *addresses.get(&planned.order.target)?;
            Some(self.send_before_lease_end(planned, address))
        });
        let replies = join_all(sends).await;
        let Some((_, planner)) = &mut self.planner else {
            return;
        };
        for reply in replies.iter().flatten() {
            planner.record_reply(reply);
        }
    }

    /// Sends an order unless the deadline given by the lease has passed; checks the clock right
    /// before sending.
    async fn send_before_lease_end(
        &self,
        planned: &PlannedOrder,
        address: SocketAddr,
    ) -> Option<OrderReply> {
        let order = &planned.order;
        if self.app.clock.now() >= planned.send_before {
            return None;
        }
        info!(
            target = %order.target,
            fence = %order.fence,
            layers = %order.layers,
            "sending an order"
        );
        let reply = send_order(&self.http, address, order).await;
        match &reply {
            Some(OrderReply::Fenced { newest }) => {
                warn!(
                    target = %order.target,
                    %newest,
                    "the engine refused the order: it has seen a newer fencing number"
                );
            }
            Some(_) => {}
            None => warn!(target = %order.target, "no response to an order; reading the state"),
        }
        reply
    }

    async fn read_engines(
        &mut self,
        names: Vec<TargetName>,
        addresses: &BTreeMap<TargetName, SocketAddr>,
    ) {
        let requested_at = self.app.clock.now();
        let reads = names
            .iter()
            .map(|name| self.read_engine(addresses.get(name).copied()));
        let states = join_all(reads).await;
        let Some((_, planner)) = &mut self.planner else {
            return;
        };
        for (name, state) in names.iter().zip(states) {
            match state {
                // The response of an engine of another name at this address says nothing about this
                // one.
                Some(state) if state.target == *name => planner.record_state(state, requested_at),
                _ => planner.forget_engine(name),
            }
        }
    }

    async fn read_engine(&self, address: Option<SocketAddr>) -> Option<EngineState> {
        read_state(&self.http, address?).await
    }
}
