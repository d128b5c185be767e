//! Checks of requests and jobs before anything is sent or stored.

use std::ops::RangeInclusive;

use magnolia_config::ConfigDocument;
use magnolia_types::{CustomerName, JobSpec, Millis, QuickSpec, ResultCode, WorkClass};

use super::request::{Refusal, refuse};
use crate::context::{DaemonContext, LifecyclePhase};

/// Allowed values of `max_attempts` of a job.
const ALLOWED_ATTEMPTS: RangeInclusive<u32> = 1..=100;

/// Refuses new work before the daemon has a configuration, and at a stop after the grace period and
/// the handover of its units.
///
/// # Errors
///
/// Fails with the refusal to send.
pub fn check_phase(context: &DaemonContext) -> Result<(), Refusal> {
    match *context.phase.borrow() {
        LifecyclePhase::Ready => Ok(()),
        LifecyclePhase::Starting => Err(refuse(
            ResultCode::NoConfiguration,
            "the daemon has no configuration yet",
        )),
        // Load balancers need time to notice that the readiness check fails.
        LifecyclePhase::Draining if !context.is_closing() => Ok(()),
        LifecyclePhase::Draining => Err(refuse(
            ResultCode::Draining,
            "the daemon is stopping and takes no new work; use another one",
        )),
    }
}

/// Checks a quick request.
///
/// # Errors
///
/// Fails with the refusal to send.
pub fn check_quick(document: &ConfigDocument, spec: &QuickSpec) -> Result<(), Refusal> {
    check_customer(document, &spec.customer)?;
    check_class(document, &spec.class)?;
    let max_deadline = document.rules.max_deadline_ms;
    if spec.deadline_ms == Millis::new(0) || spec.deadline_ms > max_deadline {
        let message = format!(
            "deadline_ms: {} is not allowed; allowed: 1 to {}",
            spec.deadline_ms.get(),
            max_deadline.get()
        );
        return Err(refuse(ResultCode::BadDeadline, &message));
    }
    if !spec.repeatable && spec.idempotency_key.is_none() {
        return Err(key_required());
    }
    Ok(())
}

/// Checks a job.
///
/// # Errors
///
/// Fails with the refusal to send.
pub fn check_job(document: &ConfigDocument, spec: &JobSpec) -> Result<(), Refusal> {
    check_customer(document, &spec.customer)?;
    check_class(document, &spec.class)?;
    let max_tasks = document.rules.max_tasks;
    check_range("tasks", spec.tasks.into(), 1..=max_tasks.into())?;
    let positive = 1..=u64::MAX;
    check_range(
        "size.cpu_millis",
        spec.size.cpu_millis.get(),
        positive.clone(),
    )?;
    check_range(
        "size.memory_mib",
        spec.size.memory_mib.get(),
        positive.clone(),
    )?;
    if let Some(run) = spec.run_ms {
        check_range("run_ms", run.get(), positive)?;
    }
    let attempts = u64::from(*ALLOWED_ATTEMPTS.start())..=u64::from(*ALLOWED_ATTEMPTS.end());
    check_range("max_attempts", spec.max_attempts.into(), attempts)?;
    if !spec.repeatable && spec.idempotency_key.is_none() {
        return Err(key_required());
    }
    Ok(())
}

/// Refuses a value outside `allowed`; a range that ends at `u64::MAX` has no upper bound in the
/// message.
fn check_range(field: &str, value: u64, allowed: RangeInclusive<u64>) -> Result<(), Refusal> {
    if allowed.contains(&value) {
        return Ok(());
    }
    let range = match *allowed.end() {
        u64::MAX => format!("{} or more", allowed.start()),
        end => format!("{} to {end}", allowed.start()),
    };
    let message = format!("{field}: {value} is not allowed; allowed: {range}");
    Err(refuse(ResultCode::BadRequest, &message))
}

fn check_customer(document: &ConfigDocument, name: &CustomerName) -> Result<(), Refusal> {
    if document.customer(name).is_some() {
        return Ok(());
    }
    // The message does not list the customers, because a caller must not learn of other customers.
    let message = format!("customer: {name} is not in the configuration");
    Err(refuse(ResultCode::UnknownCustomer, &message))
}

fn check_class(document: &ConfigDocument, name: &WorkClass) -> Result<(), Refusal> {
    if document.class(name).is_some() {
        return Ok(());
    }
    let known: Vec<&str> = document
        .classes
        .iter()
        .map(|class| class.name.as_str())
        .collect();
    let message = format!(
        "class: {name} is not in the configuration; allowed: {}",
        known.join(", ")
    );
    Err(refuse(ResultCode::UnknownClass, &message))
}

fn key_required() -> Refusal {
    refuse(
        ResultCode::KeyRequired,
        "idempotency_key: work that is not repeatable needs a key",
    )
}
