//! Histories: the events that stand-ins, clients and the lab recorded, one JSON object per line.

mod event;
mod reader;
mod writer;

pub use event::{HistoryEvent, HistoryRecord, QuickResult};
pub use reader::{History, HistoryError};
pub use writer::{HistoryWriter, monotonic_us};
