//! A stand-in of any role: the interface that the HTTP server and the announcer use.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use mgw_contract::target::{CacheEvent, LoadReport, Readiness};
use mgw_serve::http::Body;
use mgw_world::{Limits, TargetKind};

use crate::common_routes::{error_response, handle_common, is_common};
use crate::context::StandinContext;
use crate::engine::{EngineServer, handle};
use crate::plain::PlainServer;
use crate::weights::WeightStore;

/// The service that a stand-in provides, by role.
#[derive(Debug)]
pub enum RoleHandler {
    /// A model engine.
    Engine(Arc<EngineServer>),
    /// A plain service.
    Plain(Arc<PlainServer>),
    /// The weight store.
    Weights(WeightStore),
}

/// A running stand-in.
#[derive(Debug)]
pub struct Standin {
    context: Arc<StandinContext>,
    role_handler: RoleHandler,
    leaving: AtomicBool,
}

impl Standin {
    /// Creates a stand-in that accepts work.
    #[must_use]
    pub const fn new(context: Arc<StandinContext>, role_handler: RoleHandler) -> Self {
        Self {
            context,
            role_handler,
            leaving: AtomicBool::new(false),
        }
    }

    /// Name, clock, faults and journal of the stand-in.
    #[must_use]
    pub fn context(&self) -> &StandinContext {
        &self.context
    }

    /// Answers a call, subject to the active faults.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        if is_common(&request) {
            return handle_common(&self.context, request).await;
        }
        self.context.delay_call().await;
        self.context.wait_while_hanging().await;
        if self.context.faults().refuse {
            return error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "refused by the injected fault `refuse`; nothing ran",
            );
        }
        let answer = match &self.role_handler {
            RoleHandler::Engine(engine) => handle(Arc::clone(engine), request).await,
            RoleHandler::Plain(plain) => Arc::clone(plain).handle(request).await,
            RoleHandler::Weights(store) => store.handle(request).await,
        };
        self.context.wait_while_hanging().await;
        answer
    }

    /// Stops accepting new work and announces that at once. Has no effect when already leaving.
    pub fn leave(&self) {
        if self.leaving.swap(true, Ordering::SeqCst) {
            return;
        }
        if let RoleHandler::Engine(engine) = &self.role_handler {
            engine.core().leave();
        }
        tracing::info!("shutting down: no new work is accepted");
        self.context.announce_now.notify_one();
    }

    /// Whether sessions are open or calls are in flight.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        match &self.role_handler {
            RoleHandler::Engine(engine) => !engine.core().sessions().is_empty(),
            RoleHandler::Plain(plain) => plain.load_report().in_flight > 0,
            RoleHandler::Weights(_) => false,
        }
    }

    /// Readiness to accept new work.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        match &self.role_handler {
            RoleHandler::Engine(engine) => engine.core().readiness(),
            _ if self.leaving.load(Ordering::SeqCst) => Readiness::Leaving,
            _ => Readiness::Ready,
        }
    }

    /// Current load.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        match &self.role_handler {
            RoleHandler::Engine(engine) => engine.load_report(),
            RoleHandler::Plain(plain) => plain.load_report(),
            RoleHandler::Weights(_) => LoadReport::default(),
        }
    }

    /// Kind of target that is announced, with the loaded layers of an engine.
    #[must_use]
    pub fn target_kind(&self) -> TargetKind {
        match &self.role_handler {
            RoleHandler::Engine(engine) => TargetKind::Engine(engine.core().loaded().clone()),
            RoleHandler::Plain(plain) => TargetKind::Plain {
                service: plain.settings.service.clone(),
            },
            RoleHandler::Weights(_) => TargetKind::Plain {
                service: "weights".into(),
            },
        }
    }

    /// Limits that are announced.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let max_requests = match &self.role_handler {
            RoleHandler::Engine(engine) => return engine.settings.limits(),
            RoleHandler::Plain(plain) => plain.settings.max_requests,
            RoleHandler::Weights(_) => u32::MAX,
        };
        Limits {
            max_requests,
            kv_bytes: 0,
            tokens_per_s: 0,
        }
    }

    /// Removes and returns the cache events to announce.
    #[must_use]
    pub fn take_events(&self) -> Vec<CacheEvent> {
        match &self.role_handler {
            RoleHandler::Engine(engine) => engine.core().prefixes_mut().take_events(),
            _ => Vec::new(),
        }
    }

    /// Puts back cache events that could not be announced.
    pub fn return_events(&self, events: Vec<CacheEvent>) {
        if let RoleHandler::Engine(engine) = &self.role_handler {
            engine.core().prefixes_mut().return_events(events);
        }
    }

    /// Queues events to announce the whole prefix cache again.
    pub fn resend_cache(&self) {
        if let RoleHandler::Engine(engine) = &self.role_handler {
            engine.core().prefixes_mut().resend_all();
        }
    }
}
