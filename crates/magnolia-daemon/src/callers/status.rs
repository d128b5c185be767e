//! The status of the cell as far as this daemon knows it: whether it is down, and why.

use std::collections::BTreeSet;

use magnolia_http::{HttpResponse, json_response};
use magnolia_types::{Millis, UnitId};
use serde_json::{Value, json};

use crate::config_feed::unix_ms;
use crate::context::{DaemonContext, LifecyclePhase};

/// Age of the last confirmation of the configuration from which the status reports it.
const OLD_CONFIRMATION_AGE: Millis = Millis::from_secs(10);

/// Problems found, and how many units of the cell have no usable owner.
#[derive(Default)]
struct StatusFindings {
    /// The problems, each as part of a sentence.
    reasons: Vec<String>,
    /// Number of units in the inventory.
    units: usize,
    /// Number of units that have no owner, or whose owner is suspected, leaving or not in the
    /// instance list.
    units_without_owner: usize,
}

/// Answers `GET /v1/status`.
pub fn show(context: &DaemonContext) -> HttpResponse {
    let findings = collect_findings(context);
    let phase = *context.phase.borrow();
    let serving = phase == LifecyclePhase::Ready && findings.has_owners();
    json_response(
        200,
        &json!({
            "answer": findings.answer(context, phase),
            "serving": serving,
            "reasons": findings.reasons,
            "daemon": context.identity.daemon,
            "phase": phase,
            "config_version": context.config().version,
        }),
    )
}

impl StatusFindings {
    /// Tells whether at least one unit has a usable owner.
    fn has_owners(&self) -> bool {
        self.units_without_owner < self.units
    }

    /// Returns one sentence that says whether the cell is down, as far as this daemon knows.
    fn answer(&self, context: &DaemonContext, phase: LifecyclePhase) -> String {
        let daemon = &context.identity.daemon;
        match phase {
            LifecyclePhase::Starting => {
                format!(
                    "This daemon cannot tell: {daemon} is starting and has no configuration yet."
                )
            }
            LifecyclePhase::Draining => format!(
                "This daemon is stopping: {daemon} takes no new work, so ask another daemon."
            ),
            LifecyclePhase::Ready if !self.has_owners() => format!(
                "It is down: {daemon} knows no usable owner of any partition or executor group."
            ),
            LifecyclePhase::Ready if !self.reasons.is_empty() => format!(
                "It is partly down: {daemon} serves, but {}.",
                self.reasons.join("; ")
            ),
            LifecyclePhase::Ready => format!(
                "It is not down: {daemon} serves, and as far as it knows all {} partitions and \
                 executor groups have an owner.",
                self.units
            ),
        }
    }
}

/// Collects the problems that this daemon knows of.
fn collect_findings(context: &DaemonContext) -> StatusFindings {
    let mut findings = StatusFindings::default();
    report_phase(context, &mut findings);
    report_log(context, &mut findings);
    report_key_set(context, &mut findings);
    report_owners(context, &mut findings);
    report_full_groups(context, &mut findings);
    findings
}

fn report_phase(context: &DaemonContext, findings: &mut StatusFindings) {
    let reason = match *context.phase.borrow() {
        LifecyclePhase::Starting => "this daemon has no configuration yet",
        LifecyclePhase::Draining => "this daemon is draining",
        LifecyclePhase::Ready => return,
    };
    findings.reasons.push(reason.into());
}

/// Reports an unavailable log and a configuration that is not confirmed.
fn report_log(context: &DaemonContext, findings: &mut StatusFindings) {
    let status = context.config_feed.status();
    let now = context.clock.now();
    if let Some(since) = status.log_unavailable_since {
        findings.reasons.push(format!(
            "the log has been unavailable for {} s, so new jobs, work that may not repeat and \
             configuration are refused",
            seconds(now.saturating_sub(since))
        ));
    }
    if status.waiting_for_snapshot {
        let reason = "the log has lost configuration records and no snapshot has replaced them yet";
        findings.reasons.push(reason.into());
    }
    let confirmed = status.confirmed_at.map(|at| now.saturating_sub(at));
    let version = context.config().version;
    match confirmed {
        _ if version.get() == 0 => {}
        Some(age) if age < OLD_CONFIRMATION_AGE => {}
        Some(age) => findings.reasons.push(format!(
            "configuration version {version} was last confirmed {} s ago",
            seconds(age)
        )),
        None => findings.reasons.push(format!(
            "configuration version {version} came from a peer and is not confirmed by the log"
        )),
    }
}

/// Reports that the partitions that store idempotency keys have changed.
fn report_key_set(context: &DaemonContext, findings: &mut StatusFindings) {
    let config = context.config();
    let confirmed = config.document.as_ref();
    let confirmed = confirmed.and_then(|document| document.rules.key_set_confirmed);
    let Some((region, set)) = config.key_set_of(&context.identity.data_centre) else {
        return;
    };
    if set.is_unsettled(confirmed, unix_ms()) {
        findings.reasons.push(format!(
            "the partitions of region {region} have changed, so work that may not repeat is \
             refused until key_set_confirmed = {:?} is in the rules, or for 24 hours",
            set.hash
        ));
    }
}

/// Reports suspected daemons and units without a usable owner.
fn report_owners(context: &DaemonContext, findings: &mut StatusFindings) {
    let units: Vec<UnitId> = context
        .with_document(|document| document.units())
        .unwrap_or_default();
    findings.units = units.len();
    let members = context.members.dump();
    let suspects = daemons_with_flag(&members, "suspect");
    let live: BTreeSet<String> = context
        .members
        .live_daemons()
        .iter()
        .map(|member| member.daemon.to_string())
        .collect();
    if !suspects.is_empty() {
        let names: Vec<&str> = suspects.iter().map(String::as_str).collect();
        let reason = format!("suspected daemons: {}", names.join(", "));
        findings.reasons.push(reason);
    }
    for unit in units {
        let problem = match context.claims.get(&unit) {
            None => format!("{unit} has no owner"),
            Some(claim) if claim.daemon == context.identity.daemon => continue,
            Some(claim) if suspects.contains(claim.daemon.as_str()) => {
                format!("the owner {} of {unit} is suspected", claim.daemon)
            }
            Some(claim) if !live.contains(claim.daemon.as_str()) => {
                format!(
                    "the owner {} of {unit} is leaving, or not in the instance list",
                    claim.daemon
                )
            }
            Some(_) => continue,
        };
        findings.units_without_owner += 1;
        findings.reasons.push(problem);
    }
}

/// Reports the groups without a free slot that this daemon owns. Only the owner of a group knows
/// its free slots.
fn report_full_groups(context: &DaemonContext, findings: &mut StatusFindings) {
    let groups = context.groups.dump();
    let free = groups.get("free_slots").and_then(Value::as_object);
    let full = free
        .into_iter()
        .flatten()
        .filter(|(_, free)| free.as_u64() == Some(0));
    for (unit, _) in full {
        let reason = format!("no executor of {unit} has a free slot at this moment");
        findings.reasons.push(reason);
    }
}

/// Returns the names of the daemons in a dump of the members for which `flag` is set.
fn daemons_with_flag(members: &Value, flag: &str) -> BTreeSet<String> {
    let daemons = members.get("daemons").and_then(Value::as_array);
    let flagged = daemons
        .into_iter()
        .flatten()
        .filter(|member| member.get(flag) == Some(&Value::Bool(true)));
    flagged
        .filter_map(|member| member.get("daemon")?.as_str())
        .map(str::to_owned)
        .collect()
}

fn seconds(age: Millis) -> u64 {
    age.get() / 1000
}
