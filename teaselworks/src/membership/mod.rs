//! Keeps the view of the fleet: reads the platform's list, probes other routers, answers theirs.

mod list;
mod meters;
mod service;

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use teaselworks_config::settings::{MembershipSettings, VmListSettings};
use teaselworks_policy::membership::{Contact, Identity, Timing};

pub use service::{MEMBERSHIP, MembershipService};

/// The answer of another router, `None` when it did not answer in time.
pub type PeerAnswer = Pin<Box<dyn Future<Output = Option<Bytes>> + Send>>;

/// Asks another router a control message.
pub type PeerCall = Arc<dyn Fn(Contact, Bytes, Duration) -> PeerAnswer + Send + Sync>;

/// What the service is made from.
#[derive(Clone)]
pub struct MembershipParts {
    /// Who this router is.
    pub identity: Identity,
    /// Intervals of the protocol.
    pub settings: MembershipSettings,
    /// The platform's list of VMs.
    pub vm_list: VmListSettings,
    /// Seed of the random order of probes.
    pub seed: u64,
    /// Asks other routers.
    pub call: PeerCall,
}

impl fmt::Debug for MembershipParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MembershipParts").field("identity", &self.identity).finish_non_exhaustive()
    }
}

/// Turns settings into the protocol's intervals.
fn timing(parts: &MembershipParts) -> Timing {
    let settings = &parts.settings;
    Timing {
        probe_interval: Duration::from_millis(settings.probe_interval_ms),
        probe_timeout: Duration::from_millis(settings.probe_timeout_ms),
        suspicion: Duration::from_millis(settings.suspicion_ms),
        indirect_probes: settings.indirect_probes as usize,
        list_poll: Duration::from_millis(parts.vm_list.poll_ms),
        ..Timing::default()
    }
}
