//! State machine of the daemon that owns a cell: it admits jobs, tracks their runs, decides what
//! is stored and plans which tasks start where.
//!
//! A cell consists of executors and daemons. One daemon at a time owns the cell, in an epoch that
//! is higher than those of all earlier owners; executors reject orders of a lower epoch than they
//! know. A process of an executor is a life; a restart begins a new one. A job has steps, a step
//! has tasks, and each start of a task on an executor is a run. A recurring job has an occurrence
//! for each time that it is due. The tasks of a gang start together or not at all.
//!
//! The owner sends lease renewals to each executor, whose answer is a report of its runs and their
//! ends. If the rules of a queue contain an [`EligibilityCost`], its tasks start only on executors
//! that an eligibility request, sent by one of the daemons, has found eligible; the answer has a
//! ticket for each of these.
//!
//! Nothing here does I/O or reads a clock. The program that runs the state machine passes in the
//! time, reports and answers, and takes out the actions to carry out and the records to store, so
//! that each rule can be tested alone.

mod account_limits;
mod account_rules;
mod account_table;
mod accounts;
mod actions;
mod admission;
mod backlog;
mod cell;
mod eligibility;
mod eligibility_queue;
mod evacuation;
mod executor_health;
mod executor_report;
mod executor_state;
mod executors;
mod explain;
mod fair_share;
mod hung_runs;
mod ids;
mod job;
mod job_memory;
mod job_spec;
mod lifecycle;
mod locality_wait;
mod lost_runs;
mod near_places;
mod need_classes;
mod ordering;
mod outage;
mod pacing;
mod placement;
mod planning;
mod preemption;
mod record;
mod record_size;
mod refused_records;
mod reports;
mod rules;
mod settings;
mod speed_model;
mod step;
mod step_selection;
mod takeover;
mod task_table;
mod unanswered_starts;
mod witnesses;

pub use account_limits::{AccountLoad, UrgentDemand, can_fit_cap, raise_cap, tasks_below_cap};
pub use account_rules::{AccountDirectory, AccountName, AccountRules, AccountWeight, KeyDigest};
pub use account_table::AccountSummary;
pub use accounts::AccountAccess;
pub use actions::{CellAction, EligibilityOrder, PaceOrder, StartOrder, StopOrder};
pub use admission::{AdmissionDecision, AdmissionLoad, RefusalReason, decide_admission};
pub use cell::{CellScheduler, CellSummary, StoreBatch, SubmitOutcome};
pub use eligibility_queue::{EligibilityQueue, QueuedEligibilityRequest};
pub use executor_health::{HealthState, HealthTracker};
pub use executor_report::{
    EligibilityAnswer, EndKind, ExecutorReport, RunEnd, RunningTask, StartAnswer,
};
pub use executor_state::{ExecutorLease, RenewalKind, RenewalPlan};
pub use executors::{ExecutorEntry, ExecutorRecord, ExecutorStatus};
pub use fair_share::{ShareClock, SharePosition};
pub use ids::{ExecutorLife, FenceToken, JobKey, ParseKeyError, RunNumber, StepRef, TaskRef};
pub use job::JobStatus;
pub use job_memory::job_memory_share;
pub use job_spec::{JobSpec, RecurrenceSpec, SpecError, StepSpec};
pub use locality_wait::{TurnoverMeter, WaitDecision, WaitLoad, decide_locality_wait};
pub use ordering::{WorkMean, order_time};
pub use outage::{OutageDecision, decide_outage};
pub use pacing::{PaceDecision, decide_pace};
pub use placement::{Candidate, PlacementAim, choose_executor, choose_executors_to_ask};
pub use record::{
    EndedAccount, EndedRecord, JobRecord, LiveRecord, OccurrenceRecord, RecordError, StepRecord,
};
pub use record_size::check_record_size;
pub use refused_records::{RefusedRecords, SubmissionState};
pub use rules::{
    CellRules, CellVersion, ConnectionRules, EligibilityCost, QueueName, QueueRules, ServiceName,
    ServiceRules,
};
pub use settings::SchedulerSettings;
pub use speed_model::{LogSpeed, MeasuredSpeed, SpeedModel, speed_tier};
