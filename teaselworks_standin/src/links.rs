//! The links of one router to the replicas, which can fail while other routers reach them.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use crate::proxy::{Proxy, ProxyFaults};
use crate::store::{Store, StoreView};

/// How the links of a router to all replicas fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Partition {
    /// Nothing passes any more, and new connections get no reply.
    Hanging,
    /// Open connections are reset and new ones refused.
    Resetting,
    /// Open connections work, new ones are refused.
    RefusingNew,
}

impl Partition {
    /// Every kind of partition.
    pub const ALL: [Partition; 3] =
        [Partition::Hanging, Partition::Resetting, Partition::RefusingNew];
}

/// A proxy in front of each replica for one router, and a port of the store that lists them.
pub struct ReplicaLinks {
    view: StoreView,
    proxies: HashMap<SocketAddr, Proxy>,
    partition: Option<Partition>,
}

impl ReplicaLinks {
    /// Opens a port of the store that lists no replica at another address yet.
    pub fn start(store: &Store) -> io::Result<Self> {
        Ok(Self { view: store.start_view()?, proxies: HashMap::new(), partition: None })
    }

    /// Returns the address at which the router reaches the store.
    pub fn store_address(&self) -> SocketAddr {
        self.view.address()
    }

    /// Leads the router to the replica at `address` through a proxy.
    pub fn add(&mut self, address: SocketAddr) -> io::Result<()> {
        let proxy = Proxy::start(address)?;
        if let Some(partition) = self.partition {
            break_link(&proxy, partition);
        }
        self.view.addresses.insert(address, proxy.address());
        self.proxies.insert(address, proxy);
        Ok(())
    }

    /// Cuts the router off from all replicas.
    pub fn partition(&mut self, partition: Partition) {
        self.partition = Some(partition);
        for proxy in self.proxies.values() {
            break_link(proxy, partition);
        }
    }

    /// Ends a partition. Bytes that it held back are delivered.
    pub fn heal(&mut self) {
        self.partition = None;
        for proxy in self.proxies.values() {
            proxy.set_faults(|faults| *faults = ProxyFaults::default());
        }
    }
}

fn break_link(proxy: &Proxy, partition: Partition) {
    match partition {
        Partition::Hanging => {
            proxy.set_faults(|faults| faults.is_unresponsive = true);
            proxy.set_frozen(true);
        }
        Partition::Resetting => {
            proxy.set_faults(|faults| faults.is_refusing = true);
            proxy.cut();
        }
        Partition::RefusingNew => proxy.set_faults(|faults| faults.is_refusing = true),
    }
}
