//! Metadata of requests and responses, which platforms carry in HTTP headers.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, StatusCode};

use super::engines::MigratedKvCache;
use crate::util::stable_hash;

/// A part of a prompt that other requests may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Parts with the same id have the same content.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

impl PromptPart {
    /// The number that stands for an id which is none itself, the same in all daemons and builds.
    pub fn hash_id(id: &[u8]) -> u64 {
        stable_hash(&[id])
    }
}

/// Metadata of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id that the caller chose; each retry by the caller has its own.
    pub id: Arc<str>,
    /// How long the caller waits; `None` if unknown.
    pub timeout: Option<Duration>,
    /// API key of the account.
    pub account_key: Option<Arc<str>>,
    /// Number of prompt tokens and maximum number of output tokens; `None` if unknown.
    pub tokens: Option<(u32, u32)>,
    /// Number of output tokens that the caller expects.
    pub expected_tokens: Option<u32>,
    /// The parts of the prompt, in order; empty if unknown.
    pub prompt_parts: Vec<PromptPart>,
    /// The part that could not be read and before which `prompt_parts` ends; shortened if it is long.
    pub unread_part: Option<Arc<str>>,
    /// Number of the last event that the caller has received, if it resumes a stream.
    pub resume_after: Option<u64>,
}

impl RequestMetadata {
    /// Number of tokens that the answer may have; 0 if the request states none.
    pub fn max_tokens(&self) -> u32 {
        self.tokens.map_or(0, |(_, output)| output)
    }

    /// The parts of the prompt that other requests may have in common: all but the last, which is the request's own.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.prompt_parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// Metadata that an attempt sends to a backend server.
#[derive(Clone, Debug)]
pub struct AttemptMetadata<'a> {
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Name of the account; `None` if the caller has none.
    pub account: Option<&'a str>,
    /// Id of the instance that the attempt is meant for.
    pub instance: &'a str,
    /// Rank among the requests of the engine, from 0 (first) to 9.
    pub urgency: Option<u8>,
    /// Number of the last event that the caller has received, if the attempt resumes a stream.
    pub resume_after: Option<u64>,
    /// KV cache to continue the run from.
    pub kv_cache: Option<&'a MigratedKvCache>,
}

/// Load reported by a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
}

/// What a response says about the requests a second that its server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// Nothing, so that there is no limit.
    Unlimited,
    /// The limit, in requests a second from all daemons together.
    PerSecond(f64),
    /// Nothing that can be relied on.
    #[default]
    Unreadable,
}

/// What a response that turns a request away says about the time for which its server wants nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedHold {
    /// Nothing.
    #[default]
    None,
    /// The time, in seconds from the response on.
    Seconds(u64),
    /// Something that cannot be read.
    Unreadable,
}

/// The head of a response, by whose it is. Nothing that it says may be used before that is known: a faulty server may
/// send a copy of an earlier response where the next one is expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseHead {
    /// It bears the id of the attempt's request.
    Own(ResponseMetadata),
    /// It bears no id, so it can only be attributed to the request by the connection that it came on.
    Unidentified {
        /// The server states that it has not run the request and will not.
        not_run: bool,
        /// Another instance has the address.
        misdirected: bool,
    },
    /// It bears the id of another request.
    Foreign,
}

/// Metadata of a response that bears the id of its request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The server guarantees that it has not run the request and will not.
    pub not_run: bool,
    /// The server vouches for the response with a seal.
    pub sealed: bool,
    /// Another instance has the address.
    pub misdirected: bool,
    /// The body has no content encoding.
    pub unencoded: bool,
    /// Load of the server; `None` if not reported.
    pub load: Option<Load>,
    /// The rate limit that the server names.
    pub limit: StatedLimit,
    /// The server is brittle: it falls over if it turns away more requests in a second than this.
    pub max_refusals: Option<u32>,
    /// The server is leaving and takes no new requests.
    pub leaving: bool,
    /// For how long the server wants nothing from this daemon; only if it has not run the request.
    pub hold: StatedHold,
}

/// Encodes and decodes a platform's HTTP headers.
pub trait HeaderCodec: Send + Sync {
    /// Decodes the headers of a caller's request.
    ///
    /// # Errors
    /// Returns the reason if a header is missing or invalid.
    fn decode_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, String>;

    /// Turns a caller's headers into those of an attempt. Headers that only the daemon may set are removed or replaced.
    fn encode_attempt(&self, headers: &mut HeaderMap, metadata: &AttemptMetadata<'_>);

    /// Decodes status and headers of the response to request `id`.
    fn decode_response(&self, status: StatusCode, headers: &HeaderMap, id: &str) -> ResponseHead;
}
