//! The page for operators covers every flag and metric.

use std::collections::BTreeSet;

use magnolia_daemon::{DaemonSettings, METRICS, MetricKind};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Guards against a flag that operators cannot look up.
#[test]
fn the_page_covers_every_flag() {
    for argument in DaemonSettings::command().get_arguments() {
        let name = argument.get_id().as_str();
        if ["help", "version"].contains(&name) {
            continue;
        }
        let variable = argument.get_env().and_then(|name| name.to_str());
        let row = format!("| `--{name}` | `{}` |", variable.unwrap_or_default());
        assert!(PAGE.contains(&row), "{row}");
    }
}

/// Guards against a metric that operators cannot look up, or a row of one that is gone.
#[test]
fn the_page_lists_every_metric() {
    let expected: BTreeSet<String> = METRICS
        .iter()
        .map(|metric| {
            let kind = match metric.kind {
                MetricKind::Counter => "counter",
                MetricKind::Gauge => "gauge",
                MetricKind::Timer => "timer",
            };
            format!("| `{}` | {kind} | {} |", metric.name, metric.meaning)
        })
        .collect();
    let kinds = ["| counter |", "| gauge |", "| timer |"];
    let rows = PAGE
        .lines()
        .filter(|line| kinds.iter().any(|kind| line.contains(kind)));
    let listed: BTreeSet<String> = rows.map(str::to_owned).collect();
    assert_eq!(listed, expected);
}

/// Guards against two metrics of one name.
#[test]
fn metric_names_are_unique() {
    let names: BTreeSet<&str> = METRICS.iter().map(|metric| metric.name).collect();
    assert_eq!(names.len(), METRICS.len());
}
