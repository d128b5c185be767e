//! Check immediately before bytes are written to a connection.

use std::fmt;
use std::io;
use std::sync::Arc;

/// Decides immediately before each write whether the process may still send.
///
/// A request passes through several tasks between the decision to send it and the write, and the
/// decision is out of date if the process is paused in between. A refused write fails with an I/O
/// error, which closes the connection.
#[derive(Clone)]
pub struct WriteGuard {
    may_write: Arc<dyn Fn() -> bool + Send + Sync>,
}

impl WriteGuard {
    /// Creates a guard from a check, which must not block.
    pub fn new(may_write: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self {
            may_write: Arc::new(may_write),
        }
    }

    /// Returns an error if the process may not send.
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
