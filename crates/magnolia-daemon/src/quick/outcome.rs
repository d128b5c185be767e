//! Creates outcomes of quick requests.

use magnolia_protocol::QuickOutcome;
use magnolia_types::ResultCode;

/// Creates an outcome that reports no free slots.
pub fn outcome(code: ResultCode, text: &str) -> QuickOutcome {
    QuickOutcome {
        code,
        text: text.into(),
        free_slots: 0,
    }
}
