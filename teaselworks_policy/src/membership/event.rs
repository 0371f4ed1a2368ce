//! What goes into the membership of a router and what comes out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::message::{Contact, Message};
use super::prober::CallId;
use super::view::{Place, View};
use crate::name::Name;

/// Who a router is, for its membership.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name, unique in the fleet.
    pub name: Name,
    /// Wall clock at its start in milliseconds.
    pub incarnation: u64,
    /// Where other routers reach it.
    pub address: SocketAddr,
    /// Region and availability zone.
    pub place: Place,
}

/// Whether a VM of the platform's list is to stay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// It stays.
    Live,
    /// It is to stop.
    Leaving,
}

/// One reading of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct VmList {
    /// Routers and where they listen for links.
    pub routers: Vec<Contact>,
    /// Upstreams.
    pub upstreams: Vec<(Name, ListedState)>,
}

/// What real traffic told about a router.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// It answered.
    Answered,
    /// It could not be reached, or broke off.
    Failed,
}

/// A call to another router; its answer or failure is handed back under its number.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number of the call.
    pub call: CallId,
    /// Who is called.
    pub to: Contact,
    /// What is sent.
    pub message: Message,
    /// Time for the answer.
    pub timeout: Duration,
}

/// What the caller of the state machine must do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Call a router.
    Call(Box<Call>),
    /// The view changed.
    ViewChanged(Arc<View>),
    /// An upstream began to leave, or is live again.
    UpstreamsChanged,
    /// The fleet had taken this router for lost.
    Denied {
        /// Recent losses, this one included.
        flaps: u8,
    },
}

/// How a request from a peer is answered.
#[derive(Clone, Debug)]
pub enum Answer {
    /// With this message.
    Reply(Box<Message>),
    /// With the outcome of this call, given to `on_forwarded`; its number means nothing.
    Forward(Box<Call>),
}
