//! Settings of an entry process.
//!
//! They are read once at the start from a YAML file. An unknown key or a value out of range is an error, and nothing
//! starts before the whole file has been checked.

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
    /// Name of the VM. The process appends a random suffix, so that its name is unique per start.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// All failure domains, this one included.
    pub domains: Vec<String>,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for peers.
    pub peer_listen: SocketAddr,
    /// Peers of this and other domains that are known at the start. Others are read from the table.
    #[serde(default)]
    pub peers: Vec<PeerSeed>,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Address of the statsd server, which metrics are sent to over UDP; `None` to send none.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Log level and span logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Periods, timeouts and other durations.
    #[serde(default)]
    pub timing: Timing,
    /// Limits on numbers and sizes.
    #[serde(default)]
    pub limits: Limits,
}

/// A peer that is known at the start.
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
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the VM list service.
    pub vms: SocketAddr,
}

/// Log level and span logging.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is logged: `error`, `warn`, `info` or `debug`.
    pub level: String,
    /// True to log finished spans.
    pub spans: bool,
    /// Share of the traces started by this process that are logged, in percent. A trace that the caller samples is
    /// always logged. No effect if `spans` is false.
    pub span_percent: u8,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), spans: false, span_percent: 10 }
    }
}

macro_rules! timing {
    ($($(#[$doc:meta])* $field:ident = $default:literal, $getter:ident;)*) => {
        /// Periods, timeouts and other durations, all in milliseconds.
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
    /// Tasks start only while the catalogue cache is younger than this.
    freshness_ms = 2_000, freshness;
    /// Time after the catalogue cache was last known to be current at which the first lease of a new attempt ends.
    start_window_ms = 4_000, start_window;
    /// Time from a successor's claim of the hold to its take-over, which a live holder can still prevent. A successor
    /// is a process of the same domain that the hold lists.
    scheduler_lease_ms = 3_000, scheduler_lease;
    /// Time from a rescuer's claim of the hold to its take-over, after which it moves the tasks of the silent domain. A
    /// rescuer is a process of another domain that the hold lists.
    hold_time_ms = 90_000, hold_time;
    /// Time from claim to take-over for a process that the hold lists neither as successor nor as rescuer. Also the
    /// longest lease of attempts of tasks that are not exclusive.
    force_time_ms = 900_000, force_time;
    /// Longest lease of a running attempt of an exclusive task.
    task_lease_ms = 15_000, task_lease;
    /// Period of reading the catalogue.
    catalogue_poll_ms = 1_000, catalogue_poll;
    /// Period of reading the VM list.
    vm_poll_ms = 1_000, vm_poll;
    /// Period of heartbeats between the entry processes of a domain.
    heartbeat_ms = 500, heartbeat;
    /// Largest age of an acknowledged heartbeat at which the process may use its share of the slots.
    share_lease_ms = 2_000, share_lease;
    /// Time without a heartbeat after which a member is considered lost.
    member_timeout_ms = 2_500, member_timeout;
    /// Length of a pause of this process above which it suspends dispatch until its peers have answered.
    pause_limit_ms = 1_000, pause_limit;
    /// Period of health checks of targets.
    health_poll_ms = 1_000, health_poll;
    /// Period of the domain scheduler's ticks.
    schedule_tick_ms = 200, schedule_tick;
    /// Period of reading the inventory of each worker.
    inventory_poll_ms = 1_000, inventory_poll;
    /// Timeout of one call to the platform or a worker.
    platform_timeout_ms = 1_000, platform_timeout;
    /// Deadline of a request that states none.
    default_deadline_ms = 10_000, default_deadline;
    /// Longest deadline that a caller may set.
    max_deadline_ms = 60_000, max_deadline;
    /// Longest time without data while a request is read.
    read_timeout_ms = 5_000, read_timeout;
    /// Time from the start of a planned stop, when `/readyz` begins to return 503, to the refusal of new requests.
    balancer_wait_ms = 1_000, balancer_wait;
    /// Longest wait for requests in flight at a planned stop.
    drain_ms = 60_000, drain;
}

/// Times that a request's body is in memory while it is handled: as received, and as encoded for a peer.
pub const REQUEST_BODY_COPIES: usize = 2;

/// Limits on numbers and sizes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest number of requests that an executor runs at the same time.
    pub slots_per_executor: u32,
    /// Largest number of connections that an executor accepts from all entry processes together.
    pub connections_per_executor: u32,
    /// Open connections of callers.
    pub connections: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Memory in MB for the requests in progress together.
    pub request_memory_mb: usize,
    /// Largest response body in bytes.
    pub max_answer_bytes: usize,
    /// Requests that wait for a slot, per class.
    pub queue_length: usize,
    /// Threads that serve callers, which limits the requests in progress.
    pub front_threads: usize,
    /// Retries as a share of first attempts, in percent.
    pub retry_percent: u32,
    /// Largest number of table transactions that one process sends per second.
    pub writes_per_second: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots_per_executor: 8,
            connections_per_executor: 64,
            connections: 1_024,
            max_body_bytes: 1 << 20,
            request_memory_mb: 96,
            max_answer_bytes: 16 << 20,
            queue_length: 1024,
            front_threads: 256,
            retry_percent: 10,
            writes_per_second: 50,
        }
    }
}
