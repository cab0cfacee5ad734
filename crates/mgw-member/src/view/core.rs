//! State of a view and its periodic maintenance.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use mgw_world::{Incarnation, Millis, Revision, TargetName};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::announce::Lease;
use super::exchange::Exchanges;
use crate::record::NodeRecord;
use crate::{MemberSettings, NodeId, NodeInfo, NodePhase, Trust};

/// Order of announcements of a target: the newer incarnation wins, then the higher sequence number.
pub(crate) type AnnouncementOrder = (Incarnation, u64);

/// State of a target that this node keeps for itself and doesn't publish.
#[derive(Debug, Clone, Default)]
pub(crate) struct LocalTarget {
    /// When the target became ready; `None` if it was ready before this node's view was complete.
    pub ready_since: Option<Millis>,
    pub was_ready: bool,
    /// Latest incarnation that was ready.
    pub ready_incarnation: Option<Incarnation>,
    /// Order of the newest announcement known from any home.
    pub newest_order: AnnouncementOrder,
    pub trust: Trust,
    /// Nodes whose record contains the target.
    pub homes: BTreeSet<NodeId>,
    /// When an entry for the target last changed in any record.
    pub updated_at: Millis,
}

/// Membership view of one node, entry or control: the known nodes and targets and their state.
///
/// The caller passes announcements to [`View::announce`], calls [`View::tick`] a few times a
/// second, passes exchanges of other nodes to [`View::handle_exchange`], sends what
/// [`View::next_exchange`] returns, and passes the results to [`View::handle_reply`] and
/// [`View::exchange_failed`].
#[derive(Debug)]
pub struct View {
    pub(crate) settings: MemberSettings,
    pub(crate) own_id: NodeId,
    pub(crate) records: BTreeMap<NodeId, NodeRecord>,
    pub(crate) leases: BTreeMap<TargetName, Lease>,
    pub(crate) local: BTreeMap<TargetName, LocalTarget>,
    pub(crate) excluded: BTreeSet<TargetName>,
    /// Newest incarnation of each target that is leaving by the durable record.
    pub(crate) leaving: BTreeMap<TargetName, Incarnation>,
    pub(crate) exchanges: Exchanges,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) started_at: Millis,
    pub(crate) complete: bool,
    pub(crate) minority_since: Option<Millis>,
}

impl View {
    /// Creates a view that knows this node and the addresses of some seed nodes.
    #[must_use]
    pub fn new(
        settings: MemberSettings,
        own_info: NodeInfo,
        seeds: &[SocketAddr],
        seed: u64,
        now: Millis,
    ) -> Self {
        let id = own_info.id();
        let mut own = NodeRecord::new(own_info, now);
        own.version = 1;
        let peers = seeds
            .iter()
            .copied()
            .filter(|a| *a != own.info.peer_address);
        let mut view = Self {
            exchanges: Exchanges::new(peers.collect(), now),
            settings,
            own_id: id,
            records: BTreeMap::from([(id, own)]),
            leases: BTreeMap::new(),
            local: BTreeMap::new(),
            excluded: BTreeSet::new(),
            leaving: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            started_at: now,
            complete: false,
            minority_since: None,
        };
        view.schedule_exchange(now);
        view
    }

    /// Description of this node.
    #[must_use]
    pub fn own_info(&self) -> &NodeInfo {
        &self.own().info
    }

    /// Settings of this view.
    #[must_use]
    pub const fn settings(&self) -> &MemberSettings {
        &self.settings
    }

    /// When this view was created.
    #[must_use]
    pub const fn started_at(&self) -> Millis {
        self.started_at
    }

    /// Sets this node's phase and publishes it in its own record.
    pub fn set_phase(&mut self, phase: NodePhase) {
        let own = self.own_mut();
        if own.info.phase != phase {
            own.info.phase = phase;
            own.version += 1;
        }
    }

    /// Publishes the revision of the configuration that is in force on this node.
    pub fn set_revision(&mut self, revision: Revision) {
        let own = self.own_mut();
        if own.info.revision != revision {
            own.info.revision = revision;
            own.version += 1;
        }
    }

    /// Whether the view was at one time as complete as that of another node, or this node assumes
    /// that it is the first one because no other node answered for `first_after_ms`.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.complete
    }

    /// Expires leases, removes old records and updates the reachability of the other nodes.
    ///
    /// Call it a few times a second.
    pub fn tick(&mut self, now: Millis) {
        self.confirm_own_record(now);
        self.expire_leases(now);
        self.release_moved_targets(now);
        self.remove_expired_records(now);
        self.update_reachability(now);
        let uptime = now - self.started_at;
        if !self.complete && self.is_alone(now) && uptime >= self.settings.first_after_ms {
            self.complete = true;
        }
    }

    pub(crate) fn own(&self) -> &NodeRecord {
        &self.records[&self.own_id]
    }

    #[expect(clippy::expect_used, reason = "a view never drops its own record")]
    pub(crate) fn own_mut(&mut self) -> &mut NodeRecord {
        self.records.get_mut(&self.own_id).expect("own record")
    }

    pub(crate) fn confirm_own_record(&mut self, now: Millis) {
        self.own_mut().confirm(now);
    }

    /// Age of a node's record; zero for this node's own record.
    pub(crate) fn age_of(&self, id: NodeId, record: &NodeRecord, now: Millis) -> Millis {
        if id == self.own_id {
            Millis::ZERO
        } else {
            record.age(now)
        }
    }

    fn remove_expired_records(&mut self, now: Millis) {
        let oldest_kept = now - self.settings.forget_ms;
        let own_id = self.own_id;
        let expired: Vec<NodeId> = self
            .records
            .iter()
            .filter(|(id, record)| **id != own_id && record.updated_at < oldest_kept)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if let Some(record) = self.records.remove(&id) {
                self.reindex_homes(record.targets.keys().cloned().collect(), now);
            }
        }
        self.local
            .retain(|_, local| !local.homes.is_empty() || local.updated_at >= oldest_kept);
        let oldest_tombstone = now - self.settings.tombstone_ms;
        for record in self.records.values_mut() {
            record.remove_old_releases(oldest_tombstone);
        }
    }
}
