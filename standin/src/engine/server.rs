//! The engine's HTTP server: completions, load reports, orders and fault injection.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::{Notify, mpsc},
    task::JoinHandle,
};

use super::{
    batch::{Batch, OutputEvent, Sequence},
    cache::PrefixCache,
    cost::CostModel,
    text,
};
use crate::http::{self as web, Body};

const DEFAULT_MAX_TOKENS: usize = 64;

#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name of the model that the engine serves.
    pub model: String,
    /// Maximum number of sequences that run at once.
    pub max_batch_size: usize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Factor applied to all simulated times.
    pub time_factor: f64,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fencing_tokens: bool,
    /// Seed of the injected faults.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            model: "default".into(),
            max_batch_size: 64,
            cache_blocks: 4096,
            time_factor: 1.0,
            checks_fencing_tokens: true,
            seed: 1,
        }
    }
}

/// Injected faults of an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct EngineFaults {
    /// Share of requests that fail with an error.
    pub fail: f64,
    /// Share of responses truncated before their end.
    pub cut: f64,
    /// Factor applied to the duration of each step; 0 and 1 have no effect.
    pub slow: f64,
    /// A request whose prompt contains this text crashes the engine; empty for none.
    pub crash_on: String,
    /// Share of responses whose body has another request's id.
    pub crossed: f64,
    /// Share of streams that send each token twice.
    pub doubled: f64,
}

/// Counters of an engine since its start, and its present load.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Completion requests received.
    pub requests: u64,
    /// Tokens of the prompts received.
    pub prompt_tokens: u64,
    /// Tokens of the prompts found in the prefix cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Orders refused for an outdated fencing token.
    pub fenced: u64,
    /// Sequences that run now.
    pub running: u64,
    /// Sequences that wait now.
    pub queued: u64,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

#[derive(Deserialize)]
struct Resume {
    tokens: usize,
    #[serde(default)]
    kv_from: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct CompletionRequest {
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<usize>,
    #[serde(default)]
    priority: i32,
    #[serde(default)]
    resume: Option<Resume>,
}

impl CompletionRequest {
    fn prompt(&self) -> String {
        if self.messages.is_empty() {
            return self.prompt.clone();
        }
        let parts: Vec<_> = self.messages.iter().map(|m| m.content.as_str()).collect();
        parts.join("\n")
    }
}

#[derive(Deserialize)]
struct Order {
    fence: u64,
}

struct Shared {
    options: EngineOptions,
    batch: Mutex<Batch>,
    cache: Mutex<PrefixCache>,
    faults: Mutex<EngineFaults>,
    random: Mutex<SmallRng>,
    counts: Mutex<EngineCounts>,
    /// Highest fencing token seen.
    fencing_token: Mutex<u64>,
    work_added: Notify,
    crashed: Notify,
}

/// A running engine. Dropping the last handle does not stop it; [`Engine::kill`] does.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
    address: SocketAddr,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Engine {
    pub fn start(listener: TcpListener, address: SocketAddr, options: EngineOptions) -> Self {
        let shared = Arc::new(Shared {
            batch: Mutex::new(Batch::new(CostModel { time_factor: options.time_factor }, options.max_batch_size)),
            cache: Mutex::new(PrefixCache::new(options.cache_blocks)),
            faults: Mutex::default(),
            random: Mutex::new(SmallRng::seed_from_u64(options.seed)),
            counts: Mutex::default(),
            fencing_token: Mutex::default(),
            work_added: Notify::new(),
            crashed: Notify::new(),
            options,
        });
        let engine = Self { shared, address, tasks: Arc::default() };
        let handler = engine.clone();
        let server_task = tokio::spawn(web::serve(listener, move |request| {
            let engine = handler.clone();
            async move { engine.handle(request).await }
        }));
        let batch_task = tokio::spawn(engine.clone().run_batch());
        let crash_task = tokio::spawn(engine.clone().stop_on_crash());
        engine.tasks.lock().extend([server_task, batch_task, crash_task]);
        engine
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        *self.shared.faults.lock() = faults;
    }

    pub fn counts(&self) -> EngineCounts {
        let (running, queued) = self.shared.batch.lock().sequence_counts();
        EngineCounts { running: running as u64, queued: queued as u64, ..*self.shared.counts.lock() }
    }

    /// Stops the engine at once, as a reclaim does: its connections break and no request gets
    /// a response any more.
    pub fn kill(&self) {
        self.tasks.lock().iter().for_each(JoinHandle::abort);
    }

    /// Waits until a request has crashed the engine.
    pub async fn wait_for_crash(&self) {
        self.shared.crashed.notified().await;
    }

    async fn stop_on_crash(self) {
        self.shared.crashed.notified().await;
        self.shared.crashed.notify_waiters();
        self.kill();
    }

    async fn run_batch(self) {
        loop {
            if self.shared.batch.lock().is_idle() {
                self.shared.work_added.notified().await;
            }
            let (time, prefill) = self.shared.batch.lock().plan_step();
            let slow = self.shared.faults.lock().slow;
            let time = if slow > 0.0 { time.mul_f64(slow) } else { time };
            if time > Duration::ZERO {
                tokio::time::sleep(time).await;
            }
            let mut batch = self.shared.batch.lock();
            self.shared.counts.lock().tokens += batch.sequence_counts().0 as u64;
            batch.finish_step(prefill);
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/v1/chat/completions" | "/v1/completions" => self.complete(request, path.contains("chat")).await,
            "/load" => web::json(StatusCode::OK, &self.counts()),
            "/health" => web::json(StatusCode::OK, &json!({})),
            "/orders" => self.handle_order(request).await,
            "/faults" => match web::read_json(request.into_body()).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    web::json(StatusCode::OK, &json!({}))
                }
                Err(response) => response,
            },
            _ => web::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn handle_order(&self, request: Request<Incoming>) -> Response<Body> {
        let order: Order = match web::read_json(request.into_body()).await {
            Ok(order) => order,
            Err(response) => return response,
        };
        let mut fencing_token = self.shared.fencing_token.lock();
        if self.shared.options.checks_fencing_tokens && order.fence < *fencing_token {
            self.shared.counts.lock().fenced += 1;
            return web::text(StatusCode::CONFLICT, "the fencing token is old");
        }
        *fencing_token = order.fence.max(*fencing_token);
        web::json(StatusCode::OK, &json!({ "fence": *fencing_token }))
    }

    fn draw_fault(&self, probability: f64) -> bool {
        probability > 0.0 && self.shared.random.lock().random_bool(probability.min(1.0))
    }

    async fn complete(&self, request: Request<Incoming>, chat: bool) -> Response<Body> {
        let header = |name: &str| request.headers().get(name).cloned();
        let id = header("x-request-id").unwrap_or(HeaderValue::from_static("none"));
        let attempt = header("x-attempt").unwrap_or(HeaderValue::from_static("0"));
        let body: CompletionRequest = match web::read_json(request.into_body()).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let faults = self.shared.faults.lock().clone();
        self.shared.counts.lock().requests += 1;
        let prompt = body.prompt();
        if !faults.crash_on.is_empty() && prompt.contains(&faults.crash_on) {
            self.shared.crashed.notify_one();
            std::future::pending::<()>().await;
        }
        if self.draw_fault(faults.fail) {
            return web::json(StatusCode::INTERNAL_SERVER_ERROR, &json!({"error": {"message": "failed on demand"}}));
        }
        let mut completion = Completion {
            id: if self.draw_fault(faults.crossed) {
                "another-request".into()
            } else {
                id.to_str().unwrap_or("none").to_owned()
            },
            attempt: attempt.to_str().unwrap_or("0").to_owned(),
            model: self.shared.options.model.clone(),
            chat,
            prompt_hash: text::prompt_hash(&prompt),
            cut_at: None,
            doubled: self.draw_fault(faults.doubled),
            finished: false,
            repeat: None,
            output: self.enqueue(&body, &prompt).await,
        };
        let total = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if self.draw_fault(faults.cut) {
            completion.cut_at = Some(self.shared.random.lock().random_range(0..total.max(1)));
        }
        let mut response = if body.stream { completion.streamed() } else { completion.buffered(&prompt).await };
        response.headers_mut().insert("x-request-id", id);
        response.headers_mut().insert("x-attempt", attempt);
        response
    }

    async fn enqueue(&self, body: &CompletionRequest, prompt: &str) -> mpsc::UnboundedReceiver<OutputEvent> {
        let words: Vec<_> = prompt.split_whitespace().collect();
        let cached = self.shared.cache.lock().lookup_and_store(&words);
        let resumed_tokens = body.resume.as_ref().map_or(0, |r| r.tokens);
        let imports_kv = body.resume.as_ref().is_some_and(|r| r.kv_from.is_some());
        let context = words.len() + resumed_tokens;
        let prefill_left = if imports_kv { 1 } else { context.saturating_sub(cached).max(1) };
        if imports_kv {
            tokio::time::sleep(CostModel { time_factor: self.shared.options.time_factor }.import_time(context)).await;
        }
        {
            let mut counts = self.shared.counts.lock();
            counts.prompt_tokens += words.len() as u64;
            counts.cached_tokens += cached as u64;
        }
        let (sender, output) = mpsc::unbounded_channel();
        self.shared.batch.lock().enqueue(Sequence {
            priority: body.priority,
            prefill_left,
            context,
            next_index: resumed_tokens,
            answer_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            output: sender,
        });
        self.shared.work_added.notify_one();
        output
    }
}

struct Completion {
    id: String,
    attempt: String,
    model: String,
    chat: bool,
    prompt_hash: u64,
    /// Index of the first token that an injected fault keeps back.
    cut_at: Option<usize>,
    doubled: bool,
    finished: bool,
    /// Index of the token to send a second time.
    repeat: Option<usize>,
    output: mpsc::UnboundedReceiver<OutputEvent>,
}

impl Completion {
    fn streamed(self) -> Response<Body> {
        let body = web::stream(futures_util::stream::unfold(self, Self::next_frame));
        let mut response = Response::new(body);
        response.headers_mut().insert(http::header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        response
    }

    async fn next_frame(mut self) -> Option<(Result<Frame<Bytes>, web::InjectedAbort>, Self)> {
        if self.finished {
            return None;
        }
        if let Some(index) = self.repeat.take() {
            return Some((Ok(self.token_event(index)), self));
        }
        match self.output.recv().await? {
            OutputEvent::Token(index) if self.cut_at.is_some_and(|cut_at| index >= cut_at) => {
                Some((Err(web::InjectedAbort), self))
            }
            OutputEvent::Token(index) => {
                self.repeat = self.doubled.then_some(index);
                Some((Ok(self.token_event(index)), self))
            }
            OutputEvent::End => {
                self.finished = true;
                Some((Ok(self.end_events()), self))
            }
        }
    }

    fn token_event(&self, index: usize) -> Frame<Bytes> {
        let word = text::token(self.prompt_hash, index);
        let (id, attempt, model) = (&self.id, &self.attempt, &self.model);
        let (object, choice) = if self.chat {
            ("chat.completion.chunk", format!(r#""delta":{{"content":"{word}"}}"#))
        } else {
            ("text_completion", format!(r#""text":"{word}""#))
        };
        Frame::data(Bytes::from(format!(
            "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"model\":\"{model}\",\"attempt\":{attempt},\"token_index\":{index},\"choices\":[{{\"index\":0,{choice},\"finish_reason\":null}}]}}\n\n"
        )))
    }

    fn end_events(&self) -> Frame<Bytes> {
        let (id, attempt, model) = (&self.id, &self.attempt, &self.model);
        let (object, choice) =
            if self.chat { ("chat.completion.chunk", r#""delta":{}"#) } else { ("text_completion", r#""text":"""#) };
        Frame::data(Bytes::from(format!(
            "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"model\":\"{model}\",\"attempt\":{attempt},\"choices\":[{{\"index\":0,{choice},\"finish_reason\":\"stop\"}}]}}\n\ndata: [DONE]\n\n"
        )))
    }

    async fn buffered(mut self, prompt: &str) -> Response<Body> {
        let mut tokens = 0;
        let mut content = String::new();
        while let Some(OutputEvent::Token(index)) = self.output.recv().await {
            content.push_str(&text::token(self.prompt_hash, index));
            tokens += 1;
        }
        let choice = if self.chat {
            json!({ "index": 0, "message": { "role": "assistant", "content": content }, "finish_reason": "stop" })
        } else {
            json!({ "index": 0, "text": content, "finish_reason": "stop" })
        };
        let words = prompt.split_whitespace().count();
        let usage = json!({ "prompt_tokens": words, "completion_tokens": tokens, "total_tokens": words + tokens });
        let object = if self.chat { "chat.completion" } else { "text_completion" };
        let body: Value = json!({
            "id": self.id, "object": object, "model": self.model, "choices": [choice], "usage": usage,
        });
        if self.cut_at.is_none() {
            return web::json(StatusCode::OK, &body);
        }
        let text = serde_json::to_vec(&body).unwrap_or_default();
        let head = Bytes::from(text).slice(..20);
        let frames = [Ok(Frame::data(head)), Err(web::InjectedAbort)];
        Response::new(web::stream(futures_util::stream::iter(frames)))
    }
}
