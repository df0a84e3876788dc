//! The engine's HTTP side: completions, load reports, orders and faults on demand.

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
    batch::{Batch, Piece, Sequence},
    cache::PrefixCache,
    cost::Cost,
    text,
};
use crate::http::{self as web, Body};

/// Tokens of an answer when the caller sets no limit.
const DEFAULT_ANSWER_TOKENS: usize = 64;

/// How an engine is built.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The name of the model that it serves.
    pub model: String,
    /// Sequences that run at once.
    pub max_batch_size: usize,
    /// Blocks of the prefix cache.
    pub cache_blocks: usize,
    /// Factor on all times.
    pub time_factor: f64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fences: bool,
    /// Seed of its faults.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            model: "default".into(),
            max_batch_size: 64,
            cache_blocks: 4096,
            time_factor: 1.0,
            checks_fences: true,
            seed: 1,
        }
    }
}

/// Faults of an engine on demand.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct EngineFaults {
    /// Share of requests answered with an error.
    pub fail: f64,
    /// Share of streams cut before their end.
    pub cut: f64,
    /// Factor on the time of each step; 0 and 1 change nothing.
    pub slow: f64,
    /// A request whose prompt holds this text ends the engine.
    pub crash_on: String,
    /// Share of streams that bear another request's id.
    pub crossed: f64,
    /// Share of streams that send each token twice.
    pub doubled: f64,
}

/// What an engine has done so far.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests begun.
    pub requests: u64,
    /// Tokens of prompts given.
    pub prompt_tokens: u64,
    /// Tokens of prompts found in the cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Orders refused for an old fencing number.
    pub fenced: u64,
    /// Sequences running.
    pub running: u64,
    /// Sequences waiting.
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
struct Ask {
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

impl Ask {
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
    fence: Mutex<u64>,
    wake: Notify,
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
    /// Starts an engine on `listener`.
    pub fn start(listener: TcpListener, address: SocketAddr, options: EngineOptions) -> Self {
        let shared = Arc::new(Shared {
            batch: Mutex::new(Batch::new(Cost { time_factor: options.time_factor }, options.max_batch_size)),
            cache: Mutex::new(PrefixCache::new(options.cache_blocks)),
            faults: Mutex::default(),
            random: Mutex::new(SmallRng::seed_from_u64(options.seed)),
            counts: Mutex::default(),
            fence: Mutex::default(),
            wake: Notify::new(),
            crashed: Notify::new(),
            options,
        });
        let engine = Self { shared, address, tasks: Arc::default() };
        let handler = engine.clone();
        let serving = tokio::spawn(web::serve(listener, move |request| {
            let engine = handler.clone();
            async move { engine.handle(request).await }
        }));
        let stepping = tokio::spawn(engine.clone().run());
        let ending = tokio::spawn(engine.clone().end_on_crash());
        engine.tasks.lock().extend([serving, stepping, ending]);
        engine
    }

    /// Where the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults in force from now on.
    pub fn set_faults(&self, faults: EngineFaults) {
        *self.shared.faults.lock() = faults;
    }

    /// What the engine has done so far.
    pub fn counts(&self) -> EngineCounts {
        let (running, queued) = self.shared.batch.lock().load();
        EngineCounts { running: running as u64, queued: queued as u64, ..*self.shared.counts.lock() }
    }

    /// Ends the engine at once, as a reclaim does: connections break, nothing is answered any more.
    pub fn kill(&self) {
        self.tasks.lock().iter().for_each(JoinHandle::abort);
    }

    /// Waits until a request has crashed the engine.
    pub async fn crashed(&self) {
        self.shared.crashed.notified().await;
    }

    async fn end_on_crash(self) {
        self.shared.crashed.notified().await;
        self.shared.crashed.notify_waiters();
        self.kill();
    }

    async fn run(self) {
        loop {
            if self.shared.batch.lock().is_idle() {
                self.shared.wake.notified().await;
            }
            let (time, prefill) = self.shared.batch.lock().plan();
            let slow = self.shared.faults.lock().slow;
            let time = if slow > 0.0 { time.mul_f64(slow) } else { time };
            if time > Duration::ZERO {
                tokio::time::sleep(time).await;
            }
            let mut batch = self.shared.batch.lock();
            self.shared.counts.lock().tokens += batch.load().0 as u64;
            batch.step(prefill);
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/v1/chat/completions" | "/v1/completions" => self.complete(request, path.contains("chat")).await,
            "/load" => web::json(StatusCode::OK, &self.counts()),
            "/health" => web::json(StatusCode::OK, &json!({})),
            "/orders" => self.order(request).await,
            "/faults" => match web::read_json(request.into_body()).await {
                Ok(faults) => {
                    self.set_faults(faults);
                    web::json(StatusCode::OK, &json!({}))
                }
                Err(answer) => answer,
            },
            _ => web::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn order(&self, request: Request<Incoming>) -> Response<Body> {
        let order: Order = match web::read_json(request.into_body()).await {
            Ok(order) => order,
            Err(answer) => return answer,
        };
        let mut fence = self.shared.fence.lock();
        if self.shared.options.checks_fences && order.fence < *fence {
            self.shared.counts.lock().fenced += 1;
            return web::text(StatusCode::CONFLICT, "the fencing number is old");
        }
        *fence = order.fence.max(*fence);
        web::json(StatusCode::OK, &json!({ "fence": *fence }))
    }

    fn draw(&self, share: f64) -> bool {
        share > 0.0 && self.shared.random.lock().random_bool(share.min(1.0))
    }

    async fn complete(&self, request: Request<Incoming>, chat: bool) -> Response<Body> {
        let header = |name: &str| request.headers().get(name).cloned();
        let id = header("x-request-id").unwrap_or(HeaderValue::from_static("none"));
        let attempt = header("x-attempt").unwrap_or(HeaderValue::from_static("0"));
        let ask: Ask = match web::read_json(request.into_body()).await {
            Ok(ask) => ask,
            Err(answer) => return answer,
        };
        let faults = self.shared.faults.lock().clone();
        self.shared.counts.lock().requests += 1;
        let prompt = ask.prompt();
        if !faults.crash_on.is_empty() && prompt.contains(&faults.crash_on) {
            self.shared.crashed.notify_one();
            std::future::pending::<()>().await;
        }
        if self.draw(faults.fail) {
            return web::json(StatusCode::INTERNAL_SERVER_ERROR, &json!({"error": {"message": "failed on demand"}}));
        }
        let mut answer = Answer {
            id: if self.draw(faults.crossed) {
                "another-request".into()
            } else {
                id.to_str().unwrap_or("none").to_owned()
            },
            attempt: attempt.to_str().unwrap_or("0").to_owned(),
            model: self.shared.options.model.clone(),
            chat,
            hash: text::prompt_hash(&prompt),
            cut: None,
            doubled: self.draw(faults.doubled),
            ended: false,
            repeat: None,
            pieces: self.admit(&ask, &prompt).await,
        };
        let total = ask.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
        if self.draw(faults.cut) {
            answer.cut = Some(self.shared.random.lock().random_range(0..total.max(1)));
        }
        let mut response = if ask.stream { answer.streamed() } else { answer.whole(&prompt).await };
        response.headers_mut().insert("x-request-id", id);
        response.headers_mut().insert("x-attempt", attempt);
        response
    }

    async fn admit(&self, ask: &Ask, prompt: &str) -> mpsc::UnboundedReceiver<Piece> {
        let words: Vec<_> = prompt.split_whitespace().collect();
        let cached = self.shared.cache.lock().admit(&words);
        let done = ask.resume.as_ref().map_or(0, |r| r.tokens);
        let imported = ask.resume.as_ref().is_some_and(|r| r.kv_from.is_some());
        let context = words.len() + done;
        let prefill = if imported { 1 } else { context.saturating_sub(cached).max(1) };
        if imported {
            tokio::time::sleep(Cost { time_factor: self.shared.options.time_factor }.import(context)).await;
        }
        {
            let mut counts = self.shared.counts.lock();
            counts.prompt_tokens += words.len() as u64;
            counts.cached_tokens += cached as u64;
        }
        let (sender, pieces) = mpsc::unbounded_channel();
        self.shared.batch.lock().push(Sequence {
            priority: ask.priority,
            prefill,
            context,
            next: done,
            last: ask.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS),
            pieces: sender,
        });
        self.shared.wake.notify_one();
        pieces
    }
}

struct Answer {
    id: String,
    attempt: String,
    model: String,
    chat: bool,
    hash: u64,
    cut: Option<usize>,
    doubled: bool,
    ended: bool,
    repeat: Option<usize>,
    pieces: mpsc::UnboundedReceiver<Piece>,
}

impl Answer {
    fn streamed(self) -> Response<Body> {
        let body = web::stream(futures_util::stream::unfold(self, Self::next));
        let mut response = Response::new(body);
        response.headers_mut().insert(http::header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        response
    }

    async fn next(mut self) -> Option<(Result<Frame<Bytes>, web::InjectedAbort>, Self)> {
        if self.ended {
            return None;
        }
        if let Some(index) = self.repeat.take() {
            return Some((Ok(self.event(index)), self));
        }
        match self.pieces.recv().await? {
            Piece::Token(index) if self.cut.is_some_and(|cut| index >= cut) => Some((Err(web::InjectedAbort), self)),
            Piece::Token(index) => {
                self.repeat = self.doubled.then_some(index);
                Some((Ok(self.event(index)), self))
            }
            Piece::End => {
                self.ended = true;
                Some((Ok(self.end()), self))
            }
        }
    }

    fn event(&self, index: usize) -> Frame<Bytes> {
        let word = text::token(self.hash, index);
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

    fn end(&self) -> Frame<Bytes> {
        let (id, attempt, model) = (&self.id, &self.attempt, &self.model);
        let (object, choice) =
            if self.chat { ("chat.completion.chunk", r#""delta":{}"#) } else { ("text_completion", r#""text":"""#) };
        Frame::data(Bytes::from(format!(
            "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"model\":\"{model}\",\"attempt\":{attempt},\"choices\":[{{\"index\":0,{choice},\"finish_reason\":\"stop\"}}]}}\n\ndata: [DONE]\n\n"
        )))
    }

    async fn whole(mut self, prompt: &str) -> Response<Body> {
        let mut tokens = 0;
        let mut content = String::new();
        while let Some(Piece::Token(index)) = self.pieces.recv().await {
            content.push_str(&text::token(self.hash, index));
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
        if self.cut.is_none() {
            return web::json(StatusCode::OK, &body);
        }
        let text = serde_json::to_vec(&body).unwrap_or_default();
        let half = Bytes::from(text).slice(..20);
        let pieces = [Ok(Frame::data(half)), Err(web::InjectedAbort)];
        Response::new(web::stream(futures_util::stream::iter(pieces)))
    }
}
