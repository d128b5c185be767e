//! Histories: what stand-ins, clients and the lab saw, one JSON object a line.

mod event;
mod reader;
mod writer;

pub use event::{HistoryEvent, HistoryRecord, QuickResult};
pub use reader::{History, HistoryError};
pub use writer::{HistoryWriter, monotonic_us};
