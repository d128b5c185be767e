//! Routes job operations to the owner of their partition.

use std::sync::Arc;
use std::time::Duration;

use magnolia_protocol::{JobOperation, JobReply, PeerReply, PeerRequest};
use magnolia_types::{Millis, ResultCode, UnitId};
use tokio::sync::oneshot;

use super::events::OwnerCommand;
use super::owner::refused;
use crate::context::DaemonContext;

/// Timeout of an operation, to which the wait or the deadline of the operation itself is added.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs an operation at the owner of `partition`, in this daemon or in another one.
pub async fn run_operation(
    context: &DaemonContext,
    partition: &str,
    operation: JobOperation,
) -> JobReply {
    let Ok(unit) = UnitId::new_partition(partition) else {
        return refused(ResultCode::NotFound, "no such partition");
    };
    if context.partitions.get(&unit).is_some() {
        return run_local(context, partition, operation).await;
    }
    let Some(claim) = context.claims.get(&unit) else {
        return refused(ResultCode::NoOwner, "no daemon owns the partition yet");
    };
    let timeout = OPERATION_TIMEOUT + waiting_time(&operation).into();
    let request = PeerRequest::Job {
        partition: Arc::from(partition),
        operation,
    };
    match context.call_peer(claim.address, request, timeout).await {
        Ok(reply) => match reply.body {
            PeerReply::Job(reply) => reply,
            PeerReply::Refused { code, message } => refused(code, &message),
            _ => refused(ResultCode::OutcomeUnknown, "the owner sent another reply"),
        },
        Err(error) if error.is_without_effect() => {
            refused(ResultCode::OwnerUnreachable, &error.to_string())
        }
        Err(error) => refused(ResultCode::OutcomeUnknown, &error.to_string()),
    }
}

/// Runs an operation at the owner in this daemon.
pub async fn run_local(
    context: &DaemonContext,
    partition: &str,
    operation: JobOperation,
) -> JobReply {
    let owner = UnitId::new_partition(partition)
        .ok()
        .and_then(|unit| context.partitions.get(&unit));
    let Some(owner) = owner else {
        return refused(
            ResultCode::NotOwner,
            "this daemon does not own the partition",
        );
    };
    let timeout = OPERATION_TIMEOUT + waiting_time(&operation).into();
    let (reply, answer) = oneshot::channel();
    if owner
        .commands
        .send(OwnerCommand { operation, reply })
        .await
        .is_err()
    {
        return refused(ResultCode::NotOwner, "the owner has stopped");
    }
    match tokio::time::timeout(timeout, answer).await {
        Ok(Ok(reply)) => reply,
        _ => refused(
            ResultCode::OutcomeUnknown,
            "the owner gave no reply in time",
        ),
    }
}

/// Returns the time that an operation may wait by its own terms.
fn waiting_time(operation: &JobOperation) -> Millis {
    match operation {
        JobOperation::Wait { timeout_ms, .. } => *timeout_ms,
        JobOperation::RunOnce { spec, .. } => spec.deadline_ms,
        _ => Millis::new(0),
    }
}
