//! What starts next.

use std::collections::BTreeSet;

use magnolia_types::{Millis, ResourceVector};

use crate::cell::{CellScheduler, ReadyKey};
use crate::executor_state::ExecutorState;
use crate::executors::Slot;
use crate::placement::{RoomView, choose_executor};
use crate::reports::filler_cpu;
use crate::step::{StepState, TaskPhase};
use crate::takeover::TakeoverBlock;
use crate::{CellAction, QueueRules, RunNumber, StartOrder, StepRef, StepSpec, TaskRef};

/// Steps of one urgency that a pass looks at: those behind them wait for the same room.
const STEPS_PER_PASS: usize = 48;
/// Urgency that may stop less urgent runs to make room.
pub(crate) const PREEMPTING_PRIORITY: u32 = 0;

/// Executors of a step, by what is known of their eligibility.
#[derive(Default)]
pub(crate) struct StepOptions {
    /// May start tasks now.
    pub(crate) usable: Vec<RoomView>,
    /// Room there, eligibility unknown.
    pub(crate) unknown: Vec<RoomView>,
    /// Eligible, with room, but without a valid ticket.
    pub(crate) expired: Vec<RoomView>,
}

impl CellScheduler {
    /// Sets the daemons that can ask for eligibility.
    pub fn set_advisers(&mut self, daemons: &BTreeSet<usize>) {
        self.advice.set_daemons(daemons);
    }

    /// Returns what a task of a step reserves, and its estimated run time.
    pub fn step_size(&self, step: StepRef) -> Option<(ResourceVector, Millis)> {
        let spec = self.step_spec(step)?;
        Some((spec.reserved(), spec.estimate))
    }

    /// Marks a daemon as free for the next call.
    pub fn release_adviser(&mut self, daemon: usize, usable: bool) {
        self.advice.release(daemon, usable);
    }

    /// Does what is due by time: leases that ran out, orders to repeat, occurrences, hung runs.
    pub fn tick(&mut self, now: Millis, now_unix_ms: u64) {
        self.expire_leases(now);
        self.retire_leaving();
        self.confine_executors(now);
        self.withdraw_uncertain(now);
        self.resend_stops(now);
        self.open_due_occurrences(now, now_unix_ms);
        self.stop_hung_runs(now);
    }

    fn expire_leases(&mut self, now: Millis) {
        let late = self.settings.late_order_limit;
        let mut lost = Vec::new();
        let mut retired = Vec::new();
        for (slot, executor) in self.executors.iter_mut() {
            if !executor.settled && now >= executor.settles_at {
                executor.settled = true;
                executor.heard_at = None;
                retired.push(slot);
            }
            let silent = !executor.is_heard(now);
            let out = executor.lease.out_at().is_none_or(|out| now > out);
            if !silent || !out || executor.runs.is_empty() || !executor.settled {
                continue;
            }
            // A start without an answer may be carried out until its own bound has passed.
            let pending = |sent: Millis| now.saturating_sub(sent) < late;
            let open = executor
                .runs
                .values()
                .any(|run| run.uncertain && pending(run.sent_at));
            if !open {
                lost.push(slot);
            }
        }
        for slot in lost {
            let id = self.executor_id(slot);
            log::info!(executor:% = id; "lease of a silent executor ran out; its runs are lost");
            self.lose_runs(slot, now);
            retired.push(slot);
        }
        retired
            .into_iter()
            .for_each(|slot| self.retire_executor(slot));
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

    /// Starts what can start and asks for eligibility where it is missing.
    pub fn plan(&mut self, now: Millis) {
        let mut looked = std::collections::BTreeMap::new();
        let mut keys = Vec::new();
        let block = self.takeover_block();
        for key in &self.ready {
            // Steps that nothing can start of must not take the turns of those behind them.
            if block.all && self.is_inherited(key.step) {
                continue;
            }
            let count: &mut usize = looked.entry(key.priority).or_default();
            *count += 1;
            if *count <= STEPS_PER_PASS {
                keys.push(*key);
            }
        }
        for key in keys {
            self.plan_step(key, &block, now);
        }
        for order in self.advice.dispatch() {
            if let Some(state) = self.step_state(order.step) {
                state.advice.in_flight = true;
            }
            self.actions.push(CellAction::Advise(order));
        }
    }

    fn plan_step(&mut self, key: ReadyKey, block: &TakeoverBlock, now: Millis) {
        let step = key.step;
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let Some(job_spec) = job.spec.clone() else {
            return;
        };
        let spec = &job_spec.steps[usize::from(step.step)];
        let rules = self
            .rules
            .queues
            .get(&job.rules.name)
            .unwrap_or(&job.rules)
            .clone();
        let Some(state) = self.step_at(step) else {
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
        let mut options = self.options(spec, &rules, state, step, now);
        let placed = if spec.gang {
            self.place_gang(step, spec, &startable, &mut options, now)
        } else {
            self.place_tasks(step, spec, &rules, &startable, &mut options, now)
        };
        let left = startable.len() - placed;
        if placed > 0 {
            let waited = now.saturating_sub(ready_since);
            log::info!(step:% = step, placed = placed, left = left, waited:% = waited;
                "tasks started");
        }
        if left == 0 {
            self.advice.remove(step);
            return;
        }
        let wanted = u32::try_from(left).unwrap_or(u32::MAX);
        if rules.priority == PREEMPTING_PRIORITY && !self.may_find_room(&options, &rules, wanted) {
            self.make_room(step, spec, &rules, wanted, now);
        }
        if rules.advice.is_some() {
            self.ask_eligibility(key, &rules, wanted, options, spec.gang, now);
        }
    }

    /// Returns the executors that could run the step, with the tasks that fit on each.
    fn options(
        &self,
        spec: &StepSpec,
        rules: &QueueRules,
        state: &StepState,
        step: StepRef,
        now: Millis,
    ) -> StepOptions {
        let mut options = StepOptions::default();
        let avoided = avoided_slots(state);
        for (slot, executor) in self.executors.iter() {
            if !executor.takes_work(now) || !suits(executor, spec, rules) {
                continue;
            }
            if state.advice.ineligible.contains(&slot) {
                continue;
            }
            let room = self.room(executor, spec, rules, step, executor.free());
            if room == 0 {
                continue;
            }
            let view = room_view(slot, executor, spec, room, avoided.contains(&slot));
            if rules.advice.is_none() {
                options.usable.push(view);
                continue;
            }
            match state.advice.tickets.get(&slot) {
                Some(ticket) if ticket.life != executor.entry.life => options.expired.push(view),
                Some(ticket) if ticket.valid_until > now => options.usable.push(view),
                Some(_) => options.expired.push(view),
                None => options.unknown.push(view),
            }
        }
        options
    }

    /// Returns how many tasks of a step fit into `free` on an executor.
    pub(crate) fn room(
        &self,
        executor: &ExecutorState,
        spec: &StepSpec,
        rules: &QueueRules,
        step: StepRef,
        free: ResourceVector,
    ) -> u32 {
        let mut free = free;
        if rules.priority > PREEMPTING_PRIORITY && !spec.filler {
            let capacity = executor.entry.capacity.cpu_millis.get();
            let reserve = capacity * self.settings.urgent_reserve_permille / 1000;
            let reserve = magnolia_types::CpuMillis::new(reserve);
            free.cpu_millis = free.cpu_millis.saturating_sub(reserve);
        }
        let mut room = fitting(&spec.reserved(), &free);
        if spec.filler {
            let idle = free.cpu_millis.get().saturating_sub(executor.filler_cpu);
            let each = spec.need.cpu_millis.get().max(1);
            room = room.min(u32::try_from(idle.div_ceil(each)).unwrap_or(u32::MAX));
        }
        if let Some(limit) = spec.spread_limit {
            let there = executor.runs.keys().filter(|(task, _)| task.step == step);
            let there = u32::try_from(there.count()).unwrap_or(u32::MAX);
            room = room.min(limit.saturating_sub(there));
        }
        room
    }

    fn place_tasks(
        &mut self,
        step: StepRef,
        spec: &StepSpec,
        rules: &QueueRules,
        startable: &[u32],
        options: &mut StepOptions,
        now: Millis,
    ) -> usize {
        let spread = rules.priority == PREEMPTING_PRIORITY || spec.filler || spec.lasting;
        let mut placed = 0;
        for index in startable {
            let Some(place) = choose_executor(&options.usable, spread) else {
                break;
            };
            let slot = options.usable[place].slot;
            let task = TaskRef {
                step,
                index: *index,
            };
            let run = self.next_run(task, spec.gang);
            self.start(slot, task, run, spec, now);
            take_room(&mut options.usable[place], spec);
            placed += 1;
        }
        placed
    }

    /// Starts all tasks of a gang, or none.
    fn place_gang(
        &mut self,
        step: StepRef,
        spec: &StepSpec,
        startable: &[u32],
        options: &mut StepOptions,
        now: Millis,
    ) -> usize {
        let total: u64 = options.usable.iter().map(|view| u64::from(view.room)).sum();
        if total < startable.len() as u64 {
            return 0;
        }
        let mut chosen = Vec::with_capacity(startable.len());
        for _ in startable {
            let Some(place) = choose_executor(&options.usable, false) else {
                return 0;
            };
            chosen.push(options.usable[place].slot);
            take_room(&mut options.usable[place], spec);
        }
        let Some(state) = self.step_state(step) else {
            return 0;
        };
        state.gang_runs += 1;
        let count = state.gang_runs;
        // All members resume from one checkpoint, that of the member that came furthest.
        let saved = state
            .tasks
            .iter()
            .filter_map(|task| task.saved.clone())
            .max();
        for task in &mut state.tasks {
            task.saved.clone_from(&saved);
        }
        let run = RunNumber::new_in(self.epoch, count);
        for (index, slot) in startable.iter().zip(&chosen) {
            let task = TaskRef {
                step,
                index: *index,
            };
            self.start(*slot, task, run, spec, now);
        }
        startable.len()
    }

    fn next_run(&mut self, task: TaskRef, gang: bool) -> RunNumber {
        debug_assert!(!gang, "gangs number their runs together");
        let epoch = self.epoch;
        let count = self.task_state(task).map_or(1, |state| {
            state.runs += 1;
            state.runs
        });
        RunNumber::new_in(epoch, count)
    }

    fn start(&mut self, slot: Slot, task: TaskRef, run: RunNumber, spec: &StepSpec, now: Millis) {
        let lease = self.settings.lease;
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let Some(payload) = job.spec.as_ref().map(|spec| spec.payload.clone()) else {
            return;
        };
        let state =
            &job.occurrences[task.step.occurrence as usize].steps[usize::from(task.step.step)];
        let checkpoint = state.tasks[task.index as usize].saved.clone();
        let ticket = state
            .advice
            .tickets
            .get(&slot)
            .map(|ticket| ticket.text.clone());
        let executor = self.executors.get_mut(slot);
        let Some(until) = executor.lease.until_after(lease, now) else {
            return;
        };
        executor.lease.grant(until);
        let order = StartOrder {
            executor: executor.entry.id.clone(),
            life: executor.entry.life,
            task,
            run,
            payload,
            checkpoint,
            ticket,
            lease_until: until,
        };
        self.place(slot, task, run, spec.reserved(), filler_cpu(spec), now);
        self.actions.push(CellAction::Start(order));
    }
}

/// Returns the numbers of the tasks that may start now.
fn startable_tasks(state: &StepState, now: Millis) -> Vec<u32> {
    (0u32..)
        .zip(&state.tasks)
        .filter(|(_, task)| task.phase == TaskPhase::Waiting && now >= task.not_before)
        .map(|(index, _)| index)
        .collect()
}

/// Returns the executors that tasks of the step should not go back to.
fn avoided_slots(state: &StepState) -> BTreeSet<Slot> {
    let waiting = state
        .tasks
        .iter()
        .filter(|task| task.phase == TaskPhase::Waiting);
    waiting.filter_map(|task| task.avoid).collect()
}

/// Tells whether an executor may run the step by service and label.
pub(crate) fn suits(executor: &ExecutorState, spec: &StepSpec, rules: &QueueRules) -> bool {
    let labels = &executor.entry.labels;
    let labelled = spec
        .label
        .as_ref()
        .is_none_or(|label| labels.contains(label));
    executor.entry.service == rules.service && labelled
}

pub(crate) fn room_view(
    slot: Slot,
    executor: &ExecutorState,
    spec: &StepSpec,
    room: u32,
    avoided: bool,
) -> RoomView {
    let free = i64::try_from(executor.free().cpu_millis.get()).unwrap_or(i64::MAX);
    let fillers = i64::try_from(executor.filler_cpu).unwrap_or(i64::MAX);
    let near = spec
        .data_rack
        .as_ref()
        .is_none_or(|rack| executor.entry.labels.contains(rack));
    RoomView {
        slot,
        room,
        spare_cpu: if spec.filler { free - fillers } else { free },
        speed: executor.speed,
        near,
        avoided,
    }
}

/// Counts a task against a view.
fn take_room(view: &mut RoomView, spec: &StepSpec) {
    view.room -= 1;
    view.spare_cpu -= i64::try_from(spec.need.cpu_millis.get()).unwrap_or(i64::MAX);
}

/// Returns how many times `need` fits into `free`.
fn fitting(need: &ResourceVector, free: &ResourceVector) -> u32 {
    let times = |need: u64, free: u64| free.checked_div(need).unwrap_or(u64::MAX);
    let cpu = times(need.cpu_millis.get(), free.cpu_millis.get());
    let memory = times(need.memory_mib.get(), free.memory_mib.get());
    let accelerators = times(u64::from(need.accelerators), u64::from(free.accelerators));
    u32::try_from(cpu.min(memory).min(accelerators)).unwrap_or(u32::MAX)
}
