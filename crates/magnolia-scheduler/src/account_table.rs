//! What the owner knows of each client account: what its tasks take, its share and its limits.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use magnolia_types::{Millis, ResourceVector, wire_types};

use crate::account_limits::{AccountLoad, UrgentDemand};
use crate::executor_state::RunCharge;
use crate::fair_share::ShareClock;
use crate::{AccountName, AccountRules};

/// Time without a task that waits for the limit after which an account counts as below it again.
const LIMIT_CLEAR_TIME: Millis = Millis::new(1000);

wire_types! {
    /// Counts of a client account for operators.
    pub struct AccountSummary {
        /// Name of the account.
        pub name: AccountName,
        /// Its weight, in thousandths of a job a second.
        pub weight: u64,
        /// Its limit; an amount of zero is no limit.
        pub cap: ResourceVector,
        /// Resources of its runs.
        pub running: ResourceVector,
        /// Most resources that runs of earlier owners may take beside them.
        pub unlocated: ResourceVector,
        /// Jobs that have not ended.
        pub live_jobs: usize,
        /// Jobs of which no task has started.
        pub waiting_jobs: usize,
        /// Jobs that have not ended and were accepted beyond its share.
        pub beyond_share: usize,
        /// Jobs refused by this owner because the account is beyond its share.
        pub refused_share: u64,
        /// Jobs refused by this owner for other reasons.
        pub refused_other: u64,
        /// Whether tasks wait for its limit.
        pub at_limit: bool,
    }
}

impl Eq for AccountSummary {}

/// State of one account.
#[derive(Clone, Debug)]
pub(crate) struct AccountState {
    /// Rules as of the last job that was accepted or loaded; for accounts that are not configured any
    /// more.
    pub(crate) last_rules: Arc<AccountRules>,
    pub(crate) load: AccountLoad,
    pub(crate) clock: ShareClock,
    /// Processors of the urgent runs, in thousandths.
    pub(crate) urgent_millis: u64,
    pub(crate) urgent_demand: UrgentDemand,
    pub(crate) refused_share: u64,
    pub(crate) refused_other: u64,
    /// When a task last waited for the limit.
    limited_at: Option<Millis>,
    at_limit: bool,
}

/// The accounts of which this owner has known a job.
#[derive(Debug, Default)]
pub(crate) struct AccountTable {
    states: BTreeMap<AccountName, AccountState>,
}

impl AccountTable {
    pub(crate) fn get(&self, name: &AccountName) -> Option<&AccountState> {
        self.states.get(name)
    }

    /// Returns the state of an account, which is created if there is none.
    pub(crate) fn entry(&mut self, rules: &Arc<AccountRules>) -> &mut AccountState {
        let new = || AccountState {
            last_rules: Arc::clone(rules),
            load: AccountLoad::default(),
            clock: ShareClock::default(),
            urgent_millis: 0,
            urgent_demand: UrgentDemand::default(),
            refused_share: 0,
            refused_other: 0,
            limited_at: None,
            at_limit: false,
        };
        self.states.entry(rules.name.clone()).or_insert_with(new)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&AccountName, &AccountState)> {
        self.states.iter()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Tells whether runs of earlier owners may take something for an account.
    pub(crate) fn has_unlocated(&self) -> bool {
        let unlocated = |state: &AccountState| !state.load.unlocated.is_zero();
        self.states.values().any(unlocated)
    }

    /// Adds what a run takes.
    pub(crate) fn charge(&mut self, charge: &RunCharge) {
        if let Some(state) = self.states.get_mut(&charge.account) {
            state.load.running = state.load.running.saturating_add(&charge.need);
            let urgent = state.urgent_millis.saturating_add(charge.urgent_millis());
            state.urgent_millis = urgent;
        }
    }

    /// Subtracts what a run took.
    pub(crate) fn release(&mut self, charge: &RunCharge) {
        if let Some(state) = self.states.get_mut(&charge.account) {
            let running = state.load.running.checked_sub(&charge.need);
            state.load.running = running.unwrap_or_default();
            let urgent = state.urgent_millis.saturating_sub(charge.urgent_millis());
            state.urgent_millis = urgent;
        }
    }

    /// Replaces what runs of earlier owners may take on executors that have not answered.
    pub(crate) fn set_unlocated(&mut self, unlocated: &BTreeMap<AccountName, ResourceVector>) {
        for (name, state) in &mut self.states {
            state.load.unlocated = unlocated.get(name).copied().unwrap_or_default();
        }
    }

    /// Records that tasks of these accounts wait for the limit, and logs which accounts come to it
    /// and leave it.
    pub(crate) fn record_limited(&mut self, limited: &BTreeSet<AccountName>, now: Millis) {
        for (name, state) in &mut self.states {
            if limited.contains(name) {
                state.limited_at = Some(now);
            }
            let recent = |at: Millis| now.saturating_sub(at) < LIMIT_CLEAR_TIME;
            let at_limit = state.limited_at.is_some_and(recent);
            if at_limit != state.at_limit {
                state.at_limit = at_limit;
                let message = if at_limit {
                    "client account has reached its limit; its tasks wait"
                } else {
                    "client account is below its limit again"
                };
                log::info!(account:% = name, running:% = state.load.running,
                    unlocated:% = state.load.unlocated; "{message}");
            }
        }
    }

    /// Forgets accounts of which nothing runs, unless `keep` holds.
    pub(crate) fn retain(&mut self, keep: impl Fn(&AccountName) -> bool) {
        let idle = |state: &AccountState| state.load == AccountLoad::default();
        self.states.retain(|name, state| !idle(state) || keep(name));
    }
}

impl AccountState {
    pub(crate) fn is_at_limit(&self) -> bool {
        self.at_limit
    }
}
