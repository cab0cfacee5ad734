//! The leader's loop: plans while it holds the lease, and sends orders.

use std::sync::Arc;

use futures::future::join_all;
use mgw_contract::target::Readiness;
use mgw_member::VouchState;
use mgw_place::{AnnouncedEngine, PlacementOrder, Placer, PlacerSettings};
use mgw_routing::DecodeRouting;
use mgw_serve::http::{HttpClient, unpooled_client};
use mgw_world::{Millis, PipelineModel, RoutingVersion, ServiceName, TargetName};
use tokio::time::sleep;
use tracing::{info, warn};

use super::PlacementCalls;
use crate::app::App;
use crate::gateway::Gateway;

/// Time between two rounds.
const ROUND_MS: Millis = Millis(250);

/// A service whose targets hold layers of a model.
struct PlacedService {
    service: ServiceName,
    model: PipelineModel,
}

struct PlacementDuty {
    app: Arc<App>,
    http: HttpClient,
    decode_routing: DecodeRouting,
    calls: PlacementCalls,
    version: RoutingVersion,
    services: Vec<PlacedService>,
    placers: Vec<(ServiceName, Placer)>,
}

impl Gateway {
    /// Places layers whenever this control leads, until it ends.
    pub async fn run_placement(self, decode_routing: DecodeRouting, calls: PlacementCalls) {
        let graceful = self.app.shutdown.graceful.clone();
        let mut duty = PlacementDuty {
            app: self.app,
            // An order never waits in a connection that another term opened.
            http: unpooled_client(),
            decode_routing,
            calls,
            version: RoutingVersion::default(),
            services: Vec::new(),
            placers: Vec::new(),
        };
        let pause = ROUND_MS.to_duration();
        while graceful.run_until_cancelled(sleep(pause)).await.is_some() {
            duty.run_round().await;
        }
    }
}

impl PlacementDuty {
    async fn run_round(&mut self) {
        let leads = self.app.replica.describe().await;
        if !leads.is_some_and(|report| report.holds_lease) {
            self.placers.clear();
            return;
        }
        self.follow_routing();
        for at in 0..self.services.len() {
            let orders = self.plan_service(at);
            let questions = self.list_questions(at);
            self.send_orders(at, orders).await;
            self.ask(at, questions).await;
        }
    }

    fn follow_routing(&mut self) {
        let document = {
            let state = self.app.replica.state.read();
            if state.routing().version == self.version {
                return;
            }
            state.routing().clone()
        };
        self.version = document.version;
        match (self.decode_routing)(&document.source) {
            Ok(routing) => {
                let services = routing.services.into_iter();
                let placed = services.filter_map(|service| {
                    Some(PlacedService {
                        service: service.name,
                        model: service.model?,
                    })
                });
                self.services = placed.collect();
            }
            Err(error) => warn!(version = %document.version, %error, "routing can't be read"),
        }
    }

    fn plan_service(&mut self, at: usize) -> Vec<PlacementOrder> {
        let now = self.app.clock.now();
        let engines = self.list_engines(&self.services[at].service, now);
        let model = self.services[at].model.clone();
        self.placer(at).plan(&model, &engines, now)
    }

    fn placer(&mut self, at: usize) -> &mut Placer {
        let service = self.services[at].service.clone();
        let known = self.placers.iter().position(|(name, _)| *name == service);
        let index = known.unwrap_or_else(|| {
            let now = self.app.clock.now();
            info!(service = %service, "placing layers as the leader");
            let placer = Placer::new(PlacerSettings::default(), now);
            self.placers.push((service, placer));
            self.placers.len() - 1
        });
        &mut self.placers[index].1
    }

    fn list_questions(&mut self, at: usize) -> Vec<TargetName> {
        let now = self.app.clock.now();
        self.placer(at).list_targets_to_query(now)
    }

    /// Engines of a service that are heard and stay.
    fn list_engines(&self, service: &ServiceName, now: Millis) -> Vec<AnnouncedEngine> {
        let view = self.app.view.lock();
        let targets = view.targets(now).into_iter();
        let engines = targets.filter_map(|status| {
            let engine = status.target.forwarding()?;
            let stays = status.state == VouchState::Announced(Readiness::Ready);
            (stays && engine.service == *service).then(|| AnnouncedEngine {
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

    async fn send_orders(&mut self, at: usize, orders: Vec<PlacementOrder>) {
        let sending = orders
            .iter()
            .map(|order| self.calls.send_order(&self.http, order));
        let outcomes = join_all(sending).await;
        let now = self.app.clock.now();
        let model = self.services[at].model.clone();
        for (order, outcome) in orders.iter().zip(outcomes) {
            self.placer(at).record_outcome(&model, order, outcome, now);
        }
    }

    async fn ask(&mut self, at: usize, names: Vec<TargetName>) {
        let addresses: Vec<_> = {
            let view = self.app.view.lock();
            let targets = view.targets(self.app.clock.now());
            let named = targets.iter().filter(|it| names.contains(&it.target.name));
            named
                .map(|it| (it.target.name.clone(), it.target.address))
                .collect()
        };
        let asking = addresses
            .iter()
            .map(|(_, address)| self.calls.read_report(&self.http, *address));
        let reports = join_all(asking).await;
        let now = self.app.clock.now();
        for ((name, _), report) in addresses.iter().zip(reports) {
            if let Some(report) = report {
                self.placer(at).record_report(name, report, now);
            }
        }
    }
}
