//! Starts a real `plantainlever node` process and controls it by signals.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

use crate::process::TempFolder;

/// Maximum number of log lines kept per process.
const MAX_LOG_LINES: usize = 4_000;

/// Resources of the VM, as the settings file gives them to a process.
#[derive(Clone, Copy, Debug)]
pub struct VmLimits {
    /// What its processes and their socket buffers may occupy together.
    pub memory_mb: usize,
    /// Limit on open file descriptors.
    pub max_fds: usize,
}

/// Those of the VMs in the platform's own example of a settings file.
impl Default for VmLimits {
    fn default() -> Self {
        Self { memory_mb: 260, max_fds: 4_100 }
    }
}

/// A node process. Dropping it kills the process.
#[derive(Debug)]
pub struct NodeProcess {
    binary: PathBuf,
    folder: TempFolder,
    front: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    child: Child,
    log_lines: Arc<Mutex<Vec<String>>>,
}

impl NodeProcess {
    /// Starts a process that uses the store at `store`.
    ///
    /// # Errors
    ///
    /// If no port is free, the settings file cannot be written, or the process cannot be started.
    pub fn start(
        binary: &Path,
        index: usize,
        store: SocketAddr,
        limits: VmLimits,
    ) -> Result<Self, std::io::Error> {
        let folder = TempFolder::new()?;
        let (front, readiness, metrics) = (free_port()?, free_port()?, free_port()?);
        let settings = serde_json::json!({
            "node-name": format!("vm-{index}"), "zone": format!("domain-{}", index % 3),
            "listen": { "front": front, "readiness": readiness },
            "limits": { "cpu-share": 0.25, "memory-mb": limits.memory_mb, "max-fds": limits.max_fds },
            "bounds": { "grace-s": 6, "hold-max-ms": 6_000, "status-s": 600, "pace-ms": 100 },
            "platform": { "address": store },
        });
        std::fs::write(folder.path().join("node.json"), settings.to_string())?;
        let log_lines = Arc::default();
        let child = spawn(binary, &folder, metrics, &log_lines)?;
        Ok(Self { binary: binary.to_owned(), folder, front, readiness, metrics, child, log_lines })
    }

    /// Address on which it serves callers, kept over restarts.
    #[must_use]
    pub fn front(&self) -> SocketAddr {
        self.front
    }

    /// Address of the readiness check, kept over restarts.
    #[must_use]
    pub fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Address of the metrics, kept over restarts.
    #[must_use]
    pub fn metrics(&self) -> SocketAddr {
        self.metrics
    }

    /// Process ID in the operating system.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns true until the process has exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal, given as an option of `kill` such as `-TERM`. Does nothing if the process has exited.
    pub fn signal(&mut self, signal: &str) {
        if self.is_running() {
            let pid = self.child.id().to_string();
            // The child has not been reaped, so its process ID cannot have been reused.
            let _ = Command::new("kill").args([signal, &pid]).status();
        }
    }

    /// Starts the process again if it has exited; does nothing otherwise. Returns true if it has started.
    ///
    /// # Errors
    ///
    /// If the process cannot be started.
    pub fn restart(&mut self) -> Result<bool, std::io::Error> {
        if self.is_running() {
            return Ok(false);
        }
        self.child = spawn(&self.binary, &self.folder, self.metrics, &self.log_lines)?;
        Ok(true)
    }

    /// The last log lines, of all starts of the process.
    #[must_use]
    pub fn last_log_lines(&self) -> Vec<String> {
        self.log_lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn spawn(
    binary: &Path,
    folder: &TempFolder,
    metrics: SocketAddr,
    log_lines: &Arc<Mutex<Vec<String>>>,
) -> Result<Child, std::io::Error> {
    let mut child = Command::new(binary)
        .arg("node")
        .arg("--settings")
        .arg(folder.path().join("node.json"))
        .args(["--metrics", &metrics.port().to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()?;
    let stdout = child.stdout.take();
    let log_lines = Arc::clone(log_lines);
    std::thread::spawn(move || {
        let Some(stdout) = stdout else { return };
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            let mut log_lines = log_lines.lock().unwrap_or_else(PoisonError::into_inner);
            if log_lines.len() >= MAX_LOG_LINES {
                log_lines.remove(0);
            }
            log_lines.push(line);
        }
    });
    Ok(child)
}

/// Returns a port that was free just now. A process keeps its port over restarts, so it cannot let the operating system
/// choose one at each start.
fn free_port() -> Result<SocketAddr, std::io::Error> {
    TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Both fail only if the process has already exited. SIGKILL also ends a suspended process.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
