//! Quick requests at the entry, the daemon that receives them from the caller: chooses an executor
//! group for each attempt, sends it to the owner of the group, retries and hedges.

use std::collections::BTreeSet;
use std::future::pending;

use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use magnolia_config::ConfigDocument;
use magnolia_policy::{BackendView, new_chooser};
use magnolia_protocol::{QuickForward, QuickOutcome};
use magnolia_state::{ClaimRecord, RequestState};
use magnolia_types::{Millis, QuickSpec, Ran, RequestId, ResultCode, UnitId};

use super::attempt::{attempt, time_left};
use super::outcome::outcome;
use crate::context::DaemonContext;
use crate::metrics::names;

/// Maximum number of attempts of one request, hedges included.
const MAX_ATTEMPTS: usize = 4;

/// Runs a request and returns its outcome.
pub async fn run_request(
    context: &DaemonContext,
    request: RequestId,
    spec: QuickSpec,
) -> QuickOutcome {
    if context.is_closing() {
        return outcome(ResultCode::Draining, "this daemon is stopping");
    }
    let Some(_permit) = context.entry.admit() else {
        let text = "too many requests are in flight at this daemon";
        return outcome(ResultCode::QueueFull, text);
    };
    let deadline = context.clock.now().saturating_add(spec.deadline_ms);
    let entry_request = EntryRequest {
        context,
        request,
        deadline,
        state: RequestState::new(spec.repeatable),
        spec,
        tried: BTreeSet::new(),
        attempts: 0,
    };
    entry_request.run().await
}

/// One request and the attempts that the entry has made for it.
struct EntryRequest<'a> {
    context: &'a DaemonContext,
    request: RequestId,
    spec: QuickSpec,
    deadline: Millis,
    state: RequestState,
    /// Groups of earlier attempts. A retry or hedge goes to another group.
    tried: BTreeSet<UnitId>,
    /// Number of attempts so far.
    attempts: usize,
}

/// Attempts in flight; each returns the unit of its group and the outcome.
type RunningAttempts<'a> = FuturesUnordered<BoxFuture<'a, (UnitId, QuickOutcome)>>;

impl<'a> EntryRequest<'a> {
    /// Makes the first attempt and waits for the outcome.
    async fn run(mut self) -> QuickOutcome {
        match self.next_attempt() {
            Ok((first, future)) => {
                let running = RunningAttempts::new();
                running.push(future);
                let hedge_after = self.context.entry.hedge_delay(&first);
                self.run_attempts(running, first, hedge_after).await
            }
            Err(refusal) => refusal,
        }
    }

    /// Waits for the outcome of the attempts. Hedges a repeatable request once after `hedge_after`,
    /// and retries after failures, as far as the retry budget and the request state allow. The hedge
    /// takes from the budget of `first`, the group of the first attempt.
    async fn run_attempts(
        mut self,
        mut running: RunningAttempts<'a>,
        first: UnitId,
        hedge_after: std::time::Duration,
    ) -> QuickOutcome {
        let may_hedge = self.spec.repeatable;
        let hedge = async move {
            if may_hedge {
                tokio::time::sleep(hedge_after).await;
            } else {
                pending::<()>().await;
            }
        };
        tokio::pin!(hedge);
        let mut hedged = false;
        let mut last = outcome(ResultCode::OutcomeUnknown, "no attempt ended");
        loop {
            tokio::select! {
                ended = running.next() => match ended {
                    Some((unit, result)) => {
                        if result.code.ran() == Ran::Yes {
                            self.state.attempt_answered().ok();
                            return result;
                        }
                        self.record_failure(&result);
                        last = result;
                        self.retry(&running, &unit);
                    }
                    None => break,
                },
                () = &mut hedge, if !hedged => {
                    hedged = true;
                    if self.context.entry.try_retry(&first)
                        && let Ok((_, future)) = self.next_attempt()
                    {
                        self.context.metrics.count(names::QUICK_HEDGES);
                        running.push(future);
                    }
                }
            }
        }
        match self.state.give_up() {
            // An earlier attempt may have run, which the last refusal would hide.
            Ran::Unknown if last.code.ran() == Ran::No => {
                outcome(ResultCode::OutcomeUnknown, &last.text)
            }
            _ => last,
        }
    }

    /// Records that an attempt was refused, or was lost and may have run.
    fn record_failure(&mut self, result: &QuickOutcome) {
        let recorded = match result.code.ran() {
            Ran::No => self.state.attempt_refused(),
            _ => self.state.attempt_lost(),
        };
        debug_assert!(recorded.is_ok(), "an attempt ended that was not sent");
    }

    /// Starts another attempt after a failure, unless one is still running. Takes from the budget of
    /// the failed group.
    fn retry(&mut self, running: &RunningAttempts<'a>, failed: &UnitId) {
        let in_time = self.context.clock.now() < self.deadline;
        if !running.is_empty() || !in_time || !self.state.may_send() {
            return;
        }
        // Checked first, so that the budget is not spent when no other group is available.
        if self.candidate_claims().is_empty() {
            return;
        }
        if !self.context.entry.try_retry(failed) {
            self.context.metrics.count(names::QUICK_RETRIES_DENIED);
            return;
        }
        if let Ok((_, future)) = self.next_attempt() {
            self.context.metrics.count(names::QUICK_RETRIES);
            running.push(future);
        }
    }

    /// Chooses a group and creates the future of an attempt. The state counts the attempt as sent
    /// from now on.
    fn next_attempt(
        &mut self,
    ) -> Result<(UnitId, BoxFuture<'a, (UnitId, QuickOutcome)>), QuickOutcome> {
        let claim = self.choose_claim()?;
        if self.attempts >= MAX_ATTEMPTS || self.state.send().is_err() {
            let text = "the request may not be sent again";
            return Err(outcome(ResultCode::OutcomeUnknown, text));
        }
        let is_first = self.attempts == 0;
        self.attempts += 1;
        self.tried.insert(claim.unit.clone());
        let mut spec = self.spec.clone();
        spec.deadline_ms = time_left(self.context, self.deadline);
        let forward = QuickForward {
            request: self.request.clone(),
            group: claim.unit.group().unwrap_or_default().into(),
            spec,
        };
        let context = self.context;
        let unit = claim.unit.clone();
        let future = Box::pin(async move {
            let result = attempt(context, &claim, forward, is_first).await;
            (claim.unit, result)
        });
        Ok((unit, future))
    }

    /// Chooses a group by its estimated load and returns the claim of its owner.
    fn choose_claim(&self) -> Result<ClaimRecord, QuickOutcome> {
        let config = self.context.config();
        let Some(document) = &config.document else {
            let text = "no configuration is loaded";
            return Err(outcome(ResultCode::NoConfiguration, text));
        };
        if document.executor_blocks.is_empty() {
            let text = "the inventory has no executors";
            return Err(outcome(ResultCode::NoBackend, text));
        }
        let claims = self.candidate_claims();
        if claims.is_empty() {
            let text = "no executor group has an owner that takes requests";
            return Err(outcome(ResultCode::NoOwner, text));
        }
        let views: Vec<BackendView> = (0..)
            .zip(&claims)
            .map(|(index, claim)| self.view(document, index, claim))
            .collect();
        let chosen = new_chooser(document).choose(&views, &mut rand::rng());
        // No group appears to have a free slot: the owner of a random one queues the request or
        // refuses it.
        let index = chosen.unwrap_or_else(|| rand::random_range(0..claims.len()));
        Ok(claims[index].clone())
    }

    /// Describes a group for the chooser.
    fn view(&self, document: &ConfigDocument, index: usize, claim: &ClaimRecord) -> BackendView {
        let block = document.executor_block(claim.unit.group().unwrap_or_default());
        let initial = block.map_or(0, |block| {
            let executors = u32::try_from(block.executors.len()).unwrap_or(u32::MAX);
            block.slots.saturating_mul(executors)
        });
        let now = self.context.clock.now();
        let entry = &self.context.entry;
        BackendView {
            index,
            free_slots: entry.free_slots(&claim.unit, initial, now),
            same_data_centre: block
                .is_some_and(|block| block.data_centre == self.context.identity.data_centre),
            round_trip: entry.round_trip(&claim.unit),
        }
    }

    /// Returns the claims of the groups that have not been tried and whose owner accepts requests.
    fn candidate_claims(&self) -> Vec<ClaimRecord> {
        let context = self.context;
        let units = context
            .with_document(|document| {
                let blocks = document.executor_blocks.iter();
                let open = blocks.filter(|block| !block.leaving && !block.executors.is_empty());
                open.filter_map(|block| UnitId::new_group(&block.name).ok())
                    .collect::<Vec<_>>()
            })
            .unwrap_or_default();
        let untried = units.iter().filter(|unit| !self.tried.contains(unit));
        let claims = untried.filter_map(|unit| context.claims.get(unit));
        claims
            .filter(|claim| accepts_requests(context, claim))
            .collect()
    }
}

/// Tells whether the owner that the claim names accepts requests, as far as this daemon knows.
fn accepts_requests(context: &DaemonContext, claim: &ClaimRecord) -> bool {
    if claim.daemon == context.identity.daemon {
        return claim.incarnation == context.identity.incarnation
            && context.groups.get(&claim.unit).is_some();
    }
    let members = &context.members;
    let ended = members.with_tracker(|tracker| {
        tracker
            .proof_of_end(&claim.daemon, claim.incarnation)
            .is_some()
    });
    !ended && !members.is_suspect(&claim.daemon) && !members.is_draining(&claim.daemon)
}
