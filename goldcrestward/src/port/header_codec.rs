//! How requests and answers say what is not in their bodies.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, StatusCode};

use super::engines::MigratedKvCache;

/// A part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its name; parts with the same name have the same content.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Its id, which is the caller's for this try.
    pub id: Arc<str>,
    /// Time for which the caller waits; `None` if it does not say.
    pub timeout: Option<Duration>,
    /// The account's key.
    pub account_key: Option<Arc<str>>,
    /// Tokens of the prompt and tokens wanted at most; `None` if it does not say.
    pub tokens: Option<(u32, u32)>,
    /// Tokens that the caller expects.
    pub expected_tokens: Option<u32>,
    /// The parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// The last event that the caller has, if it asks to go on.
    pub resume_after: Option<u64>,
}

/// What an attempt tells a backend server.
#[derive(Clone, Debug)]
pub struct AttemptMetadata<'a> {
    /// Time that is left.
    pub time_left: Duration,
    /// The account, if the route needs one.
    pub account: Option<&'a str>,
    /// The instance that is meant.
    pub instance: &'a str,
    /// Rank among the engine's requests, from 0 for the first to 9.
    pub urgency: Option<u8>,
    /// The last event that has been passed on, if it shall go on.
    pub resume_after: Option<u64>,
    /// The memory from which the run shall go on.
    pub kv_cache: Option<&'a MigratedKvCache>,
}

/// Load as a backend server tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
}

/// What an answer's head says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The server states that it has not run the request and will not.
    pub not_run: bool,
    /// The server vouches for the answer.
    pub sealed: bool,
    /// The answer names the request that it belongs to.
    pub matches_request: bool,
    /// The body is as the server made it.
    pub unencoded: bool,
    /// The server's load.
    pub load: Option<Load>,
}

/// Names and formats of a platform's HTTP headers.
pub trait HeaderCodec: Send + Sync {
    /// Reads a caller's request.
    ///
    /// # Errors
    /// Says what cannot be understood.
    fn decode_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, String>;

    /// Turns a caller's headers into those of an attempt. Nothing that is the daemon's to say is left from the caller.
    fn encode_attempt(&self, headers: &mut HeaderMap, metadata: &AttemptMetadata<'_>);

    /// Reads the head of an answer to the request `id`.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap, id: &str) -> ResponseMetadata;
}
