//! Why a platform call failed, and whether it may have taken effect.

use std::fmt;
use std::time::Duration;

/// Why a call did not leave the router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NotSent {
    /// The purpose's share of the router's rate is spent.
    RateLimited {
        /// When a call may pass.
        wait: Duration,
    },
    /// The platform failed repeatedly and is given time.
    CircuitOpen {
        /// When the next try passes.
        wait: Duration,
    },
    /// No endpoint accepted a connection.
    Unreachable(String),
}

/// Why a platform call failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The call did not leave the router: it has no effect.
    NotSent(NotSent),
    /// The platform answered that it did nothing.
    Refused {
        /// HTTP status.
        status: u16,
        /// The platform's words.
        message: String,
    },
    /// The call left the router and no usable answer came: a write may have taken effect.
    Unknown(String),
}

impl PlatformError {
    /// Tells whether a write that failed so may have taken effect, now or later.
    ///
    /// ```
    /// use teaselworks::platform::PlatformError;
    ///
    /// assert!(PlatformError::Unknown("timeout".into()).may_have_taken_effect());
    /// ```
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, PlatformError::Unknown(_))
    }

    /// Returns the name in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            PlatformError::NotSent(NotSent::RateLimited { .. }) => "rate_limited",
            PlatformError::NotSent(NotSent::CircuitOpen { .. }) => "circuit_open",
            PlatformError::NotSent(NotSent::Unreachable(_)) => "unreachable",
            PlatformError::Refused { .. } => "refused",
            PlatformError::Unknown(_) => "unknown",
        }
    }

    /// Returns when another try may help; `None` when the time is not known.
    pub fn wait(&self) -> Option<Duration> {
        match self {
            PlatformError::NotSent(
                NotSent::RateLimited { wait } | NotSent::CircuitOpen { wait },
            ) => Some(*wait),
            _ => None,
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::NotSent(NotSent::RateLimited { wait }) => {
                write!(f, "not sent: the rate is spent for {} ms", wait.as_millis())
            }
            PlatformError::NotSent(NotSent::CircuitOpen { wait }) => {
                write!(f, "not sent: the circuit is open for {} ms", wait.as_millis())
            }
            PlatformError::NotSent(NotSent::Unreachable(detail)) => {
                write!(f, "not sent: no connection: {detail}")
            }
            PlatformError::Refused { status, message } => {
                write!(f, "refused ({status}): {message}")
            }
            PlatformError::Unknown(detail) => write!(f, "outcome unknown: {detail}"),
        }
    }
}

impl std::error::Error for PlatformError {}
