//! Results by scenario, policy and metric: median and spread over the seeds.

use std::fmt;

/// One result.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct BenchRow {
    /// What was set up.
    pub scenario: String,
    /// Which policy decided.
    pub policy: String,
    /// What was measured, with its unit.
    pub metric: String,
    /// Median over the seeds.
    pub median: f64,
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
    /// Number of values, one for each seed.
    pub runs: usize,
}

/// Values of one row until it is finished.
struct RowValues {
    scenario: String,
    policy: String,
    metric: String,
    values: Vec<f64>,
}

/// Collects values and prints them.
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

    /// Adds the value of one seed.
    pub fn add(&mut self, scenario: &str, policy: &str, metric: &str, value: f64) {
        let known = self
            .rows
            .iter_mut()
            .find(|row| row.scenario == scenario && row.policy == policy && row.metric == metric);
        match known {
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
    /// Fails when a value cannot be written.
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
            let (median, min, max) = (short(row.median), short(row.min), short(row.max));
            writeln!(
                f,
                "{:<38} {:<12} {:<34} {median:>10} [{min} .. {max}] n={}",
                row.scenario, row.policy, row.metric, row.runs
            )?;
        }
        Ok(())
    }
}

fn short(value: f64) -> String {
    if value.abs() >= 100.0 || value == value.trunc() {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}
