//! The VM list: live and leaving VMs, with a lag.
//!
//! Protocol (HTTP): `GET /vms` answers a [`VmListing`] with an `ETag`. With `If-None-Match` and the current tag it answers
//! 304 without a body.

use std::fmt::Debug;

use serde::{Deserialize, Serialize};

use super::PlatformError;

/// What a VM is used for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// Runs an entry process.
    Entry,
    /// Runs tasks; its control interface is the worker protocol.
    Worker,
    /// Runs an executor of a service.
    Target,
}

/// Whether a VM takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be removed; it finishes what it has and takes nothing new.
    Leaving,
}

/// One VM of the list. A worker that also runs an executor appears twice, once per role.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Vm {
    /// Unique name within its role.
    pub name: String,
    /// What it is used for.
    pub role: VmRole,
    /// Whether it takes new work.
    pub state: VmState,
    /// Name of its failure domain.
    pub domain: String,
    /// Name of its rack.
    pub rack: String,
    /// `IP:PORT` of its interface.
    pub address: String,
    /// For targets: the service that the executor runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
}

/// The answer of the VM list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VmListing {
    /// All VMs that the platform knows of.
    pub vms: Vec<Vm>,
}

/// The VM list.
pub trait VmList: Debug + Send + Sync {
    /// Returns the current list, which may lag behind the truth.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; callers keep the last list.
    fn list(&self) -> Result<VmListing, PlatformError>;
}
