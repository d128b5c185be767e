//! Compares docs/OPERATIONS.md with the flags and metrics of the daemon.

use std::collections::BTreeSet;
use std::path::PathBuf;

use magnolia_daemon::{DaemonSettings, METRICS, MetricKind};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Guards against a flag that the page does not describe.
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

/// Guards against a metric that the page does not describe, and a row for a removed metric.
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

/// Guards against two metrics with the same name.
#[test]
fn metric_names_are_unique() {
    let names: BTreeSet<&str> = METRICS.iter().map(|metric| metric.name).collect();
    assert_eq!(names.len(), METRICS.len());
}

/// Guards against a metric that is sent under a literal name, which may not be in the list.
#[test]
fn every_metric_is_sent_by_its_constant() {
    let calls = [".count(\"", ".gauge(\"", ".time_ms(\"", "metrics.add(\""];
    let mut folders = vec![PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("src")];
    let mut files = 0;
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
            let path = entry.path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let text = std::fs::read_to_string(&path).expect("a source file");
            let literal = calls.iter().find(|call| text.contains(*call));
            assert_eq!(literal, None, "{}", path.display());
            files += 1;
        }
    }
    assert!(files > 10, "the sources were not found");
}
