//! Bugs that a soak simulates.

/// Defines the bugs, each with the guarantee that it violates.
macro_rules! bugs {
    ($($(#[$doc:meta])* $bug:ident => $guarantee:literal,)*) => {
        /// A bug that a soak simulates, to test that the check of the guarantee it violates reports it.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Bug {
            $($(#[$doc])* $bug,)*
        }

        impl Bug {
            /// Every bug that can be simulated.
            pub const ALL: &[Bug] = &[$(Bug::$bug),*];

            /// Returns the guarantee that it violates, as [`Violation::guarantee`] names it.
            ///
            /// [`Violation::guarantee`]: super::Violation::guarantee
            pub fn guarantee(self) -> &'static str {
                match self {
                    $(Bug::$bug => $guarantee,)*
                }
            }
        }
    };
}

bugs! {
    /// A replica runs a request twice.
    RunsTwice => "at most once",
    /// A replica runs a request whose refusal states that it has not run.
    RunsAfterRefusal => "refused requests do not run",
    /// A caller gets the response to another request.
    ForeignResponse => "complete and matching responses",
    /// A caller gets half of a response that is framed as complete.
    TruncatedResponse => "complete and matching responses",
    /// An event of a stream is missing.
    MissingEvent => "no event of a stream is skipped",
    /// A stream that a caller resumes lacks the event after the caller's last one.
    ResumptionSkipsEvent => "no event of a stream is skipped",
    /// An event of a stream comes again after the last one.
    RepeatedEvent => "no event of a stream repeats",
    /// An event of a stream answers another request.
    ForeignEvent => "streams hold events of their request",
    /// A stream that cannot be resumed contains events of two runs.
    JoinedRuns => "streams that cannot be resumed keep to one run",
    /// A stream contains events of two services.
    JoinedServices => "streams keep to one service",
    /// A router goes back to an older configuration.
    ConfigurationRollback => "no configuration rollback",
    /// Routers no longer follow the store.
    ConfigurationNotFollowed => "new configurations reach routers",
    /// A replica gets requests long after it was listed as draining.
    RequestsAfterDrain => "no new requests to draining replicas",
    /// Requests are retried without limit.
    ExcessiveRetries => "retry budget",
    /// Each router uses the retry budget of the whole fleet.
    BudgetOfEachRouter => "retry budget",
    /// A planned stop cuts a request in progress.
    CutByStop => "no request cut by a planned stop",
    /// A planned stop cuts long streams that it was sent late.
    LateStreamCutByStop => "no request cut by a planned stop",
    /// Routers count a stop from the time at which they handle its signal.
    SignalDelayIgnored => "no request cut by a planned stop",
    /// A stream is cut because its replica pauses.
    CutByPause => "no request given up for a pause",
    /// A router process exits although no fault ended it.
    UnexpectedExit => "no unexpected exit of a router",
    /// A router that reaches no replica refuses its callers.
    RefusalsByCutRouter => "callers of cut routers are served",
    /// A replica that asked a router for rest gets its requests all the same.
    RequestsInRest => "no requests to resting replicas",
    /// A replica gets requests from a router that was notified that it is leaving.
    RequestsWhileLeaving => "no requests to replicas known to leave",
    /// Replicas of an evacuated zone get requests.
    RequestsAfterEvacuation => "no requests to evacuated zones",
    /// A cold replica gets as many requests as any other.
    ColdOverload => "cold replicas are not overloaded",
    /// A stream contains events of two software versions.
    JoinedVersions => "streams keep to one version",
    /// Streams that callers take up again stop.
    StreamsStop => "resumed streams go on",
    /// Streams that callers take up again without naming them stop.
    UnnamedStreamsStop => "resumed streams go on",
    /// A part of prompts goes on crashing replicas.
    CrashesGoOn => "parts that crash replicas are blocked",
    /// A request goes on crashing replicas.
    RequestsGoOn => "requests that crash replicas are refused",
    /// A stream without framing that lacks its last event looks complete.
    UnframedStreamTruncated => "streams end as complete after their last event",
    /// A stream with framing that lacks its last event looks complete.
    FramedStreamTruncated => "streams end as complete after their last event",
    /// A part of an answer that was reset beside the upload of its request looks complete.
    UploadPartLooksWhole => "complete and matching responses",
    /// An answer with an invalid head is passed on.
    InvalidHeadPassedOn => "complete and matching responses",
    /// A router that most callers reach refuses most of them.
    RefusalsInFunnel => "a router that most callers reach serves them",
}
