//! Index of workers by free resources that finds tight fits without a scan of the fleet.

use std::collections::{BTreeMap, BTreeSet};

use magnolia_types::ResourceVector;

use crate::resource_ledger::WorkerIndex;

/// Binary logarithm of the number of levels per doubling of free memory.
///
/// With eight levels, a level spans at most an eighth of its lowest amount.
const LEVELS_PER_OCTAVE_BITS: u32 = 3;

/// Key of a pool: workers of equal capacity with the same number of free accelerators, either
/// all reserved or all not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PoolKey {
    capacity_index: usize,
    reserved: bool,
    accelerators: u32,
}

/// Free CPU in thousandths of a processor, free memory in MiB, and the worker.
type FitEntry = (u64, u64, WorkerIndex);

/// Workers by level of free memory; each level is sorted by free CPU.
type FitPool = BTreeMap<u16, BTreeSet<FitEntry>>;

/// Resources that a task requires of a worker, and limits of the search for one.
#[derive(Clone, Copy, Debug)]
pub struct FitQuery {
    /// Resources that the task gets.
    pub size: ResourceVector,
    /// Percentage of the capacity of a worker that the task must leave free.
    pub headroom_percent: u8,
    /// Whether a task without accelerators may use the CPU and memory that are set aside for the
    /// free accelerators of a worker.
    pub may_use_accelerator_share: bool,
    /// Maximum number of workers to visit in each level of a pool.
    pub per_level: usize,
    /// Number of visited workers after which no further level of a pool is searched.
    pub per_pool: usize,
}

impl FitQuery {
    /// Returns the resources that the task must leave free on a worker of this capacity; zero when
    /// not even an empty worker has enough for the task and the headroom.
    pub fn headroom(&self, capacity: &ResourceVector) -> ResourceVector {
        let percent = u64::from(self.headroom_percent);
        let headroom = ResourceVector::new(
            capacity.cpu_millis.get() * percent / 100,
            capacity.memory_mib.get() * percent / 100,
            0,
        );
        if self.size.saturating_add(&headroom).fits_in(capacity) {
            headroom
        } else {
            ResourceVector::default()
        }
    }

    /// Returns the minimum free CPU and memory, in the units of [`FitEntry`], that the task needs
    /// on a worker of this capacity with this many free accelerators; `None` when the task cannot
    /// run there.
    ///
    /// A task that does not fit beside the headroom needs an empty worker instead.
    fn least_free(&self, capacity: &ResourceVector, accelerators: u32) -> Option<(u64, u64)> {
        if !self.size.fits_in(capacity) || self.size.accelerators > accelerators {
            return None;
        }
        let (all_cpu, all_memory) = (capacity.cpu_millis.get(), capacity.memory_mib.get());
        let percent = u64::from(self.headroom_percent);
        let accelerator_share = |all: u64| match (self.size.accelerators, capacity.accelerators) {
            (0, 1..) if !self.may_use_accelerator_share => {
                all / u64::from(capacity.accelerators) * u64::from(accelerators)
            }
            _ => 0,
        };
        let cpu = self.size.cpu_millis.get() + accelerator_share(all_cpu);
        let memory = self.size.memory_mib.get() + accelerator_share(all_memory);
        if cpu > all_cpu || memory > all_memory {
            return None;
        }
        let cpu = cpu + all_cpu * percent / 100;
        let memory = memory + all_memory * percent / 100;
        if cpu > all_cpu || memory > all_memory {
            return Some((all_cpu, all_memory));
        }
        Some((cpu, memory))
    }
}

/// Position of a worker in the index.
#[derive(Clone, Copy, Debug)]
struct FitPosition {
    key: PoolKey,
    level: u16,
    entry: FitEntry,
}

/// Workers by free resources. The scored policy inserts a worker again when its resources change.
#[derive(Default)]
pub struct FitIndex {
    capacities: Vec<ResourceVector>,
    pools: BTreeMap<PoolKey, FitPool>,
    positions: Vec<Option<FitPosition>>,
    total_free: ResourceVector,
}

impl FitIndex {
    /// Returns the sum of the free resources of all indexed workers.
    pub fn total_free(&self) -> &ResourceVector {
        &self.total_free
    }

    /// Inserts a worker or moves it to its new position.
    ///
    /// `reserved` workers are visited after the others of the same capacity.
    pub fn insert(
        &mut self,
        worker: WorkerIndex,
        capacity: &ResourceVector,
        free: &ResourceVector,
        reserved: bool,
    ) {
        self.remove(worker);
        let capacity_index = self.capacity_index_of(capacity);
        let key = PoolKey {
            capacity_index,
            reserved,
            accelerators: free.accelerators,
        };
        let entry = (free.cpu_millis.get(), free.memory_mib.get(), worker);
        let level = level_of(entry.1);
        let pool = self.pools.entry(key).or_default();
        pool.entry(level).or_default().insert(entry);
        if self.positions.len() <= worker {
            self.positions.resize(worker + 1, None);
        }
        self.positions[worker] = Some(FitPosition { key, level, entry });
        self.total_free = self.total_free.saturating_add(free);
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: WorkerIndex) {
        let Some(position) = self.positions.get_mut(worker).and_then(Option::take) else {
            return;
        };
        let (cpu, memory, _) = position.entry;
        let free = ResourceVector::new(cpu, memory, position.key.accelerators);
        self.total_free = self.total_free.checked_sub(&free).unwrap_or_default();
        let Some(pool) = self.pools.get_mut(&position.key) else {
            return;
        };
        if let Some(level) = pool.get_mut(&position.level) {
            level.remove(&position.entry);
            if level.is_empty() {
                pool.remove(&position.level);
            }
        }
        if pool.is_empty() {
            self.pools.remove(&position.key);
        }
    }

    /// Visits workers with enough free resources, the tightest fits of each pool first.
    ///
    /// `with_accelerators` selects workers whose capacity includes accelerators, or only those
    /// without. `visit` returns whether the worker counts towards the limits of the query.
    pub fn visit(
        &self,
        query: &FitQuery,
        with_accelerators: bool,
        visit: &mut dyn FnMut(WorkerIndex, ResourceVector) -> bool,
    ) {
        for (key, pool) in &self.pools {
            let capacity = &self.capacities[key.capacity_index];
            if (capacity.accelerators > 0) != with_accelerators {
                continue;
            }
            if let Some(least) = query.least_free(capacity, key.accelerators) {
                visit_pool(pool, query, least, &mut |cpu, memory, worker| {
                    visit(worker, ResourceVector::new(cpu, memory, key.accelerators))
                });
            }
        }
    }

    fn capacity_index_of(&mut self, capacity: &ResourceVector) -> usize {
        let known = self.capacities.iter().position(|known| known == capacity);
        known.unwrap_or_else(|| {
            self.capacities.push(*capacity);
            self.capacities.len() - 1
        })
    }
}

/// Visits the fitting workers of one pool, levels with less free memory first.
fn visit_pool(
    pool: &FitPool,
    query: &FitQuery,
    (least_cpu, least_memory): (u64, u64),
    visit: &mut dyn FnMut(u64, u64, WorkerIndex) -> bool,
) {
    let mut in_pool = 0;
    for entries in pool.range(level_of(least_memory)..).map(|(_, set)| set) {
        let mut in_level = 0;
        for &(cpu, memory, worker) in entries.range((least_cpu, 0, 0)..) {
            if memory < least_memory || !visit(cpu, memory, worker) {
                continue;
            }
            in_level += 1;
            if in_level == query.per_level {
                break;
            }
        }
        in_pool += in_level;
        if in_pool >= query.per_pool {
            return;
        }
    }
}

/// Returns the level of an amount, formed from its binary logarithm and the three bits that
/// follow its highest bit.
fn level_of(amount: u64) -> u16 {
    let Some(power) = amount.checked_ilog2() else {
        return 0;
    };
    let bits = power.min(LEVELS_PER_OCTAVE_BITS);
    let fraction = (amount >> (power - bits)) - (1 << bits);
    let fraction = fraction << (LEVELS_PER_OCTAVE_BITS - bits);
    let level = (u64::from(power) << LEVELS_PER_OCTAVE_BITS) + fraction + 1;
    u16::try_from(level).unwrap_or(u16::MAX)
}
