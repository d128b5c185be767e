//! Admission control for submitted jobs.
//!
//! Under overload, a job that is expected to end too late to be of use to its caller is refused at
//! once, with the time after which the backlog should have drained.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use std::collections::BTreeMap;

use magnolia_types::Millis;

use crate::AccountName;

/// Load that a new job has to wait for, and its own objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLoad {
    /// Accepted, unfinished work that runs before the job or at the same time, in
    /// core-milliseconds.
    pub backlog_work: u64,
    /// Processors that this work can use, in thousandths.
    pub capacity_millis: u64,
    /// The part of that work that belongs to the job's own client account, in core-milliseconds.
    pub account_work: u64,
    /// Processors that the tasks of the account may take, in thousandths, if it has such a limit.
    pub account_millis: Option<u64>,
    /// Time that the queued eligibility requests will take.
    pub eligibility_backlog: Millis,
    /// Time within which the job counts as on time.
    pub objective: Millis,
    /// Estimated run time of the job's critical path.
    pub critical_path: Millis,
    /// Whether the job is beyond the share of its account, so that all others of its priority come
    /// first.
    pub beyond_share: bool,
}

/// Work that competes with a new job, by client account.
#[derive(Debug, Default)]
pub(crate) struct AccountBacklog<'a> {
    /// Work of jobs without an account.
    open: u64,
    accounts: BTreeMap<&'a AccountName, u64>,
}

impl<'a> AccountBacklog<'a> {
    pub(crate) fn add(&mut self, account: Option<&'a AccountName>, work: u64) {
        let sum = match account {
            Some(name) => self.accounts.entry(name).or_default(),
            None => &mut self.open,
        };
        *sum = sum.saturating_add(work);
    }

    /// Returns the work of an account.
    pub(crate) fn of(&self, name: &AccountName) -> u64 {
        self.accounts.get(name).copied().unwrap_or(0)
    }

    /// Returns the work that can run within `time`: an account gets through no more than the
    /// processors of its `cap` do, in thousandths, where it is above zero.
    pub(crate) fn total(&self, time: Millis, cap: impl Fn(&AccountName) -> u64) -> u64 {
        let possible = |(name, work): (&&AccountName, &u64)| match cap(name) {
            0 => *work,
            cap => cap.saturating_mul(time.get()) / 1000,
        };
        let bounded = self
            .accounts
            .iter()
            .map(|(name, work)| possible((name, work)).min(*work));
        bounded.fold(self.open, u64::saturating_add)
    }
}

/// What a refused job would have to wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Work that comes before it in the cell.
    Load,
    /// Work of its own client account, which its limit lets run no faster.
    AccountLimit,
    /// Work of accounts within their share: its own account is beyond.
    Share,
    /// Memory of the daemons, which other jobs take.
    Memory,
}

/// Decision on a new job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The job is accepted.
    Accept,
    /// The job is refused and never runs.
    Refuse {
        /// Time after which the backlog should have drained far enough.
        retry_after: Millis,
        /// What the job would have to wait for.
        reason: RefusalReason,
    },
}

/// Longest expected completion time of an accepted job, in percent of its objective: up to three
/// times the objective a job is late, beyond that it is of no use to its caller.
const MAX_COMPLETION_PERCENT: u64 = 300;
/// Share of the processors, in percent, that tasks of one queue can use: the rest stays idle
/// because of eligibility and fragmentation.
const USABLE_PERCENT: u64 = 75;
/// Shortest retry delay; shorter ones only add load.
const MIN_RETRY_AFTER: Millis = Millis::new(1000);
/// Longest retry delay; beyond it, backlogs drain faster than can be predicted.
const MAX_RETRY_AFTER: Millis = Millis::new(10_000);

/// Returns the time within which a job with this objective is of use to its caller.
pub(crate) fn latest_useful_end(objective: Millis) -> Millis {
    Millis::new(objective.get().saturating_mul(MAX_COMPLETION_PERCENT) / 100)
}

/// Accepts a job if its expected completion time is within the limit set by its objective.
pub fn decide_admission(load: &AdmissionLoad) -> AdmissionDecision {
    let capacity = (load.capacity_millis.saturating_mul(USABLE_PERCENT) / 100).max(1);
    let drain = load.backlog_work.saturating_mul(1000).checked_div(capacity);
    let of_cell = drain.unwrap_or(u64::MAX);
    let of_account = load.account_millis.map_or(0, |limit| {
        let work = load.account_work.saturating_mul(1000);
        work.checked_div(limit).unwrap_or(u64::MAX)
    });
    let drain = of_cell.max(of_account);
    let wait = drain.saturating_add(load.eligibility_backlog.get());
    let expected = wait.saturating_add(load.critical_path.get());
    let limit = latest_useful_end(load.objective).get();
    if expected <= limit {
        return AdmissionDecision::Accept;
    }
    let excess = Millis::new(expected.saturating_sub(limit));
    let retry_after = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    let reason = if load.beyond_share {
        RefusalReason::Share
    } else if of_account > of_cell {
        RefusalReason::AccountLimit
    } else {
        RefusalReason::Load
    };
    AdmissionDecision::Refuse {
        retry_after,
        reason,
    }
}
