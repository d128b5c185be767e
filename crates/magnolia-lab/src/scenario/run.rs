//! A running cell with its load.

use std::path::Path;
use std::time::Duration;

use magnolia_config::RulesSection;
use magnolia_types::Millis;
use tokio::task::JoinHandle;

use crate::cell::{CellBuilder, CellError, RunningCell};
use crate::checker::check_all;
use crate::history::{History, HistoryError, HistoryWriter};
use crate::load::{ConfigObserver, LoadClient, LoadMix, LoadSettings};

/// Lease of workers in the lab, short enough that leases expire during a run.
pub const LAB_LEASE: Millis = Millis::from_secs(3);
/// Start window of workers in the lab, in the same ratio to the lease as by default.
const LAB_START_WINDOW: Millis = Millis::new(1200);

/// Reasons for which a scenario failed.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The cell did not start or a call to it failed.
    #[error(transparent)]
    Cell(#[from] CellError),
    /// A history cannot be read.
    #[error(transparent)]
    History(#[from] HistoryError),
    /// A file cannot be read or written.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Returns the default rules with short leases.
pub fn lab_rules() -> RulesSection {
    RulesSection {
        lease_ms: LAB_LEASE,
        start_window_ms: LAB_START_WINDOW,
        ..RulesSection::default()
    }
}

/// A running cell with its load.
pub struct ScenarioRun {
    /// The cell.
    pub cell: RunningCell,
    load: Vec<JoinHandle<()>>,
    _observer: ConfigObserver,
}

impl ScenarioRun {
    /// Starts a cell and waits until every unit has an owner.
    ///
    /// # Errors
    ///
    /// Fails when the cell does not start.
    pub async fn start(builder: CellBuilder) -> Result<Self, ScenarioError> {
        Self::new(builder.start().await?).await
    }

    /// Wraps a running cell and waits until every unit has an owner.
    ///
    /// # Errors
    ///
    /// Fails when a unit gets no owner.
    pub async fn new(cell: RunningCell) -> Result<Self, ScenarioError> {
        cell.wait_owners(0).await?;
        let writer = HistoryWriter::open(&cell.history_folder().join("observer.jsonl"))?;
        let observer = ConfigObserver::start(cell.daemon_addresses(), writer);
        Ok(Self {
            cell,
            load: Vec::new(),
            _observer: observer,
        })
    }

    /// Returns the settings of a load on all daemons.
    ///
    /// # Errors
    ///
    /// Fails when the history of the load cannot be opened.
    pub fn load(
        &self,
        rate: u32,
        mix: LoadMix,
        seconds: u64,
        seed: u64,
    ) -> std::io::Result<LoadSettings> {
        let name = format!("load-{}.jsonl", self.load.len());
        Ok(LoadSettings {
            daemons: self.cell.daemon_addresses(),
            rate,
            mix,
            duration: Duration::from_secs(seconds),
            max_job_wait: Duration::from_secs(20),
            seed,
            history: HistoryWriter::open(&self.cell.history_folder().join(name))?,
        })
    }

    /// Starts a load in the background.
    pub fn start_load(&mut self, settings: LoadSettings) {
        self.load
            .push(tokio::spawn(LoadClient::new(settings).run()));
    }

    /// Waits until the loads end, and reads and merges the histories.
    ///
    /// # Errors
    ///
    /// Fails when a history cannot be read.
    pub async fn finish(&mut self) -> Result<History, ScenarioError> {
        for load in self.load.drain(..) {
            load.await.map_err(std::io::Error::other)?;
        }
        Ok(self.cell.read_history()?)
    }
}

/// Prints the violations of a history and returns whether there are none.
pub(super) fn report_violations(history: &History, folder: &Path) -> bool {
    let violations = check_all(history);
    violations
        .iter()
        .for_each(|violation| println!("  {violation}"));
    let (events, count) = (history.records.len(), violations.len());
    println!(
        "checked {events} events in {}: {count} violations",
        folder.display()
    );
    violations.is_empty() && events > 0
}
