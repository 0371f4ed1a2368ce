//! The one client through which every platform call of the router passes.

use std::sync::Arc;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, UpDownCounter};
use serde::Serialize;
use serde::de::DeserializeOwned;
use teaselworks_config::settings::PlatformSettings;
use teaselworks_policy::clock::Clock;
use teaselworks_policy::platform::budget::CallPurpose;

use super::error::PlatformError;
use super::limiter::Limiter;
use super::message::{
    Int, LeaseAnswer, LeaseMessage, RangeAnswer, StreamAnswer, TransactionAnswer,
    WatchCreateMessage, WatchMessage,
};
use super::transaction::{
    Entry, Operation, OperationResult, Transaction, TransactionOutcome, decode_entry,
    decode_outcome, full_key,
};
use super::transport::Transport;
use super::watch::{WaitingWatch, Watch};
use crate::metrics::Metrics;

/// A lease that the platform granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Number of the lease.
    pub id: i64,
    /// Time to live that was granted, from the moment of the grant.
    pub ttl: Duration,
}

/// Client of the platform's key-value service.
pub struct Platform {
    transport: Transport,
    limiter: Limiter,
    prefix: String,
    timeout: Duration,
    calls: Counter<u64>,
    watches: UpDownCounter<i64>,
}

impl Platform {
    /// Makes a client; nothing is sent before the first call.
    pub fn new(
        settings: &PlatformSettings,
        clock: Arc<dyn Clock>,
        metrics: &Metrics,
        seed: u64,
    ) -> Self {
        let timeout = Duration::from_millis(settings.timeout_ms);
        let calls = metrics
            .meter()
            .u64_counter("teaselworks_platform_calls")
            .with_description("Calls of the platform, by purpose and outcome.")
            .build();
        let watches = metrics
            .meter()
            .i64_up_down_counter("teaselworks_platform_watches")
            .with_description("Watches that wait at the platform.")
            .build();
        watches.add(0, &[]);
        for purpose in CallPurpose::ALL {
            calls.add(0, &labels(purpose, "ok"));
        }
        Self {
            transport: Transport::new(&settings.endpoints, timeout),
            limiter: Limiter::new(settings.calls_per_s, clock, seed),
            prefix: settings.prefix.clone(),
            timeout,
            calls,
            watches,
        }
    }

    /// Returns the calls a second that this router may make, all purposes together.
    pub fn calls_per_s(&self) -> f64 {
        self.limiter.calls_per_s()
    }

    /// Changes the calls a second that this router may make.
    pub fn set_calls_per_s(&self, calls_per_s: f64) {
        self.limiter.set_calls_per_s(calls_per_s);
    }

    /// Returns the time that one call is given.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Reads one key; `None` when it is absent.
    pub async fn get(
        &self,
        purpose: CallPurpose,
        key: &str,
    ) -> Result<Option<Entry>, PlatformError> {
        let operation = Operation::Get { key: key.to_owned() };
        Ok(self.read(purpose, &operation).await?.entries.pop())
    }

    /// Reads the keys from `start` on and before `end`, lowest first; a `limit` of 0 reads all.
    pub async fn range(
        &self,
        purpose: CallPurpose,
        start: &str,
        end: &str,
        limit: u32,
    ) -> Result<OperationResult, PlatformError> {
        let operation = Operation::Range { start: start.into(), end: end.into(), limit };
        self.read(purpose, &operation).await
    }

    /// Writes one key; a `lease` of 0 stands for none.
    pub async fn put(
        &self,
        purpose: CallPurpose,
        key: &str,
        value: Vec<u8>,
        lease: i64,
    ) -> Result<(), PlatformError> {
        let put = Operation::Put { key: key.into(), value, lease };
        let transaction = Transaction { success: vec![put], ..Transaction::default() };
        self.transact(purpose, &transaction).await.map(|_| ())
    }

    /// Runs a transaction: all its steps at once.
    pub async fn transact(
        &self,
        purpose: CallPurpose,
        transaction: &Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        let message = transaction.encode(&self.prefix);
        let answer: TransactionAnswer = self.call(purpose, "kv/txn", &message).await?;
        // An answer without a header is none of the platform's: read as a failed condition it would
        // tell a writer that its write had not happened.
        if answer.header.is_none() {
            return Err(PlatformError::Unknown("the answer has no header".into()));
        }
        Ok(decode_outcome(answer, &self.prefix))
    }

    /// Grants a lease of at least one second.
    pub async fn grant_lease(
        &self,
        purpose: CallPurpose,
        ttl: Duration,
    ) -> Result<Lease, PlatformError> {
        let ttl_s = i64::try_from(ttl.as_secs().max(1)).unwrap_or(i64::MAX);
        let message = LeaseMessage { id: Int(0), ttl_s: Int(ttl_s) };
        let answer: LeaseAnswer = self.call(purpose, "lease/grant", &message).await?;
        if answer.id.0 == 0 {
            return Err(PlatformError::Unknown("the answer names no lease".into()));
        }
        let ttl_s = u64::try_from(answer.ttl_s.0).unwrap_or_default();
        Ok(Lease { id: answer.id.0, ttl: Duration::from_secs(ttl_s) })
    }

    /// Begins a lease's time to live anew; `None` when it has ended.
    pub async fn keep_lease(
        &self,
        purpose: CallPurpose,
        id: i64,
    ) -> Result<Option<Lease>, PlatformError> {
        let message = LeaseMessage { id: Int(id), ttl_s: Int(0) };
        let answer: StreamAnswer<LeaseAnswer> =
            self.call(purpose, "lease/keepalive", &message).await?;
        let Some(answer) = answer.result else {
            return Err(PlatformError::Unknown("the answer has no result".into()));
        };
        let ttl_s = u64::try_from(answer.ttl_s.0).unwrap_or_default();
        Ok((ttl_s > 0).then_some(Lease { id, ttl: Duration::from_secs(ttl_s) }))
    }

    /// Ends a lease and every entry that goes with it; one that has ended already is no error.
    pub async fn revoke_lease(&self, purpose: CallPurpose, id: i64) -> Result<(), PlatformError> {
        let message = LeaseMessage { id: Int(id), ttl_s: Int(0) };
        let answer = self.call::<serde_json::Value>(purpose, "lease/revoke", &message).await;
        match answer {
            Ok(_) | Err(PlatformError::Refused { status: 404, .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Watches one key from `start_revision` on; 0: from now on.
    ///
    /// The platform counts a waiting watch as a call; who may hold one is the caller's decision.
    pub async fn watch(
        &self,
        purpose: CallPurpose,
        key: &str,
        start_revision: i64,
    ) -> Result<Watch, PlatformError> {
        let message = WatchMessage {
            create_request: WatchCreateMessage {
                key: full_key(&self.prefix, key),
                range_end: None,
                start_revision: Int(start_revision),
            },
        };
        let opened = async {
            self.limiter.admit(purpose, self.timeout).await.map_err(PlatformError::NotSent)?;
            let opened = self.transport.open("watch", &message);
            match tokio::time::timeout(self.timeout, opened).await {
                Ok(opened) => opened,
                Err(_) => Err(PlatformError::Unknown("timeout".into())),
            }
        };
        let response = self.note(purpose, opened.await)?;
        let waiting = WaitingWatch::new(self.watches.clone());
        Ok(Watch::new(response, self.prefix.clone(), waiting))
    }

    async fn read(
        &self,
        purpose: CallPurpose,
        operation: &Operation,
    ) -> Result<OperationResult, PlatformError> {
        let message = operation.range(&self.prefix).expect("only reads are passed");
        let answer: RangeAnswer = self.call(purpose, "kv/range", &message).await?;
        let entries = answer.kvs.into_iter().map(|entry| decode_entry(entry, &self.prefix));
        Ok(OperationResult { entries: entries.collect(), more: answer.more })
    }

    async fn call<T: DeserializeOwned>(
        &self,
        purpose: CallPurpose,
        path: &str,
        message: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let admitted = self.limiter.admit(purpose, self.timeout).await;
        let answer = match admitted {
            Ok(()) => self.transport.call(path, message, self.timeout).await,
            Err(not_sent) => Err(PlatformError::NotSent(not_sent)),
        };
        self.note(purpose, answer)
    }

    /// Counts a call and tells the circuit how it ended.
    fn note<T>(
        &self,
        purpose: CallPurpose,
        answer: Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        let outcome = match &answer {
            Ok(_) => "ok",
            Err(error) => error.as_str(),
        };
        self.calls.add(1, &labels(purpose, outcome));
        match &answer {
            Ok(_) | Err(PlatformError::Refused { .. }) => self.limiter.succeeded(),
            Err(error) if error.wait().is_none() => self.limiter.failed(&error.to_string()),
            Err(_) => {}
        }
        answer
    }
}

fn labels(purpose: CallPurpose, outcome: &'static str) -> [KeyValue; 2] {
    [KeyValue::new("purpose", purpose.as_str()), KeyValue::new("outcome", outcome)]
}
