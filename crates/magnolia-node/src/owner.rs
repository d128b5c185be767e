//! The session of an owner. It opens when the daemon's claim is stored, and closes when a later
//! claim becomes known.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use magnolia_scheduler::{
    AccountSummary, CellAction, CellRules, CellScheduler, ExecutorRecord, JobKey, JobRecord,
    QueueRules, ServiceName, StartAnswer, job_memory_share,
};
use magnolia_types::{DaemonId, Epoch, Millis};
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use crate::committer::Committer;
use crate::eligibility::EligibilityDaemons;
use crate::guarded_tasks::has_panicked;
use crate::newest_reader::NewestReader;
use crate::node::CellNode;
use crate::ownership_proof::{EvidenceSource, OwnershipProof};
use crate::peer_messages::PingRequest;
use crate::ports::{OrderError, StreamName, StreamRecord};

/// Interval between two passes over timeouts and other timed work of the scheduler.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two requested planning passes, so that one pass covers all runs that ended
/// in the same report.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(3);
/// Time without a ping after which a daemon no longer counts as live, and gets no eligibility
/// requests.
const MEMBER_TIMEOUT: Millis = Millis::new(1600);
/// Time without a further page of the jobs after which ownership is given up, if the store answers
/// other calls: several tries.
const READ_TIMEOUT: Millis = Millis::new(5000);
/// Delay before a failed call to the store is retried while the session opens.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval between two such requests to the earlier owners.
const EARLIER_OWNER_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which old ended jobs are forgotten and the summary is reported.
const FORGET_INTERVAL: Millis = Millis::new(5000);

/// Session of an owner.
pub(crate) struct OwnerSession {
    pub(crate) node: Arc<CellNode>,
    epoch: Epoch,
    scheduler: Mutex<CellScheduler>,
    pub(crate) committer: Committer,
    pub(crate) eligibility_daemons: EligibilityDaemons,
    plan_requested: Notify,
    /// Whether the session has loaded its state and serves callers.
    pub(crate) serving: AtomicBool,
    closed: watch::Sender<bool>,
    /// Time of the last ping from each daemon, and whether that daemon is stopping.
    last_pings: Mutex<BTreeMap<DaemonId, (Millis, bool)>>,
    /// Evidence that the claim is in force.
    pub(crate) proof: Mutex<OwnershipProof>,
    /// Executors with a running lease renewal loop.
    pub(crate) renewal_loops: Mutex<BTreeSet<magnolia_types::ExecutorId>>,
}

impl OwnerSession {
    /// Opens a session and starts its background tasks.
    pub(crate) fn open(node: Arc<CellNode>, epoch: Epoch) -> Arc<Self> {
        let mut settings = (*node.settings.scheduler).clone();
        if let Some(bytes) = node.smallest_memory() {
            settings = settings.with_job_memory_bytes(job_memory_share(bytes));
        }
        let proof = OwnershipProof::new(node.clock.now(), &settings);
        let scheduler = CellScheduler::new(settings, epoch);
        let session = Arc::new(Self {
            node,
            epoch,
            scheduler: Mutex::new(scheduler),
            committer: Committer::new(epoch),
            eligibility_daemons: EligibilityDaemons::new(),
            plan_requested: Notify::new(),
            serving: AtomicBool::new(false),
            closed: watch::Sender::new(false),
            last_pings: Mutex::default(),
            proof: Mutex::new(proof),
            renewal_loops: Mutex::default(),
        });
        session.spawn(Arc::clone(&session).start());
        session
    }

    /// Spawns a future that is dropped when the session closes. A panic of the future closes the
    /// session: what it was there for would not be done any more. The next owner reads the state
    /// from the store.
    pub(crate) fn spawn(self: &Arc<Self>, future: impl Future<Output = ()> + Send + 'static) {
        let session = Arc::clone(self);
        tokio::spawn(async move {
            let mut closed = session.closed.subscribe();
            tokio::select! {
                _ = closed.wait_for(|closed| *closed) => {}
                panicked = has_panicked(future) => {
                    if panicked {
                        session.close("one of its tasks panicked");
                    }
                }
            }
        });
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub(crate) fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Closes the session. Its tasks stop, so that no more orders are sent, and what is not stored
    /// yet is not acknowledged.
    pub(crate) fn close(&self, reason: &str) {
        if !self.closed.send_replace(true) {
            log::info!(epoch:% = self.epoch, reason = reason; "ownership ended");
            self.serving.store(false, Ordering::SeqCst);
            self.committer.abandon();
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, CellScheduler> {
        self.scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Millis {
        self.node.clock.now()
    }

    /// Requests a planning pass.
    pub(crate) fn request_plan(&self) {
        self.plan_requested.notify_one();
    }

    /// Fences earlier owners, loads jobs and executors, and begins to serve.
    async fn start(self: Arc<Self>) {
        let started = self.now();
        if !self.committer.open(&self).await {
            return;
        }
        let Some(records) = self.read_jobs().await else {
            return;
        };
        let jobs = self.load_jobs(&records);
        drop(records);
        if !self.confirm_claim().await {
            return;
        }
        self.spawn(Arc::clone(&self).confirm_periodically());
        self.apply_rules(self.node.rules());
        crate::inventory::load_inventory(&self).await;
        let took = self.now().saturating_sub(started);
        log::info!(epoch:% = self.epoch, jobs = jobs, took:% = took; "ownership taken");
        self.node.metrics.latency("takeover", took);
        self.serving.store(true, Ordering::SeqCst);
        self.spawn(crate::inventory::follow_inventory(Arc::clone(&self)));
        self.spawn(crate::committer::run_committer(Arc::clone(&self)));
        self.spawn(Arc::clone(&self).watch_earlier_owners());
        self.spawn(Arc::clone(&self).plan_loop());
        self.spawn(Arc::clone(&self).tick_loop());
    }

    /// Tells whether the claim of this session is still the newest after the jobs were read. An
    /// owner whose process was paused before the read may have read jobs that a later owner has
    /// accepted and started.
    async fn confirm_claim(&self) -> bool {
        let sent_at = loop {
            let sent_at = self.now();
            match self.node.catch_up().await {
                Ok(()) => break sent_at,
                Err(error) => log::warn!(error:% = error; "reading the claims failed; retrying"),
            }
            sleep(OPEN_RETRY_DELAY).await;
        };
        let current = self.node.cell.borrow().owner_epoch() == Some(self.epoch);
        if current {
            self.record_confirmation(sent_at);
        } else {
            self.close("a later claim was stored");
        }
        current
    }

    /// Finds out when no earlier owner sends orders any more, which the scheduler needs to know for
    /// executors that it can't reach.
    async fn watch_earlier_owners(self: Arc<Self>) {
        let claim = self.node.cell.borrow().owner.clone();
        let mut earlier = match claim {
            Some(claim) if claim.epoch == self.epoch => claim.earlier,
            _ => return,
        };
        while self.lock().awaits_earlier_owners() {
            let mut remaining = Vec::new();
            for claim in earlier {
                if !self.node.has_ended(&claim).await {
                    remaining.push(claim);
                }
            }
            if remaining.is_empty() {
                self.lock().apply_earlier_owners_ended(self.now());
                log::info!(epoch:% = self.epoch; "all earlier owners have ended");
                return;
            }
            earlier = remaining;
            sleep(EARLIER_OWNER_POLL_INTERVAL).await;
        }
    }

    /// Reads the stored executors and jobs. If no page arrives for [`READ_TIMEOUT`] although the store
    /// answers other calls, ownership is given up: another daemon may have a better link.
    async fn read_jobs(&self) -> Option<Vec<StreamRecord>> {
        let mut reader = NewestReader::new(StreamName::Jobs);
        let mut stalled: Option<(u64, Millis)> = None;
        loop {
            let Err(error) = reader.read(&self.node.store).await else {
                return Some(reader.finish().0);
            };
            log::warn!(error:% = error, pages = reader.pages();
                "reading the jobs failed; retrying");
            let answers = self.node.catch_up().await.is_ok();
            let now = self.now();
            let known = stalled.filter(|(pages, _)| answers && *pages == reader.pages());
            let (_, since) = *stalled.insert(known.unwrap_or((reader.pages(), now)));
            if now.saturating_sub(since) >= READ_TIMEOUT {
                self.node.abstain();
                self.close("the jobs can't be read");
                return None;
            }
            sleep(OPEN_RETRY_DELAY).await;
        }
    }

    /// Loads the stored executors and jobs into the scheduler; returns the number of jobs.
    fn load_jobs(&self, records: &[StreamRecord]) -> usize {
        let now = self.now();
        let mut scheduler = self.lock();
        let mut loaded = 0;
        for record in records {
            if record.key.starts_with(EXECUTOR_PREFIX) {
                match rmp_serde::from_slice::<ExecutorRecord>(&record.value) {
                    Ok(record) => scheduler.load_executor(record, now),
                    Err(error) => {
                        log::error!(key = &*record.key, error:% = error;
                            "unreadable executor record");
                    }
                }
                continue;
            }
            let Ok(key) = record.key.parse::<JobKey>() else {
                continue;
            };
            match JobRecord::decode(&record.value) {
                Ok(job) => {
                    let rules = stored_rules(&job);
                    scheduler.load(key, &job, &rules, now);
                    loaded += 1;
                }
                Err(error) => log::error!(job:% = key, error:% = error; "unreadable job record"),
            }
        }
        loaded
    }

    pub(crate) fn apply_rules(&self, rules: Arc<CellRules>) {
        self.lock().set_rules(rules);
        self.request_plan();
    }

    async fn plan_loop(self: Arc<Self>) {
        loop {
            self.plan_requested.notified().await;
            self.plan_now();
            sleep(MIN_PLAN_INTERVAL).await;
        }
    }

    async fn tick_loop(self: Arc<Self>) {
        let mut last_forget_at = self.now();
        let mut source = EvidenceSource::Store;
        loop {
            sleep(TICK_INTERVAL).await;
            let (now, unix_ms) = (self.now(), self.node.clock.unix_ms());
            source = self.update_evidence(now, source);
            {
                let mut scheduler = self.lock();
                scheduler.tick(now, unix_ms);
                if now.saturating_sub(last_forget_at) > FORGET_INTERVAL {
                    last_forget_at = now;
                    scheduler.forget_ended(unix_ms);
                    let summary = scheduler.summary(now);
                    drop(scheduler);
                    self.report_summary(&summary);
                }
            }
            self.plan_now();
            self.committer.withdraw_unsent(&self);
            self.committer.request_commit();
        }
    }

    /// Sets the gauges of the cell and logs its summary.
    fn report_summary(&self, summary: &magnolia_scheduler::CellSummary) {
        let metrics = &self.node.metrics;
        let gauge = |name, value: usize| metrics.gauge(name, u64::try_from(value).unwrap_or(0));
        gauge("live_jobs", summary.live_jobs);
        gauge("ready_steps", summary.ready_steps);
        gauge("waiting_advice", summary.waiting_advice);
        gauge("active_runs", summary.active_runs);
        gauge("usable_executors", summary.usable_executors);
        metrics.gauge("used_cpu_millis", summary.used_cpu);
        metrics.gauge("total_cpu_millis", summary.total_cpu);
        let by_account = |value: fn(&AccountSummary) -> u64| {
            let accounts = summary.accounts.iter();
            accounts
                .map(|account| (account.name.to_string(), value(account)))
                .collect()
        };
        metrics.account_gauge(
            "account_used_cpu_millis",
            by_account(|account| account.running.cpu_millis.get()),
        );
        metrics.account_gauge(
            "account_cap_cpu_millis",
            by_account(|account| account.cap.cpu_millis.get()),
        );
        metrics.account_gauge(
            "account_waiting_jobs",
            by_account(|account| u64::try_from(account.waiting_jobs).unwrap_or(0)),
        );
        metrics.account_gauge(
            "account_refused_jobs",
            by_account(|account| account.refused_share.saturating_add(account.refused_other)),
        );
        log::info!(live = summary.live_jobs, ready = summary.ready_steps,
            advice = summary.waiting_advice, runs = summary.active_runs,
            executors = summary.usable_executors, unsettled = summary.unsettled_executors,
            used_cpu = summary.used_cpu, total_cpu = summary.total_cpu; "cell summary");
    }

    /// Runs a planning pass and dispatches all actions that the scheduler has decided on.
    pub(crate) fn plan_now(self: &Arc<Self>) {
        let now = self.now();
        self.refresh_eligibility_daemons(now);
        let actions = {
            let isolated = self.is_isolated(now);
            let mut scheduler = self.lock();
            if !isolated {
                scheduler.plan(now);
            }
            scheduler.take_actions()
        };
        for action in actions {
            self.dispatch(action);
        }
    }

    fn refresh_eligibility_daemons(&self, now: Millis) {
        let live = self.live_names_at(now);
        let daemons = self
            .eligibility_daemons
            .numbers(&self.node.settings.name, &live);
        self.lock().set_eligibility_daemons(&daemons);
    }

    fn dispatch(self: &Arc<Self>, action: CellAction) {
        let session = Arc::clone(self);
        match action {
            CellAction::Start(order) => self.spawn(async move { session.send_start(order).await }),
            CellAction::Stop(order) => self.spawn(async move { session.send_stop(order).await }),
            CellAction::Pace(order) => self.spawn(async move { session.send_pace(order).await }),
            CellAction::RequestEligibility(order) => {
                self.spawn(crate::eligibility::run_request(Arc::clone(self), order));
            }
        }
    }

    fn address_of(&self, id: &magnolia_types::ExecutorId) -> Option<std::net::SocketAddr> {
        self.lock().executor_address(id)
    }

    async fn send_start(self: Arc<Self>, order: magnolia_scheduler::StartOrder) {
        let Some(address) = self.address_of(&order.executor) else {
            return;
        };
        self.node.metrics.count("starts");
        let sent = self.now();
        let ports = &self.node.ports.executors;
        let reply = ports.start(address, &order).await;
        let answer = reply.answer;
        let now = self.now();
        self.node.metrics.latency("start", now.saturating_sub(sent));
        if answer != StartAnswer::Started {
            self.node.metrics.count("starts_not_confirmed");
            log::info!(task:% = order.task, run:% = order.run, executor:% = order.executor,
                answer:? = answer; "start not confirmed");
        }
        let mut scheduler = self.lock();
        scheduler.apply_start(&order, answer, now);
        if let Some(clock) = reply.clock {
            scheduler.check_clock(&order, clock, sent, now);
        }
        drop(scheduler);
        if answer != StartAnswer::Started {
            self.request_plan();
        }
    }

    async fn send_stop(self: Arc<Self>, order: magnolia_scheduler::StopOrder) {
        let Some(address) = self.address_of(&order.executor) else {
            return;
        };
        self.node.metrics.count("stops");
        let result = self.node.ports.executors.stop(address, &order).await;
        let fenced = result == Err(OrderError::Fenced);
        if let Err(error) = &result {
            log::info!(task:% = order.task, run:% = order.run, executor:% = order.executor,
                error:% = error; "stop not confirmed");
        }
        let mut scheduler = self.lock();
        if fenced {
            scheduler.apply_fence(&order.executor, order.token, self.now());
        }
        scheduler.apply_stop(&order, result.is_ok());
    }

    async fn send_pace(self: Arc<Self>, order: magnolia_scheduler::PaceOrder) {
        let Some(address) = self.address_of(&order.executor) else {
            return;
        };
        self.node.metrics.count("paces");
        if let Err(error) = self.node.ports.executors.pace(address, &order).await {
            log::info!(task:% = order.task, executor:% = order.executor, percent = order.percent,
                error:% = error; "change of the CPU share not confirmed");
        }
    }

    /// Records a ping from another daemon.
    pub(crate) fn record_ping(&self, ping: &PingRequest) {
        let now = self.now();
        let mut last_pings = self
            .last_pings
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_pings.insert(ping.name.clone(), (now, ping.stopping));
    }

    /// Returns the daemons that pinged recently and are not stopping, and this daemon.
    pub(crate) fn live_names(&self) -> Vec<DaemonId> {
        self.live_names_at(self.now())
    }

    fn live_names_at(&self, now: Millis) -> Vec<DaemonId> {
        let last_pings = self
            .last_pings
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let recent = last_pings
            .iter()
            .filter(|(_, (at, stopping))| !stopping && now.saturating_sub(*at) < MEMBER_TIMEOUT);
        let mut names: Vec<DaemonId> = recent.map(|(name, _)| name.clone()).collect();
        names.push(self.node.settings.name.clone());
        names
    }
}

/// Returns the queue rules of a stored job. Of the rules of an ended job only the queue's name is
/// stored; the other fields get placeholders.
fn stored_rules(job: &JobRecord) -> Arc<QueueRules> {
    match job {
        JobRecord::Live(live) => Arc::clone(&live.rules),
        JobRecord::Ended(ended) => Arc::new(QueueRules {
            name: ended.queue.clone(),
            host: "".into(),
            path: "".into(),
            service: placeholder_service(),
            priority: u32::MAX,
            max_attempts: 1,
            stretch_permille: 1000,
            latency_target: Millis::new(0),
            advice: None,
            public: false,
        }),
    }
}

/// Returns the placeholder for the service of an ended job, which is never called.
fn placeholder_service() -> ServiceName {
    #[expect(clippy::expect_used, reason = "the literal is a valid name")]
    ServiceName::new("none").expect("valid name")
}

/// Prefix of the keys of executor records.
pub(crate) const EXECUTOR_PREFIX: &str = "executor/";

/// Encodes the record of an executor in use; without one, the record deletes the key.
pub(crate) fn executor_record(
    id: &magnolia_types::ExecutorId,
    record: Option<&ExecutorRecord>,
) -> Option<StreamRecord> {
    let value = match record.map(rmp_serde::to_vec) {
        None => Vec::new(),
        Some(Ok(value)) => value,
        Some(Err(error)) => {
            log::error!(executor:% = id, error:% = error; "can't encode executor record");
            return None;
        }
    };
    let key = format!("{EXECUTOR_PREFIX}{id}").into();
    Some(StreamRecord { key, value })
}

/// Encodes the record of a job; without one, the record deletes the key.
pub(crate) fn job_record(key: JobKey, job: Option<&JobRecord>) -> Option<StreamRecord> {
    let value = match job.map(JobRecord::encode) {
        None => Vec::new(),
        Some(Ok(value)) => value,
        Some(Err(error)) => {
            log::error!(job:% = key, error:% = error; "can't encode job record");
            return None;
        }
    };
    let key = key.to_string().into();
    Some(StreamRecord { key, value })
}
