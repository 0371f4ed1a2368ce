//! Why a router could not start.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use crate::kernel::ServiceError;

/// Why a router could not start.
#[derive(Debug)]
pub enum StartError {
    /// The runtime could not be made.
    Runtime(io::Error),
    /// An address could not be listened on.
    Listen(SocketAddr, io::Error),
    /// A signal could not be waited for.
    Signal(io::Error),
    /// Services do not fit together.
    Service(ServiceError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Runtime(error) => write!(f, "cannot start the runtime: {error}"),
            StartError::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            StartError::Signal(error) => write!(f, "cannot wait for signals: {error}"),
            StartError::Service(error) => write!(f, "cannot start the services: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<ServiceError> for StartError {
    fn from(error: ServiceError) -> Self {
        StartError::Service(error)
    }
}
