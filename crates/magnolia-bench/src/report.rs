//! Results by scenario, policy and metric, with their median and range over the seeds.

use std::fmt;

/// One result.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct BenchRow {
    /// Load, fleet or fault under which the policy was measured.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Name of the metric with its unit.
    pub metric: String,
    /// Median over the seeds.
    pub median: f64,
    /// Smallest value over the seeds.
    pub min: f64,
    /// Largest value over the seeds.
    pub max: f64,
    /// Number of values, one for each seed.
    pub runs: usize,
}

/// Values of one row, one for each seed so far.
struct RowValues {
    scenario: String,
    policy: String,
    metric: String,
    values: Vec<f64>,
}

/// Report of one benchmark.
#[derive(Default)]
pub struct BenchReport {
    name: String,
    rows: Vec<RowValues>,
}

impl BenchReport {
    /// Creates an empty report of a benchmark.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            rows: Vec::new(),
        }
    }

    /// Adds the value of one seed to its row, which is created at the end if there is none.
    pub fn add(&mut self, scenario: &str, policy: &str, metric: &str, value: f64) {
        let existing = self
            .rows
            .iter_mut()
            .find(|row| row.scenario == scenario && row.policy == policy && row.metric == metric);
        match existing {
            Some(row) => row.values.push(value),
            None => self.rows.push(RowValues {
                scenario: scenario.to_owned(),
                policy: policy.to_owned(),
                metric: metric.to_owned(),
                values: vec![value],
            }),
        }
    }

    /// Returns the results in the order in which they were first added.
    pub fn rows(&self) -> Vec<BenchRow> {
        let rows = self.rows.iter().map(|row| {
            let mut values = row.values.clone();
            values.sort_by(f64::total_cmp);
            BenchRow {
                scenario: row.scenario.clone(),
                policy: row.policy.clone(),
                metric: row.metric.clone(),
                median: values[values.len() / 2],
                min: values[0],
                max: values[values.len() - 1],
                runs: values.len(),
            }
        });
        rows.collect()
    }

    /// Returns the report as JSON.
    ///
    /// # Errors
    ///
    /// Fails when a value cannot be written as JSON.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(&serde_json::json!({
            "benchmark": self.name,
            "rows": self.rows(),
        }))
    }
}

impl fmt::Display for BenchReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: median [smallest .. largest] over the seeds",
            self.name
        )?;
        for row in self.rows() {
            let (median, min, max) = (
                format_value(row.median),
                format_value(row.min),
                format_value(row.max),
            );
            writeln!(
                f,
                "{:<38} {:<12} {:<34} {median:>10} [{min} .. {max}] n={}",
                row.scenario, row.policy, row.metric, row.runs
            )?;
        }
        Ok(())
    }
}

/// Formats a value with two decimals, or none if it is integral or at least 100.
fn format_value(value: f64) -> String {
    if value.abs() >= 100.0 || value == value.trunc() {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}
