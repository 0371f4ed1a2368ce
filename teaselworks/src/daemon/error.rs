//! Why a router could not start.

use std::fmt;
use std::net::SocketAddr;

use crate::kernel::ServiceError;

/// Why a router could not start.
#[derive(Debug)]
pub enum StartError {
    /// A port could not be opened.
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause from the operating system.
        source: std::io::Error,
    },
    /// A service was not where the kernel looked for it.
    Service(ServiceError),
    /// The process could not ask for its signals.
    Signal(std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen { address, source } => {
                write!(f, "cannot listen on {address}: {source}")
            }
            StartError::Service(error) => error.fmt(f),
            StartError::Signal(source) => write!(f, "cannot wait for signals: {source}"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<ServiceError> for StartError {
    fn from(error: ServiceError) -> Self {
        StartError::Service(error)
    }
}
