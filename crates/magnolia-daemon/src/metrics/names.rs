//! Names of all metrics, each with a line for docs/OPERATIONS.md.

/// How a metric is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A count since the start of the daemon.
    Counter,
    /// The last value.
    Gauge,
    /// Single durations in milliseconds, sent to statsd only.
    Timer,
}

/// A metric with its meaning.
#[derive(Clone, Copy, Debug)]
pub struct MetricDescription {
    /// Name without the prefix `magnolia.`.
    pub name: &'static str,
    /// How it is read.
    pub kind: MetricKind,
    /// What it means.
    pub meaning: &'static str,
}

macro_rules! metrics {
    ($($constant:ident = $name:literal, $kind:ident, $meaning:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $constant: &str = $name;
        )*

        /// Every metric of the daemon.
        pub const METRICS: &[MetricDescription] = &[
            $(MetricDescription {
                name: $constant,
                kind: MetricKind::$kind,
                meaning: $meaning,
            },)*
        ];
    };
}

metrics! {
    CALLERS_CALL = "callers.call", Timer,
        "Time from the head of a caller's request to its answer.";
    CALLERS_ANSWERED = "callers.answered", Counter,
        "Calls of callers and operators that succeeded.";
    CALLERS_REFUSED = "callers.refused", Counter,
        "Calls that were refused with a status from 400 to 499: the caller has to change something.";
    CALLERS_FAILED = "callers.failed", Counter,
        "Calls that were refused or failed with a status from 500: the cell was not able to serve.";
    CLAIMS_FOREIGN_RECORD = "claims.foreign_record", Counter,
        "Torn or foreign records that were skipped in stream claims.";
    CLAIMS_READ_FAILED = "claims.read_failed", Counter,
        "Failed reads of stream claims.";
    CONFIG_ACCEPTED = "config.accepted", Counter,
        "Publications that the log order accepted.";
    CONFIG_APPEND_FAILED = "config.append_failed", Counter,
        "Appends of publications that failed or lost their answer; they are repeated with the same id.";
    CONFIG_BEHIND_PEER = "config.behind_peer", Counter,
        "Messages of peers that have a newer configuration.";
    CONFIG_FETCH_FAILED = "config.fetch_failed", Counter,
        "Fetches of the configuration from a peer that failed.";
    CONFIG_FETCHED = "config.fetched", Counter,
        "Fetches of the configuration from a peer that succeeded.";
    CONFIG_FOREIGN_RECORD = "config.foreign_record", Counter,
        "Torn or foreign records that were skipped in stream config.";
    CONFIG_LOG_SHORTENED = "config.log_shortened", Counter,
        "Times that the log had fewer records than were read from it before.";
    CONFIG_READ_FAILED = "config.read_failed", Counter,
        "Failed reads of stream config.";
    CONFIG_REJECTED = "config.rejected", Counter,
        "Publications that lost a race or did not pass the checks.";
    CONFIG_SNAPSHOT_APPENDED = "config.snapshot_appended", Counter,
        "Snapshots of the configuration that this daemon appended to the log.";
    CONFIG_SNAPSHOT_FAILED = "config.snapshot_failed", Counter,
        "Snapshots of the configuration that could not be appended.";
    CONFIG_VERSION = "config.version", Gauge,
        "Version of the configuration in force.";
    INSTANCES_LISTED = "instances.listed", Gauge,
        "Instances in the platform's list.";
    INSTANCES_READ_FAILED = "instances.read_failed", Counter,
        "Failed reads of the instance list.";
}
