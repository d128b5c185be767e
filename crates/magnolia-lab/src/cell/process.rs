//! One process of a cell.

use std::path::Path;
use std::process::{Child, Command, Stdio};

/// A process that ends with its owner.
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts `program` with arguments; its output goes to this process's standard error.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn new(program: &Path, args: &[String]) -> std::io::Result<Self> {
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::inherit())
            .spawn()?;
        Ok(Self { child })
    }

    /// Ends the process at once with SIGKILL.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be ended.
    pub fn kill(&mut self) -> std::io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The process may have ended already.
        self.kill().ok();
    }
}
