//! Errors at the start of a router.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use crate::kernel::ServiceError;

/// Error that prevents a router from starting.
#[derive(Debug)]
pub enum StartError {
    /// The async runtime could not be created.
    Runtime(io::Error),
    /// The address of a listener could not be bound.
    Listen(SocketAddr, io::Error),
    /// A signal handler could not be installed.
    Signal(io::Error),
    /// A service is missing, registered twice, or of another type than expected.
    Service(ServiceError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Runtime(error) => write!(f, "cannot create the async runtime: {error}"),
            StartError::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            StartError::Signal(error) => write!(f, "cannot install a signal handler: {error}"),
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
