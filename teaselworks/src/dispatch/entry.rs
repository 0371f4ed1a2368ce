//! A request that was let in, ready to be dispatched.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::ser::{Serialize, SerializeMap, Serializer};
use serde_json::{Map, Value};
use teaselworks_policy::attempt::RequestTraits;
use teaselworks_policy::name::{AttemptId, Name};
use teaselworks_policy::placement::PrefixBlock;
use teaselworks_policy::retry::Continuation;
use teaselworks_policy::verdict::Priority;
use teaselworks_wire::message::{CallTarget, ChatTarget, Header, Target};
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use super::feed::{CallBody, Feed};
use super::routing::{Routing, serves_of_any_role, serves_of_role, serves_of_service};
use crate::caller::Admitted;

/// HTTP methods whose calls may run twice, as their standard says.
const IDEMPOTENT_METHODS: [&str; 6] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"];

/// A request that was let in.
#[derive(Debug)]
pub struct Entry {
    /// Identity of the first attempt.
    pub attempt: AttemptId,
    /// Workspace that is charged.
    pub workspace: Name,
    /// Configuration and tables in force when the request came.
    pub routing: Arc<Routing>,
    /// Order in which it waits.
    pub priority: Priority,
    /// Time that the caller gives, from its arrival.
    pub time: Duration,
    /// What is asked for.
    pub work: Work,
    _permit: OwnedSemaphorePermit,
}

/// What a request asks for.
#[derive(Debug)]
pub enum Work {
    /// A chat.
    Chat(ChatWork),
    /// A call to a plain service.
    Call(CallWork),
}

/// A chat as its caller sent it.
#[derive(Debug)]
pub struct ChatWork {
    /// The whole request document.
    pub document: Map<String, Value>,
    /// Model asked for.
    pub model: Name,
    /// Adapter asked for.
    pub adapter: Option<Name>,
    /// Whether the caller wants a stream of events.
    pub stream: bool,
    /// Whether the caller wants the use as a last event.
    pub include_usage: bool,
    /// Conversation that the chat continues.
    pub conversation: Option<String>,
    /// Key under which the chat runs at most once, where its model says so.
    pub idempotency_key: Option<String>,
    /// Affinity token that the caller returned.
    pub affinity: Option<String>,
    /// Prefixes of the messages, shortest first.
    pub prefix: Vec<PrefixBlock>,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Estimated answer length in tokens.
    pub output_tokens: u32,
}

/// A call as its caller sent it.
#[derive(Debug)]
pub struct CallWork {
    /// Service named in the configuration.
    pub service: Name,
    /// HTTP method.
    pub method: String,
    /// Path and query below the service.
    pub path: String,
    /// Headers passed on.
    pub headers: Vec<Header>,
    /// Request body.
    pub body: CallBody,
    /// Whether the configuration says that the call must run at most once.
    pub at_most_once: bool,
    /// Key under which the call runs at most once.
    pub idempotency_key: Option<String>,
}

impl Entry {
    /// Makes an entry from an admitted caller.
    pub fn new(admitted: Admitted, priority: Priority, time: Duration, work: Work) -> Self {
        Self {
            attempt: admitted.attempt,
            workspace: admitted.workspace,
            routing: admitted.routing,
            priority,
            time,
            work,
            _permit: admitted.permit,
        }
    }

    /// Returns the pool of replicas that can serve the request.
    pub fn serves(&self) -> Name {
        match &self.work {
            Work::Chat(chat) => serves_of_role(&chat.model, &self.role()),
            Work::Call(call) => serves_of_service(&call.service),
        }
    }

    /// Returns the role that the request asks for; empty: none.
    pub fn role(&self) -> Name {
        match &self.work {
            Work::Chat(chat) => {
                let configuration = &self.routing.numbered.configuration;
                configuration.role_of_chats(&self.workspace, &chat.model)
            }
            Work::Call(_) => Name::default(),
        }
    }

    /// Returns the pool of all engines that may have come into the role asked for unnoticed;
    /// `None` for a request that asks for none.
    pub fn serves_any_role(&self) -> Option<Name> {
        match &self.work {
            Work::Chat(chat) if !self.role().is_empty() => Some(serves_of_any_role(&chat.model)),
            _ => None,
        }
    }

    /// Returns the estimated work in tokens, for the workspace's limits.
    pub fn work_tokens(&self) -> u64 {
        match &self.work {
            Work::Chat(chat) => u64::from(chat.prompt_tokens) + u64::from(chat.output_tokens),
            Work::Call(_) => 0,
        }
    }

    /// Returns what the request allows when an attempt at it fails.
    pub fn traits(&self) -> RequestTraits {
        let (idempotent, continuation) = match &self.work {
            Work::Chat(chat) => self.chat_traits(chat),
            Work::Call(call) => (call.is_idempotent(), Continuation::Never),
        };
        RequestTraits { workspace: self.workspace.clone(), idempotent, continuation }
    }

    fn chat_traits(&self, chat: &ChatWork) -> (bool, Continuation) {
        let Some(model) = self.routing.numbered.configuration.models.get(&chat.model) else {
            return (true, Continuation::Restart);
        };
        let continuation = match (model.resumes, model.reproducible) {
            (true, _) => Continuation::Resume,
            (false, true) => Continuation::Regenerate,
            (false, false) => Continuation::Restart,
        };
        (!model.at_most_once, continuation)
    }

    /// Tells whether the configuration says that the request must run at most once.
    pub fn is_at_most_once(&self) -> bool {
        match &self.work {
            Work::Call(call) => call.at_most_once,
            Work::Chat(chat) => {
                let models = &self.routing.numbered.configuration.models;
                models.get(&chat.model).is_some_and(|model| model.at_most_once)
            }
        }
    }

    /// Returns the idempotency key that the caller gave.
    pub fn idempotency_key(&self) -> Option<&str> {
        match &self.work {
            Work::Call(call) => call.idempotency_key.as_deref(),
            Work::Chat(chat) => chat.idempotency_key.as_deref(),
        }
    }

    /// Tells whether the caller reads a stream of events.
    pub fn is_event_stream(&self) -> bool {
        matches!(&self.work, Work::Chat(chat) if chat.stream)
    }

    /// Returns the target of an attempt that resumes after `resume_tokens`.
    pub fn target(&self, resume_tokens: u32) -> Target {
        match &self.work {
            Work::Chat(chat) => Target::Chat(ChatTarget {
                model: chat.model.clone(),
                adapter: chat.adapter.clone(),
                prefix: chat.prefix.clone(),
                prompt_tokens: chat.prompt_tokens,
                output_tokens: chat.output_tokens,
                stream: chat.stream,
                resume_tokens,
            }),
            Work::Call(call) => Target::Call(CallTarget {
                service: call.service.clone(),
                method: call.method.clone(),
                path: call.path.clone(),
                headers: call.headers.clone(),
                idempotency_key: call.idempotency_key.clone(),
            }),
        }
    }

    /// Returns what feeds the body to an attempt that resumes after `resume_tokens`, and the body's
    /// way to the attempt.
    pub fn feed(&self, resume_tokens: u32) -> (Feed<'_>, mpsc::Receiver<Bytes>) {
        match &self.work {
            Work::Chat(chat) => Feed::whole(chat.engine_body(self.priority, resume_tokens)),
            Work::Call(call) => call.body.feed(),
        }
    }

    /// Tells whether the body can be sent from its start.
    pub fn is_replayable(&self) -> bool {
        match &self.work {
            Work::Chat(_) => true,
            Work::Call(call) => call.body.is_replayable(),
        }
    }
}

impl CallWork {
    fn is_idempotent(&self) -> bool {
        !self.at_most_once && IDEMPOTENT_METHODS.contains(&self.method.as_str())
    }
}

impl ChatWork {
    /// Returns the chat as engines take it: always a stream, with its use at the end.
    ///
    /// A stream shows how many tokens were generated up to any moment, so that a cancelled or cut
    /// request is charged what it used and a broken one can be resumed.
    fn engine_body(&self, priority: Priority, resume_tokens: u32) -> Bytes {
        let body = EngineBody { document: &self.document, priority, resume_tokens };
        serde_json::to_vec(&body).expect("a JSON document can be written").into()
    }
}

/// Fields of a chat that the router sets itself.
const OWN_FIELDS: [&str; 4] = ["stream", "stream_options", "priority", "resume_tokens"];

/// A chat as engines take it, written without a copy of the prompt.
struct EngineBody<'a> {
    document: &'a Map<String, Value>,
    priority: Priority,
    resume_tokens: u32,
}

#[derive(serde::Serialize)]
struct StreamOptions {
    include_usage: bool,
}

impl Serialize for EngineBody<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut body = serializer.serialize_map(None)?;
        for (field, value) in self.document {
            if OWN_FIELDS.contains(&field.as_str()) {
                continue;
            }
            body.serialize_entry(field, value)?;
        }
        body.serialize_entry("stream", &true)?;
        body.serialize_entry("stream_options", &StreamOptions { include_usage: true })?;
        body.serialize_entry("priority", &(self.priority as u8))?;
        if self.resume_tokens > 0 {
            body.serialize_entry("resume_tokens", &self.resume_tokens)?;
        }
        body.end()
    }
}
