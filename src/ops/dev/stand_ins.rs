//! In-memory stand-ins of the platform, the workers and the targets for `dev`.

use std::net::SocketAddr;
use std::sync::Arc;

use super::config::{DevConfig, DevDomain};
use crate::config::PlatformSettings;
use crate::local::history::History;
use crate::local::objects::MemoryObjects;
use crate::local::server::{JsonServer, ListenError};
use crate::local::table::MemoryTable;
use crate::local::target::LocalTarget;
use crate::local::vms::MemoryVms;
use crate::local::worker::{Checkpoints, WorkerGroup, WorkerSpec};
use crate::platform::vms::{Vm, VmRole, VmState};

/// Server threads of each stand-in.
const THREADS: usize = 8;

/// Handles of all running stand-ins.
#[derive(Debug)]
pub(super) struct StandIns {
    table: JsonServer,
    objects: JsonServer,
    vm_list: JsonServer,
    vms: MemoryVms,
    workers: Vec<WorkerGroup>,
    targets: Vec<LocalTarget>,
}

impl StandIns {
    /// Starts the stand-ins on ports chosen by the system.
    pub(super) fn start(cfg: &DevConfig) -> Result<Self, ListenError> {
        let history = History::default();
        let objects = MemoryObjects::default();
        let vms = MemoryVms::default();
        let mut stand_ins = Self {
            table: MemoryTable::new(history.clone()).serve(any_port(), THREADS)?,
            objects: objects.serve(any_port(), THREADS)?,
            vm_list: vms.serve(any_port(), THREADS)?,
            vms,
            workers: Vec::new(),
            targets: Vec::new(),
        };
        for domain in &cfg.domains {
            let checkpoints = Checkpoints::Store(Arc::new(objects.clone()));
            stand_ins.start_workers(cfg, domain, checkpoints, &history)?;
            stand_ins.start_targets(cfg, domain, &history)?;
        }
        Ok(stand_ins)
    }

    fn start_workers(
        &mut self,
        cfg: &DevConfig,
        domain: &DevDomain,
        checkpoints: Checkpoints,
        history: &History,
    ) -> Result<(), ListenError> {
        let names: Vec<(String, String)> = worker_names(domain);
        let spec = |(name, _): &(String, String)| WorkerSpec {
            name: name.clone(),
            domain: domain.name.clone(),
            capacity: cfg.worker,
        };
        let specs = names.iter().map(spec).collect();
        let group = WorkerGroup::start(any_port(), THREADS, specs, checkpoints, history.clone())?;
        for (name, rack) in names {
            let address = group.address(&name);
            self.list_vm(&name, VmRole::Worker, domain, rack, address, None);
        }
        self.workers.push(group);
        Ok(())
    }

    /// Starts the executors and assigns them to the racks of the domain's workers in turn.
    fn start_targets(
        &mut self,
        cfg: &DevConfig,
        domain: &DevDomain,
        history: &History,
    ) -> Result<(), ListenError> {
        let mut workers_in_turn = worker_names(domain).into_iter().cycle();
        for service in &cfg.services {
            for index in 1..=service.executors_per_domain {
                let name = format!("{}-{}-{index}", service.name, domain.name);
                let rack = workers_in_turn.next().map_or_else(String::new, |(_, rack)| rack);
                let target = LocalTarget::start(&name, any_port(), history.clone())?;
                let address = target.address().to_string();
                let service = Some(service.name.clone());
                self.list_vm(&name, VmRole::Target, domain, rack, address, service);
                self.targets.push(target);
            }
        }
        Ok(())
    }

    fn list_vm(
        &self,
        name: &str,
        role: VmRole,
        domain: &DevDomain,
        rack: String,
        address: String,
        service: Option<String>,
    ) {
        let domain = domain.name.clone();
        let name = name.to_owned();
        let state = VmState::Live;
        self.vms.insert(Vm { name, role, state, domain, rack, address, service });
    }

    /// Returns the addresses of the platform's services.
    pub(super) fn platform(&self) -> PlatformSettings {
        PlatformSettings {
            table: self.table.address(),
            objects: self.objects.address(),
            vms: self.vm_list.address(),
        }
    }

    /// Returns the number of targets in all domains.
    pub(super) fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Stops all stand-ins.
    pub(super) fn close(self) {
        for group in self.workers {
            group.close();
        }
        for target in self.targets {
            target.close();
        }
        self.vm_list.close();
        self.objects.close();
        self.table.close();
    }
}

/// Returns a loopback address whose port the system chooses.
pub(super) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the names of a domain's workers with their racks.
fn worker_names(domain: &DevDomain) -> Vec<(String, String)> {
    let mut names = Vec::new();
    for (rack, count) in domain.racks.iter().enumerate() {
        let rack = format!("{}-rack-{}", domain.name, rack + 1);
        for index in 1..=*count {
            names.push((format!("{rack}-worker-{index}"), rack.clone()));
        }
    }
    names
}
