//! The VM list service, which names the live and the leaving VMs. The list may lag behind the VMs' real state.
//!
//! Protocol (HTTP): `GET /vms` answers a [`VmListing`] with an `ETag`. With `If-None-Match` and the current tag it
//! answers 304 without a body.

use std::fmt::Debug;

use serde::{Deserialize, Serialize};

use super::PlatformError;

/// Process that a VM runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// Runs an entry process.
    Entry,
    /// Runs tasks; its control interface is the worker protocol.
    Worker,
    /// Runs an executor, which serves requests for one service.
    Target,
}

/// Whether a VM takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// Takes new work.
    Live,
    /// About to be removed; it finishes its current work and takes nothing new.
    Leaving,
}

/// One entry of the VM list: a VM in one role. A VM that runs both a worker and an executor has two entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Vm {
    /// Unique name within its role.
    pub name: String,
    /// [`VmRole::Target`] for a VM whose executor serves requests.
    pub role: VmRole,
    /// As the platform reported it last; may be out of date.
    pub state: VmState,
    /// Name of its failure domain, as the platform reports it.
    pub domain: String,
    /// Name of its rack, as the platform reports it.
    pub rack: String,
    /// `IP:PORT` of its interface.
    pub address: String,
    /// Name of the service that the executor runs; `None` for other roles.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
}

/// The body of the VM list's answer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VmListing {
    /// All VMs that the platform knows, in no particular order.
    pub vms: Vec<Vm>,
}

/// The VM list service.
pub trait VmList: Debug + Send + Sync {
    /// Returns the current list, which may be out of date.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; callers then keep the last list.
    fn list(&self) -> Result<VmListing, PlatformError>;
}
