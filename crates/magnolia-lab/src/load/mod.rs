//! Load generators whose choices follow a seed, and reports on the merged histories.

mod busiest;
mod client;
mod gaps;
mod jobs;
mod mix;
mod observer;
mod report;

pub use busiest::{busiest_executor, busiest_worker};
pub use client::{LoadClient, LoadSettings};
pub use gaps::{PlacementGap, placement_gap};
pub use mix::{LoadMix, WorkKind};
pub use observer::ConfigObserver;
pub use report::{ClassReport, RunReport};
