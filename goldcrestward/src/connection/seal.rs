//! Proof that a message comes from a daemon of the site: a keyed MAC with protection against replay.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use hmac::{Hmac, Mac};
use parking_lot::Mutex;
use prost::Message;
use sha2::Sha256;

use crate::{pb, util::unix_ms};

/// Bytes of a message authentication code.
const MAC_BYTES: usize = 16;
/// Largest difference between the sender's clock and ours.
const CLOCK_SKEW_MS: u64 = 5 * 60 * 1000;
/// Datagrams of one sender that may arrive out of order.
const WINDOW: u64 = 64;
/// Senders whose sequence is remembered.
const SENDERS: usize = 8192;

/// The site's secrets: the first signs, all verify, so that a secret can be replaced without a gap.
#[derive(Clone)]
pub(crate) struct Secrets {
    keys: Arc<ArcSwap<Vec<Hmac<Sha256>>>>,
}

impl Secrets {
    /// Keys made from the configured texts.
    pub fn new(texts: &[String]) -> Self {
        Self { keys: Arc::new(ArcSwap::from_pointee(keys(texts))) }
    }

    /// Replaces the secrets.
    pub fn rotate(&self, texts: &[String]) {
        self.keys.store(Arc::new(keys(texts)));
    }

    /// Signs the parts together.
    pub fn sign(&self, parts: &[&[u8]]) -> Vec<u8> {
        self.keys.load().first().map(|key| mac(key, parts)).unwrap_or_default()
    }

    /// Tells whether any of the secrets signed the parts.
    pub fn verify(&self, parts: &[&[u8]], given: &[u8]) -> bool {
        use subtle::ConstantTimeEq;

        let keys = self.keys.load();
        keys.iter().any(|key| bool::from(mac(key, parts).ct_eq(given)))
    }
}

fn keys(texts: &[String]) -> Vec<Hmac<Sha256>> {
    texts.iter().filter_map(|text| Hmac::new_from_slice(text.as_bytes()).ok()).collect()
}

fn mac(key: &Hmac<Sha256>, parts: &[&[u8]]) -> Vec<u8> {
    let mut mac = key.clone();
    for part in parts {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    mac.finalize().into_bytes()[..MAC_BYTES].to_vec()
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// It is no message of the protocol.
    Malformed,
    /// It bears no proof of the site's secret.
    Stranger,
    /// It was seen before, or is older than what was seen.
    Replayed,
    /// It was sent too long ago, or the clocks differ too much.
    Stale,
}

impl Rejection {
    /// The reason as a label of a counter.
    pub fn label(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Stranger => "stranger",
            Self::Replayed => "replayed",
            Self::Stale => "stale",
        }
    }
}

#[derive(Clone, Copy)]
struct Seen {
    epoch: u64,
    highest: u64,
    window: u64,
}

/// Seals and opens datagrams.
pub(crate) struct DatagramSealer {
    name: Arc<str>,
    epoch: u64,
    sequence: AtomicU64,
    secrets: Secrets,
    seen: Mutex<HashMap<String, Seen>>,
}

impl DatagramSealer {
    /// A seal for the daemon `name` that started at `epoch`.
    pub fn new(name: Arc<str>, epoch: u64, secrets: Secrets) -> Self {
        Self { name, epoch, sequence: AtomicU64::new(1), secrets, seen: Mutex::default() }
    }

    /// Signs a payload for the daemon at `to`.
    pub fn seal(&self, to: &str, payload: Vec<u8>) -> Vec<u8> {
        let mut sealed = pb::Sealed {
            from: self.name.to_string(),
            epoch: self.epoch,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            sent_ms: unix_ms(),
            payload,
            mac: Vec::new(),
        };
        sealed.mac = self.secrets.sign(&[sealed.from.as_bytes(), to.as_bytes(), &head(&sealed), &sealed.payload]);
        sealed.encode_to_vec()
    }

    /// Checks a datagram that arrived at the address `to` and gives its payload.
    ///
    /// # Errors
    /// Tells why the datagram must be dropped.
    pub fn open(&self, to: &str, bytes: &[u8]) -> Result<Vec<u8>, Rejection> {
        let sealed = pb::Sealed::decode(bytes).map_err(|_| Rejection::Malformed)?;
        let parts: [&[u8]; 4] = [sealed.from.as_bytes(), to.as_bytes(), &head(&sealed), &sealed.payload];
        if !self.secrets.verify(&parts, &sealed.mac) {
            return Err(Rejection::Stranger);
        }
        if unix_ms().abs_diff(sealed.sent_ms) > CLOCK_SKEW_MS {
            return Err(Rejection::Stale);
        }
        self.note(&sealed)?;
        Ok(sealed.payload)
    }

    fn note(&self, sealed: &pb::Sealed) -> Result<(), Rejection> {
        let mut seen = self.seen.lock();
        if seen.len() >= SENDERS && !seen.contains_key(&sealed.from) {
            seen.clear();
        }
        let fresh = Seen { epoch: sealed.epoch, highest: 0, window: 0 };
        let entry = seen.entry(sealed.from.clone()).or_insert(fresh);
        if sealed.epoch < entry.epoch {
            return Err(Rejection::Replayed);
        }
        if sealed.epoch > entry.epoch {
            *entry = fresh;
        }
        if sealed.sequence > entry.highest {
            let shift = sealed.sequence - entry.highest;
            entry.window = if shift >= WINDOW { 1 } else { entry.window << shift | 1 };
            entry.highest = sealed.sequence;
            return Ok(());
        }
        let age = entry.highest - sealed.sequence;
        let bit = 1u64.checked_shl(u32::try_from(age).unwrap_or(u32::MAX)).unwrap_or(0);
        if bit == 0 || entry.window & bit != 0 {
            return Err(Rejection::Replayed);
        }
        entry.window |= bit;
        Ok(())
    }
}

/// The fields that the proof covers beside the payload.
fn head(sealed: &pb::Sealed) -> [u8; 24] {
    let mut head = [0; 24];
    head[..8].copy_from_slice(&sealed.epoch.to_le_bytes());
    head[8..16].copy_from_slice(&sealed.sequence.to_le_bytes());
    head[16..].copy_from_slice(&sealed.sent_ms.to_le_bytes());
    head
}
