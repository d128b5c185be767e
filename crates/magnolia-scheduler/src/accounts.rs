//! How client accounts bound what the scheduler starts and accepts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use magnolia_types::{Millis, ResourceVector};

use crate::account_limits::{can_fit_cap, raise_cap, tasks_below_cap};
use crate::account_table::{AccountState, AccountSummary};
use crate::cell::CellScheduler;
use crate::executor_state::{ActiveRun, RunCharge};
use crate::executors::ExecutorIndex;
use crate::job::JobState;
use crate::planning::PREEMPTING_PRIORITY;
use crate::record::JobRecord;
use crate::step::TaskPhase;
use crate::{
    AccountName, AccountRules, JobKey, JobSpec, RunNumber, SharePosition, StepRef, TaskRef,
};

/// Time after which a run that an earlier owner was stopping has ended: the longest lease, and the
/// time by which the clocks of two owners may differ.
const STOPPING_TIME: Millis = Millis::new(15_000);
/// Shortest time between two updates of what runs of earlier owners may take.
const UNLOCATED_INTERVAL: Millis = Millis::new(20);

/// For whom a caller reads or cancels jobs.
#[derive(Clone, Copy, Debug)]
pub enum AccountAccess<'a> {
    /// Any job: the configuration has no client accounts, or the queue is public.
    Any,
    /// The jobs of one account, and those without an account.
    Account(&'a AccountName),
}

/// Resources that runs of earlier owners may take for one account.
#[derive(Clone, Copy, Debug, Default)]
struct UnlocatedLoad {
    /// Tasks that reserve all that they need. Together they fit into the executors on which they may
    /// run.
    reserving: ResourceVector,
    /// Other tasks, whose executors have no such bound.
    other: ResourceVector,
}

impl CellScheduler {
    /// Most accounts in a summary: it is sent to operators and becomes labels of metrics.
    pub const MAX_ACCOUNT_SUMMARIES: usize = 32;

    /// Returns the most resources that the tasks of an account may take; an amount of zero is no
    /// limit. An account that is no longer configured keeps its last limits for the jobs that it has.
    pub(crate) fn account_cap(&self, name: &AccountName) -> ResourceVector {
        let Some(directory) = &self.rules.accounts else {
            return ResourceVector::default();
        };
        let configured = directory.get(name);
        let last = || self.accounts.get(name).map(|state| &state.last_rules);
        let tolerance = self.settings.cap_tolerance_permille;
        configured
            .or_else(last)
            .map(|rules| raise_cap(&rules.cap, tolerance))
            .unwrap_or_default()
    }

    /// Returns the number of the first step that could never start below the limits of an account.
    pub(crate) fn step_above_cap(&self, account: &AccountRules, spec: &JobSpec) -> Option<u16> {
        let directory = self.rules.accounts.as_ref()?;
        let rules = directory.get(&account.name);
        let cap = rules.map_or(account.cap, |rules| rules.cap);
        let cap = raise_cap(&cap, self.settings.cap_tolerance_permille);
        (0u16..)
            .zip(&spec.steps)
            .find(|(_, step)| {
                let together = if step.gang { step.tasks } else { 1 };
                !can_fit_cap(&cap, &step.need, together)
            })
            .map(|(number, _)| number)
    }

    /// Returns how many tasks of a step its account may start now.
    pub(crate) fn startable_below_cap(&self, step: StepRef, now: Millis) -> usize {
        let unlimited = usize::MAX;
        let Some(job) = self.jobs.get(&step.job) else {
            return unlimited;
        };
        let Some(account) = &job.account else {
            return unlimited;
        };
        let Some((state, spec)) = self.accounts.get(&account.name).zip(self.step_spec(step)) else {
            return unlimited;
        };
        let cap = self.account_cap(&account.name);
        let mut load = state.load;
        if job.rules.priority != PREEMPTING_PRIORITY {
            let limit = cap.cpu_millis.get();
            let together = if spec.gang { spec.tasks } else { 1 };
            let needed = times(&spec.need, together).cpu_millis.get();
            let demand = &state.urgent_demand;
            let kept = demand.kept_free(limit, state.urgent_millis, needed, now);
            load.kept_free = ResourceVector::new(kept, 0, 0);
        }
        let tasks = tasks_below_cap(&cap, &load, &spec.need);
        usize::try_from(tasks).unwrap_or(unlimited)
    }

    /// Returns the account of a step if the account may start no task of it now, or not its whole
    /// gang.
    pub(crate) fn account_at_cap(&self, step: StepRef, now: Millis) -> Option<AccountName> {
        let account = self.jobs.get(&step.job)?.account.as_ref()?;
        let spec = self.step_spec(step)?;
        let needed = if spec.gang {
            usize::try_from(spec.tasks).unwrap_or(usize::MAX)
        } else {
            1
        };
        (self.startable_below_cap(step, now) < needed).then(|| account.name.clone())
    }

    /// Adds a run to an executor and counts it for its account.
    pub(crate) fn add_run(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        active: ActiveRun,
    ) {
        let job = self.jobs.get(&task.step.job);
        let account = job.and_then(|job| job.account.as_ref());
        let need = self.step_spec(task.step).map(|spec| spec.need);
        let charge = account.zip(need).map(|(account, need)| RunCharge {
            account: account.name.clone(),
            need,
            urgent: job.is_some_and(|job| job.rules.priority == PREEMPTING_PRIORITY),
        });
        if let Some(charge) = &charge {
            self.accounts.charge(charge);
        }
        let active = active.with_charge(charge);
        let executor = self.executors.get_mut(executor_index);
        executor.add_run(task, run, active);
    }

    /// Removes a run from an executor and from its account.
    pub(crate) fn take_run(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        now: Millis,
    ) -> Option<ActiveRun> {
        let executor = self.executors.get_mut(executor_index);
        let active = executor.remove_run(task, run)?;
        if let Some(charge) = &active.charge {
            self.accounts.release(charge);
        }
        self.record_turnover(executor_index, &active.reserved, now);
        Some(active)
    }

    /// Notes the account of a job that an earlier owner accepted.
    pub(crate) fn load_account(&mut self, job: &JobState, record: &JobRecord) {
        let Some(account) = &job.account else {
            return;
        };
        self.accounts.entry(account);
        let changed = job.ended.map_or(job.accepted_unix_ms, |(_, at)| at);
        self.newest_loaded_unix_ms = self.newest_loaded_unix_ms.max(changed);
        let counted = match record {
            JobRecord::Live(live) => (!live.beyond_share).then_some(live.accepted_unix_ms),
            JobRecord::Ended(ended) => ended
                .account
                .as_ref()
                .and_then(|account| account.counted_unix_ms),
        };
        if let Some(accepted) = counted {
            self.uncounted_jobs.push((accepted, Arc::clone(account)));
        }
    }

    /// Returns the position of a job that is submitted now relative to the share of its account.
    pub(crate) fn share_position(
        &mut self,
        account: Option<&Arc<AccountRules>>,
        now_unix_ms: u64,
    ) -> SharePosition {
        let Some(account) = account else {
            return SharePosition::Within;
        };
        self.count_earlier_jobs();
        let state = self.accounts.entry(account);
        state.last_rules = Arc::clone(account);
        state.clock.position(account.weight, now_unix_ms)
    }

    /// Counts the jobs that earlier owners accepted for the shares of their accounts, so that an
    /// account that is ahead of its share stays so after a change of owner.
    fn count_earlier_jobs(&mut self) {
        let mut uncounted = std::mem::take(&mut self.uncounted_jobs);
        uncounted.sort_by_key(|(accepted, _)| *accepted);
        for (accepted, account) in uncounted {
            let configured = self.rules.accounts.as_ref();
            let rules = configured.and_then(|directory| directory.get(&account.name));
            let weight = rules.unwrap_or(&account).weight;
            if weight.get() > 0 {
                self.accounts.entry(&account).clock.count(weight, accepted);
            }
        }
    }

    /// Counts an accepted job for the share of its account. A job beyond the share does not count: it
    /// takes what others leave.
    pub(crate) fn count_accepted(
        &mut self,
        account: Option<&Arc<AccountRules>>,
        position: SharePosition,
        now_unix_ms: u64,
    ) {
        if let (Some(account), SharePosition::Within) = (account, position) {
            let state = self.accounts.entry(account);
            if account.weight.get() > 0 {
                state.clock.count(account.weight, now_unix_ms);
            }
        }
    }

    /// Notes the processors that the widest step of an urgent job needs.
    pub(crate) fn observe_urgent_demand(
        &mut self,
        account: Option<&Arc<AccountRules>>,
        priority: u32,
        spec: &JobSpec,
        now: Millis,
    ) {
        if priority != PREEMPTING_PRIORITY {
            return;
        }
        let needs = spec.steps.iter().map(|step| {
            let each = step.need.cpu_millis.get();
            each.saturating_mul(u64::from(step.tasks))
        });
        if let Some((account, widest)) = account.zip(needs.max()) {
            let state = self.accounts.entry(account);
            state.urgent_demand.observe(widest, now);
        }
    }

    /// Counts a refused job of an account.
    pub(crate) fn count_refusal(
        &mut self,
        account: Option<&Arc<AccountRules>>,
        position: SharePosition,
    ) {
        if let Some(account) = account {
            let state = self.accounts.entry(account);
            match position {
                SharePosition::Within => {
                    state.refused_other = state.refused_other.saturating_add(1)
                }
                SharePosition::Beyond(_) => {
                    state.refused_share = state.refused_share.saturating_add(1);
                }
            }
        }
    }

    /// Bounds what runs of earlier owners may take for each account on executors that have not
    /// answered, and what runs of ended jobs may take that an executor still lists.
    ///
    /// An executor that may run any inherited task runs at most what fits into it, and an account has
    /// no more there than the tasks that are known neither as done nor as running elsewhere.
    pub(crate) fn update_unlocated(&mut self, now: Millis) {
        if self.rules.accounts.is_none() && self.accounts.is_empty() {
            return;
        }
        self.unlocated_at = Some(now);
        let block = self.takeover_block();
        let mut room = ResourceVector::default();
        let mut listed: BTreeSet<JobKey> = BTreeSet::new();
        for (_, executor) in self.executors.iter() {
            if executor.blocks_inherited() && executor.inherited_tasks.is_none() {
                room = room.saturating_add(&executor.entry.capacity);
            }
            if !executor.is_lapsed(now) {
                listed.extend(executor.unknown_runs.iter().map(|(task, _)| task.step.job));
            }
        }
        let loads = if block.all {
            self.inherited_loads()
        } else {
            BTreeMap::new()
        };
        let bounded = |load: UnlocatedLoad| {
            smaller_amounts(&load.reserving, &room).saturating_add(&load.other)
        };
        let mut unlocated: BTreeMap<AccountName, ResourceVector> = loads
            .into_iter()
            .map(|(name, load)| (name, bounded(load)))
            .collect();
        let listed_tasks = block.tasks.iter().filter_map(|task| {
            let waits = self.task_phase(*task) == Some(TaskPhase::Waiting);
            let spec = self.step_spec(task.step).filter(|_| waits)?;
            Some((self.jobs.get(&task.step.job)?, spec.need))
        });
        let listed_runs = listed.iter().filter_map(|key| {
            let job = self.jobs.get(key)?;
            Some((job, job.stopping))
        });
        for (job, need) in listed_tasks.chain(listed_runs) {
            if let Some(account) = &job.account {
                let sum = unlocated.entry(account.name.clone()).or_default();
                *sum = sum.saturating_add(&need);
            }
        }
        self.accounts.set_unlocated(&unlocated);
    }

    /// Updates the bounds of [`update_unlocated`](Self::update_unlocated) before a planning pass, if
    /// there are none yet or an account waits because of them.
    pub(crate) fn refresh_unlocated(&mut self, now: Millis) {
        let since = self.unlocated_at.map(|at| now.saturating_sub(at));
        let is_due =
            since.is_none_or(|since| since >= UNLOCATED_INTERVAL && self.accounts.has_unlocated());
        if is_due {
            self.update_unlocated(now);
        }
    }

    /// Returns the needs of the inherited tasks that may run on any executor that has not answered,
    /// and of the runs that an earlier owner was stopping.
    fn inherited_loads(&self) -> BTreeMap<AccountName, UnlocatedLoad> {
        let mut loads: BTreeMap<AccountName, UnlocatedLoad> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.inherited) {
            let Some(account) = &job.account else {
                continue;
            };
            let load = loads.entry(account.name.clone()).or_default();
            if let Some((_, ended)) = job.ended {
                let age = self.newest_loaded_unix_ms.saturating_sub(ended);
                if age <= STOPPING_TIME.get() {
                    load.reserving = load.reserving.saturating_add(&job.stopping);
                }
                continue;
            }
            let specs = job.spec.iter().flat_map(|spec| &spec.steps);
            let steps = job.occurrences.iter().flat_map(|occurrence| {
                let steps = occurrence.steps.iter();
                steps.zip(specs.clone())
            });
            let inherited = steps.filter(|(step, _)| step.inherited);
            let waiting = inherited.map(|(step, spec)| (spec, step.waiting));
            // An occurrence that was due lately may be missing in the record.
            let is_open = job.occurrences.len() >= job.total_occurrences();
            let unopened = specs
                .clone()
                .filter(|_| !is_open)
                .map(|spec| (spec, spec.tasks));
            for (spec, tasks) in waiting.chain(unopened) {
                let sum = if spec.filler {
                    &mut load.other
                } else {
                    &mut load.reserving
                };
                *sum = sum.saturating_add(&times(&spec.need, tasks));
            }
        }
        loads
    }

    /// Tells whether a caller may read or cancel a job.
    pub fn is_visible(&self, key: JobKey, access: AccountAccess<'_>) -> bool {
        let AccountAccess::Account(name) = access else {
            return true;
        };
        let job = self.jobs.get(&key);
        let holder = job.and_then(|job| job.account.as_ref());
        holder.is_none_or(|holder| holder.name == *name)
    }

    /// Returns the accounts that use most.
    pub(crate) fn account_summaries(&self) -> Vec<AccountSummary> {
        let mut counts: BTreeMap<&AccountName, (usize, usize, usize)> = BTreeMap::new();
        for job in self.live.iter().filter_map(|key| self.jobs.get(key)) {
            if let Some(account) = &job.account {
                let (live, waiting, beyond) = counts.entry(&account.name).or_default();
                *live += 1;
                *waiting += usize::from(!job.started);
                *beyond += usize::from(job.beyond_share);
            }
        }
        let mut summaries: Vec<AccountSummary> = self
            .accounts
            .iter()
            .map(|(name, state)| {
                let counts = counts.get(name).copied().unwrap_or_default();
                self.account_summary(name, state, counts)
            })
            .collect();
        summaries.sort_by_key(|summary| {
            let cpu = summary.running.cpu_millis.get();
            std::cmp::Reverse((cpu, summary.live_jobs))
        });
        summaries.truncate(Self::MAX_ACCOUNT_SUMMARIES);
        summaries
    }

    fn account_summary(
        &self,
        name: &AccountName,
        state: &AccountState,
        (live_jobs, waiting_jobs, beyond_share): (usize, usize, usize),
    ) -> AccountSummary {
        AccountSummary {
            name: name.clone(),
            weight: state.last_rules.weight.get(),
            cap: self.account_cap(name),
            running: state.load.running,
            unlocated: state.load.unlocated,
            live_jobs,
            waiting_jobs,
            beyond_share,
            refused_share: state.refused_share,
            refused_other: state.refused_other,
            at_limit: state.is_at_limit(),
        }
    }

    /// Returns a line that describes an account, for the explanation of a job.
    pub(crate) fn account_line(&self, name: &AccountName) -> String {
        let cap = self.account_cap(name);
        let Some(state) = self.accounts.get(name) else {
            return format!("client account {name}");
        };
        let limit = if cap.is_zero() {
            "no limit".to_owned()
        } else {
            format!("limit {cap}")
        };
        let mut line = format!(
            "client account {name}: running {}, {limit}",
            state.load.running
        );
        if !state.load.unlocated.is_zero() {
            line.push_str(&format!(
                "; up to {} on executors that have not answered this owner",
                state.load.unlocated
            ));
        }
        line
    }

    /// Forgets the accounts that are not configured and have no job.
    pub(crate) fn forget_accounts(&mut self) {
        let with_jobs: BTreeSet<&AccountName> = self
            .jobs
            .values()
            .filter_map(|job| job.account.as_ref().map(|account| &account.name))
            .collect();
        let directory = self.rules.accounts.as_ref();
        let configured = |name: &AccountName| directory.is_some_and(|all| all.get(name).is_some());
        self.accounts
            .retain(|name| configured(name) || with_jobs.contains(name));
    }
}

/// Returns `need` times `count`.
fn times(need: &ResourceVector, count: u32) -> ResourceVector {
    let count = u64::from(count);
    let accelerators = u64::from(need.accelerators).saturating_mul(count);
    ResourceVector::new(
        need.cpu_millis.get().saturating_mul(count),
        need.memory_mib.get().saturating_mul(count),
        u32::try_from(accelerators).unwrap_or(u32::MAX),
    )
}

/// Returns the smaller one of each amount.
fn smaller_amounts(one: &ResourceVector, other: &ResourceVector) -> ResourceVector {
    ResourceVector {
        cpu_millis: one.cpu_millis.min(other.cpu_millis),
        memory_mib: one.memory_mib.min(other.memory_mib),
        accelerators: one.accelerators.min(other.accelerators),
    }
}
