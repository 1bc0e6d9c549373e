//! Chooses the next route of a request: a free slot of this process, a peer of the domain, a wait in the queue for a
//! slot, or a peer of another domain.

use std::sync::Arc;

use thiserror::Error;

use super::slots::NoSlot;
use super::{Inner, RouteResult, ServiceRequest};
use crate::catalogue::{Class, Document};
use crate::ops::dispatch::executors::Slot;
use crate::policy::admission::Refusal;
use crate::telemetry::Span;

/// Most routes that are tried for one request, retries included.
const MAX_ROUTES: usize = 4;

/// Health check periods for which a request waits if all targets of its service are unusable.
const UNUSABLE_WAIT_PERIODS: u32 = 2;

/// Why a request has no further route.
#[derive(Clone, Debug, Error, PartialEq)]
pub(super) enum NoRoute {
    /// The deadline passed before a route was tried.
    #[error("the deadline has passed")]
    DeadlinePassed,
    /// The request waited for a slot, and its deadline passed or it was shed for a request of a more urgent class.
    #[error("the request was dropped from the queue before it got a slot")]
    Dropped,
    /// The VM list shows no live target of the service in this domain, and no peer of another domain is left to try.
    #[error("no target of the service")]
    NoTarget,
    /// The request was not queued, because it would wait beyond its deadline, the queue is full, or no executor is
    /// usable.
    #[error("no slot is expected to become free before the deadline")]
    NoSlotInTime,
    /// Earlier routes failed.
    #[error("{cause}")]
    AllFailed {
        /// Cause of the last failure.
        cause: String,
    },
}

/// Routes that have been tried for one request.
#[derive(Debug, Default)]
pub(super) struct TriedRoutes {
    pub(super) count: usize,
    pub(super) executors: Vec<String>,
    pub(super) peers: Vec<String>,
    /// Why the last route failed; empty before the first failure.
    pub(super) last_cause: String,
}

impl TriedRoutes {
    /// Returns the cause of the last failure, which tells the caller more than that no route is left. Returns
    /// `otherwise` if no route has failed.
    fn last_failure_or(&self, otherwise: NoRoute) -> NoRoute {
        if self.last_cause.is_empty() {
            otherwise
        } else {
            NoRoute::AllFailed { cause: self.last_cause.clone() }
        }
    }
}

impl Inner {
    /// Sends the request on the next route. Fails if no route is left.
    pub(super) fn try_next_route(
        self: &Arc<Self>,
        req: &ServiceRequest,
        span: &Span,
        may_forward: bool,
        tried: &mut TriedRoutes,
    ) -> Result<RouteResult, NoRoute> {
        if tried.count >= MAX_ROUTES || self.cx.clock.now() >= req.deadline {
            return Err(tried.last_failure_or(NoRoute::DeadlinePassed));
        }
        tried.count += 1;
        if let Some(slot) = self.slots.try_take(&req.service, &tried.executors) {
            return Ok(self.send(req, span, &slot, tried));
        }
        if may_forward && let Some(result) = self.forward_within_domain(req, span, tried) {
            return Ok(result);
        }
        // Without a share, a slot is free only after all peers have answered; another domain is faster.
        if may_forward
            && !self.slots.has_share()
            && let Some(result) = self.forward_to_other_domain(req, span, tried)
        {
            return Ok(result);
        }
        let no_slot = match self.wait_for_slot(req, span) {
            Ok(slot) => return Ok(self.send(req, span, &slot, tried)),
            Err(no_slot) => no_slot,
        };
        if may_forward && let Some(result) = self.forward_to_other_domain(req, span, tried) {
            return Ok(result);
        }
        if no_slot == NoSlot::Refused(Refusal::NoTarget) && self.slots.serves(&req.service) {
            let wait = self.cx.cfg.timing.health_poll() * UNUSABLE_WAIT_PERIODS;
            let until = req.deadline.min(self.cx.clock.now() + wait);
            let class = self.class(&req.service);
            if let Ok(slot) = self.slots.take_when_usable(&req.service, class, until) {
                return Ok(self.send(req, span, &slot, tried));
            }
        }
        Err(tried.last_failure_or(match no_slot {
            NoSlot::Dropped => NoRoute::Dropped,
            NoSlot::Refused(_) if !self.slots.serves(&req.service) => NoRoute::NoTarget,
            NoSlot::Refused(_) => NoRoute::NoSlotInTime,
        }))
    }

    fn wait_for_slot(&self, req: &ServiceRequest, span: &Span) -> Result<Slot, NoSlot> {
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
