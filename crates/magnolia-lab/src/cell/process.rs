//! A child process of the lab.

use std::fs::OpenOptions;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Environment variable that makes a process of the lab exit when its parent exits.
pub const CHILD_VARIABLE: &str = "MAGNOLIA_LAB_CHILD";
/// Interval at which a stopping process is checked for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A process that is killed when this value is dropped.
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts `program` with arguments; its output is appended to the file `output`.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be opened or the program cannot be started.
    pub fn new(program: &Path, args: &[String], output: &Path) -> std::io::Result<Self> {
        let output = OpenOptions::new().create(true).append(true).open(output)?;
        let child = Command::new(program)
            .args(args)
            .env(CHILD_VARIABLE, "1")
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Self { child })
    }

    /// Kills the process with SIGKILL.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be killed.
    pub fn kill(&mut self) -> std::io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process has exited.
    pub fn signal(&self, signal: Signal) -> std::io::Result<()> {
        let id = i32::try_from(self.child.id()).map_err(std::io::Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(std::io::Error::from)
    }

    /// Waits until the process exits; returns its exit status, or `None` when a signal ended it.
    ///
    /// # Errors
    ///
    /// Fails when the process has not exited after `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> std::io::Result<Option<i32>> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.code());
            }
            if Instant::now() > deadline {
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        self.kill().ok();
    }
}
