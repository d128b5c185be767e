//! State machine of a cell's owner: what is accepted, what runs, what is stored, what starts next.
//!
//! Nothing here does I/O or reads a clock. Callers pass the time, reports and answers in, and take
//! actions and records to store out, so that each rule is testable alone.

mod actions;
mod admission;
mod advice_queue;
mod cell;
mod eligibility;
mod executor_health;
mod executor_report;
mod executor_state;
mod executors;
mod explain;
mod hung_runs;
mod ids;
mod job;
mod job_spec;
mod lifecycle;
mod ordering;
mod outage;
mod pacing;
mod placement;
mod planning;
mod preemption;
mod record;
mod reports;
mod rules;
mod settings;
mod step;
mod takeover;

pub use actions::{AdviceOrder, CellAction, PaceOrder, StartOrder, StopOrder};
pub use admission::{AdmissionDecision, AdmissionLoad, decide_admission};
pub use advice_queue::{AdviceQueue, AdviceRequest};
pub use cell::{CellScheduler, CellSummary, StoreBatch, SubmitOutcome};
pub use executor_health::{HealthState, HealthTracker};
pub use executor_report::{
    EligibilityAnswer, EndKind, ExecutorReport, RunEnd, RunningTask, StartAnswer,
};
pub use executor_state::{ExecutorLease, HoldPlan};
pub use executors::{ExecutorEntry, ExecutorRecord, ExecutorStatus};
pub use ids::{ExecutorLife, JobKey, ParseKeyError, RunNumber, StepRef, TaskRef};
pub use job::JobStatus;
pub use job_spec::{JobSpec, RecurrenceSpec, SpecError, StepSpec};
pub use ordering::{WorkMean, order_time};
pub use outage::{OutageDecision, decide_outage};
pub use pacing::{PaceDecision, decide_pace};
pub use placement::{Candidate, choose_executor, choose_executors_to_ask};
pub use record::{EndedRecord, JobRecord, LiveRecord, OccurrenceRecord, RecordError, StepRecord};
pub use rules::{
    AdviceCost, CellRules, CellVersion, QueueName, QueueRules, ServiceName, ServiceRules,
};
pub use settings::SchedulerSettings;
