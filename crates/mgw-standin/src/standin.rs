//! A stand-in of any role, as the server and the announcer see it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use mgw_contract::target::{CacheEvent, LoadReport, Readiness};
use mgw_serve::http::Body;
use mgw_world::{Limits, TargetKind};

use crate::common_routes::{error_response, handle_common, is_common};
use crate::engine::{EngineShell, handle};
use crate::host::Host;
use crate::plain::PlainShell;
use crate::weights::WeightStore;

/// What a stand-in does, by role.
#[derive(Debug)]
pub enum Duty {
    /// A model engine.
    Engine(Arc<EngineShell>),
    /// A plain service.
    Plain(Arc<PlainShell>),
    /// The weight store.
    Weights(WeightStore),
}

/// A running stand-in.
#[derive(Debug)]
pub struct Standin {
    host: Arc<Host>,
    duty: Duty,
    leaving: AtomicBool,
}

impl Standin {
    /// A stand-in that takes work.
    #[must_use]
    pub const fn new(host: Arc<Host>, duty: Duty) -> Self {
        Self {
            host,
            duty,
            leaving: AtomicBool::new(false),
        }
    }

    /// What it shares with the other roles.
    #[must_use]
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// Answers a call, with the faults in force.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        if is_common(&request) {
            return handle_common(&self.host, request).await;
        }
        self.host.delay_call().await;
        self.host.while_hanging().await;
        if self.host.faults().refuse {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "refused; nothing ran");
        }
        let answer = match &self.duty {
            Duty::Engine(engine) => handle(Arc::clone(engine), request).await,
            Duty::Plain(plain) => Arc::clone(plain).handle(request).await,
            Duty::Weights(store) => store.handle(request).await,
        };
        self.host.while_hanging().await;
        answer
    }

    /// Takes no new work from now on and announces that at once.
    pub fn leave(&self) {
        if self.leaving.swap(true, Ordering::SeqCst) {
            return;
        }
        if let Duty::Engine(engine) = &self.duty {
            engine.core().leave();
        }
        tracing::info!("leaving");
        self.host.announce_soon.notify_one();
    }

    /// Whether work is in progress.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        match &self.duty {
            Duty::Engine(engine) => !engine.core().sessions().is_empty(),
            Duty::Plain(plain) => plain.load().in_flight > 0,
            Duty::Weights(_) => false,
        }
    }

    /// Whether it takes new work.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        match &self.duty {
            Duty::Engine(engine) => engine.core().readiness(),
            _ if self.leaving.load(Ordering::SeqCst) => Readiness::Leaving,
            _ => Readiness::Ready,
        }
    }

    /// Its load.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        match &self.duty {
            Duty::Engine(engine) => engine.load(),
            Duty::Plain(plain) => plain.load(),
            Duty::Weights(_) => LoadReport::default(),
        }
    }

    /// What it announces to be for.
    #[must_use]
    pub fn duty(&self) -> TargetKind {
        match &self.duty {
            Duty::Engine(engine) => TargetKind::Engine(engine.core().held().clone()),
            Duty::Plain(plain) => TargetKind::Plain {
                service: plain.settings.service.clone(),
            },
            Duty::Weights(_) => TargetKind::Plain {
                service: "weights".into(),
            },
        }
    }

    /// Limits that it announces.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let max_requests = match &self.duty {
            Duty::Engine(engine) => return engine.settings.limits(),
            Duty::Plain(plain) => plain.settings.max_requests,
            Duty::Weights(_) => u32::MAX,
        };
        Limits {
            max_requests,
            kv_bytes: 0,
            tokens_per_s: 0,
        }
    }

    /// Cache events to announce.
    #[must_use]
    pub fn take_events(&self) -> Vec<CacheEvent> {
        match &self.duty {
            Duty::Engine(engine) => engine.core().prefixes_mut().take_events(),
            _ => Vec::new(),
        }
    }

    /// Takes cache events back that were not announced.
    pub fn return_events(&self, events: Vec<CacheEvent>) {
        if let Duty::Engine(engine) = &self.duty {
            engine.core().prefixes_mut().return_events(events);
        }
    }

    /// Announces the whole prefix cache anew.
    pub fn resend_cache(&self) {
        if let Duty::Engine(engine) = &self.duty {
            engine.core().prefixes_mut().resend_all();
        }
    }
}
