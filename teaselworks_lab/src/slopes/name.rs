//! The slopes by name: what grows with what, in which unit, and carried by which module.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a slope is measured over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Input {
    /// Routers of the fleet.
    Routers,
    /// Share of the fleet's routers that hold no watch and learn changes from others.
    Followers,
    /// Open links of one router.
    Links,
    /// Workspaces of the configuration.
    Workspaces,
    /// Replicas that one router owns.
    ReplicasOwned,
    /// Replicas of the fleet.
    Replicas,
    /// Replicas of one model.
    ReplicasOfModel,
    /// Streams open at one router.
    Streams,
    /// Tokens of an answer.
    Tokens,
    /// Requests a second at each router.
    Rate,
    /// Chats whose keys were placed.
    Chats,
    /// Use records held at once.
    Records,
}

impl Input {
    /// Returns the name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Input::Routers => "routers",
            Input::Followers => "share of followers",
            Input::Links => "open links",
            Input::Workspaces => "workspaces",
            Input::ReplicasOwned => "replicas owned",
            Input::Replicas => "replicas",
            Input::ReplicasOfModel => "replicas of a model",
            Input::Streams => "streams",
            Input::Tokens => "tokens of an answer",
            Input::Rate => "requests/s a router",
            Input::Chats => "chats",
            Input::Records => "records",
        }
    }
}

/// Which program measured a slope.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// Router processes among stand-ins.
    Processes,
    /// The decision crate alone.
    Decisions,
}

macro_rules! slopes {
    ($($name:ident $text:literal $subject:ident $input:ident $unit:literal $flat:literal $module:literal $about:literal;)*) => {
        /// Name of a slope.
        #[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum SlopeName {
            $(#[doc = $about] $name,)*
        }

        impl SlopeName {
            /// Every slope, in the order of tables.
            pub const ALL: &[SlopeName] = &[$(SlopeName::$name),*];

            /// Returns the name in the data file.
            pub fn as_str(self) -> &'static str {
                match self { $(SlopeName::$name => $text,)* }
            }

            /// Returns which program measures it.
            pub fn subject(self) -> Subject {
                match self { $(SlopeName::$name => Subject::$subject,)* }
            }

            /// Returns what it is measured over.
            pub fn input(self) -> Input {
                match self { $(SlopeName::$name => Input::$input,)* }
            }

            /// Returns the unit of its values.
            pub fn unit(self) -> &'static str {
                match self { $(SlopeName::$name => $unit,)* }
            }

            /// Tells whether it must not rise with its input.
            pub fn must_not_rise(self) -> bool {
                match self { $(SlopeName::$name => $flat,)* }
            }

            /// Returns the module that carries what is measured.
            pub fn module(self) -> &'static str {
                match self { $(SlopeName::$name => $module,)* }
            }

            /// Returns one sentence on what is measured.
            pub fn about(self) -> &'static str {
                match self { $(SlopeName::$name => $about,)* }
            }
        }
    };
}

slopes! {
    LinkBytes "link_bytes" Processes Routers "B/s a router" true "teaselworks::link" "Control bytes of the links themselves, idle, both directions.";
    MembershipBytes "membership_bytes" Processes Routers "B/s a router" true "teaselworks_policy::membership" "Control bytes of membership, idle, both directions.";
    ConfigurationBytes "configuration_bytes" Processes Routers "B/s a router" true "teaselworks::store" "Control bytes of configuration, idle, both directions.";
    UsageBytes "usage_bytes" Processes Routers "B/s a router" true "teaselworks::usage" "Control bytes of use, idle, both directions.";
    LoadBytes "load_bytes" Processes Routers "B/s a router" true "teaselworks::owner::mean" "Control bytes of mean loads, idle, one model, both directions.";
    UpstreamBytes "upstream_bytes" Processes Routers "B/s a router" true "teaselworks::owner::report" "Bytes of engines' load reports, idle, one engine a router.";
    IdleProcessor "idle_processor" Processes Routers "ms/s a router" true "teaselworks::daemon" "Processor time of a router without requests.";
    IdleResident "idle_resident" Processes Links "MB a router" false "teaselworks::link" "Resident memory of an idle router with a link to every other.";
    HandshakeBytes "handshake_bytes" Processes Links "B a link, each end" true "teaselworks::link" "Control bytes of the links themselves for each link opened, both directions.";
    VmListSize "vm_list_size" Processes Routers "B a reading" false "teaselworks::membership::list" "Size of the platform's list of VMs, as the stand-in writes it.";
    PlatformCalls "platform_calls" Processes Routers "calls/s of the fleet" false "teaselworks::platform" "Platform calls of the whole fleet, idle.";
    PlatformWatches "platform_watches" Processes Routers "watches of the fleet" false "teaselworks::store" "Watches that wait at the platform, of the whole fleet.";
    RequestControlBytes "request_control_bytes" Processes Routers "B a request" true "teaselworks::link" "Control bytes of all purposes beyond the idle ones, both directions of both ends.";
    RequestPlatformCalls "request_platform_calls" Processes Routers "calls/s of the fleet" false "teaselworks::usage" "Platform calls of the whole fleet under a light load.";
    RequestProcessor "request_processor" Processes Routers "ms a request" true "teaselworks::dispatch" "Processor time of all routers beyond the idle one, for one short chat.";
    ChangeBytes "change_bytes" Processes Followers "B a change, a router" false "teaselworks::store" "Control bytes of one small configuration change, both directions.";
    ChangePlatformCalls "change_platform_calls" Processes Routers "calls a change" false "teaselworks::store" "Platform calls of the whole fleet for one change.";
    ChangeProcessor "change_processor" Processes Routers "ms a change, a router" true "teaselworks::store" "Processor time of one small configuration change.";
    ChangeMedian "change_median" Processes Routers "ms" false "teaselworks::store" "Time from submission to in force on a router, half of all.";
    ChangeLate "change_late" Processes Routers "ms" false "teaselworks::store" "Time from submission to in force on a router, 99 in 100.";
    StartTime "start_time" Processes Workspaces "ms" false "teaselworks::store" "Time from the start of a process to ready, the configuration from a peer.";
    WorkspacesResident "workspaces_resident" Processes Workspaces "MB a router" false "teaselworks_config::configuration" "Resident memory of a router that started with the configuration.";
    StartPeak "start_peak" Processes Workspaces "MB a router" false "teaselworks::store" "Highest resident memory of a router that started with the configuration.";
    WorkspacesChangeProcessor "workspaces_change_processor" Processes Workspaces "ms a change, a router" false "teaselworks::store" "Processor time of one small configuration change.";
    WorkspacesChangeLate "workspaces_change_late" Processes Workspaces "ms" false "teaselworks::store" "Time from submission to in force on one of two routers, 99 in 100.";
    ChangedResident "changed_resident" Processes Workspaces "MB a router" false "teaselworks::store" "Resident memory of a router that followed a dozen changes.";
    CommitterResident "committer_resident" Processes Workspaces "MB a router" false "teaselworks::store" "Resident memory of a router that committed every change since the first workspace.";
    ReplicasResident "replicas_resident" Processes ReplicasOwned "MB a router" false "teaselworks::owner" "Resident memory of an owner, its estimates of held prefixes still empty.";
    OrdersProcessor "orders_processor" Processes Replicas "ms/s of two routers" false "teaselworks::orders" "Processor time of two routers, one of which looks at every engine for orders; idle ones included.";
    OrdersPlatformCalls "orders_platform_calls" Processes Replicas "calls/s of the fleet" true "teaselworks::orders" "Platform calls of two routers, one of which holds the orders' lease.";
    EntryStreamResident "entry_stream_resident" Processes Streams "MB a router" false "teaselworks::dispatch" "Resident memory of an entry.";
    OwnerStreamResident "owner_stream_resident" Processes Streams "MB a router" false "teaselworks::owner" "Resident memory of an owner.";
    EntryProcessor "entry_processor" Processes Tokens "ms a request" false "teaselworks::dispatch" "Processor time of the entry for one chat.";
    OwnerProcessor "owner_processor" Processes Tokens "ms a request" false "teaselworks::owner" "Processor time of the owner for one chat.";
    RateUsageBytes "rate_usage_bytes" Processes Rate "B/s a router" false "teaselworks::usage" "Control bytes of use beyond the idle ones, 512 workspaces, both directions.";
    RateLimitsBytes "rate_limits_bytes" Processes Rate "B/s a router" false "teaselworks::limits" "Control bytes of limits beyond the idle ones, 512 workspaces with three limits each.";
    RateOtherBytes "rate_other_bytes" Processes Rate "B/s a router" false "teaselworks::link" "Control bytes of all other purposes beyond the idle ones, both directions.";
    RatePlatformCalls "rate_platform_calls" Processes Rate "calls/s of the fleet" false "teaselworks::usage" "Platform calls of eight routers while requests come.";
    RateProcessor "rate_processor" Processes Rate "ms/s a router" false "teaselworks::dispatch" "Processor time beyond the idle one, chats of 4 tokens, entry and owner together.";
    RateAsks "rate_asks" Processes Rate "asks a request" false "teaselworks::limits" "Questions to owners of workspaces for each request of the rates with limits.";
    RateUnlimitedProcessor "rate_unlimited_processor" Processes Rate "ms/s a router" false "teaselworks::dispatch" "The same without limits.";
    OwnerTime "owner_time" Decisions Routers "ns" false "teaselworks_policy::membership::owner_of" "Time to name the owner of a replica.";
    OwnedMost "owned_most" Decisions Routers "replicas" false "teaselworks_policy::membership::owner_of" "Replicas of the router that owns most, of two for each router.";
    ViewTime "view_time" Decisions Routers "us" false "teaselworks_policy::membership::View" "Time to make a view, and the list that it is made of.";
    ViewMemory "view_memory" Decisions Routers "KB" false "teaselworks_policy::membership::View" "Memory of a view.";
    MembershipMemory "membership_memory" Decisions Routers "KB" false "teaselworks_policy::membership::Membership" "Memory of the membership's state.";
    MembershipTime "membership_time" Decisions Routers "us" false "teaselworks_policy::membership::Membership" "Time of one probe interval: its ticks, a probe made and one answered.";
    MembershipMessage "membership_message" Decisions Routers "B" true "teaselworks_policy::membership::Message" "Mean size of a message that a router sends, without news.";
    KeyTime "key_time" Decisions Workspaces "ns" false "teaselworks_config::configuration::key" "Time to find the workspace of a key, its digest included.";
    KeyMemory "key_memory" Decisions Workspaces "MB" false "teaselworks_config::configuration::key" "Memory of the index of keys.";
    ConfigurationMemory "configuration_memory" Decisions Workspaces "MB" false "teaselworks_config::configuration" "Memory of a configuration.";
    ConfigurationSize "configuration_size" Decisions Workspaces "MB" false "teaselworks_config::configuration" "Encoded configuration, as a router that starts fetches it.";
    LimiterTime "limiter_time" Decisions Workspaces "ns" false "teaselworks_policy::admission::limits" "Time to take and release a permit, every workspace active.";
    LimiterMemory "limiter_memory" Decisions Workspaces "MB" false "teaselworks_policy::admission::limits" "Memory of the limiter with a permit of each workspace.";
    UseTime "use_time" Decisions Records "ns a record" true "teaselworks_policy::usage::Ledger" "Time to record what an attempt used.";
    UseMemory "use_memory" Decisions Records "KB" false "teaselworks_policy::usage::Ledger" "Memory of a source's records that the platform has not confirmed.";
    UseMessage "use_message" Decisions Records "B" false "teaselworks_policy::usage::CopyRequest" "Size of the message that copies records.";
    UseTraffic "use_traffic" Decisions Rate "B/s a router" false "teaselworks_policy::usage::Ledger" "Messages about use at 410 routers and 18,000 workspaces, both directions, as source, holder of copies and owner.";
    UseHeld "use_held" Decisions Rate "records" false "teaselworks_policy::usage::Ledger" "Records that a source holds at 410 routers.";
    LimitsTraffic "limits_traffic" Decisions Rate "B/s a router" false "teaselworks_policy::admission::open" "Messages about limits at 410 routers and 18,000 workspaces, all with three limits of four times their use and no less than 20 requests/s, both directions, as asker and owner.";
    LimitsAsks "limits_asks" Decisions Rate "asks a request" false "teaselworks_policy::admission::open" "Questions to owners of workspaces, of the same.";
    ExactLimitsTraffic "exact_limits_traffic" Decisions Rate "B/s a router" false "teaselworks_policy::admission::lending" "The same without open shares, as of workspaces with limits too small for them.";
    BusiestLimitBytes "busiest_limit_bytes" Decisions Rate "B/s" false "teaselworks_policy::admission::open" "Messages of the owner of the busiest workspace about its limits, of the same.";
    SurgeLimitBytes "surge_limit_bytes" Decisions Rate "B/s" false "teaselworks_policy::admission::loan" "Messages of the owner of the busiest workspace about its limits while the three busiest send ten times as much.";
    SurgeLimitAsks "surge_limit_asks" Decisions Rate "asks/s" false "teaselworks_policy::admission::loan" "Questions to that owner about that workspace, of the same.";
    SurgeLimitUsed "surge_limit_used" Decisions Rate "x the limit" false "teaselworks_policy::admission::loan" "Requests of that workspace that are admitted, of the same.";
    SearchTime "search_time" Decisions ReplicasOfModel "ns" false "teaselworks_policy::placement::Search" "Time to begin a search and name the first replica.";
    TablesMemory "tables_memory" Decisions ReplicasOfModel "KB" false "teaselworks_policy::placement::ReplicaTable" "Memory of the tables of replicas and loads, of four models.";
    HoldingsMemory "holdings_memory" Decisions ReplicasOwned "MB" false "teaselworks_policy::placement::Holdings" "Memory of the estimates of held prefixes, all full.";
    HoldingsTime "holdings_time" Decisions ReplicasOwned "ns" false "teaselworks_policy::placement::Holdings" "Time to look up what is held of a chat of four turns.";
    ChatTime "chat_time" Decisions Chats "ns" true "teaselworks_policy::placement::rank" "Time to rank the replicas for one of very many chats.";
    ChatSpread "chat_spread" Decisions Chats "x the mean" false "teaselworks_policy::placement::rank" "Chats whose first home is the replica that is first home to most.";
    WorkspaceSpread "workspace_spread" Decisions Workspaces "x the mean" false "teaselworks_policy::membership::owner_of" "Workspaces of the router that owns most, of 410.";
}

impl fmt::Display for SlopeName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
