//! Forwards requests to peers.
//!
//! A request is forwarded to a peer of the same domain if the peer has free slots and this process has none, and to a
//! peer of another domain if this process gets no slot in time or has no share of the slots. A forwarded request is not
//! forwarded again, so forwarding adds one hop at most.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;

use super::{DispatchOutcome, Dispatcher, Inner, RouteResult, ServiceRequest, TriedRoutes};
use crate::peer::{ForwardedAnswer, ForwardedRequest, Member, PeerError};
use crate::platform::target::TargetAnswer;
use crate::platform::vms::VmRole;
use crate::policy::routing::{self, ForwardPeer};
use crate::telemetry::Span;

/// Subtracted from the time that the peer gets, for the transfer of its answer.
const HOP_RESERVE: Duration = Duration::from_millis(5);

/// Consecutive forwards to each peer that were not answered with [`ForwardedAnswer::Completed`].
#[derive(Debug, Default)]
pub(super) struct ForwardFailures {
    by_process: Mutex<BTreeMap<String, u32>>,
}

impl ForwardFailures {
    fn count(&self, process: &str) -> u32 {
        let failures = self.by_process.lock().unwrap_or_else(PoisonError::into_inner);
        failures.get(process).copied().unwrap_or(0)
    }

    fn record_result(&self, process: &str, failed: bool) {
        let mut failures = self.by_process.lock().unwrap_or_else(PoisonError::into_inner);
        if failed {
            let count = failures.entry(process.to_owned()).or_default();
            *count = count.saturating_add(1);
        } else {
            failures.remove(process);
        }
    }
}

impl Inner {
    /// Forwards a request to a peer of the same domain that has free slots. `None` if there is no such peer or this
    /// domain has no target of the service.
    pub(super) fn forward_within_domain(
        self: &Arc<Self>,
        req: &ServiceRequest,
        span: &Span,
        tried: &mut TriedRoutes,
    ) -> Option<RouteResult> {
        if !self.slots.serves(&req.service) {
            return None;
        }
        let free_slots = self.members.as_ref()?.member_free_slots();
        let directory = self.cx.directory.snapshot();
        let peers: Vec<&Member> = directory
            .values()
            .filter(|peer| {
                free_slots.contains_key(&peer.process) && !tried.peers.contains(&peer.process)
            })
            .collect();
        let forward_peers: Vec<ForwardPeer> = peers
            .iter()
            .map(|peer| ForwardPeer {
                free_slots: free_slots.get(&peer.process).copied(),
                own_domain: true,
                failures: self.forward_failures.count(&peer.process),
            })
            .collect();
        let first = *routing::forward_order(&forward_peers, rand::random()).first()?;
        Some(self.forward(req, span, peers[first], tried))
    }

    /// Forwards a request to a peer of another domain where the service has targets. `None` if there is no such peer.
    pub(super) fn forward_to_other_domain(
        self: &Arc<Self>,
        req: &ServiceRequest,
        span: &Span,
        tried: &mut TriedRoutes,
    ) -> Option<RouteResult> {
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
        let forward_peers: Vec<ForwardPeer> = peers
            .iter()
            .map(|peer| ForwardPeer {
                free_slots: None,
                own_domain: false,
                failures: self.forward_failures.count(&peer.process),
            })
            .collect();
        let first = *routing::forward_order(&forward_peers, rand::random()).first()?;
        Some(self.forward(req, span, peers[first], tried))
    }

    fn forward(
        &self,
        req: &ServiceRequest,
        span: &Span,
        peer: &Member,
        tried: &mut TriedRoutes,
    ) -> RouteResult {
        tried.peers.push(peer.process.clone());
        let forward_span = span.child("forward");
        let remaining = req.deadline.saturating_duration_since(self.cx.clock.now());
        let allowed = remaining.saturating_sub(HOP_RESERVE);
        let request_id = format!("{}-{}", req.id, tried.count);
        let msg = ForwardedRequest {
            request_id: request_id.clone(),
            service: req.service.clone(),
            method: req.method.clone(),
            path: req.path.clone(),
            headers: req.headers.clone(),
            body: req.body.to_vec(),
            remaining_ms: u64::try_from(allowed.as_millis()).unwrap_or(u64::MAX),
            idempotent: req.idempotent,
            traceparent: forward_span.traceparent(),
        };
        let result = self.cx.peers.forward(&peer.peer_address, msg, remaining);
        forward_span.close();
        self.forward_failures
            .record_result(&peer.process, !matches!(result, Ok(ForwardedAnswer::Completed { .. })));
        match result {
            Ok(ForwardedAnswer::Completed { request_id: id, status, headers, body })
                if id == request_id =>
            {
                RouteResult::Completed(TargetAnswer { status, headers, body })
            }
            Ok(ForwardedAnswer::Completed { .. }) => {
                RouteResult::Unknown("the peer's answer belongs to another request".to_owned())
            }
            Ok(ForwardedAnswer::NotRun { cause }) => RouteResult::NotRun(cause),
            Ok(ForwardedAnswer::Unknown { cause }) => RouteResult::Unknown(cause),
            Err(error @ PeerError::Unreachable { .. }) => RouteResult::NotRun(error.to_string()),
            Err(error @ PeerError::NoAnswer { .. }) => RouteResult::Unknown(error.to_string()),
        }
    }
}

impl Dispatcher {
    /// Answers a request that a peer forwarded, from the targets of this domain only.
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
            body: Bytes::copy_from_slice(&msg.body),
            deadline: inner.cx.clock.now() + Duration::from_millis(msg.remaining_ms),
            idempotent: msg.idempotent,
        };
        let dispatched = inner.dispatch(&req, &span, false);
        span.close();
        match dispatched {
            DispatchOutcome::Completed(answer) => ForwardedAnswer::Completed {
                request_id: msg.request_id.clone(),
                status: answer.status,
                headers: answer.headers,
                body: answer.body,
            },
            DispatchOutcome::NotRun { cause } => ForwardedAnswer::NotRun { cause },
            DispatchOutcome::Unknown { cause } => ForwardedAnswer::Unknown { cause },
        }
    }
}
