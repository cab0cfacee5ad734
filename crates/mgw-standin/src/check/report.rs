//! The check itself and its report.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::PathBuf;

use mgw_contract::engine::SessionKey;
use mgw_world::{FenceNumber, Incarnation, Position, RequestId, ServiceName, TargetName};
use serde::Serialize;

use super::coverage::PositionSet;
use super::lines::{JournalError, read_journal};
use crate::journal::{JournalEvent, JournalLine, StepLine};

/// Violations that the text of a report shows.
const MAX_SHOWN: usize = 20;

/// What the check can't see from the journals.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CheckSettings {
    /// Positions that each request with a whole answer must have run: tokens of prompt and answer
    /// together, less one because the last token is not fed back.
    pub required_positions: BTreeMap<RequestId, u32>,
}

/// Something that must never happen.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, displaydoc::Display)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Violation {
    /// {session} layer {layer}: {count} positions from {first} on ran again
    RanTwice {
        /// Session.
        session: SessionKey,
        /// Layer.
        layer: u16,
        /// First position of the step.
        first: Position,
        /// How many positions of the step had run before.
        count: u32,
    },
    /// {session} at {target}: position {first} ran where {expected} was next
    OutOfOrder {
        /// Session.
        session: SessionKey,
        /// Target.
        target: TargetName,
        /// Position run.
        first: Position,
        /// Position that was next.
        expected: Position,
    },
    /// {session} layer {layer} position {position}: input that the layer before never put out
    ForeignInput {
        /// Session.
        session: SessionKey,
        /// First layer of the step.
        layer: u16,
        /// Position.
        position: Position,
    },
    /// request {request}: layer {layer} ran {positions} of {needed} positions of a whole answer
    NotCovered {
        /// Request.
        request: RequestId,
        /// Layer.
        layer: u16,
        /// Positions from zero on that ran.
        positions: u32,
        /// Positions needed.
        needed: u32,
    },
    /// service {service}: the call with idempotency key {key} ran {times} times
    CalledTwice {
        /// Service.
        service: ServiceName,
        /// Workspace, if the call said so.
        workspace: Option<String>,
        /// Idempotency key.
        key: String,
        /// How often it ran.
        times: u64,
    },
}

/// Result of a check.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Lines read.
    pub lines: u64,
    /// Steps that ran.
    pub steps: u64,
    /// Pairs of position and layer that ran.
    pub layer_runs: u64,
    /// Calls of plain services that ran.
    pub calls: u64,
    /// Orders executed.
    pub orders: u64,
    /// Orders executed although a newer fencing number was known.
    pub stale_orders: u64,
    /// Requests with steps.
    pub requests: u64,
    /// Requests whose attempts together ran every layer at every position reached.
    pub covered: u64,
    /// The other requests, for example cancelled ones.
    pub partial: u64,
    /// Steps whose input has no recorded output of the stage before at that position.
    pub unlinked: u64,
    /// Everything that must never happen and did.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = [
            ("lines", self.lines),
            ("steps", self.steps),
            ("layer runs", self.layer_runs),
            ("calls", self.calls),
            ("orders", self.orders),
            ("stale orders", self.stale_orders),
            ("requests", self.requests),
            ("covered", self.covered),
            ("partial", self.partial),
            ("unlinked", self.unlinked),
            ("violations", self.violations.len() as u64),
        ];
        for (name, count) in counts {
            writeln!(formatter, "{name:<12} {count:>10}")?;
        }
        for violation in self.violations.iter().take(MAX_SHOWN) {
            writeln!(formatter, "{violation}")?;
        }
        Ok(())
    }
}

impl Report {
    /// Whether nothing was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Checks journal files together.
///
/// # Errors
/// When a file can't be read or holds another kind of line.
pub fn check_journals(paths: &[PathBuf], settings: &CheckSettings) -> Result<Report, JournalError> {
    let mut lines = Vec::new();
    for path in paths {
        lines.extend(read_journal(path)?);
    }
    Ok(check_lines(&lines, settings))
}

/// Checks the lines of all journals; the lines of one target are in their order.
#[must_use]
pub fn check_lines(lines: &[JournalLine], settings: &CheckSettings) -> Report {
    let mut checker = Checker::default();
    for line in lines {
        checker.take(line);
    }
    checker.link_stages();
    checker.cover_requests(settings);
    checker.count_calls();
    checker.report.violations.sort();
    checker.report
}

type StageValue = (RequestId, u16, Position);

#[derive(Debug, Default)]
struct Checker {
    report: Report,
    ran: BTreeMap<(SessionKey, u16), PositionSet>,
    covered: BTreeMap<RequestId, BTreeMap<u16, PositionSet>>,
    next: BTreeMap<(TargetName, Incarnation, SessionKey, u16), Position>,
    inputs: Vec<(SessionKey, StageValue, u64)>,
    outputs: BTreeMap<StageValue, BTreeSet<u64>>,
    fences: BTreeMap<TargetName, FenceNumber>,
    calls: BTreeMap<(ServiceName, Option<String>, String), u64>,
}

impl Checker {
    fn take(&mut self, line: &JournalLine) {
        self.report.lines += 1;
        match &line.event {
            JournalEvent::Step(step) => self.take_step(line, step),
            JournalEvent::Import {
                session,
                layers,
                next,
            } => {
                let place = (
                    line.target.clone(),
                    line.incarnation,
                    *session,
                    layers.first(),
                );
                self.next.insert(place, *next);
            }
            JournalEvent::Free { .. } => {}
            JournalEvent::Order { fence, .. } => self.take_order(line, *fence),
            JournalEvent::Call {
                service,
                key,
                workspace,
                ..
            } => {
                self.report.calls += 1;
                if let Some(key) = key {
                    let call = (service.clone(), workspace.clone(), key.clone());
                    *self.calls.entry(call).or_default() += 1;
                }
            }
        }
    }

    fn take_order(&mut self, line: &JournalLine, fence: FenceNumber) {
        self.report.orders += 1;
        let newest = self.fences.entry(line.target.clone()).or_default();
        if fence < *newest {
            self.report.stale_orders += 1;
        }
        *newest = fence.max(*newest);
    }

    fn take_step(&mut self, line: &JournalLine, step: &StepLine) {
        self.report.steps += 1;
        self.report.layer_runs += u64::from(step.count) * u64::from(step.layers.count());
        self.check_order(line, step);
        let request = step.session.request;
        let covered = self.covered.entry(request).or_default();
        for layer in step.layers.first()..step.layers.end() {
            let ran = self.ran.entry((step.session, layer)).or_default();
            let repeated = ran.insert(step.first, step.count);
            covered
                .entry(layer)
                .or_default()
                .insert(step.first, step.count);
            if repeated > 0 {
                self.report.violations.push(Violation::RanTwice {
                    session: step.session,
                    layer,
                    first: step.first,
                    count: repeated,
                });
            }
        }
        let last = step.first.advance(step.count.saturating_sub(1));
        let output = (request, step.layers.end(), last);
        self.outputs
            .entry(output)
            .or_default()
            .insert(step.value_out);
        if step.layers.first() > 0 {
            let input = (request, step.layers.first(), last);
            self.inputs.push((step.session, input, step.value_in));
        }
    }

    fn check_order(&mut self, line: &JournalLine, step: &StepLine) {
        let first_layer = step.layers.first();
        let place = (
            line.target.clone(),
            line.incarnation,
            step.session,
            first_layer,
        );
        let expected = self.next.entry(place).or_default();
        if *expected != step.first {
            self.report.violations.push(Violation::OutOfOrder {
                session: step.session,
                target: line.target.clone(),
                first: step.first,
                expected: *expected,
            });
        }
        *expected = step.first.advance(step.count);
    }

    fn link_stages(&mut self) {
        for (session, input, value) in &self.inputs {
            match self.outputs.get(input) {
                None => self.report.unlinked += 1,
                Some(values) if values.contains(value) => {}
                Some(_) => self.report.violations.push(Violation::ForeignInput {
                    session: *session,
                    layer: input.1,
                    position: input.2,
                }),
            }
        }
    }

    fn cover_requests(&mut self, settings: &CheckSettings) {
        let layers = self.covered.values().flat_map(BTreeMap::keys);
        let last_layer = layers.max().copied();
        for (request, ran) in &self.covered {
            self.report.requests += 1;
            let reached = ran.values().map(PositionSet::end).max().unwrap_or_default();
            let needed = settings.required_positions.get(request);
            let missing = find_uncovered(ran, last_layer, needed.copied().unwrap_or(reached));
            match (missing, needed) {
                (None, _) => self.report.covered += 1,
                (Some(_), None) => self.report.partial += 1,
                (Some((layer, positions)), Some(needed)) => {
                    self.report.violations.push(Violation::NotCovered {
                        request: *request,
                        layer,
                        positions,
                        needed: *needed,
                    });
                }
            }
        }
        self.find_unseen(settings);
    }

    fn find_unseen(&mut self, settings: &CheckSettings) {
        for (request, needed) in &settings.required_positions {
            if !self.covered.contains_key(request) {
                self.report.violations.push(Violation::NotCovered {
                    request: *request,
                    layer: 0,
                    positions: 0,
                    needed: *needed,
                });
            }
        }
    }

    fn count_calls(&mut self) {
        for ((service, workspace, key), times) in &self.calls {
            if *times > 1 {
                self.report.violations.push(Violation::CalledTwice {
                    service: service.clone(),
                    workspace: workspace.clone(),
                    key: key.clone(),
                    times: *times,
                });
            }
        }
    }
}

/// The first layer that didn't run all needed positions, and how many it ran.
fn find_uncovered(
    ran: &BTreeMap<u16, PositionSet>,
    last_layer: Option<u16>,
    needed: u32,
) -> Option<(u16, u32)> {
    (0..=last_layer?)
        .map(|layer| (layer, ran.get(&layer).map_or(0, PositionSet::prefix)))
        .find(|(_, positions)| *positions < needed)
}
