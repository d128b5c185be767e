//! The target size, worked out from measured lines.

use std::collections::BTreeMap;
use std::fmt;

use super::{FittedLine, SeriesKind};

/// What the system has to carry at the target.
#[derive(Clone, Copy, Debug)]
pub struct TargetSize {
    /// Workers.
    pub workers: f64,
    /// Tasks running.
    pub running_tasks: f64,
    /// Task starts a second at the peak.
    pub starts_per_second: f64,
    /// Configuration changes a second, on the average of a day.
    pub changes_per_second: f64,
}

impl TargetSize {
    const SECONDS_PER_DAY: f64 = 86_400.0;
    const CHANGES_PER_DAY: f64 = 5_300.0;

    /// Creates the target of the users.
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

/// What a daemon may spend on control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DaemonBudget {
    /// Share of one core in percent.
    pub cpu_percent: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Traffic in KB a second.
    pub traffic_kb: f64,
}

impl DaemonBudget {
    /// Creates the bounds that the users have set.
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

/// Lines of processor share, memory and traffic for each series.
#[derive(Clone, Debug, Default)]
pub struct SlopeTable {
    cpu: BTreeMap<SeriesKind, FittedLine>,
    memory: BTreeMap<SeriesKind, FittedLine>,
    traffic: BTreeMap<SeriesKind, FittedLine>,
}

impl SlopeTable {
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

    /// Works out the daemons that each bound needs at the target.
    pub fn plan(&self, target: &TargetSize) -> TargetPlan {
        let budget = DaemonBudget::new();
        TargetPlan {
            cpu: BoundPlan::new(&self.cpu, target, budget.cpu_percent),
            memory: BoundPlan::new(&self.memory, target, budget.memory_mb),
            traffic: BoundPlan::new(&self.traffic, target, budget.traffic_kb),
        }
    }
}

/// What one bound needs at the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundPlan {
    /// Cost of a daemon that owns nothing, with the changes of the target.
    pub fixed: f64,
    /// Cost of all workers, tasks and starts together.
    pub shared: f64,
    /// The bound of one daemon.
    pub bound: f64,
}

impl BoundPlan {
    /// Splits the cost into that of each daemon and that which the daemons share.
    fn new(lines: &BTreeMap<SeriesKind, FittedLine>, target: &TargetSize, bound: f64) -> Self {
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
            bound,
        }
    }

    /// Returns the daemons needed; `None` when a daemon that owns nothing is over the bound.
    pub fn daemons(&self) -> Option<u64> {
        let room = self.bound - self.fixed;
        (room > 0.0).then(|| (self.shared / room).ceil().max(1.0) as u64)
    }
}

/// What each bound needs at the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetPlan {
    /// Processor share in percent of a core.
    pub cpu: BoundPlan,
    /// Memory in MB.
    pub memory: BoundPlan,
    /// Traffic in KB a second.
    pub traffic: BoundPlan,
}

impl fmt::Display for TargetPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("cpu %", &self.cpu),
            ("MB", &self.memory),
            ("KB/s", &self.traffic),
        ];
        for (name, plan) in rows {
            let daemons = match plan.daemons() {
                Some(daemons) => format!("{daemons} daemons"),
                None => format!(
                    "does not fit: {:.1} times the bound",
                    plan.fixed / plan.bound
                ),
            };
            writeln!(
                f,
                "target {name:<6} each daemon {:.3} + shared {:.1}, bound {:.1}: {daemons}",
                plan.fixed, plan.shared, plan.bound
            )?;
        }
        Ok(())
    }
}
