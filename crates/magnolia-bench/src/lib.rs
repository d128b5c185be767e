//! Benchmarks of the decision logic.
