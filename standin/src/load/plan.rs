//! What a load consists of.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use rand::{Rng, rngs::SmallRng};

/// Words from which prompts are made.
const WORDS: [&str; 16] = [
    "dialysis", "supper", "low", "salt", "window", "parish", "amber", "lead", "menu", "driver", "kitchen", "council",
    "studio", "plan", "tray", "arch",
];

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A streamed answer of a model.
    Stream,
    /// A call that may not be repeated, with an idempotency key.
    Keyed,
}

/// Whose traffic the prompts are like.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The model asked for.
    pub model: String,
    /// Path of calls that may not be repeated.
    pub keyed_path: String,
    /// Prompts share one of this many beginnings.
    pub prefixes: usize,
    /// Words in a shared beginning.
    pub prefix_words: usize,
    /// Words after it.
    pub suffix_words: usize,
    /// Tokens of an answer.
    pub tokens: usize,
}

impl Workload {
    /// Swanvale: long shared menus, many short chats.
    pub fn swanvale() -> Self {
        Self {
            model: "meal-planner".into(),
            keyed_path: "/orders/confirm".into(),
            prefixes: 24,
            prefix_words: 400,
            suffix_words: 60,
            tokens: 48,
        }
    }

    /// Klaasvikat: fewer and longer briefs.
    pub fn klaasvikat() -> Self {
        Self {
            model: "brief-drafter".into(),
            keyed_path: "/bookings/deposit".into(),
            prefixes: 60,
            prefix_words: 250,
            suffix_words: 120,
            tokens: 96,
        }
    }

    /// Draws a prompt.
    pub fn prompt(&self, random: &mut SmallRng, number: u64) -> String {
        // Squaring makes some beginnings much more common than others.
        let place: f64 = random.random::<f64>().powi(2);
        let prefix = (place * self.prefixes as f64) as usize;
        let mut words = vec![format!("{}-{prefix}", self.model)];
        words.extend((0..self.prefix_words).map(|i| format!("{}{}", WORDS[(i * 7 + prefix) % WORDS.len()], i % 50)));
        words.push(format!("request-{number}"));
        words.extend((0..self.suffix_words).map(|_| WORDS[random.random_range(0..WORDS.len())].to_owned()));
        words.join(" ")
    }
}

/// The daemons that a balancer sends requests to; they may change during a load.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Targets {
    /// These daemons.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses: Arc::new(Mutex::new(addresses)) }
    }

    /// Takes a daemon out.
    pub fn remove(&self, address: SocketAddr) {
        self.addresses.lock().retain(|a| *a != address);
    }

    /// Adds a daemon.
    pub fn add(&self, address: SocketAddr) {
        self.addresses.lock().push(address);
    }

    /// The daemon for the request `number`.
    pub fn pick(&self, number: u64) -> Option<SocketAddr> {
        let addresses = self.addresses.lock();
        let count = addresses.len().max(1) as u64;
        addresses.get((number % count) as usize).copied()
    }
}

/// A bounded load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Daemons, taken in turn.
    pub targets: Targets,
    /// The account's key.
    pub key: String,
    /// The requests.
    pub workload: Workload,
    /// Streamed requests a second.
    pub streams_per_second: f64,
    /// Calls that may not be repeated, a second.
    pub keyed_per_second: f64,
    /// How long requests are begun.
    pub duration: Duration,
    /// Times that a caller sends a refused request again.
    pub max_retries: u32,
    /// Seed of the prompts.
    pub seed: u64,
}
