//! Settings of a process.
//!
//! Read once at the start from a YAML file. An unknown key or a value out of range is an error; nothing starts before
//! the whole file has been checked.

pub mod check;
pub mod field;
pub mod load;
pub mod problem;
pub mod rules;
pub mod tree;

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use load::{load, parse};
pub use problem::{Problem, ProblemKind, SettingsError};

/// Settings of an entry process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM; the process adds a random suffix, so that a replaced process has a new name.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// All failure domains, this one included.
    pub domains: Vec<String>,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for peers.
    pub peer_listen: SocketAddr,
    /// Peer addresses known from the start, of this and other domains. More are learned from the table.
    #[serde(default)]
    pub peers: Vec<PeerSeed>,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Where metrics are sent, by statsd over UDP.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
    /// Periods and bounds in time.
    #[serde(default)]
    pub timing: Timing,
    /// Bounds in number and size.
    #[serde(default)]
    pub limits: Limits,
}

/// A peer known from the settings.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSeed {
    /// Failure domain of the peer.
    pub domain: String,
    /// `IP:PORT` of its peer interface.
    pub address: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Table service.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// VM list.
    pub vms: SocketAddr,
}

/// What is logged.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// `error`, `warn`, `info` or `debug`.
    pub level: String,
    /// True to log finished spans.
    pub spans: bool,
    /// Share of the traces begun here that are logged, in percent. A caller's sampled trace is always logged.
    pub span_percent: u8,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), spans: false, span_percent: 10 }
    }
}

macro_rules! timing {
    ($($(#[$doc:meta])* $field:ident = $default:literal, $getter:ident;)*) => {
        /// Periods and bounds in time, all in milliseconds.
        #[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct Timing {
            $($(#[$doc])* pub $field: u64,)*
        }

        impl Default for Timing {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }

        impl Timing {
            $($(#[$doc])* #[must_use] pub fn $getter(&self) -> Duration {
                Duration::from_millis(self.$field)
            })*
        }
    };
}

timing! {
    /// Greatest age of the catalogue cache at which tasks may start.
    freshness_ms = 2_000, freshness;
    /// End of a start's first lease, counted from the cache's confirmation.
    start_window_ms = 4_000, start_window;
    /// Delay of a successor's claim.
    scheduler_lease_ms = 3_000, scheduler_lease;
    /// Delay of a rescuer's claim, and of moving the tasks of a silent domain.
    hold_time_ms = 90_000, hold_time;
    /// Delay of the claim of a process that is on no list.
    force_time_ms = 900_000, force_time;
    /// Longest lease of a running attempt.
    task_lease_ms = 15_000, task_lease;
    /// Period of the catalogue read.
    catalogue_poll_ms = 1_000, catalogue_poll;
    /// Period of the VM list read.
    vm_poll_ms = 1_000, vm_poll;
    /// Period of heartbeats between the entry processes of a domain.
    heartbeat_ms = 500, heartbeat;
    /// Greatest age of an acknowledged heartbeat at which slot shares may be used.
    share_lease_ms = 2_000, share_lease;
    /// Silence after which a member is dropped.
    member_timeout_ms = 2_500, member_timeout;
    /// Pause of the own process that suspends dispatch.
    pause_limit_ms = 1_000, pause_limit;
    /// Period of health checks of targets.
    health_poll_ms = 1_000, health_poll;
    /// Period of the scheduler.
    schedule_tick_ms = 200, schedule_tick;
    /// Period of inventory reads of each worker.
    inventory_poll_ms = 1_000, inventory_poll;
    /// Timeout of one call to the platform or a worker.
    platform_timeout_ms = 1_000, platform_timeout;
    /// Deadline of a request that brings none.
    default_deadline_ms = 10_000, default_deadline;
    /// Longest deadline that a caller may ask for.
    max_deadline_ms = 60_000, max_deadline;
    /// Longest silence of a caller in the middle of a request.
    read_timeout_ms = 5_000, read_timeout;
    /// Time between `/readyz` turning 503 and the refusal of new requests.
    balancer_wait_ms = 1_000, balancer_wait;
    /// Longest wait for requests in flight at a planned stop.
    drain_ms = 60_000, drain;
}

/// Bounds in number and size.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests that an executor runs at the same time.
    pub slots_per_executor: u32,
    /// Connections that an executor accepts, over all entry processes.
    pub connections_per_executor: u32,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Largest body of an answer, in bytes.
    pub max_answer_bytes: usize,
    /// Requests that wait for a slot, per class.
    pub queue_length: usize,
    /// Threads that serve callers; bounds the requests in progress.
    pub front_threads: usize,
    /// Retries as a share of first attempts, in percent.
    pub retry_percent: u32,
    /// Table transactions a second that one process may send.
    pub writes_per_second: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots_per_executor: 8,
            connections_per_executor: 64,
            max_body_bytes: 1 << 20,
            max_answer_bytes: 16 << 20,
            queue_length: 1024,
            front_threads: 256,
            retry_percent: 10,
            writes_per_second: 50,
        }
    }
}
