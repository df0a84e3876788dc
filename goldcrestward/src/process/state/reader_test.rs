//! Tests of the second call beside one that is not answered.

use std::{
    future::pending,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use tokio::time::sleep;

use super::hedged;

const DELAY: Duration = Duration::from_millis(400);

/// What a call does: it answers after so many ms, or never.
type Plan = Option<(u64, Result<u32, &'static str>)>;

async fn run(plans: [Plan; 2]) -> (Result<u32, &'static str>, u32) {
    let calls = AtomicU32::new(0);
    let call = || {
        let plan = plans[calls.fetch_add(1, Ordering::Relaxed) as usize];
        async move {
            let Some((ms, result)) = plan else { return pending().await };
            sleep(Duration::from_millis(ms)).await;
            result
        }
    };
    let result = hedged(call, DELAY).await;
    (result, calls.into_inner())
}

#[tokio::test(start_paused = true)]
async fn hedged_returns_the_first_success() {
    for (plans, expected) in [
        ([Some((10, Ok(1))), None], (Ok(1), 1)),
        // A refusal is an answer.
        ([Some((10, Err("refused"))), None], (Err("refused"), 1)),
        ([None, Some((10, Ok(2)))], (Ok(2), 2)),
        ([Some((600, Ok(1))), None], (Ok(1), 2)),
        ([Some((600, Ok(1))), Some((10, Err("refused")))], (Ok(1), 2)),
        ([Some((500, Err("lost"))), Some((300, Ok(2)))], (Ok(2), 2)),
        ([Some((500, Err("lost"))), Some((300, Err("refused")))], (Err("refused"), 2)),
    ] {
        assert_eq!(run(plans).await, expected, "{plans:?}");
    }
}
