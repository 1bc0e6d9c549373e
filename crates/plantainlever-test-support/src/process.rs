//! Starts real entry processes and controls them by signals.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use plantainlever::config::Settings;
use thiserror::Error;
use ureq::Agent;

/// Time in which a started process must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of one request to `/readyz`.
const READY_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two polls of the state of a process.
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Event that a process logs once it listens, as it appears in a log line.
const STARTED_EVENT: &str = " P0100 started: ";

/// Failure to start or control a process.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The folder or the settings file could not be written.
    #[error("the settings file cannot be written")]
    Settings(#[source] std::io::Error),
    /// The settings could not be encoded as JSON.
    #[error("the settings cannot be encoded: {cause}")]
    Encoding {
        /// Message of the encoder.
        cause: String,
    },
    /// The binary could not be started.
    #[error("{program} cannot be started")]
    Spawn {
        /// Path of the binary.
        program: String,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The process exited before it was ready, or was not ready within the timeout.
    #[error("{name} was not ready after {waited:?} (exit status {status:?}); its log:\n{log}")]
    NotReady {
        /// Name of the VM in the settings.
        name: String,
        /// Time since the start.
        waited: Duration,
        /// Exit status; `None` if the process still ran.
        status: Option<ExitStatus>,
        /// Log of the process, one line per event.
        log: String,
    },
    /// `kill` failed.
    #[error("kill {signal} {pid} failed")]
    Signal {
        /// Option of `kill`, such as `-TERM`.
        signal: &'static str,
        /// Process ID.
        pid: u32,
    },
    /// The process did not exit in time.
    #[error("{name} did not exit within {waited:?}; its log:\n{log}")]
    NotExited {
        /// Name of the VM in the settings.
        name: String,
        /// Time spent waiting.
        waited: Duration,
        /// Log of the process, one line per event.
        log: String,
    },
}

/// A running entry process. Dropping it kills the process.
#[derive(Debug)]
pub struct EntryProcess {
    settings: Settings,
    child: Child,
    folder: TempFolder,
    log: Arc<Mutex<Vec<String>>>,
    reader: Option<JoinHandle<()>>,
    address: SocketAddr,
    peer_address: SocketAddr,
    process: String,
}

impl EntryProcess {
    /// Starts `binary entry` with these settings and waits until it is ready. Port 0 lets the operating system choose.
    ///
    /// # Errors
    ///
    /// Any [`ProcessError`]; in that case the process is killed.
    pub fn start(binary: &Path, settings: Settings) -> Result<Self, ProcessError> {
        let folder = TempFolder::new().map_err(ProcessError::Settings)?;
        let file = folder.path.join("entry.yaml");
        // JSON is valid YAML, so the settings file needs no YAML encoder.
        let text = serde_json::to_string_pretty(&settings)
            .map_err(|error| ProcessError::Encoding { cause: error.to_string() })?;
        std::fs::write(&file, text).map_err(ProcessError::Settings)?;
        let mut child = Command::new(binary)
            .arg("entry")
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|source| ProcessError::Spawn {
                program: binary.display().to_string(),
                source,
            })?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let stderr = child.stderr.take();
        let log_lines = Arc::clone(&log);
        let reader = std::thread::spawn(move || {
            let Some(stderr) = stderr else { return };
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                log_lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
            }
        });
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut process = Self {
            settings,
            child,
            folder,
            log,
            reader: Some(reader),
            address: unspecified,
            peer_address: unspecified,
            process: String::new(),
        };
        process.wait_until_ready()?;
        Ok(process)
    }

    fn wait_until_ready(&mut self) -> Result<(), ProcessError> {
        let started = Instant::now();
        loop {
            if let Some((process, address, peer_address)) = self.started_line() {
                (self.process, self.address, self.peer_address) = (process, address, peer_address);
                if self.is_ready() {
                    return Ok(());
                }
            }
            let status = self.child.try_wait().ok().flatten();
            if status.is_some() || started.elapsed() >= START_TIMEOUT {
                return Err(ProcessError::NotReady {
                    name: self.settings.name.clone(),
                    waited: started.elapsed(),
                    status,
                    log: self.log().join("\n"),
                });
            }
            std::thread::sleep(POLL_PERIOD);
        }
    }

    /// Parses the name and the addresses from `NAME serves callers on ADDRESS and peers on ADDRESS`.
    fn started_line(&self) -> Option<(String, SocketAddr, SocketAddr)> {
        let log = self.log();
        let (_, detail) = log.iter().find_map(|line| line.split_once(STARTED_EVENT))?;
        let (process, rest) = detail.split_once(" serves callers on ")?;
        let (address, peer_address) = rest.split_once(" and peers on ")?;
        Some((process.to_owned(), address.parse().ok()?, peer_address.trim().parse().ok()?))
    }

    /// Returns true if `/readyz` answers 200.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let config = Agent::config_builder()
            .timeout_global(Some(READY_TIMEOUT))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        let agent: Agent = config.into();
        let answer = agent.get(format!("http://{}/readyz", self.address)).call();
        answer.is_ok_and(|answer| answer.status().as_u16() == 200)
    }

    /// Address on which it serves callers and operators.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address on which it serves other entry processes.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Name of the process, unique per start.
    #[must_use]
    pub fn process(&self) -> &str {
        &self.process
    }

    /// Settings with which it was started; port 0 is not replaced.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Process ID in the operating system.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Temporary folder that holds its settings file.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder.path
    }

    /// Lines that it has logged so far.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Requests a graceful stop with SIGTERM.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        self.signal("-TERM")
    }

    /// Kills it with SIGKILL. Unlike after the loss of a VM, its peers see their connections closed.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub fn kill(&self) -> Result<(), ProcessError> {
        self.signal("-KILL")
    }

    /// Suspends it with SIGSTOP.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub fn pause(&self) -> Result<(), ProcessError> {
        self.signal("-STOP")
    }

    /// Resumes it with SIGCONT.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub fn resume(&self) -> Result<(), ProcessError> {
        self.signal("-CONT")
    }

    fn signal(&self, signal: &'static str) -> Result<(), ProcessError> {
        let pid = self.child.id();
        // The child has not been reaped, so its process ID cannot have been reused.
        let sent = Command::new("kill").arg(signal).arg(pid.to_string()).status();
        if sent.is_ok_and(|status| status.success()) {
            Ok(())
        } else {
            Err(ProcessError::Signal { signal, pid })
        }
    }

    /// Waits until it exits.
    ///
    /// # Errors
    ///
    /// If it does not exit within `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Result<ExitStatus, ProcessError> {
        let started = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Ok(status);
            }
            if started.elapsed() >= timeout {
                return Err(ProcessError::NotExited {
                    name: self.settings.name.clone(),
                    waited: started.elapsed(),
                    log: self.log().join("\n"),
                });
            }
            std::thread::sleep(POLL_PERIOD);
        }
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // Both fail only if the process has already exited. SIGKILL also ends a suspended process.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(reader) = self.reader.take() {
            // A panic of the thread has been reported by the panic hook.
            let _ = reader.join();
        }
    }
}

/// A temporary folder that is removed on drop.
#[derive(Debug)]
pub struct TempFolder {
    path: PathBuf,
}

impl TempFolder {
    /// Creates an empty folder.
    ///
    /// # Errors
    ///
    /// If the system's folder for temporary files cannot be written.
    pub fn new() -> Result<Self, std::io::Error> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let name = format!("plantainlever-test-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// Path below the system's temporary folder.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        // A leftover folder does no harm.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
