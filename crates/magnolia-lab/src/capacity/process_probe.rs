//! Measures processor time, memory and traffic of a daemon process.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use magnolia_http::HttpClient;
use nix::unistd::{SysconfVar, sysconf};
use serde::Deserialize;

use crate::cell::CellError;

/// Timeout of a read of `/v1/state`.
const STATE_TIMEOUT: Duration = Duration::from_secs(10);
/// Index of the user time among the fields after the command name in `/proc/<pid>/stat`.
const USER_TIME_FIELD: usize = 11;

/// Reads the resource usage of one daemon process.
pub struct ProcessProbe {
    client: HttpClient,
    process: u32,
    callers: SocketAddr,
}

/// Usage since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct UsageSample {
    taken: Instant,
    cpu: Duration,
    resident_kib: u64,
    traffic: TrafficTotals,
    /// Traffic of one read of `/v1/state` itself.
    sampling_bytes: u64,
}

/// Usage over an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UsageRate {
    /// Processor usage in percent of one core.
    pub cpu_percent: f64,
    /// Resident memory at the end of the interval in MiB.
    pub resident_mib: f64,
    /// Traffic sent and received per second, in KB of 1000 bytes.
    pub traffic_kb: f64,
}

/// The part of the answer of `/v1/state` that the probe reads.
#[derive(Deserialize)]
struct StateTraffic {
    traffic: TrafficTotals,
}

/// Bytes of all connections of the daemon since its start.
#[derive(Clone, Copy, Debug, Deserialize)]
struct TrafficTotals {
    read_bytes: u64,
    written_bytes: u64,
}

impl ProcessProbe {
    /// Creates the probe of the daemon with this process id and address for callers.
    pub fn new(client: HttpClient, process: u32, callers: SocketAddr) -> Self {
        Self {
            client,
            process,
            callers,
        }
    }

    /// Measures the usage over an interval of this length.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended or does not answer.
    pub async fn measure(&self, window: Duration) -> Result<UsageRate, CellError> {
        let before = self.sample().await?;
        tokio::time::sleep(window).await;
        let after = self.sample().await?;
        Ok(UsageRate::new(&before, &after))
    }

    /// Reads the usage now.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended or does not answer.
    pub async fn sample(&self) -> Result<UsageSample, CellError> {
        let first = self.traffic().await?;
        let second = self.traffic().await?;
        Ok(UsageSample {
            taken: Instant::now(),
            cpu: self.cpu()?,
            resident_kib: self.resident_kib()?,
            traffic: second,
            sampling_bytes: total(&second) - total(&first),
        })
    }

    async fn traffic(&self) -> Result<TrafficTotals, CellError> {
        let answer = self
            .client
            .get(self.callers, "/v1/state", STATE_TIMEOUT)
            .await?;
        Ok(answer.json::<StateTraffic>()?.traffic)
    }

    fn cpu(&self) -> Result<Duration, CellError> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.process))?;
        let fields = text.rsplit_once(')').map(|(_, fields)| fields);
        let fields: Vec<&str> = fields.unwrap_or_default().split_whitespace().collect();
        let ticks = |field: usize| fields.get(field).and_then(|text| text.parse::<u64>().ok());
        let (user, system) = (ticks(USER_TIME_FIELD), ticks(USER_TIME_FIELD + 1));
        let (Some(user), Some(system)) = (user, system) else {
            return Err(CellError::NotReady(
                "cannot parse the processor time of the process".into(),
            ));
        };
        let rate = sysconf(SysconfVar::CLK_TCK).ok().flatten().unwrap_or(100);
        Ok(Duration::from_secs_f64(
            (user + system) as f64 / rate as f64,
        ))
    }

    fn resident_kib(&self) -> Result<u64, CellError> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.process))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        kib.ok_or_else(|| {
            CellError::NotReady("cannot parse the resident memory of the process".into())
        })
    }
}

impl UsageRate {
    /// Computes the usage between two samples, without the traffic of the sampling itself.
    pub fn new(before: &UsageSample, after: &UsageSample) -> Self {
        let seconds = after.taken.duration_since(before.taken).as_secs_f64();
        let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64();
        let bytes = total(&after.traffic) - total(&before.traffic);
        // Two reads of `/v1/state` lie between the two readings.
        let bytes = bytes.saturating_sub(2 * after.sampling_bytes);
        Self {
            cpu_percent: 100.0 * cpu / seconds,
            resident_mib: after.resident_kib as f64 / 1024.0,
            traffic_kb: bytes as f64 / 1000.0 / seconds,
        }
    }
}

fn total(traffic: &TrafficTotals) -> u64 {
    traffic.read_bytes + traffic.written_bytes
}
