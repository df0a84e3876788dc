//! Tests of which responses are kept, and which give way.

use std::{collections::HashMap, sync::Arc};

use quickcheck::quickcheck;

use super::{ByteBudget, HolderId, MemoryLimit, Precedence, SMALL_RESPONSE_BYTES, large_part};

const LIMIT: usize = 1024 * 1024;
const SERVERS: [&str; 3] = ["a", "b", "c"];

fn open(budget: &mut ByteBudget, server: &str) -> HolderId {
    budget.open(server.into(), Precedence::BySize)
}

/// A response as the test knows it.
struct Model {
    server: Arc<str>,
    bytes: usize,
    is_whole: bool,
    is_protected: bool,
}

/// Performs steps, each a kind, the response that it is about and a size; says whether all that must hold does.
fn holds(steps: &[(u8, u8, u32)]) -> bool {
    let (mut budget, mut model) = (ByteBudget::new(LIMIT), HashMap::<HolderId, Model>::new());
    for (kind, which, size) in steps {
        let mut ids: Vec<_> = model.keys().copied().collect();
        ids.sort_unstable();
        let id = ids.get(usize::from(*which) % ids.len().max(1)).copied();
        let size = *size as usize % (LIMIT / 2);
        match (kind % 8, id) {
            (0 | 1, _) | (_, None) => {
                let server: Arc<str> = SERVERS[usize::from(*which) % SERVERS.len()].into();
                let is_protected = size.is_multiple_of(16);
                let precedence = if is_protected { Precedence::Always } else { Precedence::BySize };
                let id = budget.open(server.clone(), precedence);
                model.insert(id, Model { server, bytes: 0, is_whole: false, is_protected });
            }
            (2..=5, Some(id)) => {
                let (bytes, protected) = (model[&id].bytes + size, model[&id].is_protected);
                if model[&id].is_whole {
                    continue;
                }
                for (victim, _) in budget.grow(id, bytes).unwrap_or_default() {
                    let Some(given_up) = model.remove(&victim) else { return false };
                    if given_up.is_whole || given_up.is_protected || !(protected || given_up.bytes > bytes) {
                        return false;
                    }
                }
                // What is held tells whether it was allowed.
                let others: usize = model.iter().filter(|(other, _)| **other != id).map(|(_, m)| m.bytes).sum();
                let held = budget.total() - others;
                if held != bytes && held != model[&id].bytes {
                    return false;
                }
                model.get_mut(&id).expect("it is known").bytes = held;
            }
            (6, Some(id)) => {
                let known = model.get_mut(&id).expect("it is known");
                (known.is_whole, known.bytes) = (true, known.bytes / 2);
                budget.finish(id, known.bytes);
            }
            (_, Some(id)) => {
                model.remove(&id);
                budget.close(id);
            }
        }
        let large = |server: &str| -> usize {
            let own = model.values().filter(|m| &*m.server == server && !m.is_protected);
            own.map(|m| large_part(m.bytes)).sum()
        };
        let sum: usize = model.values().map(|m| m.bytes).sum();
        if sum != budget.total() || sum > LIMIT || SERVERS.iter().any(|server| large(server) > LIMIT / 4) {
            return false;
        }
    }
    for id in model.keys() {
        budget.close(*id);
    }
    budget.total() == 0 && budget.large == 0 && budget.server_large.is_empty() && budget.holders.is_empty()
}

quickcheck! {
    /// Guards against a sum of responses that no one bounds.
    fn grow_any_steps_keep_sum_within_budget(steps: Vec<(u8, u8, u32)>) -> bool {
        holds(&steps)
    }

    /// Guards against large responses that keep small ones out.
    fn grow_small_response_passes_beside_large_ones(sizes: Vec<u32>, servers: Vec<u8>, small: u16) -> bool {
        let mut budget = ByteBudget::new(LIMIT);
        for (size, server) in sizes.iter().zip(servers) {
            let id = open(&mut budget, SERVERS[usize::from(server) % SERVERS.len()]);
            let bytes = SMALL_RESPONSE_BYTES + *size as usize % LIMIT;
            budget.grow(id, bytes).ok();
        }
        let id = open(&mut budget, "a");
        budget.grow(id, usize::from(small).min(SMALL_RESPONSE_BYTES)).is_ok()
    }
}

#[test]
fn grow_largest_incomplete_gives_way() {
    let mut budget = ByteBudget::new(LIMIT);
    let ids: Vec<_> = (0..8).map(|number| open(&mut budget, &format!("server-{number}"))).collect();
    for (number, id) in ids.iter().enumerate() {
        assert_eq!(budget.grow(*id, 120_000 + number), Ok(vec![]), "{number}");
    }
    budget.finish(ids[7], 120_007);
    let large = open(&mut budget, "large");
    assert_eq!(budget.grow(large, 200_000), Err(MemoryLimit::Daemon), "the largest gives way itself");
    let small = open(&mut budget, "small");
    assert_eq!(budget.grow(small, 100_000), Ok(vec![(ids[6], MemoryLimit::Daemon)]), "the largest that is not whole");
    assert_eq!(budget.grow(ids[6], 1), Err(MemoryLimit::Daemon), "it holds nothing any more");
}

#[test]
fn grow_beyond_share_of_server_fails() {
    let mut budget = ByteBudget::new(LIMIT);
    let (first, second, other) = (open(&mut budget, "a"), open(&mut budget, "a"), open(&mut budget, "b"));
    assert_eq!(budget.grow(first, 300_000), Ok(vec![]));
    assert_eq!(budget.grow(second, 300_000), Err(MemoryLimit::Server));
    assert_eq!(budget.grow(other, 300_000), Ok(vec![]), "another server's share is its own");
    assert_eq!(budget.grow(second, SMALL_RESPONSE_BYTES), Ok(vec![]), "small amounts are not in a share");
    assert_eq!(budget.grow(second, 200_000), Ok(vec![(first, MemoryLimit::Server)]));
}

#[test]
fn grow_protected_response_takes_from_others() {
    let mut budget = ByteBudget::new(LIMIT);
    let ids: Vec<_> = (0..16).map(|_| open(&mut budget, "a")).collect();
    for id in &ids {
        assert_eq!(budget.grow(*id, SMALL_RESPONSE_BYTES), Ok(vec![]));
    }
    let store = budget.open("store".into(), Precedence::Always);
    assert_eq!(budget.grow(store, 2 * SMALL_RESPONSE_BYTES).map(|victims| victims.len()), Ok(2));
    assert_eq!(budget.grow(store, LIMIT), Err(MemoryLimit::Daemon), "a quarter is for small responses");
}

/// Guards against a daemon that cannot read the store because callers do not read their answers.
#[test]
fn grow_protected_response_has_room_beside_whole_ones() {
    let mut budget = ByteBudget::new(LIMIT);
    for server in ["a", "b", "c"] {
        let id = open(&mut budget, server);
        assert_eq!(budget.grow(id, LIMIT / 4), Ok(vec![]));
        budget.finish(id, LIMIT / 4);
    }
    let sound = open(&mut budget, "d");
    assert_eq!(budget.grow(sound, LIMIT / 4 + SMALL_RESPONSE_BYTES), Err(MemoryLimit::Daemon));
    let store = budget.open("store".into(), Precedence::Always);
    assert_eq!(budget.grow(store, LIMIT / 4), Ok(vec![]));
}
