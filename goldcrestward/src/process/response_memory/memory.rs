//! The memory for responses that a daemon keeps, shared by all that read them.

use std::{
    collections::HashMap,
    future::poll_fn,
    pin::{Pin, pin},
    sync::{Arc, OnceLock},
    task::{Context, Poll, Waker},
    time::Instant,
};

use bytes::Bytes;
use http_body::Body;
use log::warn;
use parking_lot::Mutex;
use prometheus::{IntCounterVec, IntGauge};

use super::{
    super::state::LineLimit,
    buffer::{ReadError, ResponseBuffer, TooLong},
    byte_budget::{ByteBudget, HolderId, MemoryLimit, Precedence},
    caller_share::CallerShare,
    kept_answer::KeptAnswer,
};

/// Smallest number of bytes that is allocated for a response.
const MIN_CAPACITY_BYTES: usize = 512;
/// Servers of which it is known when a line about them was logged last.
const MAX_LOGGED_SERVERS: usize = 1_000;
/// Memory for whole responses on their way to callers, as a part of that for responses that are read from servers, and
/// beside it.
const CALLER_PART: usize = 2;

/// The memory for responses that a daemon keeps. All clones share it.
#[derive(Clone)]
pub struct ResponseMemory {
    inner: Arc<Inner>,
}

struct Inner {
    state: Mutex<State>,
    metrics: OnceLock<MemoryMetrics>,
    /// Limits the log lines on each server.
    lines: Mutex<HashMap<Arc<str>, LineLimit>>,
    started: Instant,
}

struct MemoryMetrics {
    /// Bytes that are kept.
    kept: IntGauge,
    /// Responses that were too long, by kind and limit.
    too_long: IntCounterVec,
}

struct State {
    budget: ByteBudget,
    /// The bytes of incomplete responses, so that they can be freed at once when the response gives way.
    slots: HashMap<HolderId, Slot>,
    callers: CallerShare,
    /// The whole responses on their way to callers.
    answers: HashMap<HolderId, Bytes>,
}

#[derive(Default)]
struct Slot {
    bytes: Vec<u8>,
    /// Set once the response has given way.
    given_up: Option<MemoryLimit>,
    /// Wakes the reader when its response gives way.
    waker: Option<Waker>,
}

impl ResponseMemory {
    /// Creates a memory for `limit` bytes of responses that are read from servers.
    pub fn new(limit: usize) -> Self {
        Self::with_budget(ByteBudget::new(limit), CallerShare::new(limit / CALLER_PART))
    }

    /// Creates a memory for `limit` bytes that all senders share alike.
    pub(super) fn undivided(limit: usize) -> Self {
        Self::with_budget(ByteBudget::undivided(limit), CallerShare::new(0))
    }

    fn with_budget(budget: ByteBudget, callers: CallerShare) -> Self {
        let state = Mutex::new(State { budget, slots: HashMap::new(), callers, answers: HashMap::new() });
        let (metrics, lines) = (OnceLock::new(), Mutex::default());
        Self { inner: Arc::new(Inner { state, metrics, lines, started: Instant::now() }) }
    }

    /// Sets the gauge of the bytes that are kept, and the counter of responses that were too long, by kind and limit.
    pub(crate) fn measure(&self, kept: IntGauge, too_long: IntCounterVec) {
        self.inner.metrics.get_or_init(|| MemoryMetrics { kept, too_long });
    }

    /// Bytes that are kept.
    pub fn kept_bytes(&self) -> usize {
        self.inner.state.lock().total()
    }

    /// The most that one response can hold.
    pub(super) fn largest(&self) -> usize {
        self.inner.state.lock().budget.largest()
    }

    /// Creates an empty buffer for up to `limit` bytes of a server's response.
    pub fn buffer(&self, server: &Arc<str>, limit: usize) -> ResponseBuffer {
        ResponseBuffer::new(self.clone(), server.clone(), limit, Precedence::BySize)
    }

    /// Reads a body of a server's response to its end, for a caller. It no longer takes room from the responses that are
    /// read from servers then.
    ///
    /// # Errors
    /// Fails if the body breaks off, has more than `limit` bytes, or gives way to the responses of other requests.
    pub async fn collect<B: Body<Data = Bytes>>(
        &self,
        body: B,
        server: &Arc<str>,
        limit: usize,
    ) -> Result<KeptAnswer, ReadError> {
        let mut buffer = self.buffer(server, limit);
        read_to_end(body, &mut buffer).await?;
        Ok(buffer.take_answer()?)
    }

    /// Reads a body like [`collect`](Self::collect), for the daemon itself.
    pub(super) async fn collect_shared<B: Body<Data = Bytes>>(
        &self,
        body: B,
        server: &Arc<str>,
        limit: usize,
    ) -> Result<Bytes, ReadError> {
        let mut buffer = self.buffer(server, limit);
        read_to_end(body, &mut buffer).await?;
        Ok(buffer.take()?)
    }

    /// Reads a body like [`collect`](Self::collect), but gives way to no other response: for calls that the daemon itself
    /// depends on, which reads the bytes itself.
    ///
    /// # Errors
    /// Fails if the body breaks off, has more than `limit` bytes, or there is no room even so.
    pub async fn collect_protected<B: Body<Data = Bytes>>(
        &self,
        body: B,
        service: &Arc<str>,
        limit: usize,
    ) -> Result<Bytes, ReadError> {
        let mut buffer = self.protected_buffer(service, limit);
        read_to_end(body, &mut buffer).await?;
        Ok(buffer.take()?)
    }

    /// Creates an empty buffer that gives way to no other response.
    pub fn protected_buffer(&self, service: &Arc<str>, limit: usize) -> ResponseBuffer {
        ResponseBuffer::new(self.clone(), service.clone(), limit, Precedence::Always)
    }

    /// Counts a response that was too long, and logs it, at most once a second for each server. `id` is that of the
    /// request, or `-`.
    pub fn record_too_long(&self, id: &str, server: &Arc<str>, kind: &str, error: &TooLong) {
        if let Some(others) = self.count_too_long(server, kind, error) {
            let (bytes, limit) = (error.bytes, error.limit.label());
            warn!(
                "event=response-too-long id={id} instance={server} kind={kind} bytes={bytes} limit={limit} others={others}"
            );
        }
    }

    /// Counts what was too long. Returns how many others were not logged since the last line on its server, if this one is
    /// to be logged.
    pub(super) fn count_too_long(&self, server: &Arc<str>, kind: &str, error: &TooLong) -> Option<u64> {
        if let Some(metrics) = self.inner.metrics.get() {
            metrics.too_long.with_label_values(&[kind, error.limit.label()]).inc();
        }
        let now = u64::try_from(self.inner.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut lines = self.inner.lines.lock();
        if lines.len() >= MAX_LOGGED_SERVERS && !lines.contains_key(server) {
            lines.clear();
        }
        lines.entry(server.clone()).or_default().record(now)
    }

    fn show_kept(&self, state: &State) {
        if let Some(metrics) = self.inner.metrics.get() {
            metrics.kept.set(i64::try_from(state.total()).unwrap_or(i64::MAX));
        }
    }

    pub(super) fn open(&self, server: Arc<str>, precedence: Precedence) -> HolderId {
        let mut state = self.inner.state.lock();
        let id = state.budget.open(server, precedence);
        state.slots.insert(id, Slot::default());
        id
    }

    /// Adds bytes to an incomplete response whose capacity may reach `limit`.
    pub(super) fn append(&self, id: HolderId, data: &[u8], limit: usize) -> Result<(), MemoryLimit> {
        let wakers = {
            let mut state = self.inner.state.lock();
            let wakers = state.append(id, data, limit)?;
            self.show_kept(&state);
            wakers
        };
        wakers.into_iter().for_each(Waker::wake);
        Ok(())
    }

    /// Lets `look` see the bytes of an incomplete response.
    pub(super) fn look<T>(&self, id: HolderId, look: impl FnOnce(&[u8]) -> T) -> T {
        let state = self.inner.state.lock();
        look(state.slots.get(&id).map_or(&[], |slot| &slot.bytes))
    }

    /// Ends a response and returns its bytes, which count until the last reference to them is dropped.
    pub(super) fn finish(&self, id: HolderId) -> Result<Bytes, MemoryLimit> {
        let mut state = self.inner.state.lock();
        let Some(mut slot) = state.slots.remove(&id) else { return Err(MemoryLimit::Daemon) };
        if let Some(limit) = slot.given_up {
            return Err(limit);
        }
        slot.bytes.shrink_to_fit();
        state.budget.finish(id, slot.bytes.capacity());
        self.show_kept(&state);
        drop(state);
        Ok(Bytes::from_owner(KeptBytes { bytes: slot.bytes, id, memory: self.clone() }))
    }

    /// Ends a response that is for a caller, and counts its bytes as on their way to it.
    pub(super) fn finish_answer(&self, id: HolderId) -> Result<KeptAnswer, MemoryLimit> {
        let mut state = self.inner.state.lock();
        let Some(mut slot) = state.slots.remove(&id) else { return Err(MemoryLimit::Daemon) };
        if let Some(limit) = slot.given_up {
            return Err(limit);
        }
        slot.bytes.shrink_to_fit();
        state.budget.close(id);
        let length = slot.bytes.len();
        for victim in state.callers.add(id, slot.bytes.capacity()) {
            state.answers.remove(&victim);
        }
        state.answers.insert(id, Bytes::from(slot.bytes));
        self.show_kept(&state);
        drop(state);
        Ok(KeptAnswer::new(self.clone(), id, length))
    }

    /// Creates the answer of a response without bytes.
    pub(super) fn empty_answer(&self, server: Arc<str>) -> Result<KeptAnswer, MemoryLimit> {
        self.finish_answer(self.open(server, Precedence::BySize))
    }

    /// The bytes of an answer that has not given way.
    pub(super) fn answer_bytes(&self, id: HolderId) -> Option<Bytes> {
        self.inner.state.lock().answers.get(&id).cloned()
    }

    /// The bytes of an answer that has not given way, and whose caller takes a piece now.
    pub(super) fn take_answer_bytes(&self, id: HolderId) -> Option<Bytes> {
        let mut state = self.inner.state.lock();
        state.callers.record_taken(id);
        state.answers.get(&id).cloned()
    }

    pub(super) fn close_answer(&self, id: HolderId) {
        let mut state = self.inner.state.lock();
        // The bytes are freed before they are given back.
        drop(state.answers.remove(&id));
        state.callers.remove(id);
        self.show_kept(&state);
    }

    pub(super) fn poll_given_up(&self, id: HolderId, context: &mut Context<'_>) -> Poll<MemoryLimit> {
        let mut state = self.inner.state.lock();
        let Some(slot) = state.slots.get_mut(&id) else { return Poll::Ready(MemoryLimit::Daemon) };
        if let Some(limit) = slot.given_up {
            return Poll::Ready(limit);
        }
        if !slot.waker.as_ref().is_some_and(|waker| waker.will_wake(context.waker())) {
            slot.waker = Some(context.waker().clone());
        }
        Poll::Pending
    }

    pub(super) fn close(&self, id: HolderId) {
        let mut state = self.inner.state.lock();
        let slot = state.slots.remove(&id);
        // The bytes are freed before they are given back.
        drop(slot);
        state.budget.close(id);
        self.show_kept(&state);
    }
}

impl State {
    fn total(&self) -> usize {
        self.budget.total() + self.callers.total()
    }

    /// Returns what wakes the readers of the responses that have given way.
    fn append(&mut self, id: HolderId, data: &[u8], limit: usize) -> Result<Vec<Waker>, MemoryLimit> {
        let Some(slot) = self.slots.get(&id) else { return Err(MemoryLimit::Daemon) };
        if let Some(limit) = slot.given_up {
            return Err(limit);
        }
        let (length, capacity) = (slot.bytes.len(), slot.bytes.capacity());
        let needed = length + data.len();
        if needed > limit {
            return Err(MemoryLimit::Response);
        }
        let mut wakers = Vec::new();
        if needed > capacity {
            let capacity = (capacity + capacity / 2).max(MIN_CAPACITY_BYTES).min(limit).max(needed);
            for (victim, limit) in self.budget.grow(id, capacity)? {
                let Some(given_up) = self.slots.get_mut(&victim) else { continue };
                given_up.bytes = Vec::new();
                given_up.given_up = Some(limit);
                wakers.extend(given_up.waker.take());
            }
            let Some(slot) = self.slots.get_mut(&id) else { return Err(MemoryLimit::Daemon) };
            slot.bytes.reserve_exact(capacity - length);
        }
        if let Some(slot) = self.slots.get_mut(&id) {
            slot.bytes.extend_from_slice(data);
        }
        Ok(wakers)
    }
}

/// The bytes of a whole response.
struct KeptBytes {
    bytes: Vec<u8>,
    id: HolderId,
    memory: ResponseMemory,
}

impl AsRef<[u8]> for KeptBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for KeptBytes {
    fn drop(&mut self) {
        self.bytes = Vec::new();
        self.memory.close(self.id);
    }
}

async fn read_to_end<B: Body<Data = Bytes>>(body: B, buffer: &mut ResponseBuffer) -> Result<(), ReadError> {
    let body = pin!(body);
    buffer.check_stated(body.size_hint().lower())?;
    read_up_to(usize::MAX, body, buffer).await?;
    Ok(())
}

/// Reads frames until there are `enough` bytes, or the body has ended. Returns whether it has.
pub(super) async fn read_up_to<B: Body<Data = Bytes>>(
    enough: usize,
    mut body: Pin<&mut B>,
    buffer: &mut ResponseBuffer,
) -> Result<bool, ReadError> {
    while buffer.len() < enough {
        let next = poll_fn(|context| match buffer.poll_given_up(context) {
            Poll::Ready(error) => Poll::Ready(Err(error)),
            Poll::Pending => body.as_mut().poll_frame(context).map(Ok),
        });
        match next.await? {
            None => return Ok(true),
            Some(Err(_)) => return Err(ReadError::Broken),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    buffer.append(&data)?;
                }
            }
        }
    }
    Ok(false)
}
