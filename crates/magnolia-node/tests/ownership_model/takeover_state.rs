//! State of the takeover model, and the events that change it.

use super::{CellSize, EXECUTORS, OWNERS, TakeoverRules};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum OwnerStage {
    #[default]
    Absent,
    Open,
    Ended,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum WaitStage {
    #[default]
    Before,
    Waiting,
    /// Executors that have not answered are given up.
    Over,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct ModelOwner {
    stage: OwnerStage,
    wait: WaitStage,
    /// Earlier owners that have gathered no evidence since the wait began.
    stale: [bool; OWNERS],
    /// Whether evidence allows to order.
    permitted: bool,
    /// Whether the store's last confirmation is older than the limit of an outage.
    outage_over: bool,
    started: bool,
}

/// What concerns one executor and one owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct ExecutorView {
    /// Life in the record, as far as the store has answered; 0 for no record.
    recorded: u8,
    /// Life in a stored record whose write was not answered.
    pending: Option<u8>,
    /// Life that has answered the owner.
    answered: u8,
    /// Whether its last answer is recent enough for a start.
    recent: bool,
    /// Whether the executor runs the task, or may do so.
    placed: bool,
    /// Whether a start is under way; it may outlive the owner.
    ordered: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct ModelExecutor {
    /// 0 if the executor is not part of the cell.
    life: u8,
    /// Epoch in force at the executor.
    epoch: u8,
    /// Epoch of the owner that last granted or renewed the lease of the run; 0 without a run.
    lease: u8,
    /// Life in the record; 0 for no record.
    recorded: u8,
    restarting: bool,
    /// Owners that have gathered no evidence since the restart began.
    stale: [bool; OWNERS],
    views: [ExecutorView; OWNERS],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ModelState {
    owners: [ModelOwner; OWNERS],
    executors: [ModelExecutor; EXECUTORS],
    restarts: u8,
}

/// Name of an event, its owner and its executor.
type EventLabel = (&'static str, Option<usize>, Option<usize>);

type Successors = Vec<(EventLabel, ModelState)>;

pub(super) fn epoch_of(owner: usize) -> u8 {
    owner as u8 + 1
}

impl ExecutorView {
    /// Whether the record certainly names this life.
    fn names(&self, life: u8) -> bool {
        self.recorded == life && self.pending.is_none_or(|pending| pending == life)
    }
}

impl ModelState {
    pub(super) fn first(size: CellSize) -> Self {
        let mut state = Self {
            owners: [ModelOwner::default(); OWNERS],
            executors: [ModelExecutor::default(); EXECUTORS],
            restarts: 0,
        };
        for executor in &mut state.executors[..size.executors] {
            executor.life = 1;
        }
        state.executors[0].recorded = 1;
        state.open_session(0);
        // The first owner has nobody to wait for.
        state.owners[0].wait = WaitStage::Over;
        state
    }

    /// Returns the state with interchangeable executors in a fixed order.
    pub(super) fn sorted(mut self) -> Self {
        self.executors.sort_unstable();
        self
    }

    pub(super) fn has_two_runs(&self) -> bool {
        self.executors.iter().filter(|one| one.lease > 0).count() > 1
    }

    /// Number of claims.
    fn claims(&self) -> usize {
        let claimed = |owner: &&ModelOwner| owner.stage != OwnerStage::Absent;
        self.owners.iter().filter(claimed).count()
    }

    /// Whether the store confirms the claim of an owner.
    fn is_newest(&self, owner: usize) -> bool {
        self.claims() == owner + 1
    }

    fn members(&self) -> impl Iterator<Item = usize> {
        let executors = self.executors;
        (0..EXECUTORS).filter(move |executor| executors[*executor].life > 0)
    }

    /// Returns the states that follow by one event.
    pub(super) fn successors(&self, rules: TakeoverRules, size: CellSize) -> Successors {
        let mut next = Vec::new();
        let claimant = self.claims();
        if claimant < size.owners {
            self.step(&mut next, ("claims", Some(claimant), None), |state| {
                state.open_session(claimant);
                if rules.confirm_after_wait {
                    state.end_unconfirmed_waits();
                }
            });
        }
        for owner in 0..claimant {
            if self.owners[owner].stage == OwnerStage::Open {
                self.wait(owner, rules, &mut next);
                for executor in self.members() {
                    self.ask_executor(owner, executor, rules, &mut next);
                    self.change_record(owner, executor, rules, &mut next);
                    self.start(owner, executor, rules, &mut next);
                }
                if owner + 1 < size.owners {
                    self.step(&mut next, ("crashes", Some(owner), None), |state| {
                        state.end(owner);
                    });
                }
            }
            for executor in self.members() {
                self.deliver_order(owner, executor, &mut next);
            }
        }
        for executor in self.members() {
            self.restart(executor, rules, size, &mut next);
        }
        for (_, state) in &mut next {
            state.gather_evidence(rules);
        }
        next
    }

    fn step(&self, next: &mut Successors, label: EventLabel, change: impl FnOnce(&mut Self)) {
        let mut state = *self;
        change(&mut state);
        next.push((label, state));
    }

    /// Claims, fences earlier writers and reads the records.
    fn open_session(&mut self, owner: usize) {
        self.owners[owner].stage = OwnerStage::Open;
        self.owners[owner].permitted = true;
        for executor in &mut self.executors {
            executor.views[owner].recorded = executor.recorded;
        }
    }

    /// Ends the waits of owners whose claim the store does not confirm any more.
    fn end_unconfirmed_waits(&mut self) {
        let newest = self.claims() - 1;
        for own in &mut self.owners[..newest] {
            own.stale = [false; OWNERS];
            if own.wait == WaitStage::Waiting {
                own.wait = WaitStage::Before;
            }
        }
    }

    fn end(&mut self, owner: usize) {
        self.owners[owner] = ModelOwner {
            stage: OwnerStage::Ended,
            ..ModelOwner::default()
        };
        for executor in &mut self.executors {
            executor.views[owner] = ExecutorView {
                ordered: executor.views[owner].ordered,
                ..ExecutorView::default()
            };
        }
    }

    /// Gains permissions to order from the store and from executors.
    fn gather_evidence(&mut self, rules: TakeoverRules) {
        for owner in 0..OWNERS {
            let is_open = self.owners[owner].stage == OwnerStage::Open;
            if is_open && (self.is_newest(owner) || self.has_witnesses(owner, rules)) {
                self.owners[owner].permitted = true;
                for waiting in &mut self.owners {
                    waiting.stale[owner] = false;
                }
                for executor in &mut self.executors {
                    executor.stale[owner] = false;
                }
            }
        }
    }

    /// Whether the executors that accept the owner's epoch prove its claim.
    fn has_witnesses(&self, owner: usize, rules: TakeoverRules) -> bool {
        if rules.outage_limit && self.owners[owner].outage_over {
            return false;
        }
        let (mut witnesses, mut attesting, mut accepting) = (0, 0, 0);
        for executor in self.members() {
            let executor = &self.executors[executor];
            let mut view = executor.views[owner];
            if !rules.count_pending_writes {
                view.pending = None;
            }
            let accepts = !executor.restarting && executor.epoch == epoch_of(owner);
            let attests = if rules.witness_of_recorded_life {
                view.names(executor.life)
            } else {
                view.recorded > 0 && view.pending != Some(0)
            };
            let is_listed = view.recorded > 0 || view.pending.is_some_and(|life| life > 0);
            witnesses += usize::from(is_listed);
            accepting += usize::from(accepts);
            attesting += usize::from(accepts && attests);
        }
        if rules.evidence_of_majority {
            2 * attesting > witnesses
        } else {
            accepting > 0
        }
    }

    /// Whether an executor has nothing of earlier owners that this owner does not know.
    fn is_settled(&self, owner: usize, executor: usize) -> bool {
        let answered = self.executors[executor].views[owner].answered > 0;
        answered || self.owners[owner].wait == WaitStage::Over
    }

    /// Begins a wait for executors that have not answered, or ends it.
    fn wait(&self, owner: usize, rules: TakeoverRules, next: &mut Successors) {
        if rules.confirm_after_wait && !self.is_newest(owner) {
            return;
        }
        match self.owners[owner].wait {
            WaitStage::Before => self.begin_wait(owner, rules, next),
            WaitStage::Waiting => {
                let label = ("gives up silent executors", Some(owner), None);
                self.step(next, label, |state| state.end_wait(owner));
            }
            WaitStage::Over => {}
        }
    }

    fn begin_wait(&self, owner: usize, rules: TakeoverRules, next: &mut Successors) {
        let views = self.executors.iter().map(|one| one.views[owner]);
        let recorded = views.filter(|view| view.recorded > 0);
        let (answered, silent): (Vec<_>, Vec<_>) = recorded.partition(|view| view.answered > 0);
        let mut earlier = self.owners[..owner].iter();
        let ended = earlier.all(|one| one.stage == OwnerStage::Ended);
        let excluded = answered.len() >= silent.len() || ended || !rules.majority_before_wait;
        let name = if excluded {
            "begins to wait"
        } else {
            "begins to wait after an outage"
        };
        self.step(next, (name, Some(owner), None), |state| {
            for earlier in &mut state.owners[..owner] {
                earlier.outage_over |= !excluded && earlier.stage == OwnerStage::Open;
            }
            state.owners[owner].wait = WaitStage::Waiting;
            state.owners[owner].stale[..owner].fill(true);
        });
    }

    fn end_wait(&mut self, owner: usize) {
        let stale = std::mem::take(&mut self.owners[owner].stale);
        self.owners[owner].wait = WaitStage::Over;
        for other in (0..owner).filter(|other| stale[*other]) {
            self.owners[other].permitted = false;
            for executor in &mut self.executors {
                executor.views[other].ordered = false;
                if executor.lease == epoch_of(other) {
                    executor.lease = 0;
                }
            }
        }
    }

    /// Reads what an executor runs, and renews its lease if the owner is permitted to.
    fn ask_executor(
        &self,
        owner: usize,
        executor: usize,
        rules: TakeoverRules,
        next: &mut Successors,
    ) {
        let epoch = epoch_of(owner);
        let asked = &self.executors[executor];
        if epoch < asked.epoch || asked.restarting {
            return;
        }
        let permitted = self.owners[owner].permitted || !rules.evidence_before_orders;
        self.step(next, ("asks", Some(owner), Some(executor)), |state| {
            let asked = &mut state.executors[executor];
            let view = &mut asked.views[owner];
            asked.epoch = epoch;
            view.answered = asked.life;
            view.recent = true;
            if asked.lease > 0 {
                view.placed = true;
                if permitted {
                    asked.lease = epoch;
                }
            }
        });
    }

    /// Adds, changes or removes the record of an executor, or reads the answer to that.
    fn change_record(
        &self,
        owner: usize,
        executor: usize,
        rules: TakeoverRules,
        next: &mut Successors,
    ) {
        let view = &self.executors[executor].views[owner];
        let mut record = |name, life: u8, pending: Option<u8>| {
            self.step(next, (name, Some(owner), Some(executor)), |state| {
                let changed = &mut state.executors[executor];
                changed.views[owner].pending = pending;
                if pending.is_none() {
                    changed.views[owner].recorded = life;
                }
                if self.is_newest(owner) {
                    changed.recorded = life;
                }
            });
        };
        if let Some(life) = view.pending {
            record("has its write answered", life, None);
        }
        let is_writing = self
            .executors
            .iter()
            .any(|one| one.views[owner].pending.is_some());
        let keeps = rules.keep_witnesses && self.owners[owner].wait == WaitStage::Before;
        if is_writing || keeps || !self.is_newest(owner) {
            return;
        }
        if view.answered > 0 && view.answered != view.recorded {
            record("writes a record", view.answered, None);
            record(
                "writes a record without an answer",
                view.answered,
                Some(view.answered),
            );
        }
        if view.recorded > 0 && !view.placed && self.is_settled(owner, executor) {
            record("removes a record", 0, None);
            record("removes a record without an answer", 0, Some(0));
        }
    }

    /// Orders a start of the task.
    fn start(&self, owner: usize, executor: usize, rules: TakeoverRules, next: &mut Successors) {
        let own = &self.owners[owner];
        let view = &self.executors[executor].views[owner];
        let permitted = own.permitted || !rules.evidence_before_orders;
        let recorded = view.answered > 0 && view.names(view.answered);
        let recent = view.recent || !rules.answer_before_start;
        let blocked = (0..EXECUTORS).any(|other| {
            let inherited = &self.executors[other].views[owner];
            inherited.placed || (inherited.recorded > 0 && !self.is_settled(owner, other))
        });
        if permitted && recorded && recent && !blocked && !own.started {
            self.step(
                next,
                ("orders a start", Some(owner), Some(executor)),
                |state| {
                    state.owners[owner].started = true;
                    state.executors[executor].views[owner].placed = true;
                    state.executors[executor].views[owner].ordered = true;
                },
            );
        }
    }

    /// Delivers a start to its executor.
    fn deliver_order(&self, owner: usize, executor: usize, next: &mut Successors) {
        let target = &self.executors[executor];
        if !target.views[owner].ordered || target.restarting {
            return;
        }
        let epoch = epoch_of(owner);
        let label = ("has its start delivered", Some(owner), Some(executor));
        self.step(next, label, |state| {
            let target = &mut state.executors[executor];
            target.views[owner].ordered = false;
            if epoch >= target.epoch {
                target.epoch = epoch;
                target.lease = epoch;
            }
        });
    }

    /// Restarts an executor; it then runs nothing and knows no epoch.
    fn restart(
        &self,
        executor: usize,
        rules: TakeoverRules,
        size: CellSize,
        next: &mut Successors,
    ) {
        if self.executors[executor].restarting {
            self.step(next, ("is back", None, Some(executor)), |state| {
                let restarted = &mut state.executors[executor];
                let stale = std::mem::take(&mut restarted.stale);
                restarted.restarting = false;
                if !rules.slow_restarts {
                    return;
                }
                for (owner, view) in restarted.views.iter_mut().enumerate() {
                    view.recent = false;
                    // A start under way rests on an answer of the life before.
                    view.ordered &= !stale[owner] && !rules.answer_before_start;
                    state.owners[owner].permitted &= !stale[owner];
                }
            });
        } else if self.restarts < size.restarts {
            self.step(next, ("restarts", None, Some(executor)), |state| {
                state.restarts += 1;
                let restarted = &mut state.executors[executor];
                restarted.life += 1;
                restarted.epoch = 0;
                restarted.lease = 0;
                restarted.restarting = true;
                restarted.stale = [true; OWNERS];
                for view in &mut restarted.views {
                    // What was sent before is not under way any more when the executor is back.
                    view.ordered &= !rules.slow_restarts;
                }
            });
        }
    }
}
