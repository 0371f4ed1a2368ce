//! Messages of the exchange of offered load.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::shares::OfferedRow;

/// Load of a service, of one or of several routers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    /// Offered load by workspace and rank.
    pub rows: Vec<OfferedRow>,
    /// Requests in progress at the service.
    pub in_progress: f64,
    /// Whether one of the routers sees the service overloaded.
    pub is_overloaded: bool,
}

/// A message of the exchange, about one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ExchangeMessage {
    /// Random number of the sending process, by which a restart is recognized.
    pub process: u64,
    /// Number that is higher in each later message of the process.
    pub sequence: u64,
    /// Key of the service; see [`service_key`].
    pub service: u64,
    /// Load of the routers that the message is about.
    pub load: ReportedLoad,
    /// What the load is.
    pub kind: ExchangeKind,
}

/// What the load of an [`ExchangeMessage`] is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeKind {
    /// Load of the sender, for an aggregator.
    Offered {
        /// Whether it is sent at the rate for overloaded services.
        is_frequent: bool,
    },
    /// Load of the routers that report to the sender, for the other aggregators.
    Group {
        /// Whether it is sent at the rate for overloaded services.
        is_frequent: bool,
        /// Number of routers.
        routers: u32,
        /// Age of the oldest part.
        age: Duration,
    },
    /// Load of the fleet, as answer to [`ExchangeKind::Offered`].
    Fleet {
        /// Process and sequence number of the message that is answered.
        answers: (u64, u64),
        /// Number of routers.
        routers: u32,
        /// Age of the oldest part.
        age: Duration,
    },
}

impl ExchangeKind {
    /// Returns the name in metrics.
    ///
    /// ```
    /// use teaselworks_policy::shares::ExchangeKind;
    ///
    /// assert_eq!(ExchangeKind::Offered { is_frequent: true }.as_str(), "offered");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            ExchangeKind::Offered { .. } => "offered",
            ExchangeKind::Group { .. } => "group",
            ExchangeKind::Fleet { .. } => "fleet",
        }
    }
}

/// Returns the key of a service in messages.
///
/// ```
/// use teaselworks_policy::shares::service_key;
///
/// assert_ne!(service_key("chat"), service_key("tags"));
/// ```
pub fn service_key(service: &str) -> u64 {
    xxh3_64(service.as_bytes())
}
