//! Clients of the backing services of `magnoliad`: log, instance list, workers and executors.
//!
//! For each service there is a trait and an implementation over HTTP. The wire types are those of
//! the services' published interfaces.

mod error;
mod executor;
mod http_executor;
mod http_instances;
mod http_log;
mod http_worker;
mod instances;
mod log_service;
mod worker;

pub use error::BackingError;
pub use executor::{
    ExecuteAnswer, ExecuteCall, ExecutorClient, ExecutorStatus, HEADER_DEADLINE_MS, HEADER_NOT_RUN,
    HEADER_REQUEST_ID,
};
pub use http_executor::HttpExecutorClient;
pub use http_instances::HttpInstanceList;
pub use http_log::{AppendAnswer, AppendBody, HttpLogService, ReadAnswer, RecordBody};
pub use http_worker::HttpWorkerClient;
pub use instances::{InstanceEntry, InstanceKind, InstanceList, InstanceState};
pub use log_service::{LogPage, LogRecord, LogService};
pub use worker::{
    AttemptEnd, AttemptReport, AttemptState, CommandAnswer, CommandBatch, FenceRequest,
    RefusedStart, StartCommand, StartRefusal, StopCommand, ThrottleCommand, WorkerClient,
    WorkerReport,
};
