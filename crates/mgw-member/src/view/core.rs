//! State of a view and the upkeep that time alone causes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use mgw_world::{Incarnation, Millis, Revision, TargetName};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::announce::Lease;
use super::exchange::Exchanges;
use crate::origin::Origin;
use crate::{MemberSettings, NodeId, NodeInfo, NodePhase, Trust};

/// Order of news of a target: the newer incarnation wins, then the higher sequence number.
pub(crate) type NewsOrder = (Incarnation, u64);

/// What this node alone knows of a target.
#[derive(Debug, Clone, Default)]
pub(crate) struct LocalTarget {
    /// When it became ready; `None` when it was ready before this node looked.
    pub ready_since: Option<Millis>,
    pub was_ready: bool,
    /// Incarnation that was last seen ready.
    pub ready_incarnation: Option<Incarnation>,
    pub newest: NewsOrder,
    pub trust: Trust,
    pub homes: BTreeSet<NodeId>,
    /// When a record of it last changed here.
    pub touched_at: Millis,
}

/// What one node, entry or control, believes of the nodes and targets.
///
/// Drive it like this: feed [`View::announce`] with announcements, call [`View::tick`] a few times a
/// second, send what [`View::next_exchange`] gives, and pass the results to
/// [`View::handle_exchange`], [`View::handle_reply`] and [`View::exchange_failed`].
#[derive(Debug)]
pub struct View {
    pub(crate) settings: MemberSettings,
    pub(crate) me: NodeId,
    pub(crate) origins: BTreeMap<NodeId, Origin>,
    pub(crate) leases: BTreeMap<TargetName, Lease>,
    pub(crate) local: BTreeMap<TargetName, LocalTarget>,
    pub(crate) excluded: BTreeSet<TargetName>,
    pub(crate) exchanges: Exchanges,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) started_at: Millis,
    pub(crate) complete: bool,
    pub(crate) minority_since: Option<Millis>,
}

impl View {
    /// Starts a view that knows this node and the addresses of some others.
    #[must_use]
    pub fn new(
        settings: MemberSettings,
        me: NodeInfo,
        seeds: &[SocketAddr],
        seed: u64,
        now: Millis,
    ) -> Self {
        let id = me.id();
        let mut own = Origin::new(me, now);
        own.version = 1;
        let peers = seeds
            .iter()
            .copied()
            .filter(|a| *a != own.info.peer_address);
        let mut view = Self {
            exchanges: Exchanges::new(peers.collect(), now),
            settings,
            me: id,
            origins: BTreeMap::from([(id, own)]),
            leases: BTreeMap::new(),
            local: BTreeMap::new(),
            excluded: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            started_at: now,
            complete: false,
            minority_since: None,
        };
        view.schedule_exchange(now);
        view
    }

    /// This node as it describes itself.
    #[must_use]
    pub fn me(&self) -> &NodeInfo {
        &self.own().info
    }

    /// The settings.
    #[must_use]
    pub const fn settings(&self) -> &MemberSettings {
        &self.settings
    }

    /// When this view started.
    #[must_use]
    pub const fn started_at(&self) -> Millis {
        self.started_at
    }

    /// Changes this node's own phase, for all nodes to see.
    pub fn set_phase(&mut self, phase: NodePhase) {
        let own = self.own_mut();
        if own.info.phase != phase {
            own.info.phase = phase;
            own.version += 1;
        }
    }

    /// Tells all nodes which revision of the configuration is in force here.
    pub fn set_revision(&mut self, revision: Revision) {
        let own = self.own_mut();
        if own.info.revision != revision {
            own.info.revision = revision;
            own.version += 1;
        }
    }

    /// Whether the view was once as complete as that of another node, or no other node answered
    /// for long enough that this is the first one.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.complete
    }

    /// Ends leases, forgets old records and follows the reachability of the others.
    ///
    /// Call it a few times a second.
    pub fn tick(&mut self, now: Millis) {
        self.touch_own(now);
        self.end_leases(now);
        self.release_moved(now);
        self.forget(now);
        self.follow_reachability(now);
        let waited = now - self.started_at;
        if !self.complete && self.is_alone(now) && waited >= self.settings.first_after_ms {
            self.complete = true;
        }
    }

    pub(crate) fn own(&self) -> &Origin {
        &self.origins[&self.me]
    }

    #[expect(clippy::expect_used, reason = "a view never drops its own record")]
    pub(crate) fn own_mut(&mut self) -> &mut Origin {
        self.origins.get_mut(&self.me).expect("own record")
    }

    pub(crate) fn touch_own(&mut self, now: Millis) {
        self.own_mut().confirm(now);
    }

    /// Age of a node's record; that of the node itself is zero.
    pub(crate) fn age_of(&self, id: NodeId, origin: &Origin, now: Millis) -> Millis {
        if id == self.me {
            Millis::ZERO
        } else {
            origin.age(now)
        }
    }

    fn forget(&mut self, now: Millis) {
        let keep_from = now - self.settings.forget_ms;
        let me = self.me;
        let gone: Vec<NodeId> = self
            .origins
            .iter()
            .filter(|(id, origin)| **id != me && origin.touched_at < keep_from)
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            if let Some(origin) = self.origins.remove(&id) {
                self.reindex(origin.targets.keys().cloned().collect(), now);
            }
        }
        self.local
            .retain(|_, local| !local.homes.is_empty() || local.touched_at >= keep_from);
        let tombstones_from = now - self.settings.tombstone_ms;
        for origin in self.origins.values_mut() {
            origin.forget_releases(tombstones_from);
        }
    }
}
