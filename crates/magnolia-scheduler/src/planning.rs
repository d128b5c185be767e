//! Planning: selects the tasks that start next and the executors that they start on.

use std::collections::BTreeSet;
use std::sync::Arc;

use magnolia_types::{Millis, ResourceVector};

use crate::cell::{CellScheduler, ReadyKey};
use crate::executor_state::ExecutorState;
use crate::executors::ExecutorIndex;
use crate::near_places::RackClaims;
use crate::placement::{Candidate, PlacementAim, choose_executor};
use crate::reports::filler_cpu;
use crate::step::{StepState, TaskPhase, TaskState};
use crate::takeover::TakeoverBlock;
use crate::{CellAction, QueueRules, RunNumber, StartOrder, StepRef, StepSpec, TaskRef};

/// Priority of urgent steps, which may preempt runs of lower priority; 0 is the highest.
pub(crate) const PREEMPTING_PRIORITY: u32 = 0;

/// Executors with free capacity for a step, grouped by what is known of their eligibility.
#[derive(Default)]
pub(crate) struct StepCandidates {
    /// Eligible with a valid ticket, or the queue needs no eligibility; tasks can start now.
    pub(crate) usable: Vec<Candidate>,
    /// Eligibility not yet asked for.
    pub(crate) unknown: Vec<Candidate>,
    /// Eligible, but the ticket has expired or belongs to an earlier life of the executor.
    pub(crate) expired: Vec<Candidate>,
    /// Number of executors that may be eligible but have no free capacity for the step.
    pub(crate) full: usize,
}

/// What runs on an executor and limits further tasks of a step, apart from reserved resources.
#[derive(Clone, Copy, Debug, Default)]
struct TaskCompany {
    /// Processors that filler tasks use without reserving them, in thousandths.
    filler_cpu: u64,
    /// Tasks of the same step.
    same_step: u32,
}

impl CellScheduler {
    /// Sets the daemons that can send eligibility requests.
    pub fn set_eligibility_daemons(&mut self, daemons: &BTreeSet<usize>) {
        self.eligibility_queue.set_daemons(daemons);
    }

    /// Returns the resources that a task of a step reserves and its estimated run time.
    pub fn step_size(&self, step: StepRef) -> Option<(ResourceVector, Millis)> {
        let spec = self.step_spec(step)?;
        Some((spec.reserved(), spec.estimate))
    }

    /// Marks the eligibility request of a daemon as finished; `usable` tells whether the daemon can
    /// send another one.
    pub fn release_eligibility_daemon(&mut self, daemon: usize, usable: bool) {
        self.eligibility_queue.release(daemon, usable);
    }

    /// Runs the time-driven work: expires leases, takes executors out of use or confines them,
    /// withdraws unanswered starts, moves long-running tasks off executors that leave, repeats stop
    /// orders, opens due occurrences and stops hung runs.
    pub fn tick(&mut self, now: Millis, now_unix_ms: u64) {
        self.check_exclusion(now);
        self.expire_inherited_starts(now);
        self.expire_leases(now);
        self.retire_leaving();
        self.confine_executors(now);
        self.stop_unanswered_starts(now);
        self.withdraw_given_up_starts(now);
        self.evacuate_draining(now);
        self.resend_stops(now);
        self.open_due_occurrences(now, now_unix_ms);
        self.update_unlocated(now);
        self.refresh_speeds();
        self.stop_hung_runs(now);
    }

    fn expire_leases(&mut self, now: Millis) {
        let mut lapsed = Vec::new();
        for (executor_index, executor) in self.executors.iter_mut() {
            let unsettled = !executor.settled && executor.is_settled_by(now);
            let is_lapsed = executor.is_lapsed(now);
            if unsettled || (is_lapsed && executor.may_have_unlisted_ends) {
                executor.given_up_at.get_or_insert(now);
            }
            if is_lapsed && !executor.runs.is_empty() {
                lapsed.push(executor_index);
            }
        }
        for executor_index in lapsed {
            if self.lose_lapsed_runs(executor_index, now) {
                self.retire_executor(executor_index);
            }
        }
    }

    fn open_due_occurrences(&mut self, now: Millis, now_unix_ms: u64) {
        let due = |key: &&crate::JobKey| {
            self.jobs.get(key).is_some_and(|job| {
                let next = job.occurrences.len();
                let open = job.stored && job.ending.is_none() && next < job.total_occurrences();
                open && now_unix_ms >= job.due_unix_ms(next)
            })
        };
        let keys: Vec<crate::JobKey> = self.live.iter().filter(due).copied().collect();
        for key in keys {
            if let Some(job) = self.jobs.get_mut(&key) {
                job.open_occurrence(now);
            }
            self.queue_open_steps(key);
        }
    }

    /// Starts the tasks that can start and queues eligibility requests for the others.
    pub fn plan(&mut self, now: Millis) {
        self.repeat_starts(now);
        self.refresh_unlocated(now);
        let block = self.takeover_block();
        let mut claims = RackClaims::default();
        for key in self.steps_to_plan(&block, now) {
            self.plan_step(key, &block, &mut claims, now);
        }
        for order in self.eligibility_queue.dispatch() {
            if let Some(state) = self.step_state_mut(order.step) {
                state.eligibility.in_flight = true;
                state.eligibility.deferred_since = None;
            }
            self.actions.push(CellAction::RequestEligibility(order));
        }
    }

    fn plan_step(
        &mut self,
        key: ReadyKey,
        block: &TakeoverBlock,
        claims: &mut RackClaims,
        now: Millis,
    ) {
        let step = key.step;
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let Some(job_spec) = job.spec.clone() else {
            return;
        };
        let spec = &job_spec.steps[usize::from(step.step)];
        let rules = Arc::clone(self.rules_in_force(job));
        let Some(state) = self.step_state(step) else {
            return;
        };
        let mut startable = startable_tasks(state, now);
        if state.inherited {
            startable.retain(|index| {
                !block.tasks.contains(&TaskRef {
                    step,
                    index: *index,
                })
            });
        }
        let ready_since = state.ready_since;
        if startable.is_empty() {
            return;
        }
        if spec.gang && startable.len() < state.tasks.len() {
            return;
        }
        let below_cap = self.startable_below_cap(step, now);
        if below_cap == 0 || (spec.gang && below_cap < startable.len()) {
            self.withdraw_eligibility_request(step);
            return;
        }
        let held_by_cap = startable.len().saturating_sub(below_cap);
        startable.truncate(below_cap);
        let mut candidates = self.candidates(spec, &rules, state, step, now);
        let near_only =
            !spec.gang && self.keep_near_places(step, spec, &rules, &mut candidates, claims, now);
        let placed = if spec.gang {
            self.place_gang(step, spec, &startable, &mut candidates, now)
        } else {
            self.place_tasks(step, spec, &rules, &startable, &mut candidates, now)
        };
        let left = startable.len().saturating_sub(placed);
        if placed > 0 {
            let waited = now.saturating_sub(ready_since);
            log::info!(step:% = step, placed = placed, left = left, waited:% = waited;
                "tasks started");
        }
        if held_by_cap > 0 && placed > 0 {
            log::debug!(step:% = step, held = held_by_cap; "tasks wait for the limit of their account");
        }
        if left == 0 {
            self.withdraw_eligibility_request(step);
            return;
        }
        let wanted = u32::try_from(left).unwrap_or(u32::MAX);
        if rules.priority == PREEMPTING_PRIORITY
            && !key.beyond_share
            && !near_only
            && !self.expects_enough_capacity(&candidates, &rules, wanted)
        {
            self.preempt_runs(step, spec, &rules, wanted, now);
        }
        if rules.advice.is_some() {
            self.request_eligibility(key, &rules, wanted, candidates, spec.gang, now);
        }
    }

    /// Returns the executors that could run the step, with the number of tasks that fit on each.
    pub(crate) fn candidates(
        &self,
        spec: &StepSpec,
        rules: &QueueRules,
        state: &StepState,
        step: StepRef,
        now: Millis,
    ) -> StepCandidates {
        let mut candidates = StepCandidates::default();
        let avoided = avoided_executors(state);
        for (executor_index, executor) in self.executors.iter() {
            if !executor.accepts_work(now) || !is_suitable(executor, spec, rules) {
                continue;
            }
            if state.eligibility.ineligible.contains(&executor_index) {
                continue;
            }
            let fitting = self.fitting_tasks(executor, spec, rules, step, executor.free());
            if fitting == 0 {
                candidates.full += 1;
                continue;
            }
            let candidate = new_candidate(
                executor_index,
                executor,
                spec,
                fitting,
                avoided.contains(&executor_index),
            );
            if rules.advice.is_none() {
                candidates.usable.push(candidate);
                continue;
            }
            match state.eligibility.tickets.get(&executor_index) {
                Some(ticket) if ticket.life != executor.entry.life => {
                    candidates.expired.push(candidate)
                }
                Some(ticket) if ticket.valid_until > now => candidates.usable.push(candidate),
                Some(_) => candidates.expired.push(candidate),
                None => candidates.unknown.push(candidate),
            }
        }
        candidates
    }

    /// Returns how many tasks of a step fit into `free` on an executor, beside what runs there now.
    pub(crate) fn fitting_tasks(
        &self,
        executor: &ExecutorState,
        spec: &StepSpec,
        rules: &QueueRules,
        step: StepRef,
        free: ResourceVector,
    ) -> u32 {
        let company = TaskCompany {
            filler_cpu: executor.filler_cpu,
            same_step: spec.spread_limit.map_or(0, |_| {
                let running = executor.runs.keys().filter(|(task, _)| task.step == step);
                u32::try_from(running.count()).unwrap_or(u32::MAX)
            }),
        };
        self.fitting_beside(company, executor, spec, rules, free)
    }

    /// Returns how many tasks of a step would fit on an executor if nothing ran there.
    pub(crate) fn fitting_when_idle(
        &self,
        executor: &ExecutorState,
        spec: &StepSpec,
        rules: &QueueRules,
    ) -> u32 {
        let company = TaskCompany::default();
        self.fitting_beside(company, executor, spec, rules, executor.entry.capacity)
    }

    /// Returns how many tasks of a step fit into `free` on an executor, beside `company`.
    ///
    /// Steps below the highest priority, except filler steps, leave the urgent reserve free.
    fn fitting_beside(
        &self,
        company: TaskCompany,
        executor: &ExecutorState,
        spec: &StepSpec,
        rules: &QueueRules,
        free: ResourceVector,
    ) -> u32 {
        let mut free = free;
        if rules.priority > PREEMPTING_PRIORITY && !spec.filler {
            let capacity = executor.entry.capacity.cpu_millis.get();
            let reserve = capacity.saturating_mul(self.settings.urgent_reserve_permille) / 1000;
            let reserve = magnolia_types::CpuMillis::new(reserve);
            free.cpu_millis = free.cpu_millis.saturating_sub(reserve);
        }
        let mut fitting = times_fitting(&spec.reserved(), &free);
        if spec.filler {
            let idle = free.cpu_millis.get().saturating_sub(company.filler_cpu);
            let each = spec.need.cpu_millis.get().max(1);
            fitting = fitting.min(u32::try_from(idle.div_ceil(each)).unwrap_or(u32::MAX));
        }
        if let Some(limit) = spec.spread_limit {
            fitting = fitting.min(limit.saturating_sub(company.same_step));
        }
        fitting
    }

    fn place_tasks(
        &mut self,
        step: StepRef,
        spec: &StepSpec,
        rules: &QueueRules,
        startable: &[u32],
        candidates: &mut StepCandidates,
        now: Millis,
    ) -> usize {
        let aim = placement_aim(spec, rules);
        let mut placed = 0;
        for index in startable {
            let Some(position) = choose_executor(&candidates.usable, aim) else {
                break;
            };
            let executor_index = candidates.usable[position].executor_index;
            let task = TaskRef {
                step,
                index: *index,
            };
            let run = self.next_run(task, spec.gang);
            self.start(executor_index, task, run, spec, now);
            reserve_task(&mut candidates.usable[position], spec);
            placed += 1;
        }
        placed
    }

    /// Starts all tasks of a gang or none; returns how many tasks were started.
    fn place_gang(
        &mut self,
        step: StepRef,
        spec: &StepSpec,
        startable: &[u32],
        candidates: &mut StepCandidates,
        now: Millis,
    ) -> usize {
        let total: u64 = candidates
            .usable
            .iter()
            .map(|candidate| u64::from(candidate.fitting_tasks))
            .sum();
        if total < startable.len() as u64 {
            return 0;
        }
        let mut chosen = Vec::with_capacity(startable.len());
        for _ in startable {
            let Some(position) = choose_executor(&candidates.usable, PlacementAim::Fit) else {
                return 0;
            };
            chosen.push(candidates.usable[position].executor_index);
            reserve_task(&mut candidates.usable[position], spec);
        }
        let Some(state) = self.step_state_mut(step) else {
            return 0;
        };
        state.gang_runs += 1;
        let count = state.gang_runs;
        // All members resume from the checkpoint of the member with the most progress: the one
        // whose text sorts last.
        let checkpoint = state
            .tasks
            .touched()
            .filter_map(|(_, task)| task.checkpoint.clone())
            .max();
        for index in startable {
            if let Some(task) = state.tasks.get_mut(*index) {
                task.checkpoint.clone_from(&checkpoint);
            }
        }
        let run = RunNumber::new_in(self.epoch, count);
        for (index, executor_index) in startable.iter().zip(&chosen) {
            let task = TaskRef {
                step,
                index: *index,
            };
            self.start(*executor_index, task, run, spec, now);
        }
        startable.len()
    }

    fn next_run(&mut self, task: TaskRef, gang: bool) -> RunNumber {
        debug_assert!(!gang, "gangs number their runs together");
        let epoch = self.epoch;
        let count = self.task_state_mut(task).map_or(1, |state| {
            state.runs += 1;
            state.runs
        });
        RunNumber::new_in(epoch, count)
    }

    fn start(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        spec: &StepSpec,
        now: Millis,
    ) {
        let executor = self.executors.get(executor_index);
        if executor.lease.clock_at(now).is_none() {
            return;
        }
        let (reserved, filler) = (spec.reserved(), filler_cpu(spec));
        self.place_run(executor_index, task, run, reserved, filler, now);
        self.order_start(executor_index, task, run, now);
    }

    /// Orders the start of a run that has resources reserved.
    pub(crate) fn order_start(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let Some(payload) = job.spec.as_ref().map(|spec| spec.payload.clone()) else {
            return;
        };
        let Some(state) = self.step_state(task.step) else {
            return;
        };
        let checkpoint = state
            .tasks
            .get(task.index)
            .and_then(|task| task.checkpoint.clone());
        let tickets = &state.eligibility.tickets;
        let ticket = tickets
            .get(&executor_index)
            .map(|ticket| ticket.text.clone());
        let executor = self.executors.get_mut(executor_index);
        let Some(until) = executor.lease.expiry_after(self.settings.lease, now) else {
            return;
        };
        executor.lease.grant(until);
        let token = executor.token(self.epoch);
        let Some(active) = executor.runs.get_mut(&(task, run)) else {
            return;
        };
        active.starts_sent = active.starts_sent.saturating_add(1);
        active.in_flight = true;
        let order = StartOrder {
            executor: executor.entry.id.clone(),
            life: executor.entry.life,
            token,
            task,
            run,
            payload,
            checkpoint,
            ticket,
            lease_until: until,
        };
        self.actions.push(CellAction::Start(order));
    }
}

/// Returns what the tasks of a step need of an executor.
pub(crate) fn placement_aim(spec: &StepSpec, rules: &QueueRules) -> PlacementAim {
    if spec.filler || spec.lasting {
        PlacementAim::Room
    } else if rules.priority == PREEMPTING_PRIORITY {
        PlacementAim::Speed
    } else {
        PlacementAim::Fit
    }
}

/// Returns the indexes of the tasks that wait and are not delayed after a failed run.
fn startable_tasks(state: &StepState, now: Millis) -> Vec<u32> {
    state
        .tasks
        .iter()
        .filter(|(_, task)| is_startable(task, now))
        .map(|(index, _)| index)
        .collect()
}

/// Tells whether a task waits and is not delayed after a failed run.
pub(crate) fn is_startable(task: &TaskState, now: Millis) -> bool {
    task.phase == TaskPhase::Waiting && now >= task.not_before
}

/// Returns the executors on which waiting tasks of the step last failed or hung.
fn avoided_executors(state: &StepState) -> BTreeSet<ExecutorIndex> {
    let waiting = state
        .tasks
        .touched()
        .filter(|(_, task)| task.phase == TaskPhase::Waiting);
    waiting.filter_map(|(_, task)| task.avoid).collect()
}

/// Tells whether an executor belongs to the service of the queue and has the label that the step
/// needs.
pub(crate) fn is_suitable(executor: &ExecutorState, spec: &StepSpec, rules: &QueueRules) -> bool {
    let labels = &executor.entry.labels;
    let labelled = spec
        .label
        .as_ref()
        .is_none_or(|label| labels.contains(label));
    executor.entry.service == rules.service && labelled
}

pub(crate) fn new_candidate(
    executor_index: ExecutorIndex,
    executor: &ExecutorState,
    spec: &StepSpec,
    fitting_tasks: u32,
    avoided: bool,
) -> Candidate {
    let free = i64::try_from(executor.free().cpu_millis.get()).unwrap_or(i64::MAX);
    let fillers = i64::try_from(executor.filler_cpu).unwrap_or(i64::MAX);
    let near_data = spec
        .data_rack
        .as_ref()
        .is_none_or(|rack| executor.entry.labels.contains(rack));
    Candidate {
        executor_index,
        fitting_tasks,
        spare_cpu: if spec.filler {
            free.saturating_sub(fillers)
        } else {
            free
        },
        speed: executor.speed,
        speed_tier: executor.speed_tier,
        near_data,
        avoided,
    }
}

/// Subtracts the resources of one task from a candidate.
fn reserve_task(candidate: &mut Candidate, spec: &StepSpec) {
    let cpu = i64::try_from(spec.need.cpu_millis.get()).unwrap_or(i64::MAX);
    candidate.fitting_tasks = candidate.fitting_tasks.saturating_sub(1);
    candidate.spare_cpu = candidate.spare_cpu.saturating_sub(cpu);
}

/// Returns how many times `need` fits into `free`.
fn times_fitting(need: &ResourceVector, free: &ResourceVector) -> u32 {
    let times = |need: u64, free: u64| free.checked_div(need).unwrap_or(u64::MAX);
    let cpu = times(need.cpu_millis.get(), free.cpu_millis.get());
    let memory = times(need.memory_mib.get(), free.memory_mib.get());
    let accelerators = times(u64::from(need.accelerators), u64::from(free.accelerators));
    u32::try_from(cpu.min(memory).min(accelerators)).unwrap_or(u32::MAX)
}
