//! Checks of work before anything is sent or stored.

use std::ops::RangeInclusive;

use magnolia_config::ConfigDocument;
use magnolia_types::{CustomerName, JobSpec, Millis, QuickSpec, ResultCode, WorkClass};

use super::request::{Refusal, refuse};
use crate::context::{DaemonContext, LifecyclePhase};

/// Attempts that a task may have.
const MAX_ATTEMPTS: RangeInclusive<u32> = 1..=100;

/// Refuses new work while the daemon starts, and after the grace time of a stop.
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
        // Balancers need some time to notice the failed readiness.
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
    let longest = document.rules.max_deadline_ms;
    if spec.deadline_ms == Millis::new(0) || spec.deadline_ms > longest {
        let message = format!(
            "deadline_ms: {} is not allowed; allowed: 1 to {}",
            spec.deadline_ms.get(),
            longest.get()
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
    let most = document.rules.max_tasks;
    check_number("tasks", spec.tasks.into(), 1..=most.into())?;
    let endless = 1..=u64::MAX;
    check_number(
        "size.cpu_millis",
        spec.size.cpu_millis.get(),
        endless.clone(),
    )?;
    check_number(
        "size.memory_mib",
        spec.size.memory_mib.get(),
        endless.clone(),
    )?;
    if let Some(run) = spec.run_ms {
        check_number("run_ms", run.get(), endless)?;
    }
    let attempts = u64::from(*MAX_ATTEMPTS.start())..=u64::from(*MAX_ATTEMPTS.end());
    check_number("max_attempts", spec.max_attempts.into(), attempts)?;
    if !spec.repeatable && spec.idempotency_key.is_none() {
        return Err(key_required());
    }
    Ok(())
}

fn check_number(field: &str, value: u64, allowed: RangeInclusive<u64>) -> Result<(), Refusal> {
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
    // The other customers are not this caller's business, so they are not listed.
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
