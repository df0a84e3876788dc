//! Description of a load: targets, traffic profile, rates and duration.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use rand::{Rng, rngs::SmallRng};

/// Words from which prompts are made.
const WORDS: [&str; 16] = [
    "dialysis", "supper", "low", "salt", "window", "parish", "amber", "lead", "menu", "driver", "kitchen", "council",
    "studio", "plan", "tray", "arch",
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A chat request with a streamed answer.
    Stream,
    /// A non-idempotent request with an idempotency key.
    Keyed,
}

/// Traffic profile of a user: prompts, answers and keyed requests.
#[derive(Clone, Debug)]
pub struct Workload {
    pub model: String,
    /// Path of keyed requests.
    pub keyed_path: String,
    /// Number of different prompt prefixes.
    pub prefixes: usize,
    /// Words in a shared prefix.
    pub prefix_words: usize,
    /// Words after the shared prefix.
    pub suffix_words: usize,
    /// Tokens per answer.
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

    /// Generates the prompt of request `number` with a random prefix.
    pub fn prompt(&self, random: &mut SmallRng, number: u64) -> String {
        // Squaring makes some prefixes much more common than others.
        let rank: f64 = random.random::<f64>().powi(2);
        let prefix = (rank * self.prefixes as f64) as usize;
        let mut words = vec![format!("{}-{prefix}", self.model)];
        words.extend((0..self.prefix_words).map(|i| format!("{}{}", WORDS[(i * 7 + prefix) % WORDS.len()], i % 50)));
        words.push(format!("request-{number}"));
        words.extend((0..self.suffix_words).map(|_| WORDS[random.random_range(0..WORDS.len())].to_owned()));
        words.join(" ")
    }
}

/// Addresses that requests are distributed to in turn, as by a load balancer. Clones share the
/// list, which may change during a load.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Targets {
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses: Arc::new(Mutex::new(addresses)) }
    }

    pub fn remove(&self, address: SocketAddr) {
        self.addresses.lock().retain(|a| *a != address);
    }

    pub fn add(&self, address: SocketAddr) {
        self.addresses.lock().push(address);
    }

    /// The address for request `number`, `None` if the list is empty.
    pub fn pick(&self, number: u64) -> Option<SocketAddr> {
        let addresses = self.addresses.lock();
        let count = addresses.len().max(1) as u64;
        addresses.get((number % count) as usize).copied()
    }
}

/// A load for a limited time.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub targets: Targets,
    /// Key of the client account.
    pub key: String,
    pub workload: Workload,
    pub streams_per_second: f64,
    pub keyed_per_second: f64,
    /// Time during which new requests are sent.
    pub duration: Duration,
    /// Maximum retries of a request that was refused or got no complete response.
    pub max_retries: u32,
    /// Seed of the prompts, the order of request kinds and the idempotency keys.
    pub seed: u64,
}
