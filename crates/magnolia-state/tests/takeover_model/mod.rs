//! Model of two owners, several workers and a network that delays, drops and duplicates messages.

mod owner;
mod worker;

use std::collections::BTreeMap;

use magnolia_state::TakeoverTracker;
use magnolia_types::{Epoch, Millis, TaskIndex, WorkerId};

use owner::{ModelOwner, ModelTask};
use worker::{ModelAnswer, ModelCommand, ModelWorker};

pub const LEASE: Millis = Millis::new(100);
/// Age of the quoted clock reading beyond which a worker refuses a start.
pub const START_WINDOW: Millis = Millis::new(40);
const WORKERS: usize = 2;
const TASKS: TaskIndex = 3;
/// Index of the task that the second owner accepts.
const NEW_TASK: TaskIndex = 100;

/// The complete rules, or the rules with one part left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    Complete,
    /// Workers accept commands of superseded owners.
    NoFence,
    /// Leases start when a command arrives, not at the clock reading that it quotes.
    LeaseFromArrival,
    /// The takeover completes as soon as the end of the first owner is proved.
    NoWaitAfterProof,
    /// Tasks of earlier owners are placed once the target worker is fenced.
    TargetOnly,
}

/// A message in transit.
#[derive(Clone)]
enum Message {
    ToWorker {
        owner: usize,
        worker: usize,
        command: ModelCommand,
    },
    ToOwner {
        owner: usize,
        worker: usize,
        answer: ModelAnswer,
    },
}

/// State of the model in one run.
pub struct TakeoverModel {
    now: Millis,
    workers: Vec<ModelWorker>,
    owners: Vec<ModelOwner>,
    /// Tasks as the second owner will find them when it reads the journal.
    journal: BTreeMap<TaskIndex, ModelTask>,
    messages: Vec<Message>,
    /// When the first owner ended permanently.
    crashed_at: Option<Millis>,
    variant: Variant,
}

fn worker_id(index: usize) -> WorkerId {
    format!("w{index}").parse().expect("a name")
}

impl TakeoverModel {
    /// Creates the first owner with fenced workers and waiting tasks.
    pub fn new(variant: Variant) -> Self {
        let task = ModelTask {
            accepted: Epoch::new(1),
            running: None,
            unseen: false,
            done: false,
        };
        let tasks: BTreeMap<_, _> = (0..TASKS).map(|index| (index, task.clone())).collect();
        let tracker = TakeoverTracker::new(Epoch::new(1), LEASE, []);
        let mut model = Self {
            now: Millis::new(1000),
            // The clock of the first worker is 0.4% slow, within the drift margin of 1%.
            workers: (0..WORKERS)
                .map(|index| ModelWorker::new(index as u64 * 500, 996 + index as u64 * 4))
                .collect(),
            owners: vec![ModelOwner::new(Epoch::new(1), tracker, tasks.clone())],
            journal: tasks,
            messages: Vec::new(),
            crashed_at: None,
            variant,
        };
        for worker in 0..WORKERS {
            let command = model.owners[0].fence();
            let answer = model.workers[worker].command(model.now, &command, variant);
            model.owners[0].answer(&worker_id(worker), &answer, model.now);
        }
        model
    }

    /// Performs one step; returns `false` if a task has two running attempts.
    pub fn step(&mut self, (kind, first, second): (u8, u8, u8)) -> bool {
        let worker = usize::from(first) % WORKERS;
        let owner = usize::from(second) % self.owners.len();
        match kind % 32 {
            0..=12 => self.deliver(usize::from(first), kind % 32 == 0),
            13 => self.drop_message(usize::from(first)),
            14..=15 => self.now = self.now.saturating_add(Millis::new(u64::from(first) % 30)),
            16 => self.now = self.now.saturating_add(Millis::new(u64::from(first) % 150)),
            17..=21 => self.start(owner, worker, TaskIndex::from(second) / 2),
            22..=23 => self.renew(owner, worker, TaskIndex::from(second) / 2),
            24 => self.owners[0].paused = !self.owners[0].paused,
            25..=26 => self.claim(first),
            27 if second < 100 => self.prove_end(),
            28 => self.fence(),
            29 if second < 40 => self.workers[worker].restart(),
            30 => self.journal_starts(),
            _ => self.tick(),
        }
        self.is_safe()
    }

    /// Returns whether each task has at most one running attempt.
    fn is_safe(&mut self) -> bool {
        let now = self.now;
        let mut running: BTreeMap<TaskIndex, u32> = BTreeMap::new();
        for worker in &mut self.workers {
            worker.advance(now);
            for attempt in worker.attempts.values().filter(|attempt| !attempt.ended) {
                *running.entry(attempt.task).or_default() += 1;
            }
        }
        running.values().all(|count| *count <= 1)
    }

    fn can_act(&self, owner: usize) -> bool {
        let owner_state = &self.owners[owner];
        let crashed = owner == 0 && self.crashed_at.is_some();
        owner_state.active && !owner_state.paused && !crashed
    }

    fn deliver(&mut self, choice: usize, keep_copy: bool) {
        if self.messages.is_empty() {
            return;
        }
        // Messages mostly arrive in order, so that runs make progress.
        let index = if choice < 160 {
            0
        } else {
            choice % self.messages.len()
        };
        let message = if keep_copy {
            self.messages[index].clone()
        } else {
            self.messages.remove(index)
        };
        match message {
            Message::ToWorker {
                owner,
                worker,
                command,
            } => {
                let answer = self.workers[worker].command(self.now, &command, self.variant);
                self.messages.push(Message::ToOwner {
                    owner,
                    worker,
                    answer,
                });
            }
            // An answer to a paused owner stays in its socket buffer.
            Message::ToOwner { owner, .. } if self.owners[owner].paused => {
                self.messages.push(message);
            }
            Message::ToOwner {
                owner,
                worker,
                answer,
            } if self.can_act(owner) => {
                self.owners[owner].answer(&worker_id(worker), &answer, self.now);
            }
            Message::ToOwner { .. } => {}
        }
    }

    fn drop_message(&mut self, choice: usize) {
        if !self.messages.is_empty() {
            let index = choice % self.messages.len();
            self.messages.remove(index);
        }
    }

    fn start(&mut self, owner: usize, worker: usize, task: TaskIndex) {
        if !self.can_act(owner) {
            return;
        }
        let task = match task % (TASKS + 1) {
            TASKS if owner == 1 => NEW_TASK,
            task => task % TASKS,
        };
        let claimed = self
            .owners
            .last()
            .map(|owner| owner.epoch)
            .unwrap_or_default();
        let variant = self.variant;
        if let Some(command) = self.owners[owner].start(&worker_id(worker), task, claimed, variant)
        {
            self.messages.push(Message::ToWorker {
                owner,
                worker,
                command,
            });
        }
    }

    fn renew(&mut self, owner: usize, worker: usize, task: TaskIndex) {
        if !self.can_act(owner) {
            return;
        }
        let repeat = task.is_multiple_of(2).then_some(task / 2 % TASKS);
        if let Some(command) = self.owners[owner].renew(&worker_id(worker), repeat) {
            self.messages.push(Message::ToWorker {
                owner,
                worker,
                command,
            });
        }
    }

    /// Journals the starts of the first owner, unless a second owner has opened the journal.
    fn journal_starts(&mut self) {
        if self.owners.len() == 1 && self.can_act(0) {
            self.journal = self.owners[0].tasks.clone();
        }
    }

    /// Lets a second owner claim the partition and read the journal.
    fn claim(&mut self, choice: u8) {
        if self.owners.len() > 1 || choice >= 120 {
            return;
        }
        let lease = match self.variant {
            Variant::NoWaitAfterProof => Millis::new(0),
            _ => LEASE,
        };
        let epoch = Epoch::new(2);
        let tracker = TakeoverTracker::new(epoch, lease, (0..WORKERS).map(worker_id));
        let mut tasks = self.journal.clone();
        tasks
            .values_mut()
            .for_each(|task| task.unseen = task.running.is_some());
        let new = ModelTask {
            accepted: epoch,
            running: None,
            unseen: false,
            done: false,
        };
        tasks.insert(NEW_TASK, new);
        self.owners.push(ModelOwner::new(epoch, tracker, tasks));
    }

    /// Ends the first owner permanently, once the second one has claimed. On the next call, the
    /// second owner obtains the proof of that end.
    fn prove_end(&mut self) {
        if self.owners.len() < 2 {
            return;
        }
        if self.crashed_at.is_some() {
            let now = self.now;
            self.owners[1].tracker.record_proof_of_end(now);
        }
        self.crashed_at.get_or_insert(self.now);
    }

    /// Sends the fence of the second owner to all workers.
    fn fence(&mut self) {
        if self.owners.len() > 1 {
            let command = self.owners[1].fence();
            let fences = (0..WORKERS).map(|worker| Message::ToWorker {
                owner: 1,
                worker,
                command: command.clone(),
            });
            self.messages.extend(fences);
        }
    }

    fn tick(&mut self) {
        for owner in 0..self.owners.len() {
            if self.can_act(owner) {
                self.owners[owner].tick(self.now);
            }
        }
    }
}
