//! Division of a heartbeat into rows.
//!
//! The store limits the size of a row, and a heartbeat that it refuses costs the shard its owner. What a heartbeat names
//! grows with the workers and with the starts in progress, so names that don't fit into its row go into further rows of
//! the same transaction. Their number is limited as well, because a transaction is. If even these are full:
//!
//! - Workers that do not answer are left out first. A successor then waits for their leases as for those of any other
//!   worker, and this owner may go on to grant them leases.
//! - If starts without an answer have to be left out, the heartbeat says so, and a successor takes each start for
//!   unanswered that was when its row was stored.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::layout::HeartbeatRow;

/// Most rows beside the heartbeat row. With rows of 64 KiB they stay well below the store's limit of 1 MB on a
/// transaction, in which they are encoded.
pub const MAX_PARTS: usize = 8;

/// Bytes of a row that are left for the names of fields.
const FIELDS_BYTES: usize = 256;

/// Names that did not fit into the heartbeat row. Fields as in [`HeartbeatRow`].
#[derive(Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct HeartbeatPart {
    #[serde(skip_serializing_if = "Vec::is_empty")]
    suspects: Vec<String>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    suspect_lapses_in_ms: Vec<u64>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    unknown_leases_ms: BTreeMap<String, u64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    unanswered_starts: Vec<String>,
}

/// Heartbeat in the form in which it is stored.
#[derive(Debug)]
pub struct Heartbeat {
    /// Holds as many of the names as fit.
    pub row: HeartbeatRow,
    /// Further rows; at most [`MAX_PARTS`].
    pub parts: Vec<HeartbeatPart>,
}

impl Heartbeat {
    /// Divides a heartbeat into rows of at most `max_row_bytes`.
    #[must_use]
    pub fn divide(mut row: HeartbeatRow, max_row_bytes: usize) -> Self {
        let suspects = std::mem::take(&mut row.suspects);
        let lapses = std::mem::take(&mut row.suspect_lapses_in_ms);
        let unknown = std::mem::take(&mut row.unknown_leases_ms);
        let unanswered = std::mem::take(&mut row.unanswered_starts);
        let room = max_row_bytes.saturating_sub(FIELDS_BYTES);
        let fixed = serde_json::to_vec(&row).map_or(0, |row| row.len());
        let mut parts = Parts { room, left: room.saturating_sub(fixed), all: Vec::new() };
        parts.all.push(HeartbeatPart::default());
        for (name, lapse) in unknown {
            if let Some(part) = parts.with_room(json_bytes(&name) + json_bytes(&lapse)) {
                part.unknown_leases_ms.insert(name, lapse);
            }
        }
        for name in unanswered {
            match parts.with_room(json_bytes(&name)) {
                Some(part) => part.unanswered_starts.push(name),
                None => row.has_unnamed_starts = true,
            }
        }
        for (name, lapse) in suspects.into_iter().zip(lapses) {
            if let Some(part) = parts.with_room(json_bytes(&name) + json_bytes(&lapse)) {
                part.suspects.push(name);
                part.suspect_lapses_in_ms.push(lapse);
            }
        }
        let mut parts = parts.all.into_iter();
        row.append(parts.next().unwrap_or_default());
        let parts: Vec<HeartbeatPart> = parts.collect();
        row.parts = parts.len() as u32;
        Self { row, parts }
    }

    /// Names of all workers that get no lease until a heartbeat without their name is stored.
    #[must_use]
    pub fn suspects(&self) -> Vec<String> {
        let in_parts = self.parts.iter().flat_map(|part| &part.suspects);
        self.row.suspects.iter().chain(in_parts).cloned().collect()
    }
}

impl HeartbeatRow {
    /// Adds the names of a further row.
    pub fn append(&mut self, part: HeartbeatPart) {
        self.suspects.extend(part.suspects);
        self.suspect_lapses_in_ms.extend(part.suspect_lapses_in_ms);
        self.unknown_leases_ms.extend(part.unknown_leases_ms);
        self.unanswered_starts.extend(part.unanswered_starts);
    }
}

/// Rows that are being filled.
struct Parts {
    /// Bytes for names in each row.
    room: usize,
    /// Bytes for names left in the last row.
    left: usize,
    all: Vec<HeartbeatPart>,
}

impl Parts {
    /// Returns a row with room for an entry of `bytes` and its punctuation; `None` if all rows are full.
    fn with_room(&mut self, bytes: usize) -> Option<&mut HeartbeatPart> {
        let needed = bytes + 2;
        if needed > self.left {
            if needed > self.room || self.all.len() > MAX_PARTS {
                return None;
            }
            self.all.push(HeartbeatPart::default());
            self.left = self.room;
        }
        self.left -= needed;
        self.all.last_mut()
    }
}

/// Returns the size of a value in JSON.
fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |json| json.len())
}
