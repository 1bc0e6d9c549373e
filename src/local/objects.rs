//! In-memory object store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use super::server::{JsonServer, ListenError, Reply, ServerRequest};
use crate::platform::PlatformError;
use crate::platform::objects::Objects;

/// Path prefix of the protocol.
const PREFIX: &str = "/objects/";

/// Object store in memory. Clones share the objects.
#[derive(Clone, Debug, Default)]
pub struct MemoryObjects {
    objects: Arc<Mutex<BTreeMap<String, Arc<[u8]>>>>,
}

impl MemoryObjects {
    /// Answers a request of the object protocol.
    #[must_use]
    pub fn answer(&self, req: &ServerRequest) -> Reply {
        let name = req.path.strip_prefix(PREFIX).filter(|name| !name.is_empty());
        match (req.method.as_str(), name) {
            ("PUT", Some(name)) => {
                self.insert(name, &req.body);
                binary(200, Vec::new())
            }
            ("GET", Some(name)) => match self.find(name) {
                Some(object) => binary(200, object.to_vec()),
                None => Reply::json(404, &"no such object"),
            },
            _ => Reply::json(404, &"the object store has no such path"),
        }
    }

    /// Serves the object protocol.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn serve(&self, address: SocketAddr, threads: usize) -> Result<JsonServer, ListenError> {
        let objects = self.clone();
        JsonServer::start(address, threads, move |req| objects.answer(req))
    }

    fn insert(&self, name: &str, body: &[u8]) {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        objects.insert(name.to_owned(), Arc::from(body));
    }

    fn find(&self, name: &str) -> Option<Arc<[u8]>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner).get(name).cloned()
    }
}

fn binary(status: u16, body: Vec<u8>) -> Reply {
    Reply::Answer { status, headers: Vec::new(), body }
}

impl Objects for MemoryObjects {
    fn put(&self, name: &str, body: &[u8]) -> Result<(), PlatformError> {
        self.insert(name, body);
        Ok(())
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        Ok(self.find(name).map(|object| object.to_vec()))
    }
}
