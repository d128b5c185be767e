//! The owner of one partition: its state and its event loop.
//!
//! The loop never waits for the log or a worker. Calls run in tasks of their own and come back as
//! events, so that a silent worker or a slow log holds nothing else up.

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
use super::events::{JournalWaiter, OnceKey, OwnerCommand, OwnerEvent, ReplySender};
use super::opening::stream_of;
use super::placement_notes::PlacementNotes;
use super::retry_delays::RetryDelays;
use super::worker_link::WorkerLink;
use crate::context::DaemonContext;
use crate::metrics::names;

/// Time between two looks at leases, renewals and deadlines.
const TICK: Duration = Duration::from_millis(20);
/// Shortest time between two looks at all workers, so that events of many share one.
const DRIVE_GAP: Millis = Millis::new(5);
/// Time between two descriptions for the state dump.
const DESCRIBE_INTERVAL: Millis = Millis::new(500);
/// Time between two rounds of forgetting.
const FORGET_INTERVAL: Millis = Millis::from_secs(10);
/// Time between two placements without a change, for rules that depend on time.
const PLACE_INTERVAL: Millis = Millis::new(250);
/// Most events that are taken in before the workers and the log are looked after.
const EVENT_BATCH: usize = 256;

/// Where the owner is in its life.
pub(super) enum OwnerPhase {
    /// The journal is being read.
    Opening,
    /// Serves.
    Serving,
    /// Finishes what is in flight before a handover.
    Draining(DrainState),
    /// Sends nothing more.
    Stopped,
}

/// A planned stop in progress.
pub(super) struct DrainState {
    pub(super) reply: Option<oneshot::Sender<Option<Handover>>>,
    pub(super) deadline: Millis,
    pub(super) has_snapshot: bool,
}

/// An attempt that may run.
pub(super) struct OwnedAttempt {
    pub(super) task: TaskRef,
    pub(super) worker: WorkerId,
}

/// State of the owner.
pub(super) struct PartitionOwner {
    pub(super) context: Arc<DaemonContext>,
    pub(super) claim: ClaimRecord,
    pub(super) partition: Arc<str>,
    pub(super) stream: Arc<str>,
    pub(super) events: mpsc::UnboundedSender<OwnerEvent>,
    pub(super) phase: OwnerPhase,
    pub(super) table: JobTable,
    pub(super) engine: Box<dyn PlacementEngine>,
    pub(super) book: LeaseTable,
    pub(super) tracker: TakeoverTracker,
    pub(super) links: BTreeMap<WorkerId, WorkerLink>,
    pub(super) committer: JournalCommitter<JournalWaiter>,
    pub(super) attempts: HashMap<AttemptId, OwnedAttempt>,
    /// Ended attempts whose record is on the way to the log.
    pub(super) journalling: BTreeSet<AttemptId>,
    /// Answers to fences from before the journal was open.
    pub(super) early_reports: BTreeMap<WorkerId, (WorkerReport, Millis)>,
    /// Attempts that only the journal knows, by worker.
    pub(super) unseen: BTreeMap<WorkerId, Vec<(TaskRef, AttemptId)>>,
    pub(super) waits: BTreeMap<JobId, Vec<(Millis, ReplySender)>>,
    pub(super) submits: BTreeMap<JobId, Vec<ReplySender>>,
    pub(super) submit_keys: BTreeMap<OnceKey, (u64, JobId)>,
    pub(super) once_running: BTreeMap<OnceKey, Option<ReplySender>>,
    /// Starts of tasks that may not repeat, whose intents are on the way to the log.
    pub(super) intents: HashMap<AttemptId, StartCommand>,
    /// Jobs that may not repeat and wait for the log.
    pub(super) held: BTreeSet<JobId>,
    /// Tasks that wait before their next attempt.
    pub(super) delays: RetryDelays,
    pub(super) notes: PlacementNotes,
    pub(super) lease: Millis,
    pub(super) start_window: Millis,
    /// When the question for the claim in flight was asked.
    pub(super) confirming: Option<Millis>,
    pub(super) confirm_after: Millis,
    pub(super) confirmed: ConfirmationTimes,
    pub(super) place_due: bool,
    pub(super) snapshots: u64,
    drive_at: Millis,
    description: Arc<Mutex<Value>>,
    describe_at: Millis,
    forget_at: Millis,
    place_at: Millis,
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
            stream: stream_of(&partition).into(),
            engine: new_engine(&document),
            phase: OwnerPhase::Opening,
            table: JobTable::new(),
            book: LeaseTable::new(),
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
            journalling: BTreeSet::new(),
            early_reports: BTreeMap::new(),
            unseen: BTreeMap::new(),
            waits: BTreeMap::new(),
            submits: BTreeMap::new(),
            submit_keys: BTreeMap::new(),
            once_running: BTreeMap::new(),
            intents: HashMap::new(),
            held: BTreeSet::new(),
            delays: RetryDelays::new(),
            notes: PlacementNotes::new(),
            lease: document.rules.lease_ms,
            start_window: document.rules.start_window_ms,
            confirming: None,
            confirm_after: zero,
            confirmed: ConfirmationTimes::default(),
            place_due: false,
            snapshots: 0,
            drive_at: zero,
            description,
            describe_at: zero,
            forget_at: now.saturating_add(FORGET_INTERVAL),
            place_at: zero,
            context,
            claim,
            partition,
            events,
        };
        let workers = owner.take_inventory(&document);
        owner.tracker = TakeoverTracker::new(owner.claim.epoch, owner.lease, workers.clone());
        // The placement has to know the inventory before the first job is checked against it.
        workers.iter().for_each(|worker| owner.update_view(worker));
        owner
    }

    /// Serves until another owner holds the partition or it is handed over.
    pub(super) async fn run(
        mut self,
        mut commands: mpsc::Receiver<OwnerCommand>,
        mut events: mpsc::UnboundedReceiver<OwnerEvent>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut config: watch::Receiver<_> = self.context.config.subscribe();
        config.mark_changed();
        while !matches!(self.phase, OwnerPhase::Stopped) {
            tokio::select! {
                Some(event) = events.recv() => self.take_event(event),
                Some(command) = commands.recv() => self.answer(command),
                Ok(()) = config.changed() => {
                    let document = config.borrow_and_update().document.clone();
                    document.iter().for_each(|document| self.take_config(document));
                }
                _ = ticks.tick() => self.tick(),
            }
            for _ in 0..EVENT_BATCH {
                match events.try_recv() {
                    Ok(event) => self.take_event(event),
                    Err(_) => break,
                }
            }
            for _ in 0..EVENT_BATCH {
                match commands.try_recv() {
                    Ok(command) => self.answer(command),
                    Err(_) => break,
                }
            }
            self.act();
        }
        commands.close();
        while let Ok(command) = commands.try_recv() {
            command.reply.send(not_owner()).ok();
        }
        self.finish();
    }

    /// Returns the present time on the daemon's clock.
    pub(super) fn now(&self) -> Millis {
        self.context.clock.now()
    }

    /// Tells whether new work is taken and placed.
    pub(super) fn is_serving(&self) -> bool {
        matches!(self.phase, OwnerPhase::Serving)
    }

    /// Ends for good because another owner holds the partition.
    pub(super) fn step_down(&mut self, superseded_by: magnolia_types::Epoch) {
        let (unit, epoch) = (&self.claim.unit, self.claim.epoch);
        log::warn!("{unit}: epoch {epoch} is superseded by {superseded_by}");
        self.context.metrics.count(names::PARTITION_SUPERSEDED);
        self.phase = OwnerPhase::Stopped;
    }

    fn take_event(&mut self, event: OwnerEvent) {
        if matches!(self.phase, OwnerPhase::Stopped) {
            return;
        }
        match event {
            OwnerEvent::Opened(journal) => self.opened(*journal),
            OwnerEvent::Exchanged(result) => self.take_exchange(*result),
            OwnerEvent::Confirmed { asked, source } => self.claim_confirmed(asked, source),
            OwnerEvent::Appended(result) => {
                let outcome = self.committer.appended(result, self.now());
                self.take_commit(outcome);
            }
            OwnerEvent::GapRead(records) => {
                let outcome = self.committer.gap_read(records.as_deref(), self.now());
                self.take_commit(outcome);
            }
            OwnerEvent::Probed(answered) => self.committer.probed(answered, self.now()),
            OwnerEvent::OnceDone { key, outcome } => self.once_done(&key, outcome),
            OwnerEvent::Superseded(epoch) => self.step_down(epoch),
            OwnerEvent::HandOver(reply) => self.begin_drain(reply),
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.prove_earlier_ends();
        self.expire_leases(now);
        self.expire_waits(now);
        for task in self.delays.expire(now) {
            self.enqueue_ready(&task.job);
        }
        if now >= self.place_at {
            self.place_at = now.saturating_add(PLACE_INTERVAL);
            self.place_due = true;
            self.take_leaving();
            self.move_services();
            self.stop_removed();
        }
        if now >= self.forget_at {
            self.forget_at = now.saturating_add(FORGET_INTERVAL);
            self.table.forget(wall_clock());
            self.notes.retain(|job| self.table.get(job).is_some());
        }
        if now >= self.describe_at {
            self.describe_at = now.saturating_add(DESCRIBE_INTERVAL);
            let description = self.describe();
            *self
                .description
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = description;
        }
    }

    fn act(&mut self) {
        if matches!(self.phase, OwnerPhase::Stopped) {
            return;
        }
        self.release_held();
        if self.place_due && self.is_serving() {
            self.place_due = false;
            self.place();
        }
        let now = self.now();
        if now >= self.drive_at {
            self.drive_at = now.saturating_add(DRIVE_GAP);
            self.drive_workers();
        }
        self.drive_journal();
        self.drive_drain();
    }

    /// Answers everybody who still waits.
    fn finish(&mut self) {
        self.context
            .partitions
            .retire(&self.claim.unit, self.claim.epoch);
        let (sent, unsent) = self.committer.abandon();
        for waiter in sent {
            // The record may count for the next owner, who would run the job.
            self.refuse_waiter(waiter, ResultCode::OutcomeUnknown, "the owner has changed");
        }
        for waiter in unsent {
            self.refuse_waiter(waiter, ResultCode::NotOwner, "the owner has changed");
        }
        let waits = std::mem::take(&mut self.waits);
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

/// Returns the wall-clock time since the Unix epoch; times in the journal outlive the daemon.
pub(super) fn wall_clock() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    Millis::new(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Makes a refusal.
pub(super) fn refused(code: ResultCode, message: &str) -> JobReply {
    JobReply::Refused {
        code,
        message: message.into(),
    }
}

fn not_owner() -> JobReply {
    refused(ResultCode::NotOwner, "the owner has stopped")
}
