//! Hands control messages from other routers to the service of their purpose.

use std::sync::{Arc, OnceLock};

use teaselworks_wire::message::Purpose;

use crate::link::ControlRequest;

/// Takes a control message and answers it.
pub type ControlHandler = Box<dyn Fn(ControlRequest) + Send + Sync>;

/// Handlers of control messages by purpose.
#[derive(Default)]
pub struct ControlTable {
    membership: OnceLock<ControlHandler>,
    configuration: OnceLock<ControlHandler>,
    usage: OnceLock<ControlHandler>,
    limits: OnceLock<ControlHandler>,
    load: OnceLock<ControlHandler>,
    orders: OnceLock<ControlHandler>,
}

impl ControlTable {
    /// Makes a table without handlers.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Sets the handler of a purpose; the first one stays.
    pub fn set(&self, purpose: Purpose, handler: ControlHandler) {
        if let Some(slot) = self.slot(purpose) {
            let _ = slot.set(handler);
        }
    }

    /// Hands a message on; one without a handler is dropped, which its sender sees as no answer.
    pub fn handle(&self, request: ControlRequest) {
        let handler = self.slot(request.purpose).and_then(OnceLock::get);
        if let Some(handler) = handler {
            handler(request);
        }
    }

    fn slot(&self, purpose: Purpose) -> Option<&OnceLock<ControlHandler>> {
        match purpose {
            Purpose::Membership => Some(&self.membership),
            Purpose::Configuration => Some(&self.configuration),
            Purpose::Usage => Some(&self.usage),
            Purpose::Limits => Some(&self.limits),
            Purpose::Load => Some(&self.load),
            Purpose::Orders => Some(&self.orders),
            Purpose::Link | Purpose::Upstream => None,
        }
    }
}
