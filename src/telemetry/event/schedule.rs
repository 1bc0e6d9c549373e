//! Events of the domain scheduler, which runs tasks: numbers 400 to 499.

use log::Level;

use super::Event;

/// This process now schedules its domain.
pub const HOLD_TAKEN: Event = Event::new(400, Level::Info, "hold-taken");
/// This process no longer schedules its domain.
pub const HOLD_LOST: Event = Event::new(401, Level::Warn, "hold-lost");
/// This process claims the hold of a domain whose holder does not answer.
pub const HOLD_CLAIMED: Event = Event::new(402, Level::Warn, "hold-claimed");
/// Another process claimed the hold; this process still holds it and removes the claim.
pub const CLAIM_CONTESTED: Event = Event::new(403, Level::Warn, "claim-contested");
/// At a planned stop, the hold was handed over to a successor.
pub const HOLD_HANDED_OVER: Event = Event::new(404, Level::Info, "hold-handed-over");
/// At a planned stop, no successor was available and the hold was released for any process.
pub const HOLD_RELEASED: Event = Event::new(405, Level::Info, "hold-released");
/// This process took over a domain that cannot be reached, and moves its tasks to other domains.
pub const DOMAIN_RESCUED: Event = Event::new(406, Level::Warn, "domain-rescued");
/// Tasks that succeed on other workers fail on this one, so it gets no tasks for a while.
pub const WORKER_QUARANTINED: Event = Event::new(407, Level::Warn, "worker-quarantined");
/// Batch attempts were evicted to free resources for a more urgent task.
pub const PREEMPTED: Event = Event::new(408, Level::Info, "preempted");

/// All events of this module.
pub const ALL: &[Event] = &[
    HOLD_TAKEN,
    HOLD_LOST,
    HOLD_CLAIMED,
    CLAIM_CONTESTED,
    HOLD_HANDED_OVER,
    HOLD_RELEASED,
    DOMAIN_RESCUED,
    WORKER_QUARANTINED,
    PREEMPTED,
];
