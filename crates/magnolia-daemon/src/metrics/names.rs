//! Names and meanings of all metrics. docs/OPERATIONS.md lists them, and a test compares the two.

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A count of events since the start of the daemon.
    Counter,
    /// The current value.
    Gauge,
    /// Durations in milliseconds, each sent to statsd and not kept.
    Timer,
}

/// Description of a metric.
#[derive(Clone, Copy, Debug)]
pub struct MetricDescription {
    /// Name without the prefix `magnolia.`.
    pub name: &'static str,
    /// Kind of the metric.
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
    CLAIMS_APPENDED = "claims.appended", Counter,
        "Claims of units that this daemon appended, those included that lost a race.";
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
    EXECUTORS_OTHER_AT_ADDRESS = "executors.other_at_address", Counter,
        "Status calls answered by another executor than the inventory names for the address.";
    EXECUTORS_STATUS_FAILED = "executors.status_failed", Counter,
        "Status calls to executors without an answer.";
    HTTP_READ_BYTES = "http.read_bytes", Gauge,
        "Bytes read from all connections since the start.";
    HTTP_WRITTEN_BYTES = "http.written_bytes", Gauge,
        "Bytes written to all connections since the start.";
    INSTANCES_LISTED = "instances.listed", Gauge,
        "Instances in the platform's list.";
    INSTANCES_READ_FAILED = "instances.read_failed", Counter,
        "Failed reads of the instance list.";
    ATTEMPTS_ADOPTED = "attempts.adopted", Counter,
        "Attempts found on workers after a takeover and kept.";
    ATTEMPTS_MISSING = "attempts.missing", Counter,
        "Attempts that a full report of their worker lacked.";
    ATTEMPTS_WAITED_OUT = "attempts.waited_out", Counter,
        "Attempts given up because the lease of a silent worker has ended.";
    CLAIMS_NOT_CONFIRMED = "claims.not_confirmed", Counter,
        "Questions for an own claim that did not confirm it.";
    JOBS_ACCEPTED = "jobs.accepted", Counter,
        "Jobs that were accepted.";
    JOBS_FINISHED = "jobs.finished", Counter,
        "Jobs that became final.";
    JOURNAL_APPEND_FAILED = "journal.append_failed", Counter,
        "Appends to a journal without an acknowledgement; they are repeated unchanged.";
    JOURNAL_APPENDS = "journal.appends", Counter,
        "Acknowledged appends to the journals of owned partitions.";
    JOURNAL_FOREIGN = "journal.foreign", Counter,
        "Records of journals that were skipped because of another writer or form.";
    JOURNAL_READ_FAILED = "journal.read_failed", Counter,
        "Failed reads of a journal.";
    JOURNAL_REPEATED = "journal.repeated", Counter,
        "Records of journals that were skipped as second copies.";
    JOURNAL_REPLAYED = "journal.replayed", Counter,
        "Records of journals that counted when an owner started.";
    JOURNAL_STALE = "journal.stale", Counter,
        "Records of journals that were skipped because their owner was superseded.";
    JOURNAL_TORN = "journal.torn", Counter,
        "Records of journals that were skipped because of a wrong checksum.";
    PARTITION_HANDOVERS_TAKEN = "partition.handovers_taken", Counter,
        "Partitions that were handed over to this daemon.";
    PARTITION_SUPERSEDED = "partition.superseded", Counter,
        "Owners of this daemon that stepped down because a later one holds the partition.";
    PREEMPTIONS_ORDERED = "preemptions.ordered", Counter,
        "Attempts that were told to give way to more urgent work.";
    STARTS_DECIDED = "starts.decided", Counter,
        "Task starts that the placement decided.";
    STARTS_REFUSED = "starts.refused", Counter,
        "Task starts that a worker refused.";
    WORKERS_EXCHANGES = "workers.exchanges", Counter,
        "Messages to workers besides fences.";
    WORKERS_NO_ANSWER = "workers.no_answer", Counter,
        "Messages to workers without an answer.";
    WORKERS_RESTARTS = "workers.restarts", Counter,
        "Workers found with a new process.";
    WORKERS_WRONG_NAME = "workers.wrong_name", Counter,
        "Answers of a worker under another name than that of the inventory.";
    PAUSES_NOTICED = "pauses.noticed", Counter,
        "Pauses of this process above one second, after which all claims are confirmed.";
    PROBES_FAILED = "probes.failed", Counter,
        "Probes of other daemons without an answer.";
    QUICK_EXECUTOR_RETRIES = "quick.executor_retries", Counter,
        "Quick requests that this owner tried on another executor.";
    QUICK_EXECUTOR_RETRIES_DENIED = "quick.executor_retries_denied", Counter,
        "Quick requests not tried again because the budget of the failed executor was spent.";
    QUICK_HEDGES = "quick.hedges", Counter,
        "Second attempts of repeatable quick requests that took long.";
    QUICK_NOT_FRESH = "quick.not_fresh", Counter,
        "Quick requests refused because the ownership of the group was not confirmed in time.";
    QUICK_RETRIES = "quick.retries", Counter,
        "Quick requests that this entry sent to another owner.";
    QUICK_RETRIES_DENIED = "quick.retries_denied", Counter,
        "Quick requests not sent to another owner because the budget of the failed one was spent.";
}
