//! In-process stand-ins of the platform, the workers and the targets of a site.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use plantainlever::config::PlatformSettings;
use plantainlever::local::history::History;
use plantainlever::local::objects::MemoryObjects;
use plantainlever::local::server::{JsonServer, ListenError};
use plantainlever::local::table::MemoryTable;
use plantainlever::local::target::LocalTarget;
use plantainlever::local::vms::MemoryVms;
use plantainlever::local::worker::{Checkpoints, WorkerGroup, WorkerSpec};
use plantainlever::platform::vms::{Vm, VmRole, VmState};

use super::SiteBuilder;
use crate::fault::Faults;

/// Threads of each JSON server.
const SERVER_THREADS: usize = 8;

/// Number of consecutive workers or targets that share a rack.
const VMS_PER_RACK: usize = 4;

/// Table, object store, VM list, workers and targets, with fault switches for the first three.
#[derive(Debug)]
pub(super) struct Platform {
    pub(super) history: History,
    pub(super) table: MemoryTable,
    pub(super) table_faults: Faults,
    pub(super) object_faults: Faults,
    pub(super) vms: MemoryVms,
    pub(super) vm_faults: Faults,
    pub(super) workers: BTreeMap<String, WorkerGroup>,
    pub(super) targets: BTreeMap<String, LocalTarget>,
    servers: [Option<JsonServer>; 3],
    addresses: PlatformSettings,
}

impl Platform {
    pub(super) fn start(builder: &SiteBuilder) -> Result<Self, ListenError> {
        let history = History::default();
        let table = MemoryTable::new(history.clone());
        let objects = MemoryObjects::default();
        let vms = MemoryVms::default();
        let (table_faults, object_faults, vm_faults) =
            (Faults::default(), Faults::default(), Faults::default());
        let (table_backend, objects_backend, vms_backend) =
            (table.clone(), objects.clone(), vms.clone());
        let table_handler = table_faults.wrap(move |req| table_backend.answer(req));
        let object_handler = object_faults.wrap(move |req| objects_backend.answer(req));
        let vm_handler = vm_faults.wrap(move |req| vms_backend.answer(req));
        let table_server = JsonServer::start(any_port(), SERVER_THREADS, table_handler)?;
        let object_server = JsonServer::start(any_port(), SERVER_THREADS, object_handler)?;
        let vm_server = JsonServer::start(any_port(), SERVER_THREADS, vm_handler)?;
        let addresses = PlatformSettings {
            table: table_server.address(),
            objects: object_server.address(),
            vms: vm_server.address(),
        };
        let mut platform = Self {
            history,
            table,
            table_faults,
            object_faults,
            vms,
            vm_faults,
            workers: BTreeMap::new(),
            targets: BTreeMap::new(),
            servers: [Some(table_server), Some(object_server), Some(vm_server)],
            addresses,
        };
        for domain in &builder.domains {
            platform.start_workers(builder, domain, &objects)?;
            platform.start_targets(builder, domain)?;
        }
        Ok(platform)
    }

    pub(super) fn addresses(&self) -> &PlatformSettings {
        &self.addresses
    }

    fn start_workers(
        &mut self,
        builder: &SiteBuilder,
        domain: &str,
        objects: &MemoryObjects,
    ) -> Result<(), ListenError> {
        let name = |index: usize| format!("{domain}-worker-{index}");
        let numbers = 1..=builder.workers_per_domain;
        let spec = |index| WorkerSpec {
            name: name(index),
            domain: domain.to_owned(),
            capacity: builder.worker_capacity,
        };
        let group = WorkerGroup::start(
            any_port(),
            SERVER_THREADS,
            numbers.clone().map(spec).collect(),
            Checkpoints::Store(Arc::new(objects.clone())),
            self.history.clone(),
        )?;
        for index in numbers {
            let rack = format!("{domain}-rack-{}", (index - 1) / VMS_PER_RACK + 1);
            let address = group.address(&name(index));
            self.list_vm(&name(index), VmRole::Worker, domain, rack, address, None);
        }
        self.workers.insert(domain.to_owned(), group);
        Ok(())
    }

    fn start_targets(&mut self, builder: &SiteBuilder, domain: &str) -> Result<(), ListenError> {
        for (service, count) in &builder.targets {
            for index in 1..=*count {
                let name = format!("{service}-{domain}-{index}");
                let target = LocalTarget::start(&name, any_port(), self.history.clone())?;
                let rack = format!("{domain}-rack-{}", (index - 1) / VMS_PER_RACK + 1);
                let address = target.address().to_string();
                self.list_vm(&name, VmRole::Target, domain, rack, address, Some(service.clone()));
                self.targets.insert(name, target);
            }
        }
        Ok(())
    }

    fn list_vm(
        &self,
        name: &str,
        role: VmRole,
        domain: &str,
        rack: String,
        address: String,
        service: Option<String>,
    ) {
        let (name, domain) = (name.to_owned(), domain.to_owned());
        self.vms.insert(Vm { name, role, state: VmState::Live, domain, rack, address, service });
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for faults in [&self.table_faults, &self.object_faults, &self.vm_faults] {
            // A blocked call would keep its server thread from ending.
            faults.set_blocked(false);
        }
        for (_, group) in std::mem::take(&mut self.workers) {
            group.close();
        }
        for (_, target) in std::mem::take(&mut self.targets) {
            target.kill();
        }
        for server in self.servers.iter_mut().filter_map(Option::take) {
            server.close();
        }
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
