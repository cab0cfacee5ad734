//! The journal check and its report.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::path::PathBuf;

use mgw_contract::engine::SessionKey;
use mgw_world::{FenceNumber, Incarnation, Position, RequestId, ServiceName, TargetName};
use serde::Serialize;

use super::coverage::PositionSet;
use super::lines::{JournalError, read_journal};
use crate::journal::{JournalEvent, JournalLine, StepLine};

/// Maximum number of violations that the text form of a report lists.
const MAX_SHOWN: usize = 20;

/// Facts that the check needs and the journals don't contain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CheckSettings {
    /// Number of positions that each completely answered request must have run: the tokens of
    /// prompt and answer together, minus one because the last token is not fed back.
    pub required_positions: BTreeMap<RequestId, u32>,
}

/// An invariant that the journals violate, with the values that show it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, displaydoc::Display)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Violation {
    /// {session} layer {layer}: {count} positions from {first} on ran again
    RanTwice {
        /// Session that the step belongs to.
        session: SessionKey,
        /// Layer that ran again.
        layer: u16,
        /// First position of the step.
        first: Position,
        /// Number of positions of the step that had run before.
        count: u32,
    },
    /// {session} at {target}: ran position {first}, expected position {expected}
    OutOfOrder {
        /// Session that the step belongs to.
        session: SessionKey,
        /// Target that ran the step.
        target: TargetName,
        /// First position of the step.
        first: Position,
        /// Position that the session expected next.
        expected: Position,
    },
    /// {session} layer {layer} position {position}: input is not an output of the layer before
    ForeignInput {
        /// Session that the step belongs to.
        session: SessionKey,
        /// First layer of the step.
        layer: u16,
        /// Position whose input is wrong.
        position: Position,
    },
    /// request {request}: layer {layer} ran {positions} of {needed} positions of a complete answer
    NotCovered {
        /// Request whose answer is complete.
        request: RequestId,
        /// Layer that did not run all positions.
        layer: u16,
        /// Number of positions from zero up to the first gap that ran.
        positions: u32,
        /// Number of positions required.
        needed: u32,
    },
    /// service {service}: the call with idempotency key {key} ran {times} times
    CalledTwice {
        /// Service that was called.
        service: ServiceName,
        /// Workspace, if the call named one.
        workspace: Option<String>,
        /// Idempotency key that the calls share.
        key: String,
        /// Number of times that the call ran.
        times: u64,
    },
}

/// Result of a journal check.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Journal lines read.
    pub lines: u64,
    /// Steps that ran.
    pub steps: u64,
    /// Pairs of position and layer that ran.
    pub layer_runs: u64,
    /// Calls to plain services that ran.
    pub calls: u64,
    /// Number of orders that were executed.
    pub orders: u64,
    /// Orders executed although the target had already executed one with a newer fencing number.
    pub stale_orders: u64,
    /// Requests that ran at least one step.
    pub requests: u64,
    /// Requests whose attempts together ran every layer at every position needed: those of the
    /// complete answer, or without one all positions up to the last reached.
    pub covered: u64,
    /// Requests that are not covered and have no complete answer, for example cancelled ones.
    pub partial: u64,
    /// Steps without a recorded output of the preceding stage at the position of their input.
    pub unlinked: u64,
    /// All violations found.
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
    /// Whether no violation was found.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Checks the journal files of a run together.
///
/// # Errors
/// When a file can't be read or contains another kind of line.
pub fn check_journals(paths: &[PathBuf], settings: &CheckSettings) -> Result<Report, JournalError> {
    let mut lines = Vec::new();
    for path in paths {
        lines.extend(read_journal(path)?);
    }
    Ok(check_lines(&lines, settings))
}

/// Checks the lines of all journals of a run. The lines of each target must be in the order in
/// which the target wrote them.
#[must_use]
pub fn check_lines(lines: &[JournalLine], settings: &CheckSettings) -> Report {
    let mut checker = Checker::default();
    for line in lines {
        checker.add_line(line);
    }
    checker.check_stage_inputs();
    checker.check_coverage(settings);
    checker.check_repeated_calls();
    checker.report.violations.sort();
    checker.report
}

/// Request, layer and position at which a value passes from one stage to the next.
type StageBoundary = (RequestId, u16, Position);

#[derive(Debug, Default)]
struct Checker {
    report: Report,
    /// Positions run in each layer of a session.
    run_in_session: BTreeMap<(SessionKey, u16), PositionSet>,
    /// Positions run in each layer of a request, all its attempts together.
    run_in_request: BTreeMap<RequestId, BTreeMap<u16, PositionSet>>,
    /// Next position of each stage of a session at a target.
    next_positions: BTreeMap<(TargetName, Incarnation, SessionKey, u16), Position>,
    inputs: Vec<(SessionKey, StageBoundary, u64)>,
    outputs: BTreeMap<StageBoundary, BTreeSet<u64>>,
    /// Newest fencing number executed by each target.
    newest_fences: BTreeMap<TargetName, FenceNumber>,
    /// Number of runs of each call that has an idempotency key.
    runs_by_key: BTreeMap<(ServiceName, Option<String>, String), u64>,
}

impl Checker {
    fn add_line(&mut self, line: &JournalLine) {
        self.report.lines += 1;
        match &line.event {
            JournalEvent::Step(step) => self.add_step(line, step),
            JournalEvent::Import {
                session,
                layers,
                next,
            } => {
                let session_stage = (
                    line.target.clone(),
                    line.incarnation,
                    *session,
                    layers.first(),
                );
                self.next_positions.insert(session_stage, *next);
            }
            JournalEvent::Free { .. } => {}
            JournalEvent::Order { fence, .. } => self.add_order(line, *fence),
            JournalEvent::Call {
                service,
                key,
                workspace,
                ..
            } => {
                self.report.calls += 1;
                if let Some(key) = key {
                    let call_key = (service.clone(), workspace.clone(), key.clone());
                    *self.runs_by_key.entry(call_key).or_default() += 1;
                }
            }
        }
    }

    fn add_order(&mut self, line: &JournalLine, fence: FenceNumber) {
        self.report.orders += 1;
        let newest = self.newest_fences.entry(line.target.clone()).or_default();
        if fence < *newest {
            self.report.stale_orders += 1;
        }
        *newest = fence.max(*newest);
    }

    fn add_step(&mut self, line: &JournalLine, step: &StepLine) {
        self.report.steps += 1;
        self.report.layer_runs += u64::from(step.count) * u64::from(step.layers.count());
        self.check_position(line, step);
        let request = step.session.request;
        let run_in_request = self.run_in_request.entry(request).or_default();
        for layer in step.layers.first()..step.layers.end() {
            let run_in_session = self
                .run_in_session
                .entry((step.session, layer))
                .or_default();
            let repeated = run_in_session.insert(step.first, step.count);
            run_in_request
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
        let last_position = step.first.advance(step.count.saturating_sub(1));
        let output = (request, step.layers.end(), last_position);
        self.outputs
            .entry(output)
            .or_default()
            .insert(step.value_out);
        if step.layers.first() > 0 {
            let input = (request, step.layers.first(), last_position);
            self.inputs.push((step.session, input, step.value_in));
        }
    }

    fn check_position(&mut self, line: &JournalLine, step: &StepLine) {
        let first_layer = step.layers.first();
        let session_stage = (
            line.target.clone(),
            line.incarnation,
            step.session,
            first_layer,
        );
        let expected = self.next_positions.entry(session_stage).or_default();
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

    /// Reports inputs that differ from every recorded output of the preceding stage.
    fn check_stage_inputs(&mut self) {
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

    /// Counts covered and partial requests and reports complete answers that are not covered.
    fn check_coverage(&mut self, settings: &CheckSettings) {
        let layers = self.run_in_request.values().flat_map(BTreeMap::keys);
        let last_layer = layers.max().copied();
        for (request, run_in_request) in &self.run_in_request {
            self.report.requests += 1;
            let reached = run_in_request
                .values()
                .map(PositionSet::end)
                .max()
                .unwrap_or_default();
            let needed = settings.required_positions.get(request);
            let uncovered = find_uncovered(
                run_in_request,
                last_layer,
                needed.copied().unwrap_or(reached),
            );
            match (uncovered, needed) {
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
        self.check_unseen_requests(settings);
    }

    /// Reports complete answers to requests that ran no step.
    fn check_unseen_requests(&mut self, settings: &CheckSettings) {
        for (request, needed) in &settings.required_positions {
            if !self.run_in_request.contains_key(request) {
                self.report.violations.push(Violation::NotCovered {
                    request: *request,
                    layer: 0,
                    positions: 0,
                    needed: *needed,
                });
            }
        }
    }

    /// Reports calls that ran more than once under the same idempotency key.
    fn check_repeated_calls(&mut self) {
        for ((service, workspace, key), times) in &self.runs_by_key {
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

/// Returns the first layer that didn't run all needed positions, and how many it ran without a gap.
fn find_uncovered(
    run_in_request: &BTreeMap<u16, PositionSet>,
    last_layer: Option<u16>,
    needed: u32,
) -> Option<(u16, u32)> {
    (0..=last_layer?)
        .map(|layer| {
            (
                layer,
                run_in_request
                    .get(&layer)
                    .map_or(0, PositionSet::contiguous_from_zero),
            )
        })
        .find(|(_, positions)| *positions < needed)
}
