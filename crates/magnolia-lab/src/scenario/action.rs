//! Faults that the torture scenario injects.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use serde_json::{Value, json};

use super::ScenarioError;
use crate::cell::RunningCell;
use crate::proxy::ProxyFaults;

/// A fault and its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultAction {
    /// Kills a daemon and starts it again.
    Kill(usize),
    /// Pauses a daemon.
    Pause(usize),
    /// Stops a daemon as planned and starts it again.
    Stop(usize),
    /// Closes the connections of a daemon to the log.
    CutLog(usize),
    /// Closes the connections of other daemons to a daemon.
    CutInner(usize),
    /// Black-holes the open connections of other daemons to a daemon.
    BlackHoleInner(usize),
    /// Makes the log refuse all calls.
    LogOutage,
    /// Delays appends by 5 s.
    SlowLog,
    /// Makes the log drop a part of the answers to appends that took effect, and store truncated
    /// records before a part of the appends.
    LostAppends,
    /// Makes a worker unreachable.
    WorkerUnreachable(usize),
    /// Makes a worker drop a part of its answers and carry out a part of the batches twice.
    WorkerLoses(usize),
    /// Restarts a worker.
    WorkerRestart(usize),
    /// Makes an executor drop a part of its answers.
    ExecutorLoses(usize),
    /// Black-holes the open connections to an executor.
    BlackHoleExecutor(usize),
    /// Makes the requests of an executor hang and hold their slots.
    ExecutorHangs(usize),
    /// Makes an executor leave and return.
    ExecutorLeaves(usize),
    /// Makes a worker leave and return.
    WorkerLeaves(usize),
    /// Makes the tasks of a worker run four times as long as declared.
    WorkerSlow(usize),
}

impl fmt::Display for FaultAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

impl FaultAction {
    /// Picks a random fault for a cell of this size.
    pub fn draw(
        random: &mut impl RngExt,
        daemons: usize,
        workers: usize,
        executors: usize,
    ) -> Self {
        let kind = random.random_range(0..18);
        let daemon = random.random_range(0..daemons);
        let worker = random.random_range(0..workers);
        let executor = random.random_range(0..executors);
        match kind {
            0 => Self::Kill(daemon),
            1 => Self::Pause(daemon),
            2 => Self::Stop(daemon),
            3 => Self::CutLog(daemon),
            4 => Self::CutInner(daemon),
            5 => Self::BlackHoleInner(daemon),
            6 => Self::LogOutage,
            7 => Self::SlowLog,
            8 => Self::LostAppends,
            9 => Self::WorkerUnreachable(worker),
            10 => Self::WorkerLoses(worker),
            11 => Self::WorkerRestart(worker),
            12 => Self::ExecutorLoses(executor),
            13 => Self::ExecutorHangs(executor),
            14 => Self::ExecutorLeaves(executor),
            15 => Self::WorkerLeaves(worker),
            16 => Self::WorkerSlow(worker),
            _ => Self::BlackHoleExecutor(executor),
        }
    }

    /// Injects the fault and clears it after the time `hold`.
    ///
    /// # Errors
    ///
    /// Fails when a call to the cell fails.
    pub async fn run(&self, cell: &mut RunningCell, hold: Duration) -> Result<(), ScenarioError> {
        self.begin(cell).await?;
        tokio::time::sleep(hold).await;
        self.end(cell).await
    }

    /// Injects the fault.
    ///
    /// # Errors
    ///
    /// Fails when a call to the cell fails.
    pub async fn begin(&self, cell: &mut RunningCell) -> Result<(), ScenarioError> {
        match self {
            Self::Kill(daemon) if is_running(cell, *daemon) => cell.kill_daemon(*daemon).await?,
            Self::Pause(daemon) if is_running(cell, *daemon) => cell.pause_daemon(*daemon)?,
            Self::Stop(daemon) if is_running(cell, *daemon) => {
                cell.stop_daemon(*daemon).await?;
            }
            Self::Kill(_) | Self::Pause(_) | Self::Stop(_) => {}
            Self::CutLog(daemon) => set(cell, "log:d", *daemon, ProxyFaults::new_cut()),
            Self::CutInner(daemon) => set(cell, "inner:d", *daemon, ProxyFaults::new_cut()),
            Self::BlackHoleInner(daemon) => {
                cell.proxy(&format!("inner:d{daemon}"))
                    .black_hole_open_connections();
            }
            Self::BlackHoleExecutor(executor) => {
                cell.proxy(&format!("executor:e{executor:03}"))
                    .black_hole_open_connections();
            }
            _ => self.set_standin(cell, &self.standin_faults()).await?,
        }
        Ok(())
    }

    /// Clears the fault.
    ///
    /// # Errors
    ///
    /// Fails when a call to the cell fails.
    pub async fn end(&self, cell: &mut RunningCell) -> Result<(), ScenarioError> {
        match self {
            Self::Kill(daemon) | Self::Stop(daemon) => {
                if !is_running(cell, *daemon) {
                    cell.start_daemon(*daemon)?;
                    cell.announce_instances().await?;
                }
            }
            Self::Pause(daemon) if is_running(cell, *daemon) => cell.resume_daemon(*daemon)?,
            Self::Pause(_) => {}
            Self::CutLog(daemon) => set(cell, "log:d", *daemon, ProxyFaults::default()),
            Self::CutInner(daemon) | Self::BlackHoleInner(daemon) => {
                set(cell, "inner:d", *daemon, ProxyFaults::default());
            }
            Self::BlackHoleExecutor(executor) => {
                cell.proxy(&format!("executor:e{executor:03}"))
                    .set_faults(ProxyFaults::default());
            }
            _ => self.set_standin(cell, &json!({})).await?,
        }
        Ok(())
    }

    fn standin_faults(&self) -> Value {
        match self {
            Self::LogOutage => json!({"outage": "refuse"}),
            Self::SlowLog => json!({"append_delay_ms": 5000}),
            Self::LostAppends => json!({"lose_answers_percent": 50, "foreign_percent": 20}),
            Self::WorkerUnreachable(_) => json!({"unreachable": true}),
            Self::WorkerLoses(_) => {
                json!({"lose_answers_percent": 30, "double_percent": 30})
            }
            Self::WorkerRestart(_) => json!({"restarts": 1}),
            Self::ExecutorLoses(_) => json!({"lose_answers_percent": 30}),
            Self::ExecutorHangs(_) => json!({"hang": true}),
            Self::ExecutorLeaves(_) | Self::WorkerLeaves(_) => json!({"leaving": true}),
            Self::WorkerSlow(_) => json!({"run_time_percent": 400}),
            _ => json!({}),
        }
    }

    /// Sets the faults of a stand-in. Workers and executors continue to ignore their limits, so
    /// that only the scheduler prevents overcommitment.
    async fn set_standin(&self, cell: &RunningCell, faults: &Value) -> Result<(), ScenarioError> {
        let mut faults = faults.clone();
        let address = match self {
            Self::WorkerUnreachable(worker)
            | Self::WorkerLoses(worker)
            | Self::WorkerRestart(worker)
            | Self::WorkerLeaves(worker)
            | Self::WorkerSlow(worker) => cell.worker(*worker),
            Self::ExecutorLoses(executor)
            | Self::ExecutorHangs(executor)
            | Self::ExecutorLeaves(executor) => cell.executor(*executor),
            _ => return Ok(cell.set_faults(cell.log, &faults).await?),
        };
        faults["ignore_limits"] = true.into();
        Ok(cell.set_faults(address, &faults).await?)
    }
}

fn is_running(cell: &RunningCell, daemon: usize) -> bool {
    cell.daemons[daemon].process.is_some()
}

fn set(cell: &RunningCell, kind: &str, daemon: usize, faults: ProxyFaults) {
    cell.proxy(&format!("{kind}{daemon}")).set_faults(faults);
}
