//! A real `plantainlever node` process, controlled by signals.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

use crate::process::TempFolder;

/// Lines that are kept of each process.
const LINES_KEPT: usize = 4_000;

/// A process. It is killed when it is dropped.
#[derive(Debug)]
pub struct NodeProcess {
    binary: PathBuf,
    folder: TempFolder,
    front: SocketAddr,
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl NodeProcess {
    /// Starts a process whose store is at `store`.
    ///
    /// # Errors
    ///
    /// If a port, the settings file or the process can't be had.
    pub fn start(binary: &Path, index: usize, store: SocketAddr) -> Result<Self, std::io::Error> {
        let folder = TempFolder::new()?;
        let (front, readiness) = (free_port()?, free_port()?);
        let settings = serde_json::json!({
            "node-name": format!("vm-{index}"), "zone": format!("domain-{}", index % 3),
            "listen": { "front": front, "readiness": readiness },
            "limits": { "cpu-share": 0.25, "max-fds": 4_100 },
            "bounds": { "grace-s": 6, "hold-max-ms": 6_000, "status-s": 600, "pace-ms": 100 },
            "platform": { "address": store },
        });
        std::fs::write(folder.path().join("node.json"), settings.to_string())?;
        let lines = Arc::default();
        let child = spawn(binary, &folder, &lines)?;
        Ok(Self { binary: binary.to_owned(), folder, front, child, lines })
    }

    /// Where callers reach it.
    #[must_use]
    pub fn front(&self) -> SocketAddr {
        self.front
    }

    /// Sends a signal by its name. Fails silently if the process has ended, as a signal from outside does.
    pub fn signal(&mut self, signal: &str) {
        if matches!(self.child.try_wait(), Ok(None)) {
            let pid = self.child.id().to_string();
            // The process is our child and has not been waited for, so its id cannot belong to another one.
            let _ = Command::new("kill").args([signal, &pid]).status();
        }
    }

    /// Starts it again if it has ended.
    ///
    /// # Errors
    ///
    /// If the process can't be started.
    pub fn restart(&mut self) -> Result<(), std::io::Error> {
        if matches!(self.child.try_wait(), Ok(None)) {
            return Ok(());
        }
        self.child = spawn(&self.binary, &self.folder, &self.lines)?;
        Ok(())
    }

    /// What it has logged last.
    #[must_use]
    pub fn last_lines(&self) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn spawn(
    binary: &Path,
    folder: &TempFolder,
    lines: &Arc<Mutex<Vec<String>>>,
) -> Result<Child, std::io::Error> {
    let mut child = Command::new(binary)
        .arg("node")
        .arg("--settings")
        .arg(folder.path().join("node.json"))
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()?;
    let stdout = child.stdout.take();
    let lines = Arc::clone(lines);
    std::thread::spawn(move || {
        let Some(stdout) = stdout else { return };
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
            if lines.len() >= LINES_KEPT {
                lines.remove(0);
            }
            lines.push(line);
        }
    });
    Ok(child)
}

/// A port that was free a moment ago. Processes keep theirs over restarts, so it can't be picked by themselves.
fn free_port() -> Result<SocketAddr, std::io::Error> {
    TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Both fail only if the process has ended already. SIGKILL also ends a frozen process.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
