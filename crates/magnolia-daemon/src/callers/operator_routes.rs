//! Health checks and the state dump.

use magnolia_http::{HttpResponse, error_response, json_response, traffic};
use magnolia_state::ClaimRecord;
use magnolia_types::ResultCode;
use serde_json::json;

use crate::context::{DaemonContext, LifecyclePhase};

/// Answers `GET /healthz`: succeeds while the process serves requests.
pub fn live() -> HttpResponse {
    json_response(200, &json!({"live": true}))
}

/// Answers `GET /readyz`: succeeds while the daemon accepts new work and is not draining.
pub fn ready(context: &DaemonContext) -> HttpResponse {
    match *context.phase.borrow() {
        LifecyclePhase::Ready => json_response(200, &json!({"ready": true})),
        LifecyclePhase::Starting => error_response(
            ResultCode::NoConfiguration,
            "the daemon has no configuration yet",
        ),
        LifecyclePhase::Draining => error_response(ResultCode::Draining, "the daemon is draining"),
    }
}

/// Answers `GET /v1/state`: a dump of what this daemon knows.
pub fn state(context: &DaemonContext) -> HttpResponse {
    let claims: Vec<ClaimRecord> = context
        .claims
        .with_table(|table| table.iter().cloned().collect());
    let feed = context.config_feed.status();
    let now = context.clock.now();
    let age = |at| now.saturating_sub(at);
    let traffic = traffic();
    json_response(
        200,
        &json!({
            "identity": context.identity,
            "phase": *context.phase.borrow(),
            "listen": context.settings.listen,
            "uptime_ms": now,
            "config": {
                "version": context.config().version,
                "source": feed.source,
                "in_force_ms": feed.adopted_at.map(age),
                "confirmed_ms_ago": feed.confirmed_at.map(age),
                "waiting_for_snapshot": feed.waiting_for_snapshot,
            },
            "config_version": context.config().version,
            "log_unavailable_ms": feed.log_unavailable_since.map(age),
            "members": context.members.dump(),
            "partitions": context.partitions.dump(),
            "groups": context.groups.dump(),
            "claims": claims,
            "traffic": {"read_bytes": traffic.read, "written_bytes": traffic.written},
            "counters": context.metrics.counters(),
            "gauges": context.metrics.gauges(),
        }),
    )
}
