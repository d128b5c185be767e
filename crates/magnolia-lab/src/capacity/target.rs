//! Number of daemons for the target size, computed from the fitted lines.

use std::collections::BTreeMap;
use std::fmt;

use super::{FittedLine, SeriesKind};

/// Fitted memory is in MiB, the users' limit is in MB.
const MB_PER_MIB: f64 = 1.048_576;

/// Load of the whole system at the target size.
#[derive(Clone, Copy, Debug)]
pub struct TargetSize {
    /// Number of workers.
    pub workers: f64,
    /// Number of running tasks.
    pub running_tasks: f64,
    /// Task starts per second at the peak.
    pub starts_per_second: f64,
    /// Configuration changes per second, as the average of a day.
    pub changes_per_second: f64,
}

impl TargetSize {
    const SECONDS_PER_DAY: f64 = 86_400.0;
    const CHANGES_PER_DAY: f64 = 5_300.0;

    /// Creates the target size that the users require.
    pub fn new() -> Self {
        Self {
            workers: 12_000.0,
            running_tasks: 56_000.0,
            starts_per_second: 4_100.0,
            changes_per_second: Self::CHANGES_PER_DAY / Self::SECONDS_PER_DAY,
        }
    }
}

impl Default for TargetSize {
    fn default() -> Self {
        Self::new()
    }
}

/// Limits on the resources that one daemon may use for scheduling.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DaemonBudget {
    /// Processor usage in percent of one core.
    pub cpu_percent: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Traffic in KB per second.
    pub traffic_kb: f64,
}

impl DaemonBudget {
    /// Creates the limits that the users require.
    pub fn new() -> Self {
        Self {
            cpu_percent: 4.6,
            memory_mb: 64.0,
            traffic_kb: 9.0,
        }
    }
}

impl Default for DaemonBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Fitted lines of processor usage, memory and traffic for each series.
#[derive(Clone, Debug, Default)]
pub struct LineTable {
    cpu: BTreeMap<SeriesKind, FittedLine>,
    memory: BTreeMap<SeriesKind, FittedLine>,
    traffic: BTreeMap<SeriesKind, FittedLine>,
}

impl LineTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the lines of a series.
    pub fn insert(
        &mut self,
        kind: SeriesKind,
        cpu: FittedLine,
        memory: FittedLine,
        traffic: FittedLine,
    ) {
        self.cpu.insert(kind, cpu);
        self.memory.insert(kind, memory);
        self.traffic.insert(kind, traffic);
    }

    /// Computes the number of daemons that each limit requires at the target size.
    pub fn plan(&self, target: &TargetSize) -> TargetPlan {
        let budget = DaemonBudget::new();
        TargetPlan {
            cpu: ResourcePlan::new(&self.cpu, target, budget.cpu_percent),
            memory: ResourcePlan::new(&self.memory, target, budget.memory_mb / MB_PER_MIB),
            traffic: ResourcePlan::new(&self.traffic, target, budget.traffic_kb),
        }
    }
}

/// Usage of one resource at the target size, and its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourcePlan {
    /// Usage of a daemon that owns nothing, at the target rate of configuration changes.
    pub fixed: f64,
    /// Usage for all workers, tasks and starts, which the daemons share.
    pub shared: f64,
    /// Limit of one daemon.
    pub limit: f64,
}

impl ResourcePlan {
    /// Splits the usage into a fixed part of each daemon and a part that the daemons share.
    fn new(lines: &BTreeMap<SeriesKind, FittedLine>, target: &TargetSize, limit: f64) -> Self {
        let line = |kind| lines.get(&kind).copied().unwrap_or_default();
        let slope = |kind| line(kind).slope.max(0.0);
        let fixed = line(SeriesKind::Workers).intercept.max(0.0)
            + slope(SeriesKind::ChangesPerSecond) * target.changes_per_second;
        let shared = slope(SeriesKind::Workers) * target.workers
            + slope(SeriesKind::RunningTasks) * target.running_tasks
            + slope(SeriesKind::StartsPerSecond) * target.starts_per_second;
        Self {
            fixed,
            shared,
            limit,
        }
    }

    /// Returns the number of daemons needed; `None` when a daemon that owns nothing exceeds the
    /// limit.
    pub fn daemons(&self) -> Option<u64> {
        let headroom = self.limit - self.fixed;
        (headroom > 0.0).then(|| (self.shared / headroom).ceil().max(1.0) as u64)
    }
}

/// Usage at the target size for each resource.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetPlan {
    /// Processor usage in percent of one core.
    pub cpu: ResourcePlan,
    /// Memory in MiB.
    pub memory: ResourcePlan,
    /// Traffic in KB per second.
    pub traffic: ResourcePlan,
}

impl fmt::Display for TargetPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("cpu %", &self.cpu),
            ("MiB", &self.memory),
            ("KB/s", &self.traffic),
        ];
        for (name, plan) in rows {
            let daemons = match plan.daemons() {
                Some(daemons) => format!("{daemons} daemons"),
                None => format!(
                    "not possible: a daemon that owns nothing uses {:.1} times the limit",
                    plan.fixed / plan.limit
                ),
            };
            writeln!(
                f,
                "target {name:<6} {:.3} per daemon + {:.1} shared, limit {:.1}: {daemons}",
                plan.fixed, plan.shared, plan.limit
            )?;
        }
        Ok(())
    }
}
