//! Identifiers of jobs, steps, tasks and runs.

use std::fmt;
use std::str::FromStr;

use magnolia_types::{Epoch, number_type, value_types};

/// Error of parsing a job key or a task reference.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("job key: {0:?} is not 16 hexadecimal digits")]
pub struct ParseKeyError(String);

value_types! {
    /// Key of a job, chosen by its caller.
    #[serde(transparent)]
    pub struct JobKey(u64);

    /// One step of one occurrence of a job.
    pub struct StepRef {
        /// The job.
        pub job: JobKey,
        /// Number of the occurrence, from 0.
        pub occurrence: u32,
        /// Number of the step in its job, from 0.
        pub step: u16,
    }

    /// One task of a step.
    pub struct TaskRef {
        /// The step.
        pub step: StepRef,
        /// Number of the task in its step, from 0.
        pub index: u32,
    }
}

impl JobKey {
    /// Hexadecimal digits of a written key.
    const DIGITS: usize = 16;

    /// Creates the key from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != Self::DIGITS || !text.bytes().all(lower_hex) {
            return Err(ParseKeyError(text.chars().take(64).collect()));
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseKeyError(text.into()))
    }
}

impl fmt::Display for StepRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl fmt::Display for TaskRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskRef {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseKeyError(text.chars().take(64).collect());
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(error);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| error())?;
        let step = next()?.parse().map_err(|_| error())?;
        let index = next()?.parse().map_err(|_| error())?;
        if parts.next().is_some() {
            return Err(error());
        }
        let step = StepRef {
            job,
            occurrence,
            step,
        };
        Ok(Self { step, index })
    }
}

number_type!(
    /// Number of a run of a task; increases with every start, across changes of owner.
    RunNumber,
    ""
);
number_type!(
    /// Life of an executor: identifies one process by the Unix millisecond of its start.
    ExecutorLife,
    ""
);

number_type!(
    /// Number in each call to an executor, which rejects calls with a lower number than the highest
    /// that it has seen.
    FenceToken,
    ""
);

impl FenceToken {
    /// How many tokens each epoch reserves for an executor.
    const PER_EPOCH: u64 = 1 << 16;

    /// Returns the token for the life of an executor that the owner of an epoch knows after so many
    /// restarts. Tokens of a later epoch are always higher. Once a life has answered a call, it
    /// rejects calls that were meant for an earlier one.
    pub const fn new_in(epoch: Epoch, restarts: u64) -> Self {
        let last = Self::PER_EPOCH - 1;
        let restarts = if restarts < last { restarts } else { last };
        Self::new(
            epoch
                .get()
                .saturating_mul(Self::PER_EPOCH)
                .saturating_add(restarts),
        )
    }
}

impl RunNumber {
    /// How many run numbers each epoch reserves for a task.
    const PER_EPOCH: u64 = 1 << 20;

    /// Returns the number of the start `count` (from 1) of a task in an epoch.
    ///
    /// Numbers of a later epoch are always higher, so that starts need not be stored.
    pub const fn new_in(epoch: Epoch, count: u64) -> Self {
        let earlier = epoch.get().saturating_sub(1);
        Self::new(
            earlier
                .saturating_mul(Self::PER_EPOCH)
                .saturating_add(count),
        )
    }
}
