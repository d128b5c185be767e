//! Series of measurements that vary one quantity over four or more values each.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use magnolia_config::{ConfigPublication, ConfigSection, SectionChange};
use magnolia_http::HttpClient;
use magnolia_types::ConfigVersion;
use serde_json::{Value, json};
use tokio::time::MissedTickBehavior;

use super::target::{LineTable, TargetSize};
use super::{FittedLine, ProcessProbe, UsageRate};
use crate::cell::{CellBuilder, CellError, RunningCell};

/// Time from the start of a load until the measurement.
const LOAD_SETTLE_TIME: Duration = Duration::from_secs(4);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a failed submission is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of workers in the series that vary another quantity.
const WORKERS: usize = 50;
/// Run time of a batch task in milliseconds.
const TASK_RUN_MS: u64 = 500;
/// Submissions of batch jobs per second. The number of tasks per job gives the rate of starts.
const JOBS_PER_SECOND: u64 = 10;

/// The quantity that a series varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SeriesKind {
    /// Number of idle workers that the daemon owns.
    Workers,
    /// Number of running tasks of a service on 50 workers.
    RunningTasks,
    /// Starts of short batch tasks per second on 50 workers.
    StartsPerSecond,
    /// Number of daemons of an idle cell.
    Daemons,
    /// Publications per second, each with a changed customer.
    ChangesPerSecond,
}

impl SeriesKind {
    /// All series, in the order of measurement.
    pub const ALL: [Self; 5] = [
        Self::Workers,
        Self::RunningTasks,
        Self::StartsPerSecond,
        Self::Daemons,
        Self::ChangesPerSecond,
    ];

    /// Returns the values of the varied quantity.
    fn points(self) -> &'static [usize] {
        match self {
            Self::Workers => &[25, 50, 100, 150, 200],
            Self::RunningTasks => &[0, 500, 1000, 2000],
            Self::StartsPerSecond => &[0, 50, 100, 200, 400],
            Self::Daemons => &[1, 3, 5, 7, 10],
            Self::ChangesPerSecond => &[0, 1, 2, 5],
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Workers => "workers",
            Self::RunningTasks => "running-tasks",
            Self::StartsPerSecond => "starts-per-second",
            Self::Daemons => "daemons",
            Self::ChangesPerSecond => "changes-per-second",
        }
    }
}

impl fmt::Display for SeriesKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Measures the series and prints the points, the fitted lines and the plan for the target size.
///
/// # Errors
///
/// Fails when a cell does not start or a call to it fails.
pub async fn run_capacity(
    program: &Path,
    folder: &Path,
    window: Duration,
    only: Option<&str>,
) -> Result<(), CellError> {
    let mut table = LineTable::new();
    let is_selected = |kind: &SeriesKind| only.is_none_or(|name| name == kind.name());
    for kind in SeriesKind::ALL.into_iter().filter(is_selected) {
        let mut points = Vec::new();
        for &point in kind.points() {
            let rate = measure_point(program, folder, kind, point, window).await?;
            println!(
                "{kind:<20} {point:>6}  {:>7.2} % of a core  {:>7.1} MiB  {:>8.2} KB/s",
                rate.cpu_percent, rate.resident_mib, rate.traffic_kb
            );
            points.push((point as f64, rate));
        }
        let line = |value: fn(&UsageRate) -> f64| {
            let pairs: Vec<_> = points.iter().map(|(x, rate)| (*x, value(rate))).collect();
            FittedLine::new(&pairs).unwrap_or_default()
        };
        let cpu = line(|rate| rate.cpu_percent);
        let memory = line(|rate| rate.resident_mib);
        let traffic = line(|rate| rate.traffic_kb);
        println!("{kind:<20} cpu %    {cpu}");
        println!("{kind:<20} MiB      {memory}");
        println!("{kind:<20} KB/s     {traffic}");
        table.insert(kind, cpu, memory, traffic);
    }
    if only.is_none() {
        print!("{}", table.plan(&TargetSize::new()));
    }
    Ok(())
}

/// Measures the usage of the daemon that owns the partition, at one value of the varied quantity.
async fn measure_point(
    program: &Path,
    folder: &Path,
    kind: SeriesKind,
    point: usize,
    window: Duration,
) -> Result<UsageRate, CellError> {
    let daemons = if kind == SeriesKind::Daemons {
        point
    } else {
        1
    };
    let workers = if kind == SeriesKind::Workers {
        point
    } else {
        WORKERS
    };
    let cell = CellBuilder::new(program, folder)
        .with_daemons(daemons)
        .with_backends(workers, 4)
        .start()
        .await?;
    cell.wait_owners(0).await?;
    let owner = cell.owner(0, "partition:p0").await?;
    let daemon = &cell.daemons[owner];
    let Some(process) = &daemon.process else {
        return Err(CellError::NotReady(daemon.name.to_string()));
    };
    let probe = ProcessProbe::new(cell.client.clone(), process.id(), daemon.callers);
    let load = start_load(&cell, kind, point, daemon.callers).await?;
    tokio::time::sleep(LOAD_SETTLE_TIME).await;
    let rate = probe.measure(window).await;
    load.abort();
    rate
}

/// Starts the load for a point; it runs until it is aborted.
async fn start_load(
    cell: &RunningCell,
    kind: SeriesKind,
    point: usize,
    callers: SocketAddr,
) -> Result<tokio::task::JoinHandle<()>, CellError> {
    let client = cell.client.clone();
    Ok(match kind {
        SeriesKind::RunningTasks if point > 0 => {
            submit_when_ready(&client, callers, &job("service", point as u64, None)).await?;
            tokio::spawn(std::future::ready(()))
        }
        SeriesKind::StartsPerSecond if point > 0 => {
            tokio::spawn(keep_submitting(client, callers, point as u64))
        }
        SeriesKind::ChangesPerSecond if point > 0 => {
            let section = cell.document.customers.first().cloned();
            let section = section.ok_or(CellError::NotReady(
                "the configuration has no customer".into(),
            ))?;
            tokio::spawn(keep_publishing(
                client,
                callers,
                ConfigSection::Customer(section),
                point as u64,
            ))
        }
        _ => tokio::spawn(std::future::ready(())),
    })
}

fn job(kind: &str, tasks: u64, run_ms: Option<u64>) -> Value {
    json!({
        "customer": "guild", "class": kind, "kind": kind, "tasks": tasks, "run_ms": run_ms,
        "size": {"cpu_millis": 200, "memory_mib": 64},
    })
}

async fn submit(client: &HttpClient, callers: SocketAddr, job: &Value) -> Result<(), CellError> {
    let answer = client
        .post_json(callers, "/v1/jobs", job, CALL_TIMEOUT)
        .await?;
    if answer.status.is_success() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    Err(CellError::NotReady(text))
}

/// Submits a job and repeats a failed submission, because the owner refuses jobs while it reads its
/// journal.
async fn submit_when_ready(
    client: &HttpClient,
    callers: SocketAddr,
    job: &Value,
) -> Result<(), CellError> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    loop {
        match submit(client, callers, job).await {
            Err(_) if Instant::now() < deadline => tokio::time::sleep(RETRY_DELAY).await,
            result => return result,
        }
    }
}

async fn keep_submitting(client: HttpClient, callers: SocketAddr, starts_per_second: u64) {
    let job = job(
        "batch",
        starts_per_second / JOBS_PER_SECOND,
        Some(TASK_RUN_MS),
    );
    let mut ticks = tokio::time::interval(Duration::from_millis(1000 / JOBS_PER_SECOND));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    loop {
        ticks.tick().await;
        if let Err(error) = submit(&client, callers, &job).await {
            log::warn!("submission failed: {error}");
        }
    }
}

async fn keep_publishing(
    client: HttpClient,
    callers: SocketAddr,
    section: ConfigSection,
    changes_per_second: u64,
) {
    let mut ticks = tokio::time::interval(Duration::from_millis(1000 / changes_per_second));
    let mut section = section;
    let mut version = ConfigVersion::new(1);
    loop {
        ticks.tick().await;
        if let ConfigSection::Customer(customer) = &mut section {
            customer.weight = 1 + customer.weight % 9;
        }
        let publication = ConfigPublication {
            base: version,
            author: "lab".into(),
            changes: vec![SectionChange {
                name: section.name(),
                section: Some(section.clone()),
            }],
        };
        let path = "/v1/config/publish";
        match client
            .post_json(callers, path, &publication, CALL_TIMEOUT)
            .await
        {
            Ok(answer) if answer.status.is_success() => {
                version = version.saturating_add(ConfigVersion::new(1));
            }
            Ok(answer) => log::warn!("publication refused with status {}", answer.status),
            Err(error) => log::warn!("publication failed: {error}"),
        }
    }
}
