//! A last check before bytes leave the process.

use std::fmt;
use std::io;
use std::sync::Arc;

/// Tells at the moment of each write whether the process may still send.
///
/// A request passes several tasks between the decision to send it and the write; a pause of the
/// process in between would make the decision stale. A write that the guard refuses breaks its
/// connection.
#[derive(Clone)]
pub struct WriteGuard {
    may_write: Arc<dyn Fn() -> bool + Send + Sync>,
}

impl WriteGuard {
    /// Creates a guard from a check that must not block.
    pub fn new(may_write: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self {
            may_write: Arc::new(may_write),
        }
    }

    /// Fails when the process may not send.
    pub(crate) fn check(&self) -> io::Result<()> {
        if (self.may_write)() {
            return Ok(());
        }
        Err(io::Error::other("writes are refused at the moment"))
    }
}

impl fmt::Debug for WriteGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WriteGuard").finish_non_exhaustive()
    }
}
