//! Records metrics: sends them to a statsd server and keeps counters and gauges for the state dump.

pub mod names;

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Mutex, PoisonError};

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, Timed, UdpMetricSink};

/// Prefix of every metric name.
const PREFIX: &str = "magnolia";

/// Sends metrics and keeps the values of counters and gauges.
pub struct MetricRecorder {
    client: StatsdClient,
    counters: Mutex<BTreeMap<&'static str, u64>>,
    gauges: Mutex<BTreeMap<&'static str, u64>>,
}

impl MetricRecorder {
    /// Creates a recorder that sends to `statsd`, or does not send without an address.
    ///
    /// # Errors
    ///
    /// Fails when no local socket can be opened.
    pub fn new(statsd: Option<SocketAddr>) -> std::io::Result<Self> {
        let client = match statsd {
            Some(address) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
                StatsdClient::from_sink(PREFIX, sink)
            }
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        Ok(Self {
            client,
            counters: Mutex::default(),
            gauges: Mutex::default(),
        })
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, name: &'static str, amount: u64) {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        *counters.entry(name).or_default() += amount;
        drop(counters);
        // Metrics are best effort: a datagram that cannot be sent is dropped.
        self.client
            .count(name, i64::try_from(amount).unwrap_or(i64::MAX))
            .ok();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        let mut gauges = self.gauges.lock().unwrap_or_else(PoisonError::into_inner);
        gauges.insert(name, value);
        drop(gauges);
        self.client.gauge(name, value).ok();
    }

    /// Sends one duration in milliseconds.
    pub fn time_ms(&self, name: &'static str, millis: u64) {
        self.client.time(name, millis).ok();
    }

    /// Returns all counters.
    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        self.counters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns all gauges.
    pub fn gauges(&self) -> BTreeMap<&'static str, u64> {
        self.gauges
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
