//! Throughput bound, path choice, limits, queues and the retry budget.
//!
//! This crate makes all decisions of the request path without I/O: time is passed as an argument
//! and randomness comes from a seed. [`Router`] chooses paths; one [`Admission`] per model decides
//! when a request may start.

mod chain;
mod error;
mod exclusions;
mod graph;
mod limit;
mod path;
mod prefix;
mod quarantine;
mod rate_limit;
mod router;

pub use chain::{
    Chain, ChainLoad, ChainRequest, ChainReservation, ChainRouter, ChainSettings, ChainTarget,
    EntryLoad, EntryLoadTable, FullTarget, HealthSettings, Hop, NoChain, OtherEntriesLoad,
    ProbeOutcome, SilentTargets, TargetLoad, report_interval_ms, report_valid_ms,
};
pub use error::NoPath;
pub use exclusions::{ExclusionSettings, Exclusions, TargetRun};
pub use graph::{Bound, BoundaryShare, Graph, GraphTarget, TargetShare, compute_bound};
pub use limit::{
    Admission, AdmissionCapacity, AdmissionGate, AdmissionLevel, AdmissionRateSettings,
    AdmissionRefusal, AdmissionRequest, AdmissionSettings, AdmissionTable, Decision, Event,
    GateRequest, LatencyLimit, LatencyLimitSettings, LevelChange, LevelStep, RetryBudget,
    RetryBudgetSettings, SendWindow, ServiceDemand, ServiceSends, StepWindow, StepWindowSettings,
    UrgencyDemand, UrgencyQueue, UrgencyRate, WaiterKey, compute_retry_grant,
};
pub use path::{Path, PathRequest, ReservationKey, Stage};
pub use prefix::{
    CacheSyncState, PREFIX_BLOCK_TOKENS, PrefillTarget, PrefixDigest, choose_prefill_target,
    digest_prefixes, follow_probability,
};
pub use quarantine::{
    BrokenSend, EntryQuarantine, Evidence, EvidenceReport, QuarantineChange, QuarantineSettings,
    QuarantineTable, QuarantineUpdate, ReportedEnd, SettleTimes, SoundSubject, Suspect, TargetEnd,
    UnresolvedSends,
};
pub use rate_limit::{
    EntryCounts, EntryRateLimits, LimitChange, LimitReport, LimitUpdate, LimitedTarget,
    RateLimitTable, RequestRate, ReturnTimes, StatedRate, TokenDemand, ToldLimit,
};
pub use router::{PrefixRule, Router, RouterSettings, TargetInput, TargetView};
