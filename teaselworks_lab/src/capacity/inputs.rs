//! The size that the page is worked out for, and what may be spent at it.

/// Seconds of a day.
const DAY_S: f64 = 86_400.0;

/// Size of the fleet and its work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Inputs {
    /// Routers, one a node.
    pub routers: f64,
    /// Replicas of engines.
    pub replicas: f64,
    /// Requests a second at the peak.
    pub requests_per_s: f64,
    /// Tokens generated a second at the peak.
    pub tokens_per_s: f64,
    /// Chats that may return.
    pub chats: f64,
    /// Workspaces.
    pub workspaces: f64,
    /// Models.
    pub models: f64,
    /// Regions.
    pub regions: f64,
    /// Availability zones of all regions.
    pub zones: f64,
    /// Configuration changes a day.
    pub changes_per_day: f64,
    /// Routers that fail, are restarted or replaced in a day.
    pub restarts_per_day: f64,
}

impl Inputs {
    /// The size expected within two years.
    pub const TWO_YEARS: Inputs = Inputs {
        routers: 410.0,
        replicas: 800.0,
        requests_per_s: 9_800.0,
        tokens_per_s: 2_500_000.0,
        chats: 13_000_000.0,
        workspaces: 18_000.0,
        models: 4.0,
        regions: 2.0,
        zones: 7.0,
        changes_per_day: 2_500.0,
        restarts_per_day: 19.0 + 83.0,
    };

    /// Returns the requests a second that one router takes, and that one owner admits on average.
    pub fn requests_per_router(&self) -> f64 {
        self.requests_per_s / self.routers
    }

    /// Returns the tokens of an answer.
    pub fn tokens_per_request(&self) -> f64 {
        self.tokens_per_s / self.requests_per_s
    }

    /// Returns the time of a request in seconds, at the latencies that are asked for.
    pub fn request_s(&self) -> f64 {
        FIRST_TOKEN_S + self.tokens_per_request() * INTER_TOKEN_S
    }

    /// Returns the streams open at one entry, and at one owner on average.
    pub fn streams_per_router(&self) -> f64 {
        self.requests_per_router() * self.request_s()
    }

    /// Returns the replicas that one router owns on average.
    pub fn replicas_per_router(&self) -> f64 {
        self.replicas / self.routers
    }

    /// Returns the replicas of one model.
    pub fn replicas_per_model(&self) -> f64 {
        self.replicas / self.models
    }

    /// Returns the workspaces that one router owns on average.
    pub fn workspaces_per_router(&self) -> f64 {
        self.workspaces / self.routers
    }

    /// Returns the chats whose context one replica may hold.
    pub fn chats_per_replica(&self) -> f64 {
        self.chats / self.replicas
    }

    /// Returns the configuration changes a second.
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / DAY_S
    }

    /// Returns the restarts a second.
    pub fn restarts_per_s(&self) -> f64 {
        self.restarts_per_day / DAY_S
    }

    /// Returns the links of one router when requests of its callers reach every other one.
    pub fn links(&self) -> f64 {
        self.routers - 1.0
    }

    /// Returns the share of routers that hold no watch.
    pub fn followers(&self) -> f64 {
        1.0 - WATCHERS / self.routers
    }
}

/// Longest first token for 95 in 100, in seconds.
pub const FIRST_TOKEN_S: f64 = 0.74;
/// Longest time between tokens for 95 in 100, in seconds.
pub const INTER_TOKEN_S: f64 = 0.04;
/// Routers that watch the platform while all see each other, by the settings' default.
pub const WATCHERS: f64 = 8.0;

/// What a node and the platform may spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Control bytes of a node, a second.
    pub control_bytes_per_s: f64,
    /// Processor time of a node for control, in milliseconds a second.
    pub processor_ms_per_s: f64,
    /// Memory of a node for control, in megabytes.
    pub memory_mb: f64,
    /// Platform writes a second; several hundred, taken as three.
    pub writes_per_s: f64,
    /// Platform reads a second, waiting watches counted.
    pub reads_per_s: f64,
    /// Time in which a change is to be in force everywhere, in seconds.
    pub in_force_s: f64,
}

/// The budget that the users gave.
pub const BUDGET: Budget = Budget {
    control_bytes_per_s: 5_000.0,
    processor_ms_per_s: 29.0,
    memory_mb: 32.0,
    writes_per_s: 300.0,
    reads_per_s: 2_000.0,
    in_force_s: 10.0,
};
