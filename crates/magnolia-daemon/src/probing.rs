//! Probes other daemons: the next two on a ring of all daemons, and those whose probes are
//! requested because they are called or their end is in question.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magnolia_http::traffic;
use magnolia_protocol::{PeerReply, PeerRequest, PingReply, SuspectReport};
use magnolia_types::{DaemonId, Millis};

use crate::context::{DaemonContext, LifecyclePhase};
use crate::membership::MemberEntry;
use crate::metrics::names;

/// Interval between rounds of probes, and the timeout of a probe.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of ring neighbours that each daemon probes. With two, each daemon is probed by two
/// others, so that one paused daemon does not leave another unprobed.
const RING_NEIGHBOURS: usize = 2;
/// Maximum age of an answer with which a daemon is not probed on request.
const MAX_ANSWER_AGE: Millis = Millis::new(450);

/// Probes other daemons until this one ends.
pub async fn keep_probing(context: Arc<DaemonContext>) {
    let mut rounds = tokio::time::interval(PROBE_INTERVAL);
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let targets = tokio::select! {
            _ = rounds.tick() => {
                record_traffic(&context);
                probe_targets(&context)
            }
            // Does not wait for the next round: a candidate would learn of an owner's end so late
            // that the next candidate claims as well.
            () = context.members.new_probe_request() => requested_targets(&context),
        };
        for (daemon, address) in targets {
            tokio::spawn(probe(Arc::clone(&context), daemon, address));
        }
    }
}

/// Updates the gauges of the HTTP traffic.
fn record_traffic(context: &DaemonContext) {
    let traffic = traffic();
    let (read, written) = (traffic.read, traffic.written);
    context.metrics.gauge(names::HTTP_READ_BYTES, read);
    context.metrics.gauge(names::HTTP_WRITTEN_BYTES, written);
}

/// Returns the reply of this daemon to a probe.
pub fn ping_reply(context: &DaemonContext) -> PingReply {
    let now = context.clock.now();
    let suspects = context
        .members
        .with_tracker(|tracker| tracker.suspects(now));
    let reports = suspects
        .into_iter()
        .map(|(daemon, evidence)| SuspectReport {
            daemon,
            age_ms: now.saturating_sub(evidence),
        });
    PingReply {
        draining: *context.phase.borrow() == LifecyclePhase::Draining,
        suspects: reports.collect(),
        list_digest: context.members.list_digest(),
    }
}

/// Returns the daemons to probe in this round. Their number does not grow with the cell.
fn probe_targets(context: &DaemonContext) -> BTreeMap<DaemonId, SocketAddr> {
    let members = context.members.listed_daemons();
    let own = &context.identity.daemon;
    let ring = ring_neighbours(&members, own)
        .into_iter()
        .map(|member| (member.daemon.clone(), member.address));
    let mut targets = requested_targets(context);
    targets.extend(ring);
    targets
}

/// Returns the daemons to probe on request, except those that have just answered.
fn requested_targets(context: &DaemonContext) -> BTreeMap<DaemonId, SocketAddr> {
    let now = context.clock.now();
    let should_probe = |daemon: &DaemonId| {
        let answered = context
            .members
            .with_tracker(|tracker| tracker.answered(daemon));
        let fresh = answered.is_some_and(|sent| now.saturating_sub(sent) < MAX_ANSWER_AGE);
        !fresh && *daemon != context.identity.daemon
    };
    let requested = context.members.daemons_to_probe().into_iter();
    requested
        .filter(should_probe)
        .filter_map(|daemon| Some((daemon.clone(), context.address_of(&daemon)?)))
        .collect()
}

/// Returns the members that follow `own` on the ring of all daemons sorted by name.
fn ring_neighbours<'a>(members: &'a [MemberEntry], own: &DaemonId) -> Vec<&'a MemberEntry> {
    let start = members.partition_point(|member| member.daemon <= *own);
    let around = members[start..].iter().chain(&members[..start]);
    around
        .filter(|member| member.daemon != *own)
        .take(RING_NEIGHBOURS)
        .collect()
}

/// Probes a daemon and records the result.
async fn probe(context: Arc<DaemonContext>, daemon: DaemonId, address: SocketAddr) {
    let asked = context.clock.now();
    let was_suspect = context.members.is_suspect(&daemon);
    match context
        .call_peer(address, PeerRequest::Ping, PROBE_INTERVAL)
        .await
    {
        Ok(reply) => {
            if let PeerReply::Pong(pong) = reply.body {
                apply_pong(&context, &reply.from, &pong);
            }
        }
        Err(error) => {
            context.metrics.count(names::PROBES_FAILED);
            let now = context.clock.now();
            context.members.with_tracker(|tracker| {
                if error.is_refused() {
                    tracker.record_refusal(&daemon, asked, now);
                } else {
                    tracker.record_failure(&daemon, now);
                }
            });
        }
    }
    let is_suspect = context.members.is_suspect(&daemon);
    if is_suspect != was_suspect {
        let change = if is_suspect {
            "suspected"
        } else {
            "trusted again"
        };
        log::info!("daemon {daemon} is {change}");
    }
}

/// Records what the reply to a probe says.
fn apply_pong(context: &DaemonContext, from: &DaemonId, pong: &PingReply) {
    let now = context.clock.now();
    context.members.compare_digest(pong.list_digest);
    context.members.with_tracker(|tracker| {
        tracker.record_draining(from, pong.draining);
        let reports = pong.suspects.iter();
        for report in reports.filter(|report| report.daemon != context.identity.daemon) {
            tracker.record_report(&report.daemon, now.saturating_sub(report.age_ms));
        }
    });
}
