//! Authentication of messages between daemons by a keyed MAC, with replay protection for datagrams.

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

const MAC_BYTES: usize = 16;
/// Largest accepted difference between the clocks of sender and receiver, in ms.
const MAX_CLOCK_SKEW_MS: u64 = 5 * 60 * 1000;
/// Sequence numbers of one sender in the replay window; older datagrams are rejected.
const REPLAY_WINDOW: u64 = 64;
/// Most senders with a replay window; a new sender beyond this number discards all windows.
const MAX_SENDERS: usize = 8192;

/// The site's secrets: the first signs and all verify, so that secrets can be rotated without rejecting messages.
#[derive(Clone)]
pub(crate) struct Secrets {
    keys: Arc<ArcSwap<Vec<Hmac<Sha256>>>>,
}

impl Secrets {
    pub fn new(texts: &[String]) -> Self {
        Self { keys: Arc::new(ArcSwap::from_pointee(keys(texts))) }
    }

    pub fn rotate(&self, texts: &[String]) {
        self.keys.store(Arc::new(keys(texts)));
    }

    /// Returns the MAC of the parts under the first secret.
    pub fn sign(&self, parts: &[&[u8]]) -> Vec<u8> {
        self.keys.load().first().map(|key| mac(key, parts)).unwrap_or_default()
    }

    /// Whether `given` is the MAC of the parts under any of the secrets.
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

/// Reason why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// It cannot be decoded.
    Malformed,
    /// Its MAC does not match any of the site's secrets.
    Unauthenticated,
    /// It was received before, is older than the replay window, or is from an earlier process of its sender.
    Replayed,
    /// It was sent too long ago, or the clocks of sender and receiver differ too much.
    Stale,
}

impl Rejection {
    /// Value of the `reason` label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Unauthenticated => "stranger",
            Self::Replayed => "replayed",
            Self::Stale => "stale",
        }
    }
}

#[derive(Clone, Copy)]
struct ReplayWindow {
    epoch: u64,
    highest: u64,
    /// Bit `n` is set if the sequence number `highest - n` was received.
    received: u64,
}

/// Adds a MAC, a sequence number and a time to outgoing datagrams and checks those of incoming ones.
pub(crate) struct DatagramSealer {
    name: Arc<str>,
    epoch: u64,
    sequence: AtomicU64,
    secrets: Secrets,
    senders: Mutex<HashMap<String, ReplayWindow>>,
}

impl DatagramSealer {
    /// Creates the sealer of the daemon `name`, whose process started at `epoch`.
    pub fn new(name: Arc<str>, epoch: u64, secrets: Secrets) -> Self {
        Self { name, epoch, sequence: AtomicU64::new(1), secrets, senders: Mutex::default() }
    }

    /// Returns a signed datagram with a payload for the daemon at `to`.
    pub fn seal(&self, to: &str, payload: Vec<u8>) -> Vec<u8> {
        let mut sealed = pb::Sealed {
            from: self.name.to_string(),
            epoch: self.epoch,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            sent_ms: unix_ms(),
            payload,
            mac: Vec::new(),
        };
        sealed.mac =
            self.secrets.sign(&[sealed.from.as_bytes(), to.as_bytes(), &header_bytes(&sealed), &sealed.payload]);
        sealed.encode_to_vec()
    }

    /// Verifies a datagram received at the address `to` and returns its payload.
    ///
    /// # Errors
    /// Returns the reason why the datagram must be dropped.
    pub fn open(&self, to: &str, bytes: &[u8]) -> Result<Vec<u8>, Rejection> {
        let sealed = pb::Sealed::decode(bytes).map_err(|_| Rejection::Malformed)?;
        let parts: [&[u8]; 4] = [sealed.from.as_bytes(), to.as_bytes(), &header_bytes(&sealed), &sealed.payload];
        if !self.secrets.verify(&parts, &sealed.mac) {
            return Err(Rejection::Unauthenticated);
        }
        if unix_ms().abs_diff(sealed.sent_ms) > MAX_CLOCK_SKEW_MS {
            return Err(Rejection::Stale);
        }
        self.record(&sealed)?;
        Ok(sealed.payload)
    }

    fn record(&self, sealed: &pb::Sealed) -> Result<(), Rejection> {
        let mut senders = self.senders.lock();
        if senders.len() >= MAX_SENDERS && !senders.contains_key(&sealed.from) {
            senders.clear();
        }
        let fresh = ReplayWindow { epoch: sealed.epoch, highest: 0, received: 0 };
        let entry = senders.entry(sealed.from.clone()).or_insert(fresh);
        if sealed.epoch < entry.epoch {
            return Err(Rejection::Replayed);
        }
        if sealed.epoch > entry.epoch {
            *entry = fresh;
        }
        if sealed.sequence > entry.highest {
            let shift = sealed.sequence - entry.highest;
            entry.received = if shift >= REPLAY_WINDOW { 1 } else { entry.received << shift | 1 };
            entry.highest = sealed.sequence;
            return Ok(());
        }
        let age = entry.highest - sealed.sequence;
        let bit = 1u64.checked_shl(u32::try_from(age).unwrap_or(u32::MAX)).unwrap_or(0);
        if bit == 0 || entry.received & bit != 0 {
            return Err(Rejection::Replayed);
        }
        entry.received |= bit;
        Ok(())
    }
}

/// The numeric fields covered by the MAC.
fn header_bytes(sealed: &pb::Sealed) -> [u8; 24] {
    let mut bytes = [0; 24];
    bytes[..8].copy_from_slice(&sealed.epoch.to_le_bytes());
    bytes[8..16].copy_from_slice(&sealed.sequence.to_le_bytes());
    bytes[16..].copy_from_slice(&sealed.sent_ms.to_le_bytes());
    bytes
}
