//! Line fit and computation of the number of daemons at the target size.

use magnolia_lab::capacity::{FittedLine, LineTable, SeriesKind, TargetSize};

/// Guards against a wrong fit: points on a line give its exact slope and intercept, and a point off
/// the line gives a residual.
#[test]
fn line_through_points() {
    let line = FittedLine::new(&[(0.0, 1.0), (10.0, 3.0), (20.0, 5.0)]).expect("a line");
    assert!((line.slope - 0.2).abs() < 1e-9);
    assert!((line.intercept - 1.0).abs() < 1e-9);
    assert!(line.max_residual < 1e-9);
    let line = FittedLine::new(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]).expect("a line");
    assert!(line.max_residual > 1.0);
    assert_eq!(FittedLine::new(&[(1.0, 1.0), (1.0, 2.0)]), None);
}

/// Guards against a plan with a number of daemons although a daemon that owns nothing already
/// exceeds the limit.
#[test]
fn fixed_usage_over_the_limit_gives_no_plan() {
    let line = |intercept, slope| FittedLine {
        intercept,
        slope,
        max_residual: 0.0,
    };
    let mut table = LineTable::new();
    table.insert(
        SeriesKind::Workers,
        line(0.1, 0.02),
        line(10.0, 0.001),
        line(9.5, 0.03),
    );
    let plan = table.plan(&TargetSize::new());
    assert_eq!(plan.cpu.daemons(), Some(54));
    assert_eq!(plan.memory.daemons(), Some(1));
    // The limit is 64 MB, which are fewer MiB.
    assert!(
        (plan.memory.limit - 61.035).abs() < 0.001,
        "{}",
        plan.memory.limit
    );
    assert_eq!(plan.traffic.daemons(), None);
}
