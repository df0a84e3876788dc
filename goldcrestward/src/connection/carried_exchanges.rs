//! The requests and responses on a connection to a backend server that is carried for a peer.
//!
//! The peer reads the responses, but for the server this daemon is the one that sends. Hence it must know what the server says
//! to whoever sends, also if the peer has no time left to tell it.

use std::{collections::VecDeque, sync::Arc};

use http::{HeaderMap, StatusCode};

use super::{
    http_messages::{BodyEnd, HeadParser, Messages, empty_fields, header_map},
    response_head::{MAX_RESPONSE_HEAD_BYTES, MAX_RESPONSE_HEADS},
};
use crate::port::StatedHold;

/// Recognizes what a server says to whoever sends to it.
pub(crate) trait ResponseObserver: Send + Sync {
    /// What the response to a request with these headers says to the one that sends to the server; `None` if nothing.
    fn notice(&self, request: &HeaderMap, status: StatusCode, response: &HeaderMap) -> Option<Notice>;
    /// Records what a response has said.
    fn record_notice(&self, notice: Notice);
    /// Whether the server is to get no more requests by now, whoever said so.
    fn is_withdrawn(&self) -> bool;
    /// Whether a request may begin now: the first one, whose time the peer has stated, or a later one.
    fn may_begin(&self, is_first: bool) -> bool;
    /// Whether the connection is to end once it has carried something and carries nothing. What begins before that still
    /// passes.
    fn is_ending(&self) -> bool;
}

/// What a response says to the one that sends to its server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Notice {
    /// Id of the request.
    pub request: Arc<str>,
    /// The server is leaving.
    pub leaving: bool,
    /// For how long the server wants nothing.
    pub hold: StatedHold,
}

/// Follows what passes through the connection.
pub(super) struct CarriedExchanges<'a> {
    requests: Messages,
    responses: Messages,
    state: Exchanges<'a>,
}

impl<'a> CarriedExchanges<'a> {
    pub fn new(observer: &'a dyn ResponseObserver) -> Self {
        let state = Exchanges {
            observer,
            awaited: VecDeque::new(),
            has_carried: false,
            notice: None,
            head_bytes: 0,
            interim_heads: 0,
            is_head_too_long: false,
        };
        Self { requests: Messages::default(), responses: Messages::default(), state }
    }

    /// Reads bytes that the peer sends to the server. Returns false if they begin a request that the server is not to get.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        // The peer has read the response before by now, so it is over although this daemon could not read it.
        if self.requests.is_between() && self.responses.is_rest() {
            self.responses = Messages::default();
            self.state.awaited.clear();
        }
        let Exchanges { observer, has_carried, .. } = &self.state;
        let is_withdrawn = self.is_idle() && observer.is_withdrawn();
        let is_too_late = self.requests.is_between() && !observer.may_begin(!has_carried);
        if is_withdrawn || is_too_late {
            return false;
        }
        self.requests.read(bytes, &mut RequestHeads(&mut self.state));
        true
    }

    /// Reads bytes of the server. Returns the notice in a response whose head they end.
    pub fn receive(&mut self, bytes: &[u8]) -> Option<Notice> {
        self.responses.read(bytes, &mut ResponseHeads(&mut self.state));
        self.state.notice.take()
    }

    /// Whether the server has sent a response head that exceeds its bounds.
    pub fn is_head_too_long(&self) -> bool {
        let bytes = self.state.head_bytes + self.responses.head_bytes();
        self.state.is_head_too_long || self.responses.is_head_too_long() || bytes > MAX_RESPONSE_HEAD_BYTES
    }

    /// Whether the connection carries nothing now, and is not to carry more.
    pub fn is_over(&self) -> bool {
        let Exchanges { observer, has_carried, .. } = &self.state;
        self.is_idle() && (observer.is_withdrawn() || (*has_carried && observer.is_ending()))
    }

    fn is_idle(&self) -> bool {
        self.state.awaited.is_empty() && self.requests.is_between() && self.responses.is_between()
    }
}

struct Exchanges<'a> {
    observer: &'a dyn ResponseObserver,
    /// The requests whose responses have not ended: whether only the head of the response is sent, and the headers.
    awaited: VecDeque<(bool, HeaderMap)>,
    /// Whether a request has been sent.
    has_carried: bool,
    notice: Option<Notice>,
    /// Bytes of the heads of the current response that have ended, and number of the interim ones.
    head_bytes: usize,
    interim_heads: usize,
    is_head_too_long: bool,
}

struct RequestHeads<'a, 'b>(&'a mut Exchanges<'b>);

impl HeadParser for RequestHeads<'_, '_> {
    fn read_head(&mut self, head: &[u8]) -> Option<BodyEnd> {
        let mut fields = empty_fields();
        let mut request = httparse::Request::new(&mut fields);
        request.parse(head).ok()?.is_complete().then_some(())?;
        let headers = header_map(request.headers);
        let end = BodyEnd::from_fields(&headers).unwrap_or(BodyEnd::Length(0));
        self.0.has_carried = true;
        self.0.awaited.push_back((request.method == Some("HEAD"), headers));
        Some(end)
    }

    fn end_message(&mut self) {}
}

struct ResponseHeads<'a, 'b>(&'a mut Exchanges<'b>);

impl HeadParser for ResponseHeads<'_, '_> {
    fn read_head(&mut self, head: &[u8]) -> Option<BodyEnd> {
        let mut fields = empty_fields();
        let mut response = httparse::Response::new(&mut fields);
        response.parse(head).ok()?.is_complete().then_some(())?;
        let status = StatusCode::from_u16(response.code?).ok()?;
        let headers = header_map(response.headers);
        let (is_head_only, request) = self.0.awaited.front()?;
        let is_head_only = *is_head_only || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        self.0.notice = self.0.observer.notice(request, status, &headers).or(self.0.notice.take());
        self.0.head_bytes += head.len();
        self.0.is_head_too_long |= self.0.head_bytes > MAX_RESPONSE_HEAD_BYTES;
        if status.is_informational() && status != StatusCode::SWITCHING_PROTOCOLS {
            self.0.interim_heads += 1;
            self.0.is_head_too_long |= self.0.interim_heads >= MAX_RESPONSE_HEADS;
            return Some(BodyEnd::Interim);
        }
        (self.0.head_bytes, self.0.interim_heads) = (0, 0);
        if status.is_informational() {
            return None;
        }
        if is_head_only {
            return Some(BodyEnd::Length(0));
        }
        Some(BodyEnd::from_fields(&headers).unwrap_or(BodyEnd::Connection))
    }

    fn end_message(&mut self) {
        self.0.awaited.pop_front();
    }
}

#[cfg(test)]
#[path = "carried_exchanges_test.rs"]
mod carried_exchanges_test;
