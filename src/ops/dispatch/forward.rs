//! Requests that go through a peer.
//!
//! A peer gets a request when it has free slots of the own domain while this process has none, or when the service's
//! targets are in another domain. A forwarded request is never forwarded again, so it takes at most one more hop.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::{Attempt, Dispatched, Dispatcher, Inner, ServiceRequest, Tried};
use crate::peer::{ForwardedAnswer, ForwardedRequest, Member, PeerError};
use crate::platform::target::TargetAnswer;
use crate::platform::vms::VmRole;
use crate::policy::routing::{self, ForwardPeer};
use crate::telemetry::Span;

/// Kept back from the time that a peer gets, for the way of its answer.
const HOP_RESERVE: Duration = Duration::from_millis(5);

/// Failures of peers since their last answers.
#[derive(Debug, Default)]
pub(super) struct ForwardLog {
    failures: Mutex<BTreeMap<String, u32>>,
}

impl ForwardLog {
    fn failures(&self, process: &str) -> u32 {
        let failures = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
        failures.get(process).copied().unwrap_or(0)
    }

    fn note(&self, process: &str, failed: bool) {
        let mut failures = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
        if failed {
            let count = failures.entry(process.to_owned()).or_default();
            *count = count.saturating_add(1);
        } else {
            failures.remove(process);
        }
    }
}

impl Inner {
    /// Offers a request to a peer of the own domain that has free slots.
    pub(super) fn forward_near(
        self: &Arc<Self>,
        req: &ServiceRequest,
        span: &Span,
        tried: &mut Tried,
    ) -> Option<Attempt> {
        if !self.slots.serves(&req.service) {
            return None;
        }
        let headroom = self.members.as_ref()?.headroom();
        let directory = self.cx.directory.snapshot();
        let peers: Vec<&Member> = directory
            .values()
            .filter(|peer| {
                headroom.contains_key(&peer.process) && !tried.peers.contains(&peer.process)
            })
            .collect();
        let places: Vec<ForwardPeer> = peers
            .iter()
            .map(|peer| ForwardPeer {
                free_slots: headroom.get(&peer.process).copied(),
                own_domain: true,
                failures: self.log.failures(&peer.process),
            })
            .collect();
        let first = *routing::forward_order(&places, rand::random()).first()?;
        Some(self.forward(req, span, peers[first], tried))
    }

    /// Offers a request to a peer of another domain where the service has targets.
    pub(super) fn forward_far(
        self: &Arc<Self>,
        req: &ServiceRequest,
        span: &Span,
        tried: &mut Tried,
    ) -> Option<Attempt> {
        let listing = self.cx.vm_listing.snapshot();
        let has_targets = |domain: &str| {
            listing.vms.iter().any(|vm| {
                vm.role == VmRole::Target
                    && vm.domain == domain
                    && vm.service.as_deref() == Some(req.service.as_str())
            })
        };
        let directory = self.cx.directory.snapshot();
        let peers: Vec<&Member> = directory
            .values()
            .filter(|peer| {
                peer.domain != self.cx.cfg.domain
                    && !tried.peers.contains(&peer.process)
                    && has_targets(&peer.domain)
            })
            .collect();
        let places: Vec<ForwardPeer> = peers
            .iter()
            .map(|peer| ForwardPeer {
                free_slots: None,
                own_domain: false,
                failures: self.log.failures(&peer.process),
            })
            .collect();
        let first = *routing::forward_order(&places, rand::random()).first()?;
        Some(self.forward(req, span, peers[first], tried))
    }

    fn forward(
        &self,
        req: &ServiceRequest,
        span: &Span,
        peer: &Member,
        tried: &mut Tried,
    ) -> Attempt {
        tried.peers.push(peer.process.clone());
        let hop = span.child("forward");
        let remaining = req.deadline.saturating_duration_since(self.cx.clock.now());
        let allowed = remaining.saturating_sub(HOP_RESERVE);
        let request_id = format!("{}-{}", req.id, tried.count);
        let msg = ForwardedRequest {
            request_id: request_id.clone(),
            service: req.service.clone(),
            method: req.method.clone(),
            path: req.path.clone(),
            headers: req.headers.clone(),
            body: req.body.clone(),
            remaining_ms: u64::try_from(allowed.as_millis()).unwrap_or(u64::MAX),
            idempotent: req.idempotent,
            traceparent: hop.traceparent(),
        };
        let result = self.cx.peers.forward(&peer.peer_address, msg, remaining);
        hop.close();
        self.log.note(&peer.process, !matches!(result, Ok(ForwardedAnswer::Completed { .. })));
        match result {
            Ok(ForwardedAnswer::Completed { request_id: id, status, headers, body })
                if id == request_id =>
            {
                Attempt::Completed(TargetAnswer { status, headers, body })
            }
            Ok(ForwardedAnswer::Completed { .. }) => {
                Attempt::Unknown("the peer's answer belongs to another request".to_owned())
            }
            Ok(ForwardedAnswer::NotRun { cause }) => Attempt::NotRun(cause),
            Ok(ForwardedAnswer::Unknown { cause }) => Attempt::Unknown(cause),
            Err(error @ PeerError::Unreachable { .. }) => Attempt::NotRun(error.to_string()),
            Err(error @ PeerError::NoAnswer { .. }) => Attempt::Unknown(error.to_string()),
        }
    }
}

impl Dispatcher {
    /// Answers a peer's request from the targets of this domain. It is not forwarded again.
    #[must_use]
    pub fn on_forward(&self, msg: &ForwardedRequest) -> ForwardedAnswer {
        let span = Span::start("forwarded", Some(&msg.traceparent));
        let inner = &self.inner;
        let req = ServiceRequest {
            id: msg.request_id.clone(),
            service: msg.service.clone(),
            method: msg.method.clone(),
            path: msg.path.clone(),
            headers: msg.headers.clone(),
            body: msg.body.clone(),
            deadline: inner.cx.clock.now() + Duration::from_millis(msg.remaining_ms),
            idempotent: msg.idempotent,
        };
        let dispatched = inner.dispatch(&req, &span, false);
        span.close();
        match dispatched {
            Dispatched::Completed(answer) => ForwardedAnswer::Completed {
                request_id: msg.request_id.clone(),
                status: answer.status,
                headers: answer.headers,
                body: answer.body,
            },
            Dispatched::NotRun { cause } => ForwardedAnswer::NotRun { cause },
            Dispatched::Unknown { cause } => ForwardedAnswer::Unknown { cause },
        }
    }
}
