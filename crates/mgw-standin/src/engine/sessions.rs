//! Sessions of an engine: positions, KV states and the limits on their memory.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use mgw_contract::engine::{KvImage, SessionKey, SessionStanding, StepRefusal};
use mgw_world::{LayerRange, Millis, ModelVersion, Position};

use crate::model::VALUE_BYTES;

/// Maximum number of freed session keys that are remembered, so that a late step can't open a
/// freed session again.
const MAX_FREED: usize = 100_000;

/// Limits on the number and the memory of sessions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionLimits {
    /// Maximum number of open sessions.
    pub max_requests: u32,
    /// Total KV cache of all sessions, in bytes.
    pub kv_bytes: u64,
    /// Bytes of KV cache of one position in one layer.
    pub kv_bytes_per_layer: u32,
    /// Time without a step after which a session is freed.
    pub idle_ms: Millis,
}

#[derive(Debug)]
struct Session {
    layers: LayerRange,
    /// KV state of each layer.
    states: Vec<u64>,
    /// Next position to run.
    next: Position,
    /// Positions of the running step; zero when none runs.
    running_positions: u32,
    free_when_done: bool,
    last_used_at: Millis,
}

/// All sessions of an engine.
#[derive(Debug)]
pub struct SessionStore {
    limits: SessionLimits,
    sessions: BTreeMap<SessionKey, Session>,
    freed: BTreeSet<SessionKey>,
    /// The keys in `freed`, the least recently freed first.
    freed_order: VecDeque<SessionKey>,
    kv_bytes_used: u64,
}

/// The session, layers and positions of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepSpan {
    /// Session of the step.
    pub session: SessionKey,
    /// Layers that the step runs.
    pub layers: LayerRange,
    /// First position of the step.
    pub first: Position,
    /// Number of positions of the step.
    pub count: u32,
}

impl SessionStore {
    /// Creates a store without sessions.
    #[must_use]
    pub const fn new(limits: SessionLimits) -> Self {
        Self {
            limits,
            sessions: BTreeMap::new(),
            freed: BTreeSet::new(),
            freed_order: VecDeque::new(),
            kv_bytes_used: 0,
        }
    }

    /// Number of open sessions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether no session is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Whether a step is running in any session.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.sessions
            .values()
            .any(|session| session.running_positions > 0)
    }

    /// Bytes of KV cache in use or reserved by running steps.
    #[must_use]
    pub const fn kv_bytes_used(&self) -> u64 {
        self.kv_bytes_used
    }

    /// Next position of a session and whether a step is running; `None` when it isn't open.
    #[must_use]
    pub fn session_status(&self, key: SessionKey) -> Option<SessionStanding> {
        let session = self.sessions.get(&key)?;
        Some(SessionStanding {
            next: session.next,
            running: session.running_positions > 0,
        })
    }

    /// Starts a step: reserves its KV memory and marks its session as running. Opens the session
    /// with `initial_states` if the step is its first.
    ///
    /// # Errors
    /// When the step is refused; the store is then unchanged.
    pub fn start(
        &mut self,
        span: StepSpan,
        initial_states: impl FnOnce() -> Vec<u64>,
        now: Millis,
    ) -> Result<(), StepRefusal> {
        let open_session = self.sessions.get(&span.session);
        match open_session {
            Some(session) if session.free_when_done => return Err(StepRefusal::NoSession),
            Some(session) if session.running_positions > 0 || session.next != span.first => {
                return Err(StepRefusal::WrongPosition { next: session.next });
            }
            Some(session) if session.layers != span.layers => return Err(StepRefusal::WrongLayers),
            None if self.freed.contains(&span.session) || span.first != Position(0) => {
                return Err(StepRefusal::NoSession);
            }
            _ => {}
        }
        let bytes = self.kv_bytes_of(span.layers, span.count);
        self.check_capacity(open_session.is_none(), bytes)?;
        self.kv_bytes_used += bytes;
        let session = self
            .sessions
            .entry(span.session)
            .or_insert_with(|| Session {
                layers: span.layers,
                states: initial_states(),
                next: Position(0),
                running_positions: 0,
                free_when_done: false,
                last_used_at: now,
            });
        session.running_positions = span.count;
        session.last_used_at = now;
        Ok(())
    }

    /// Completes a started step: calls `work` on the KV states of the session, then advances its
    /// position. `None` when the session isn't open.
    pub fn finish<T>(
        &mut self,
        key: SessionKey,
        now: Millis,
        work: impl FnOnce(&mut [u64]) -> T,
    ) -> Option<T> {
        let session = self.sessions.get_mut(&key)?;
        let result = work(&mut session.states);
        session.next = session.next.advance(session.running_positions);
        session.running_positions = 0;
        session.last_used_at = now;
        if session.free_when_done {
            self.remove(key);
        }
        Some(result)
    }

    /// Frees a session; if a step is running, when that step completes. A freed session is never
    /// opened again. Returns whether the session was open.
    pub fn free(&mut self, key: SessionKey) -> bool {
        let Some(session) = self.sessions.get_mut(&key) else {
            self.remember_freed(key);
            return false;
        };
        if session.running_positions > 0 {
            session.free_when_done = true;
        } else {
            self.remove(key);
        }
        true
    }

    /// Frees the sessions that had no step for the idle time and returns their keys.
    pub fn free_idle(&mut self, now: Millis) -> Vec<SessionKey> {
        let idle_ms = self.limits.idle_ms;
        let sessions = self.sessions.iter();
        let idle: Vec<SessionKey> = sessions
            .filter(|(_, session)| {
                session.running_positions == 0 && now - session.last_used_at >= idle_ms
            })
            .map(|(key, _)| *key)
            .collect();
        for key in &idle {
            self.remove(*key);
        }
        idle
    }

    /// Frees all sessions; sessions with a running step are freed when that step completes.
    pub fn free_all(&mut self) {
        let keys: Vec<SessionKey> = self.sessions.keys().copied().collect();
        for key in keys {
            self.free(key);
        }
    }

    /// Exports the KV cache of a session as of its last completed step; `None` when the session
    /// isn't open.
    #[must_use]
    pub fn export(&self, key: SessionKey, version: &ModelVersion) -> Option<KvImage> {
        let session = self.sessions.get(&key)?;
        let mut bytes: Vec<u8> = session
            .states
            .iter()
            .flat_map(|state| state.to_le_bytes())
            .collect();
        let kv_bytes = self.kv_bytes_of(session.layers, session.next.0);
        let kv_bytes = usize::try_from(kv_bytes).unwrap_or_default();
        bytes.resize(bytes.len().max(kv_bytes), 0);
        Some(KvImage {
            layers: session.layers,
            version: version.clone(),
            next: session.next,
            bytes: Bytes::from(bytes),
        })
    }

    /// Opens a session from a KV cache.
    ///
    /// # Errors
    /// When the session is open or was freed, the image is too small or a limit is reached.
    pub fn import(
        &mut self,
        key: SessionKey,
        image: &KvImage,
        now: Millis,
    ) -> Result<SessionStanding, StepRefusal> {
        if let Some(session) = self.sessions.get(&key) {
            return Err(StepRefusal::WrongPosition { next: session.next });
        }
        if self.freed.contains(&key) {
            return Err(StepRefusal::NoSession);
        }
        let (words, _) = image.bytes.as_chunks::<VALUE_BYTES>();
        let layers = usize::from(image.layers.count());
        let words = words.get(..layers).ok_or(StepRefusal::WrongInput)?;
        let bytes = self.kv_bytes_of(image.layers, image.next.0);
        self.check_capacity(true, bytes)?;
        self.kv_bytes_used += bytes;
        let session = Session {
            layers: image.layers,
            states: words.iter().map(|word| u64::from_le_bytes(*word)).collect(),
            next: image.next,
            running_positions: 0,
            free_when_done: false,
            last_used_at: now,
        };
        self.sessions.insert(key, session);
        Ok(SessionStanding {
            next: image.next,
            running: false,
        })
    }

    fn check_capacity(&self, opens_session: bool, bytes: u64) -> Result<(), StepRefusal> {
        let has_session_slot =
            !opens_session || self.sessions.len() < self.limits.max_requests as usize;
        let has_memory = self.kv_bytes_used + bytes <= self.limits.kv_bytes;
        if has_session_slot && has_memory {
            Ok(())
        } else {
            Err(StepRefusal::Full)
        }
    }

    fn kv_bytes_of(&self, layers: LayerRange, positions: u32) -> u64 {
        let per_position = u64::from(layers.count()) * u64::from(self.limits.kv_bytes_per_layer);
        u64::from(positions) * per_position
    }

    fn remove(&mut self, key: SessionKey) {
        if let Some(session) = self.sessions.remove(&key) {
            let positions = session.next.0 + session.running_positions;
            self.kv_bytes_used -= self.kv_bytes_of(session.layers, positions);
        }
        self.remember_freed(key);
    }

    fn remember_freed(&mut self, key: SessionKey) {
        if self.freed.insert(key) {
            self.freed_order.push_back(key);
        }
        if self.freed_order.len() > MAX_FREED
            && let Some(oldest) = self.freed_order.pop_front()
        {
            self.freed.remove(&oldest);
        }
    }
}
