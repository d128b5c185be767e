//! The owner of one partition: its state and its event loop.
//!
//! The loop never waits for the log or a worker. Each call runs in a task of its own that sends its
//! result as an event, so that an unresponsive worker or a slow log does not block anything else.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use magnolia_backing::{StartCommand, WorkerReport};
use magnolia_policy::{PlacementEngine, new_engine};
use magnolia_protocol::{Handover, JobReply};
use magnolia_state::{ClaimRecord, JobTable, LeaseTable, TakeoverTracker};
use magnolia_types::{AttemptId, JobId, Millis, ResultCode, TaskRef, WorkerId};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot, watch};

use super::committer::JournalCommitter;
use super::confirming::ConfirmationTimes;
use super::events::{CustomerKey, JournalWaiter, OwnerCommand, OwnerEvent, ReplySender};
use super::opening::journal_stream;
use super::placement_notes::PlacementNotes;
use super::retry_delays::RetryDelays;
use super::worker_link::WorkerLink;
use crate::context::DaemonContext;
use crate::metrics::names;

/// Interval at which leases, renewals and deadlines are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time between two rounds over all workers that start the exchanges that are due, so that
/// many events share a round.
const EXCHANGE_ROUND_GAP: Millis = Millis::new(5);
/// Interval at which the description for the state dump is renewed.
const DESCRIBE_INTERVAL: Millis = Millis::new(500);
/// Interval at which final jobs and keys that are past their retention are dropped.
const FORGET_INTERVAL: Millis = Millis::from_secs(10);
/// Interval of placement rounds without a change of state, for rules that depend on time.
const PLACE_INTERVAL: Millis = Millis::new(250);
/// Maximum number of queued events, and of commands, that are handled before messages and appends
/// are sent.
const EVENT_BATCH: usize = 256;

/// Lifecycle phase of the owner.
pub(super) enum OwnerPhase {
    /// The journal is being read.
    Opening,
    /// Operations are answered and tasks are placed.
    Serving,
    /// Messages, requests and appends in flight are finished before a handover.
    Draining(DrainState),
    /// The owner sends nothing more.
    Stopped,
}

/// A drain in progress.
pub(super) struct DrainState {
    /// Takes the state for the next owner.
    pub(super) reply: Option<oneshot::Sender<Option<Handover>>>,
    /// When the owner stops even if something is still in flight.
    pub(super) deadline: Millis,
    /// Whether the snapshot before the handover was begun.
    pub(super) has_snapshot: bool,
}

/// An attempt that may be running.
pub(super) struct OwnedAttempt {
    pub(super) task: TaskRef,
    pub(super) worker: WorkerId,
}

/// The owner of a partition, with all its state.
pub(super) struct PartitionOwner {
    pub(super) context: Arc<DaemonContext>,
    pub(super) claim: ClaimRecord,
    pub(super) partition: Arc<str>,
    pub(super) stream: Arc<str>,
    pub(super) events: mpsc::UnboundedSender<OwnerEvent>,
    pub(super) phase: OwnerPhase,
    pub(super) table: JobTable,
    pub(super) engine: Box<dyn PlacementEngine>,
    pub(super) leases: LeaseTable,
    /// Which workers have accepted the fence, and whether the takeover is complete.
    pub(super) tracker: TakeoverTracker,
    /// State of each worker, with those that have left the inventory but may still run tasks.
    pub(super) links: BTreeMap<WorkerId, WorkerLink>,
    pub(super) committer: JournalCommitter<JournalWaiter>,
    pub(super) attempts: HashMap<AttemptId, OwnedAttempt>,
    /// Attempts whose end is being appended to the journal and not yet acknowledged to the worker.
    pub(super) unwritten_ends: BTreeSet<AttemptId>,
    /// Reports of workers that accepted the fence before the journal was open, with their time of
    /// receipt.
    pub(super) early_reports: BTreeMap<WorkerId, (WorkerReport, Millis)>,
    /// Attempts that run according to the journal but were not reported by their worker yet.
    pub(super) journal_only: BTreeMap<WorkerId, Vec<(TaskRef, AttemptId)>>,
    /// Callers that wait for a job to be final, with their deadlines.
    pub(super) job_waiters: BTreeMap<JobId, Vec<(Millis, ReplySender)>>,
    /// Callers that wait for a new job to be in the journal.
    pub(super) waiting_submitters: BTreeMap<JobId, Vec<ReplySender>>,
    /// Idempotency keys of the jobs in `waiting_submitters`, with the hash of the job's content.
    pub(super) submitted_keys: BTreeMap<CustomerKey, (u64, JobId)>,
    /// Requests that are not repeatable and have no outcome yet; with the reply channel once sent.
    pub(super) once_running: BTreeMap<CustomerKey, Option<ReplySender>>,
    /// Starts of tasks that are not repeatable, whose intents are being appended to the journal.
    pub(super) starts_awaiting_intent: HashMap<AttemptId, StartCommand>,
    /// Jobs that are not repeatable and wait until the log is available again.
    pub(super) held_for_log: BTreeSet<JobId>,
    /// Tasks whose next attempt is delayed after a failure.
    pub(super) retry_delays: RetryDelays,
    /// Recent placements and refusals, for explanations.
    pub(super) notes: PlacementNotes,
    /// Duration of the leases that this owner grants.
    pub(super) lease: Millis,
    /// Age of the quoted clock reading above which a worker refuses a start.
    pub(super) start_window: Millis,
    /// When the confirmation of the claim that is under way was asked for.
    pub(super) confirmation_asked: Option<Millis>,
    /// Earliest time of the next confirmation.
    pub(super) next_confirmation_at: Millis,
    /// When the last successful confirmations were asked for.
    pub(super) confirmed: ConfirmationTimes,
    /// Whether a placement round is due, after a change of state or [`PLACE_INTERVAL`].
    pub(super) placement_due: bool,
    /// Number of the newest snapshot of this owner.
    pub(super) snapshot_number: u64,
    next_exchange_round_at: Millis,
    description: Arc<Mutex<Value>>,
    next_description_at: Millis,
    next_forget_at: Millis,
    next_placement_at: Millis,
}

impl PartitionOwner {
    /// Creates the owner for the holder of `claim`.
    pub(super) fn new(
        context: Arc<DaemonContext>,
        claim: ClaimRecord,
        events: mpsc::UnboundedSender<OwnerEvent>,
        description: Arc<Mutex<Value>>,
    ) -> Self {
        let partition: Arc<str> = claim.unit.partition().unwrap_or_default().into();
        let document =
            context.config().document.clone().unwrap_or_else(|| {
                magnolia_config::ConfigDocument::from_sections(std::iter::empty())
            });
        let now = context.clock.now();
        let zero = Millis::new(0);
        let mut owner = Self {
            stream: journal_stream(&partition).into(),
            engine: new_engine(&document),
            phase: OwnerPhase::Opening,
            table: JobTable::new(),
            leases: LeaseTable::new(),
            tracker: TakeoverTracker::new(claim.epoch, document.rules.lease_ms, []),
            links: BTreeMap::new(),
            committer: JournalCommitter::new(
                claim.epoch,
                claim.incarnation,
                magnolia_types::LogOffset::new(0),
                zero,
                now,
            ),
            attempts: HashMap::new(),
            unwritten_ends: BTreeSet::new(),
            early_reports: BTreeMap::new(),
            journal_only: BTreeMap::new(),
            job_waiters: BTreeMap::new(),
            waiting_submitters: BTreeMap::new(),
            submitted_keys: BTreeMap::new(),
            once_running: BTreeMap::new(),
            starts_awaiting_intent: HashMap::new(),
            held_for_log: BTreeSet::new(),
            retry_delays: RetryDelays::new(),
            notes: PlacementNotes::new(),
            lease: document.rules.lease_ms,
            start_window: document.rules.start_window_ms,
            confirmation_asked: None,
            next_confirmation_at: zero,
            confirmed: ConfirmationTimes::default(),
            placement_due: false,
            snapshot_number: 0,
            next_exchange_round_at: zero,
            description,
            next_description_at: zero,
            next_forget_at: now.saturating_add(FORGET_INTERVAL),
            next_placement_at: zero,
            context,
            claim,
            partition,
            events,
        };
        let workers = owner.apply_inventory(&document);
        owner.tracker = TakeoverTracker::new(owner.claim.epoch, owner.lease, workers.clone());
        // The placement engine has to know the inventory before the first job is checked against
        // it.
        workers.iter().for_each(|worker| owner.update_view(worker));
        owner
    }

    /// Runs until another daemon owns the partition or the partition is handed over.
    pub(super) async fn run(
        mut self,
        mut commands: mpsc::Receiver<OwnerCommand>,
        mut events: mpsc::UnboundedReceiver<OwnerEvent>,
    ) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut config: watch::Receiver<_> = self.context.config.subscribe();
        config.mark_changed();
        while !matches!(self.phase, OwnerPhase::Stopped) {
            tokio::select! {
                Some(event) = events.recv() => self.handle_event(event),
                Some(command) = commands.recv() => self.handle_command(command),
                Ok(()) = config.changed() => {
                    let document = config.borrow_and_update().document.clone();
                    document.iter().for_each(|document| self.apply_config(document));
                }
                _ = ticks.tick() => self.tick(),
            }
            for _ in 0..EVENT_BATCH {
                match events.try_recv() {
                    Ok(event) => self.handle_event(event),
                    Err(_) => break,
                }
            }
            for _ in 0..EVENT_BATCH {
                match commands.try_recv() {
                    Ok(command) => self.handle_command(command),
                    Err(_) => break,
                }
            }
            self.make_progress();
        }
        commands.close();
        while let Ok(command) = commands.try_recv() {
            command.reply.send(not_owner()).ok();
        }
        self.shut_down();
    }

    /// Returns the present time on the daemon's clock.
    pub(super) fn now(&self) -> Millis {
        self.context.clock.now()
    }

    /// Tells whether new work is accepted and placed.
    pub(super) fn is_serving(&self) -> bool {
        matches!(self.phase, OwnerPhase::Serving)
    }

    /// Stops this owner permanently, because another daemon owns the partition.
    pub(super) fn step_down(&mut self, superseded_by: magnolia_types::Epoch) {
        let (unit, epoch) = (&self.claim.unit, self.claim.epoch);
        log::warn!("{unit}: epoch {epoch} was superseded by epoch {superseded_by}");
        self.context.metrics.count(names::PARTITION_SUPERSEDED);
        self.phase = OwnerPhase::Stopped;
    }

    fn handle_event(&mut self, event: OwnerEvent) {
        if matches!(self.phase, OwnerPhase::Stopped) {
            return;
        }
        match event {
            OwnerEvent::Opened(journal) => self.start_serving(*journal),
            OwnerEvent::Exchanged(result) => self.handle_exchange(*result),
            OwnerEvent::Confirmed { asked, source } => self.handle_confirmation(asked, source),
            OwnerEvent::Appended(result) => {
                let outcome = self.committer.appended(result, self.now());
                self.handle_commit_outcome(outcome);
            }
            OwnerEvent::GapRead(records) => {
                let outcome = self.committer.gap_read(records.as_deref(), self.now());
                self.handle_commit_outcome(outcome);
            }
            OwnerEvent::Probed(answered) => self.committer.probed(answered, self.now()),
            OwnerEvent::OnceDone { key, outcome } => self.handle_once_outcome(&key, outcome),
            OwnerEvent::Superseded(epoch) => self.step_down(epoch),
            OwnerEvent::HandOver(reply) => self.begin_drain(reply),
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.record_proofs_of_end();
        self.expire_leases(now);
        self.expire_waiters(now);
        for task in self.retry_delays.expire(now) {
            self.enqueue_ready(&task.job);
        }
        if now >= self.next_placement_at {
            self.next_placement_at = now.saturating_add(PLACE_INTERVAL);
            self.placement_due = true;
            self.apply_listed_leaving();
            self.move_services();
            self.stop_removed();
        }
        if now >= self.next_forget_at {
            self.next_forget_at = now.saturating_add(FORGET_INTERVAL);
            self.table.forget(wall_clock());
            self.notes.retain(|job| self.table.get(job).is_some());
        }
        if now >= self.next_description_at {
            self.next_description_at = now.saturating_add(DESCRIBE_INTERVAL);
            let description = self.describe();
            *self
                .description
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = description;
        }
    }

    fn make_progress(&mut self) {
        if matches!(self.phase, OwnerPhase::Stopped) {
            return;
        }
        self.requeue_held();
        if self.placement_due && self.is_serving() {
            self.placement_due = false;
            self.place();
        }
        let now = self.now();
        if now >= self.next_exchange_round_at {
            self.next_exchange_round_at = now.saturating_add(EXCHANGE_ROUND_GAP);
            self.start_due_exchanges();
        }
        self.continue_journal();
        self.continue_drain();
    }

    /// Answers all callers that still wait.
    fn shut_down(&mut self) {
        self.context
            .partitions
            .retire(&self.claim.unit, self.claim.epoch);
        let (sent, unsent) = self.committer.take_waiters();
        for waiter in sent {
            // The record may have been written, and then the next owner runs the job.
            self.refuse_waiter(waiter, ResultCode::OutcomeUnknown, "the owner has changed");
        }
        for waiter in unsent {
            self.refuse_waiter(waiter, ResultCode::NotOwner, "the owner has changed");
        }
        let waits = std::mem::take(&mut self.job_waiters);
        for (_, reply) in waits.into_values().flatten() {
            reply.send(not_owner()).ok();
        }
        log::info!(
            "{}: the owner at epoch {} has stopped",
            self.claim.unit,
            self.claim.epoch
        );
    }
}

/// Returns the time since the Unix epoch. The journal needs it, because its times outlive the
/// daemon and its monotonic clock.
pub(super) fn wall_clock() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    Millis::new(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Creates the reply that refuses an operation.
pub(super) fn refused(code: ResultCode, message: &str) -> JobReply {
    JobReply::Refused {
        code,
        message: message.into(),
    }
}

fn not_owner() -> JobReply {
    refused(ResultCode::NotOwner, "the owner has stopped")
}
