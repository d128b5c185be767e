//! The arithmetic of the capacity page.

use magnolia_lab::capacity::{FittedLine, SeriesKind, SlopeTable, TargetSize};

/// Guards against a wrong fit: exact points give exact slope and intercept, and a point off the
/// line shows in the residual.
#[test]
fn line_through_points() {
    let line = FittedLine::new(&[(0.0, 1.0), (10.0, 3.0), (20.0, 5.0)]).expect("a line");
    assert!((line.slope - 0.2).abs() < 1e-9);
    assert!((line.intercept - 1.0).abs() < 1e-9);
    assert!(line.worst_residual < 1e-9);
    let line = FittedLine::new(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]).expect("a line");
    assert!(line.worst_residual > 1.0);
    assert_eq!(FittedLine::new(&[(1.0, 1.0), (1.0, 2.0)]), None);
}

/// Guards against a plan that fits by arithmetic alone: a daemon that costs more than the bound
/// while it owns nothing has no number of daemons that is enough.
#[test]
fn fixed_cost_over_the_bound_does_not_fit() {
    let line = |intercept, slope| FittedLine {
        intercept,
        slope,
        worst_residual: 0.0,
    };
    let mut table = SlopeTable::new();
    table.insert(
        SeriesKind::Workers,
        line(0.1, 0.02),
        line(10.0, 0.001),
        line(9.5, 0.03),
    );
    let plan = table.plan(&TargetSize::new());
    assert_eq!(plan.cpu.daemons(), Some(54));
    assert_eq!(plan.memory.daemons(), Some(1));
    assert_eq!(plan.traffic.daemons(), None);
}
