//! Finds the place that a request is offered to next: an own slot, a peer of the domain, the queue, another domain.

use std::sync::Arc;

use thiserror::Error;

use super::slots::NoSlot;
use super::{Attempt, Inner, ServiceRequest};
use crate::catalogue::{Class, Document};
use crate::ops::dispatch::executors::Slot;
use crate::policy::admission::Refusal;
use crate::telemetry::Span;

/// Places that a request is offered to at most, repeats included.
const MAX_PLACES: usize = 4;

/// Periods of health checks that a request waits for a service whose targets are all unusable.
const UNUSABLE_PERIODS: u32 = 2;

/// Why a request has no further place.
#[derive(Clone, Debug, Error, PartialEq)]
pub(super) enum NoPlace {
    /// No time is left.
    #[error("the deadline has passed")]
    DeadlinePassed,
    /// It waited in vain.
    #[error("no slot became free before the deadline")]
    Expired,
    /// The VM list shows none.
    #[error("no target of the service")]
    NoTarget,
    /// Waiting would be in vain.
    #[error("no slot is expected to become free before the deadline")]
    NoSlotInTime,
    /// The last place that was tried did not take it.
    #[error("{cause}")]
    Tried {
        /// What that place said.
        cause: String,
    },
}

/// Places that have had their chance.
#[derive(Debug, Default)]
pub(super) struct Tried {
    pub(super) count: usize,
    pub(super) executors: Vec<String>,
    pub(super) peers: Vec<String>,
    /// Why the last place did not take the request; empty before the first.
    pub(super) cause: String,
}

impl Tried {
    /// What the last place said tells the caller more than that there is no other place.
    fn or(&self, otherwise: NoPlace) -> NoPlace {
        if self.cause.is_empty() { otherwise } else { NoPlace::Tried { cause: self.cause.clone() } }
    }
}

impl Inner {
    /// Finds a place and offers the request to it. Fails if there is no place left.
    pub(super) fn place(
        self: &Arc<Self>,
        req: &ServiceRequest,
        span: &Span,
        forward: bool,
        tried: &mut Tried,
    ) -> Result<Attempt, NoPlace> {
        if tried.count >= MAX_PLACES || self.cx.clock.now() >= req.deadline {
            return Err(tried.or(NoPlace::DeadlinePassed));
        }
        tried.count += 1;
        if let Some(slot) = self.slots.try_take(&req.service, &tried.executors) {
            return Ok(self.send(req, span, &slot, tried));
        }
        if forward && let Some(attempt) = self.forward_near(req, span, tried) {
            return Ok(attempt);
        }
        // Without a share the wait is for the peers, so another domain is faster.
        if forward
            && !self.slots.has_share()
            && let Some(attempt) = self.forward_far(req, span, tried)
        {
            return Ok(attempt);
        }
        let refusal = match self.wait(req, span) {
            Ok(slot) => return Ok(self.send(req, span, &slot, tried)),
            Err(refusal) => refusal,
        };
        if forward && let Some(attempt) = self.forward_far(req, span, tried) {
            return Ok(attempt);
        }
        if refusal == NoSlot::Refused(Refusal::NoTarget) && self.slots.serves(&req.service) {
            let wait = self.cx.cfg.timing.health_poll() * UNUSABLE_PERIODS;
            let until = req.deadline.min(self.cx.clock.now() + wait);
            let class = self.class(&req.service);
            if let Ok(slot) = self.slots.take_once_usable(&req.service, class, until) {
                return Ok(self.send(req, span, &slot, tried));
            }
        }
        Err(tried.or(match refusal {
            NoSlot::Expired => NoPlace::Expired,
            NoSlot::Refused(_) if !self.slots.serves(&req.service) => NoPlace::NoTarget,
            NoSlot::Refused(_) => NoPlace::NoSlotInTime,
        }))
    }

    fn wait(&self, req: &ServiceRequest, span: &Span) -> Result<Slot, NoSlot> {
        let queue_span = span.child("queue");
        let slot = self.slots.take(&req.service, self.class(&req.service), req.deadline);
        queue_span.close();
        slot
    }

    fn class(&self, service: &str) -> Class {
        match self.cx.catalogue.snapshot().document(service) {
            Some(Document::Entry(entry)) => entry.class,
            _ => Class::Batch,
        }
    }
}
