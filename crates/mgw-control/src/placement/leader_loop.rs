//! The leader's placement loop: plans and sends orders while this control holds the lease.

use std::sync::Arc;

use futures::future::join_all;
use mgw_contract::target::Readiness;
use mgw_member::VouchState;
use mgw_place::{AnnouncedEngine, Decision, PlacementOrder, Placer, PlacerSettings};
use mgw_routing::{DecodeRouting, PackedRouting, Routing};
use mgw_serve::http::{HttpClient, unpooled_client};
use mgw_serve::run_blocking;
use mgw_world::{Millis, PipelineModel, RoutingVersion, ServiceName, TargetName};
use tokio::time::sleep;
use tracing::{info, warn};

use super::PlacementCalls;
use crate::app::App;
use crate::handle::ControlHandle;

/// Time between two placement rounds.
const ROUND_INTERVAL_MS: Millis = Millis(250);

/// A service with a model whose layers are placed on its targets.
struct PlacedService {
    service: ServiceName,
    model: PipelineModel,
    /// Whether requests compete for room by their urgency, so that room goes before speed.
    by_flow: bool,
}

/// State of the placement loop.
struct PlacementLoop {
    app: Arc<App>,
    http: HttpClient,
    decode_routing: DecodeRouting,
    calls: PlacementCalls,
    /// Version of the routing document that `services` come from.
    version: RoutingVersion,
    services: Vec<PlacedService>,
    placers: Vec<(ServiceName, Placer)>,
}

impl ControlHandle {
    /// Places layers whenever this control is the leader, until its graceful shutdown starts.
    pub async fn run_placement(self, decode_routing: DecodeRouting, calls: PlacementCalls) {
        let graceful = self.app.shutdown.graceful.clone();
        let mut placement_loop = PlacementLoop {
            app: self.app,
            // Not pooled: an order never reuses a connection that was opened in an earlier term.
            http: unpooled_client(),
            decode_routing,
            calls,
            version: RoutingVersion::default(),
            services: Vec::new(),
            placers: Vec::new(),
        };
        let interval = ROUND_INTERVAL_MS.to_duration();
        while graceful
            .run_until_cancelled(sleep(interval))
            .await
            .is_some()
        {
            placement_loop.run_round().await;
        }
    }
}

impl PlacementLoop {
    /// One round: plans and sends orders and reads engines, for each service. Without the lease all
    /// placement state is dropped.
    async fn run_round(&mut self) {
        let report = self.app.replica.describe().await;
        if !report.is_some_and(|report| report.holds_lease) {
            self.placers.clear();
            return;
        }
        self.update_services().await;
        for service_index in 0..self.services.len() {
            let orders = self.plan_service(service_index);
            let targets_to_read = self.list_targets_to_read(service_index);
            self.send_orders(service_index, orders).await;
            self.read_reports(service_index, targets_to_read).await;
        }
    }

    /// Reads the services anew when the routing document has changed.
    async fn update_services(&mut self) {
        let document = {
            let state = self.app.replica.state.read();
            if state.routing().version == self.version {
                return;
            }
            state.routing().clone()
        };
        let version = document.version;
        self.version = version;
        let decode_routing = self.decode_routing;
        let decoded = run_blocking(move || decode_packed(&document, decode_routing)).await;
        match decoded {
            Ok(routing) => {
                let placed = routing.services.iter().filter_map(|service| {
                    Some(PlacedService {
                        service: service.name.clone(),
                        model: service.model.clone()?,
                        by_flow: routing.differs_in_urgency(&service.name),
                    })
                });
                self.services = placed.collect();
            }
            Err(error) => warn!(%version, %error, "can't decode the routing document"),
        }
    }

    fn plan_service(&mut self, service_index: usize) -> Vec<PlacementOrder> {
        let now = self.app.clock.now();
        let engines = self.list_engines(&self.services[service_index].service, now);
        let model = self.services[service_index].model.clone();
        let by_flow = self.services[service_index].by_flow;
        let placer = self.placer_of(service_index);
        placer.set_by_flow(by_flow);
        let orders = placer.plan(&model, &engines, now);
        placer.take_decisions().iter().for_each(log_decision);
        orders
    }

    /// The placer of a service; created when this control starts to lead.
    fn placer_of(&mut self, service_index: usize) -> &mut Placer {
        let service = self.services[service_index].service.clone();
        let position = self.placers.iter().position(|(name, _)| *name == service);
        let index = position.unwrap_or_else(|| {
            let now = self.app.clock.now();
            info!(service = %service, "starting to place layers as the leader");
            let placer = Placer::new(PlacerSettings::default(), now);
            self.placers.push((service, placer));
            self.placers.len() - 1
        });
        &mut self.placers[index].1
    }

    /// Targets whose state the placer wants to read in this round.
    fn list_targets_to_read(&mut self, service_index: usize) -> Vec<TargetName> {
        let now = self.app.clock.now();
        self.placer_of(service_index).list_targets_to_query(now)
    }

    /// Engines of a service that are announced as ready.
    fn list_engines(&self, service: &ServiceName, now: Millis) -> Vec<AnnouncedEngine> {
        let view = self.app.view.lock();
        let targets = view.targets(now).into_iter();
        let engines = targets.filter_map(|status| {
            let engine = status.target.forwarding()?;
            let is_ready =
                status.state == VouchState::Announced(Readiness::Ready) && !status.is_superseded;
            (is_ready && engine.service == *service).then(|| AnnouncedEngine {
                name: status.target.name.clone(),
                incarnation: status.target.incarnation,
                address: status.target.address,
                place: status.target.place.clone(),
                accelerator: engine.accelerator.clone(),
                layers: engine.layers,
            })
        });
        engines.collect()
    }

    async fn send_orders(&mut self, service_index: usize, orders: Vec<PlacementOrder>) {
        let sends = orders
            .iter()
            .map(|order| self.calls.send_order(&self.http, order));
        let outcomes = join_all(sends).await;
        let now = self.app.clock.now();
        let model = self.services[service_index].model.clone();
        for (order, outcome) in orders.iter().zip(outcomes) {
            self.placer_of(service_index)
                .record_outcome(&model, order, outcome, now);
        }
    }

    async fn read_reports(&mut self, service_index: usize, names: Vec<TargetName>) {
        let addresses: Vec<_> = {
            let view = self.app.view.lock();
            let targets = view.targets(self.app.clock.now());
            let requested = targets
                .iter()
                .filter(|status| names.contains(&status.target.name));
            requested
                .map(|status| (status.target.name.clone(), status.target.address))
                .collect()
        };
        let reads = addresses
            .iter()
            .map(|(_, address)| self.calls.read_report(&self.http, *address));
        let reports = join_all(reads).await;
        let now = self.app.clock.now();
        for ((name, _), report) in addresses.iter().zip(reports) {
            if let Some(report) = report {
                let is_paused = self
                    .placer_of(service_index)
                    .record_report(name, report, now);
                if is_paused {
                    warn!(target_name = %name, "loads failed, sending no orders for a while");
                }
            }
        }
    }
}

fn log_decision(decision: &Decision) {
    info!(
        target_name = %decision.target,
        place = %decision.place,
        layers = %decision.layers,
        cause = ?decision.cause,
        flow_before_tokens = decision.flow_before_tokens,
        flow_after_tokens = decision.flow_after_tokens,
        narrowest = decision.narrowest.map(|it| it.to_string()),
        "decided on layers"
    );
}

fn decode_packed(
    document: &PackedRouting,
    decode_routing: DecodeRouting,
) -> Result<Routing, String> {
    let unpacked = document.unpack().map_err(|error| error.to_string())?;
    decode_routing(&unpacked.source)
}
