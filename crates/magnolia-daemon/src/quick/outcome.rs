//! Outcomes of quick requests.

use magnolia_protocol::QuickOutcome;
use magnolia_types::ResultCode;

/// Makes an outcome without news about free slots.
pub fn outcome(code: ResultCode, text: &str) -> QuickOutcome {
    QuickOutcome {
        code,
        text: text.into(),
        free_slots: 0,
    }
}
