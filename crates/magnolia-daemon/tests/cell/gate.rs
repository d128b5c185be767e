//! Blocks the calls of one daemon, as a pause of its process does.

use std::sync::Arc;

use tokio::sync::watch;

/// A gate that blocks calls and answers while it is closed.
#[derive(Clone)]
pub struct PauseGate {
    open: Arc<watch::Sender<bool>>,
}

impl PauseGate {
    /// Creates an open gate.
    pub fn new() -> Self {
        Self {
            open: Arc::new(watch::Sender::new(true)),
        }
    }

    /// Opens or closes the gate.
    pub fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }

    /// Waits until the gate is open.
    pub async fn pass(&self) {
        let mut open = self.open.subscribe();
        open.wait_for(|open| *open).await.ok();
    }
}
