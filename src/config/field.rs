//! The settings with their types and ranges.
//!
//! docs/OPERATIONS.md lists the same settings with unit, default and reason; a test compares the two.

/// A setting that has a value, not a section of settings.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Path from the root, with dots between keys and `[]` for the items of a list.
    pub path: &'static str,
    /// Type and range.
    pub kind: Kind,
    /// True if a file that lacks it is refused.
    pub required: bool,
}

/// Type and range of a setting.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A name that follows the rules of the catalogue.
    Name,
    /// A list of at least one name, without repetitions.
    Names,
    /// An address to listen on. Port 0 lets the system choose the port.
    Listen,
    /// An address to listen on that is announced to peers, so its IP must not be 0.0.0.0 or ::. Port 0 lets the system
    /// choose the port.
    ListenAnnounced,
    /// An address to connect to, whose IP is not 0.0.0.0 or :: and whose port is not 0.
    Connect,
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// `true` or `false`.
    Bool,
    /// An integer with its smallest value, its largest value and its unit.
    Number(u64, u64, &'static str),
}

/// Longest start window. A task's start must have taken effect within 5 s after its domain goes out of service; 0.5 s
/// of that is left for the commit's response.
pub const MAX_START_WINDOW_MS: u64 = 4_500;

/// Longest time from the removal of a target, the loss of a process or a domain going out of service until no new work
/// is sent there.
pub const MAX_REACTION_MS: u64 = 5_000;

const HOUR_MS: u64 = 3_600_000;
const DAY_MS: u64 = 24 * HOUR_MS;

const fn required(path: &'static str, kind: Kind) -> Field {
    Field { path, kind, required: true }
}

const fn optional(path: &'static str, kind: Kind) -> Field {
    Field { path, kind, required: false }
}

const fn ms(path: &'static str, min: u64, max: u64) -> Field {
    optional(path, Kind::Number(min, max, "ms"))
}

/// The settings of an entry process, in the order in which messages and docs list them.
pub const FIELDS: &[Field] = &[
    required("name", Kind::Name),
    required("domain", Kind::Name),
    required("domains", Kind::Names),
    required("listen", Kind::Listen),
    required("peer_listen", Kind::ListenAnnounced),
    required("peers[].domain", Kind::Name),
    required("peers[].address", Kind::Connect),
    required("platform.table", Kind::Connect),
    required("platform.objects", Kind::Connect),
    required("platform.vms", Kind::Connect),
    optional("statsd", Kind::Connect),
    optional("log.level", Kind::Choice(&["error", "warn", "info", "debug"])),
    optional("log.spans", Kind::Bool),
    optional("log.span_percent", Kind::Number(0, 100, "%")),
    ms("timing.freshness_ms", 10, MAX_START_WINDOW_MS - 1),
    ms("timing.start_window_ms", 20, MAX_START_WINDOW_MS),
    ms("timing.scheduler_lease_ms", 10, HOUR_MS),
    ms("timing.hold_time_ms", 20, HOUR_MS),
    ms("timing.force_time_ms", 30, DAY_MS),
    ms("timing.task_lease_ms", 10, HOUR_MS),
    ms("timing.catalogue_poll_ms", 1, MAX_START_WINDOW_MS),
    ms("timing.vm_poll_ms", 1, MAX_REACTION_MS - 1),
    ms("timing.heartbeat_ms", 1, MAX_REACTION_MS - 1),
    ms("timing.share_lease_ms", 1, MAX_REACTION_MS - 1),
    ms("timing.member_timeout_ms", 1, MAX_REACTION_MS - 1),
    ms("timing.pause_limit_ms", 1, MAX_REACTION_MS - 1),
    ms("timing.health_poll_ms", 1, MAX_REACTION_MS - 1),
    ms("timing.schedule_tick_ms", 1, MAX_START_WINDOW_MS),
    ms("timing.inventory_poll_ms", 1, HOUR_MS),
    ms("timing.platform_timeout_ms", 1, MAX_REACTION_MS - 1),
    ms("timing.default_deadline_ms", 1, HOUR_MS),
    ms("timing.max_deadline_ms", 1, HOUR_MS),
    ms("timing.read_timeout_ms", 1, HOUR_MS),
    ms("timing.balancer_wait_ms", 0, HOUR_MS),
    ms("timing.drain_ms", 1, HOUR_MS),
    optional("limits.slots_per_executor", Kind::Number(1, 4_096, "requests")),
    optional("limits.connections_per_executor", Kind::Number(1, 65_536, "connections")),
    optional("limits.connections", Kind::Number(16, 65_536, "connections")),
    optional("limits.max_body_bytes", Kind::Number(1, 16 << 20, "bytes")),
    optional("limits.request_memory_mb", Kind::Number(1, 65_536, "MB")),
    optional("limits.max_answer_bytes", Kind::Number(1, 24 << 20, "bytes")),
    optional("limits.queue_length", Kind::Number(1, 1 << 20, "requests")),
    optional("limits.front_threads", Kind::Number(1, 4_096, "threads")),
    optional("limits.retry_percent", Kind::Number(0, 10, "%")),
    optional("limits.writes_per_second", Kind::Number(1, 1_000, "transactions/s")),
];

/// Returns the setting with this path.
#[must_use]
pub fn find(path: &str) -> Option<&'static Field> {
    FIELDS.iter().find(|field| field.path == path)
}

/// Returns the keys directly below `section`, in the order of [`FIELDS`]. The empty path is the root.
#[must_use]
pub fn keys_below(section: &str) -> Vec<&'static str> {
    let mut keys = Vec::new();
    for field in FIELDS {
        let Some(rest) = below(field.path, section) else { continue };
        let key = rest.split(['.', '[']).next().unwrap_or(rest);
        if !keys.contains(&key) {
            keys.push(key);
        }
    }
    keys
}

/// Returns the part of `path` that follows `section`; `None` if `path` is not below it.
#[must_use]
pub fn below<'a>(path: &'a str, section: &str) -> Option<&'a str> {
    if section.is_empty() { Some(path) } else { path.strip_prefix(section)?.strip_prefix('.') }
}
