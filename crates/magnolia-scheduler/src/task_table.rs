//! The tasks of a step. A task that was never started and one whose success is stored cost a bit at
//! most, so that the memory of an owner follows from what runs, and not from the size of jobs.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use std::collections::BTreeMap;

use crate::step::{TaskPhase, TaskState};

/// State of a task that was never started.
static UNTOUCHED: TaskState = TaskState::new(TaskPhase::Waiting);
/// State of a task whose success is stored.
static FINISHED: TaskState = TaskState::new(TaskPhase::Done);

/// The tasks of one step, by their number.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskTable {
    count: u32,
    /// Bit per task: whether its success is stored. Bytes at the end may be missing.
    finished: Vec<u8>,
    /// Tasks that are neither untouched nor finished.
    touched: BTreeMap<u32, TaskState>,
}

impl TaskTable {
    pub(crate) fn new(count: u32) -> Self {
        Self {
            count,
            ..Self::default()
        }
    }

    pub(crate) fn len(&self) -> usize {
        usize::try_from(self.count).unwrap_or(usize::MAX)
    }

    pub(crate) fn get(&self, index: u32) -> Option<&TaskState> {
        if index >= self.count {
            return None;
        }
        if self.is_finished(index) {
            return Some(&FINISHED);
        }
        Some(self.touched.get(&index).unwrap_or(&UNTOUCHED))
    }

    /// Returns a task to change it; none if its success is stored, after which it does not change.
    pub(crate) fn get_mut(&mut self, index: u32) -> Option<&mut TaskState> {
        if index >= self.count || self.is_finished(index) {
            return None;
        }
        let entry = self.touched.entry(index);
        Some(entry.or_insert_with(|| UNTOUCHED.clone()))
    }

    /// Returns all tasks with their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &TaskState)> {
        let mut touched = self.touched.iter().peekable();
        (0..self.count).map(move |index| {
            let found = touched.next_if(|(touched, _)| **touched == index);
            let state = match found {
                Some((_, state)) => state,
                None if self.is_finished(index) => &FINISHED,
                None => &UNTOUCHED,
            };
            (index, state)
        })
    }

    /// Returns the tasks that have a state of their own, with their numbers.
    pub(crate) fn touched(&self) -> impl Iterator<Item = (u32, &TaskState)> {
        self.touched.iter().map(|(index, state)| (*index, state))
    }

    /// Returns a bit per task: whether its success is stored. Bytes at the end may be missing.
    pub(crate) fn finished_bits(&self) -> &[u8] {
        &self.finished
    }

    /// Records that the success of a task is stored.
    pub(crate) fn finish(&mut self, index: u32) {
        if index >= self.count {
            return;
        }
        self.touched.remove(&index);
        let (byte, bit) = position(index);
        if self.finished.len() <= byte {
            self.finished.resize(byte.saturating_add(1), 0);
        }
        if let Some(byte) = self.finished.get_mut(byte) {
            *byte |= bit;
        }
    }

    fn is_finished(&self, index: u32) -> bool {
        let (byte, bit) = position(index);
        self.finished.get(byte).is_some_and(|byte| byte & bit != 0)
    }
}

/// Returns the byte and the bit of a task.
fn position(index: u32) -> (usize, u8) {
    let byte = usize::try_from(index / 8).unwrap_or(usize::MAX);
    (byte, 1 << (index % 8))
}
