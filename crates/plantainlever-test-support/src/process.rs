//! Real entry processes, controlled by signals.

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

/// Longest wait for a process to serve.
const START_BOUND: Duration = Duration::from_secs(30);

/// Timeout of one question to `/readyz`.
const READY_TIMEOUT: Duration = Duration::from_secs(2);

/// Period of polls.
const POLL: Duration = Duration::from_millis(10);

/// Number of the event that a process logs once it serves.
const STARTED: &str = " P0100 started: ";

/// Why a process cannot be controlled.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The settings cannot be written.
    #[error("the settings file cannot be written")]
    Settings(#[source] std::io::Error),
    /// The settings cannot be encoded.
    #[error("the settings cannot be encoded: {cause}")]
    Encoding {
        /// The codec's message.
        cause: String,
    },
    /// The program cannot be started.
    #[error("{program} cannot be started")]
    Spawn {
        /// The program.
        program: String,
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
    /// The process ended or did not serve.
    #[error("{name} does not serve after {waited:?}, exit {status:?}; its log:\n{log}")]
    NotServing {
        /// Name in the settings.
        name: String,
        /// How long it was waited for.
        waited: Duration,
        /// How it ended, if it did.
        status: Option<ExitStatus>,
        /// What it logged.
        log: String,
    },
    /// The signal was not delivered.
    #[error("kill {signal} {pid} failed")]
    Signal {
        /// The signal.
        signal: &'static str,
        /// The process.
        pid: u32,
    },
    /// The process did not end.
    #[error("{name} did not end within {waited:?}; its log:\n{log}")]
    NotEnding {
        /// Name in the settings.
        name: String,
        /// How long it was waited for.
        waited: Duration,
        /// What it logged.
        log: String,
    },
}

/// A running entry process. It is killed when it is dropped.
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
    /// Starts `binary entry` with these settings and waits until it serves. Ports 0 are picked by the system.
    ///
    /// # Errors
    ///
    /// Any [`ProcessError`]; the process is gone then.
    pub fn start(binary: &Path, settings: Settings) -> Result<Self, ProcessError> {
        let folder = TempFolder::new().map_err(ProcessError::Settings)?;
        let file = folder.path.join("entry.yaml");
        // JSON is YAML, so no second codec is needed here.
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
        let kept = Arc::clone(&log);
        let reader = std::thread::spawn(move || {
            let Some(stderr) = stderr else { return };
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                kept.lock().unwrap_or_else(PoisonError::into_inner).push(line);
            }
        });
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut started = Self {
            settings,
            child,
            folder,
            log,
            reader: Some(reader),
            address: nowhere,
            peer_address: nowhere,
            process: String::new(),
        };
        started.wait_started()?;
        Ok(started)
    }

    fn wait_started(&mut self) -> Result<(), ProcessError> {
        let started = Instant::now();
        loop {
            if let Some((process, address, peer_address)) = self.started_line() {
                (self.process, self.address, self.peer_address) = (process, address, peer_address);
                if self.is_ready() {
                    return Ok(());
                }
            }
            let status = self.child.try_wait().ok().flatten();
            if status.is_some() || started.elapsed() >= START_BOUND {
                return Err(ProcessError::NotServing {
                    name: self.settings.name.clone(),
                    waited: started.elapsed(),
                    status,
                    log: self.log().join("\n"),
                });
            }
            std::thread::sleep(POLL);
        }
    }

    /// Name and addresses from `NAME serves callers on ADDRESS and peers on ADDRESS`.
    fn started_line(&self) -> Option<(String, SocketAddr, SocketAddr)> {
        let log = self.log();
        let (_, detail) = log.iter().find_map(|line| line.split_once(STARTED))?;
        let (process, rest) = detail.split_once(" serves callers on ")?;
        let (address, peer_address) = rest.split_once(" and peers on ")?;
        Some((process.to_owned(), address.parse().ok()?, peer_address.trim().parse().ok()?))
    }

    /// True if `/readyz` answers 200.
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

    /// Address for callers and operators.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address for peers.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Name of the process, unique per start.
    #[must_use]
    pub fn process(&self) -> &str {
        &self.process
    }

    /// The settings it runs with.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Folder of its settings file.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder.path
    }

    /// What it has logged so far.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Begins a planned stop.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        self.signal("-TERM")
    }

    /// Ends it at once, as the loss of its VM does.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub fn kill(&self) -> Result<(), ProcessError> {
        self.signal("-KILL")
    }

    /// Freezes it.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub fn pause(&self) -> Result<(), ProcessError> {
        self.signal("-STOP")
    }

    /// Ends the freeze.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub fn resume(&self) -> Result<(), ProcessError> {
        self.signal("-CONT")
    }

    fn signal(&self, signal: &'static str) -> Result<(), ProcessError> {
        let pid = self.child.id();
        // The process is our child and has not been waited for, so its id cannot belong to another one.
        let sent = Command::new("kill").arg(signal).arg(pid.to_string()).status();
        if sent.is_ok_and(|status| status.success()) {
            Ok(())
        } else {
            Err(ProcessError::Signal { signal, pid })
        }
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// If it runs on after the bound.
    pub fn wait(&mut self, bound: Duration) -> Result<ExitStatus, ProcessError> {
        let started = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Ok(status);
            }
            if started.elapsed() >= bound {
                return Err(ProcessError::NotEnding {
                    name: self.settings.name.clone(),
                    waited: started.elapsed(),
                    log: self.log().join("\n"),
                });
            }
            std::thread::sleep(POLL);
        }
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // Both fail only if the process has ended already. SIGKILL also ends a frozen process.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(reader) = self.reader.take() {
            // A panic of the thread has been reported by the panic hook.
            let _ = reader.join();
        }
    }
}

/// A folder that is removed when it is dropped.
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

    /// Its path.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        // A folder that is left over does no harm.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
