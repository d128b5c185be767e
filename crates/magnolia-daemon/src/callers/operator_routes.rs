//! Health and state.

use magnolia_http::{HttpResponse, error_response, json_response};
use magnolia_state::ClaimRecord;
use magnolia_types::ResultCode;
use serde_json::json;

use crate::context::{DaemonContext, LifecyclePhase};

/// Answers `GET /healthz`.
pub fn live() -> HttpResponse {
    json_response(200, &json!({"live": true}))
}

/// Answers `GET /readyz`.
pub fn ready(context: &DaemonContext) -> HttpResponse {
    match *context.phase.borrow() {
        LifecyclePhase::Ready => json_response(200, &json!({"ready": true})),
        LifecyclePhase::Starting => {
            error_response(ResultCode::NoConfiguration, "no configuration yet")
        }
        LifecyclePhase::Draining => error_response(ResultCode::Draining, "draining"),
    }
}

/// Answers `GET /v1/state`.
pub fn state(context: &DaemonContext) -> HttpResponse {
    let claims: Vec<ClaimRecord> = context
        .claims
        .with_table(|table| table.iter().cloned().collect());
    json_response(
        200,
        &json!({
            "identity": context.identity,
            "phase": *context.phase.borrow(),
            "listen": context.settings.listen,
            "uptime_ms": context.clock.now(),
            "config_version": context.config().version,
            "members": context.members.dump(),
            "partitions": context.partitions.dump(),
            "groups": context.groups.dump(),
            "claims": claims,
            "counters": context.metrics.counters(),
            "gauges": context.metrics.gauges(),
        }),
    )
}
