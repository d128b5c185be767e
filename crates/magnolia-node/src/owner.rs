//! One session of ownership: from the stored claim to the next claim by another daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use magnolia_scheduler::{
    CellAction, CellRules, CellScheduler, ExecutorRecord, JobKey, JobRecord, QueueRules,
    ServiceName, StartAnswer,
};
use magnolia_types::{DaemonId, Epoch, Millis};
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use crate::advisers::AdviserBook;
use crate::committer::Committer;
use crate::inner::PingCall;
use crate::node::CellNode;
use crate::ports::{OrderError, StoreError, StreamName, StreamRecord};

/// Time between two passes over what is due by time.
const TICK: Duration = Duration::from_millis(100);
/// Shortest time between two passes over what can start; gathers the ends of one answer.
const PLAN_GAP: Duration = Duration::from_millis(3);
/// Silence after which a daemon is not sent calls for eligibility.
const MEMBER_SILENCE: Millis = Millis::new(1600);
/// Pause after a failed call to the store while the session opens.
const OPEN_PAUSE: Duration = Duration::from_millis(100);
/// Time for which the earlier owner is asked; unreachable executors are given up after it anyway.
const PREDECESSOR_WATCH: Millis = Millis::new(8000);
/// Time between two questions to the earlier owner.
const PREDECESSOR_PAUSE: Duration = Duration::from_millis(300);
/// Time between two passes over ended jobs.
const FORGET_INTERVAL: Millis = Millis::new(5000);

/// Session of the owner.
pub(crate) struct OwnerSession {
    pub(crate) node: Arc<CellNode>,
    epoch: Epoch,
    scheduler: Mutex<CellScheduler>,
    pub(crate) committer: Committer,
    pub(crate) advisers: AdviserBook,
    plan_wanted: Notify,
    pub(crate) serving: AtomicBool,
    closed: watch::Sender<bool>,
    pings: Mutex<BTreeMap<DaemonId, (Millis, bool)>>,
    /// Executors with a running loop.
    pub(crate) loops: Mutex<BTreeSet<magnolia_types::ExecutorId>>,
}

impl OwnerSession {
    /// Starts a session.
    pub(crate) fn open(node: Arc<CellNode>, epoch: Epoch) -> Arc<Self> {
        let settings = (*node.settings.scheduler).clone();
        let scheduler = CellScheduler::new(settings, epoch);
        let session = Arc::new(Self {
            node,
            epoch,
            scheduler: Mutex::new(scheduler),
            committer: Committer::new(epoch),
            advisers: AdviserBook::new(),
            plan_wanted: Notify::new(),
            serving: AtomicBool::new(false),
            closed: watch::Sender::new(false),
            pings: Mutex::default(),
            loops: Mutex::default(),
        });
        session.spawn(Arc::clone(&session).start());
        session
    }

    /// Runs a future until it ends or the session closes.
    pub(crate) fn spawn(self: &Arc<Self>, future: impl Future<Output = ()> + Send + 'static) {
        let mut closed = self.closed.subscribe();
        tokio::spawn(async move {
            tokio::select! {
                _ = closed.wait_for(|closed| *closed) => {}
                () = future => {}
            }
        });
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub(crate) fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Ends the session; nothing is ordered or acknowledged after it.
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

    /// Asks for a pass over what can start.
    pub(crate) fn want_plan(&self) {
        self.plan_wanted.notify_one();
    }

    async fn start(self: Arc<Self>) {
        let started = self.now();
        if !self.committer.open(&self).await {
            return;
        }
        let jobs = loop {
            match self.load_jobs().await {
                Ok(jobs) => break jobs,
                Err(error) => log::warn!(error:% = error; "jobs not read; trying again"),
            }
            sleep(OPEN_PAUSE).await;
        };
        if !self.confirm_claim().await {
            return;
        }
        self.take_rules(self.node.rules());
        crate::inventory::load_until_done(&self).await;
        let took = self.now().saturating_sub(started);
        log::info!(epoch:% = self.epoch, jobs = jobs, took:% = took; "ownership taken");
        self.node.metrics.latency("takeover", took);
        self.serving.store(true, Ordering::SeqCst);
        self.spawn(crate::inventory::follow_inventory(Arc::clone(&self)));
        self.spawn(crate::committer::run_committer(Arc::clone(&self)));
        self.spawn(Arc::clone(&self).watch_predecessors());
        self.spawn(Arc::clone(&self).plan_loop());
        self.spawn(Arc::clone(&self).tick_loop());
    }

    /// Tells whether no later claim was stored before the jobs were read. An owner that was frozen in
    /// between may have read jobs that a later one has accepted and started.
    async fn confirm_claim(&self) -> bool {
        while let Err(error) = self.node.catch_up().await {
            log::warn!(error:% = error; "claims not read; trying again");
            sleep(OPEN_PAUSE).await;
        }
        let current = self.node.cell.borrow().owner_epoch() == Some(self.epoch);
        if !current {
            self.close("a later claim was stored");
        }
        current
    }

    /// Finds out when the earlier owner gives no orders any more, for executors that can't be asked.
    async fn watch_predecessors(self: Arc<Self>) {
        let claim = self.node.cell.borrow().owner.clone();
        let mut earlier = match claim {
            Some(claim) if claim.epoch == self.epoch => claim.earlier,
            _ => return,
        };
        let limit = self.now().saturating_add(PREDECESSOR_WATCH);
        while self.now() < limit {
            let mut open = Vec::new();
            for claim in earlier {
                if !self.node.has_ended(&claim).await {
                    open.push(claim);
                }
            }
            if open.is_empty() {
                self.lock().apply_predecessor_ended(self.now());
                log::info!(epoch:% = self.epoch; "no earlier owner gives orders any more");
                return;
            }
            earlier = open;
            sleep(PREDECESSOR_PAUSE).await;
        }
    }

    async fn load_jobs(&self) -> Result<usize, StoreError> {
        let (records, _) = self.node.store.read_all(StreamName::Jobs).await?;
        let now = self.now();
        let mut scheduler = self.lock();
        let mut loaded = 0;
        for record in &records {
            if record.key.starts_with(EXECUTOR_PREFIX) {
                match rmp_serde::from_slice::<ExecutorRecord>(&record.value) {
                    Ok(record) => scheduler.load_executor(record, now),
                    Err(error) => {
                        log::error!(key = &*record.key, error:% = error; "stored executor not read");
                    }
                }
                continue;
            }
            let Ok(key) = record.key.parse::<JobKey>() else {
                continue;
            };
            match JobRecord::decode(&record.value) {
                Ok(job) => {
                    let rules = ended_rules(&job);
                    scheduler.load(key, &job, &rules, now);
                    loaded += 1;
                }
                Err(error) => log::error!(job:% = key, error:% = error; "stored job not read"),
            }
        }
        Ok(loaded)
    }

    pub(crate) fn take_rules(&self, rules: Arc<CellRules>) {
        self.lock().set_rules(rules);
        self.want_plan();
    }

    async fn plan_loop(self: Arc<Self>) {
        loop {
            self.plan_wanted.notified().await;
            self.plan_now();
            sleep(PLAN_GAP).await;
        }
    }

    async fn tick_loop(self: Arc<Self>) {
        let mut forgotten_at = self.now();
        loop {
            sleep(TICK).await;
            let (now, unix_ms) = (self.now(), self.node.clock.unix_ms());
            {
                let mut scheduler = self.lock();
                scheduler.tick(now, unix_ms);
                if now.saturating_sub(forgotten_at) > FORGET_INTERVAL {
                    forgotten_at = now;
                    scheduler.forget_ended(unix_ms);
                    let summary = scheduler.summary(now);
                    drop(scheduler);
                    self.report_summary(&summary);
                }
            }
            self.plan_now();
            self.committer.withdraw_unsent(&self);
            self.committer.want();
        }
    }

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
        log::info!(live = summary.live_jobs, ready = summary.ready_steps,
            advice = summary.waiting_advice, runs = summary.active_runs,
            executors = summary.usable_executors, unsettled = summary.unsettled_executors,
            used_cpu = summary.used_cpu, total_cpu = summary.total_cpu; "cell summary");
    }

    /// Starts what can start, and sends all orders that were decided.
    pub(crate) fn plan_now(self: &Arc<Self>) {
        let now = self.now();
        self.refresh_advisers(now);
        let (actions, superseded) = {
            let mut scheduler = self.lock();
            scheduler.plan(now);
            (scheduler.take_actions(), scheduler.is_superseded())
        };
        if superseded {
            self.close("an executor has seen a later epoch");
            return;
        }
        for action in actions {
            self.perform(action);
        }
    }

    fn refresh_advisers(&self, now: Millis) {
        let live = self.live_at(now);
        let daemons = self.advisers.numbers(&self.node.settings.name, &live);
        self.lock().set_advisers(&daemons);
    }

    fn perform(self: &Arc<Self>, action: CellAction) {
        let session = Arc::clone(self);
        match action {
            CellAction::Start(order) => self.spawn(async move { session.send_start(order).await }),
            CellAction::Stop(order) => self.spawn(async move { session.send_stop(order).await }),
            CellAction::Pace(order) => self.spawn(async move { session.send_pace(order).await }),
            CellAction::Advise(order) => {
                self.spawn(crate::advisers::ask(Arc::clone(self), order));
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
        let answer = ports.start(address, self.epoch, &order).await;
        let now = self.now();
        self.node.metrics.latency("start", now.saturating_sub(sent));
        if answer != StartAnswer::Started {
            self.node.metrics.count("starts_not_confirmed");
            log::info!(task:% = order.task, run:% = order.run, executor:% = order.executor,
                answer:? = answer; "start not confirmed");
        }
        let mut scheduler = self.lock();
        scheduler.apply_start(&order, answer, now);
        drop(scheduler);
        if answer != StartAnswer::Started {
            self.want_plan();
        }
    }

    async fn send_stop(self: Arc<Self>, order: magnolia_scheduler::StopOrder) {
        let Some(address) = self.address_of(&order.executor) else {
            return;
        };
        self.node.metrics.count("stops");
        let result = self
            .node
            .ports
            .executors
            .stop(address, self.epoch, &order)
            .await;
        let fenced = result == Err(OrderError::Fenced);
        if let Err(error) = &result {
            log::info!(task:% = order.task, run:% = order.run, executor:% = order.executor,
                error:% = error; "stop not confirmed");
        }
        self.lock().apply_stop(&order, result.is_ok(), fenced);
    }

    async fn send_pace(self: Arc<Self>, order: magnolia_scheduler::PaceOrder) {
        let Some(address) = self.address_of(&order.executor) else {
            return;
        };
        self.node.metrics.count("paces");
        if let Err(error) = self
            .node
            .ports
            .executors
            .pace(address, self.epoch, &order)
            .await
        {
            log::info!(task:% = order.task, executor:% = order.executor, percent = order.percent,
                error:% = error; "pace not confirmed");
        }
    }

    /// Records a sign of life of another daemon.
    pub(crate) fn note_ping(&self, ping: &PingCall) {
        let now = self.now();
        let mut pings = self.pings.lock().unwrap_or_else(PoisonError::into_inner);
        pings.insert(ping.name.clone(), (now, ping.stopping));
    }

    /// Returns the daemons heard from lately that do not stop, this one included.
    pub(crate) fn live_names(&self) -> Vec<DaemonId> {
        self.live_at(self.now())
    }

    fn live_at(&self, now: Millis) -> Vec<DaemonId> {
        let pings = self.pings.lock().unwrap_or_else(PoisonError::into_inner);
        let recent = pings
            .iter()
            .filter(|(_, (at, stopping))| !stopping && now.saturating_sub(*at) < MEMBER_SILENCE);
        let mut names: Vec<DaemonId> = recent.map(|(name, _)| name.clone()).collect();
        names.push(self.node.settings.name.clone());
        names
    }

    /// Tells whether neither the store nor a peer was in touch lately, so that another daemon may
    /// own the cell; leases are not renewed then.
    pub(crate) fn is_isolated(&self) -> bool {
        let now = self.now();
        let limit = self.node.settings.scheduler.isolation_limit;
        let store_silent = now.saturating_sub(self.node.store.reached_at()) > limit;
        let alone = self.node.cell.borrow().members.len() <= 1;
        let pings = self.pings.lock().unwrap_or_else(PoisonError::into_inner);
        let heard = pings.values().map(|(at, _)| *at).max().unwrap_or_default();
        store_silent && !alone && now.saturating_sub(heard) > limit
    }
}

/// Returns rules that name the queue of a stored job.
fn ended_rules(job: &JobRecord) -> Arc<QueueRules> {
    match job {
        JobRecord::Live(live) => Arc::clone(&live.rules),
        JobRecord::Ended(ended) => Arc::new(QueueRules {
            name: ended.queue.clone(),
            host: "".into(),
            path: "".into(),
            service: unused_service(),
            priority: u32::MAX,
            max_attempts: 1,
            stretch_permille: 1000,
            latency_target: Millis::new(0),
            advice: None,
        }),
    }
}

/// Service of a job that starts nothing any more.
fn unused_service() -> ServiceName {
    #[expect(clippy::expect_used, reason = "the literal is a valid name")]
    ServiceName::new("none").expect("valid name")
}

/// Prefix of the keys of executors in use.
const EXECUTOR_PREFIX: &str = "executor/";

/// Makes the record of an executor that comes into use, or goes out of it.
pub(crate) fn executor_record(
    id: &magnolia_types::ExecutorId,
    record: Option<&ExecutorRecord>,
) -> Option<StreamRecord> {
    let value = match record.map(rmp_serde::to_vec) {
        None => Vec::new(),
        Some(Ok(value)) => value,
        Some(Err(error)) => {
            log::error!(executor:% = id, error:% = error; "executor not stored");
            return None;
        }
    };
    let key = format!("{EXECUTOR_PREFIX}{id}").into();
    Some(StreamRecord { key, value })
}

/// Makes the record of a job.
pub(crate) fn job_record(key: JobKey, job: Option<&JobRecord>) -> Option<StreamRecord> {
    let value = match job.map(JobRecord::encode) {
        None => Vec::new(),
        Some(Ok(value)) => value,
        Some(Err(error)) => {
            log::error!(job:% = key, error:% = error; "job not stored");
            return None;
        }
    };
    let key = key.to_string().into();
    Some(StreamRecord { key, value })
}
