//! Tests of the order in which waiting requests are woken.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;

use super::{AdmissionQueue, Rank};

#[tokio::test]
async fn queue_wakes_by_priority_and_then_by_due_time() {
    let queue = Arc::new(AdmissionQueue::default());
    let woken: Arc<Mutex<Vec<&str>>> = Arc::default();
    let ranks = [("late chat", 2, 900), ("brief", 0, 500), ("chat", 2, 100), ("later brief", 0, 600)];
    let mut tasks = tokio::task::JoinSet::new();
    for (name, priority, due_ms) in ranks {
        let (queue, woken) = (queue.clone(), woken.clone());
        tasks.spawn(async move {
            if queue.wait(Rank { priority, due_ms }, Duration::from_secs(5)).await {
                woken.lock().push(name);
            }
        });
        tokio::task::yield_now().await;
    }
    assert!(!queue.is_next(Rank { priority: 1, due_ms: 0 }));
    assert!(queue.is_next(Rank { priority: 0, due_ms: 400 }));
    for _ in ranks {
        queue.wake_next();
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    while tasks.join_next().await.is_some() {}
    assert_eq!(*woken.lock(), ["brief", "later brief", "chat", "late chat"]);
}

#[tokio::test]
async fn queue_drops_requests_that_have_timed_out() {
    let queue = AdmissionQueue::default();
    let rank = Rank { priority: 0, due_ms: 0 };
    assert!(!queue.wait(rank, Duration::from_millis(5)).await);
    assert!(queue.is_next(Rank { priority: 9, due_ms: 9 }), "a request that timed out is still queued");
}
