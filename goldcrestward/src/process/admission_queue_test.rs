//! Tests of the order in which waiting requests are called up.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;

use super::{AdmissionQueue, Rank};

#[tokio::test]
async fn turns_go_by_rank_and_then_by_due_time() {
    let turns = Arc::new(AdmissionQueue::default());
    let called: Arc<Mutex<Vec<&str>>> = Arc::default();
    let ranks = [("late chat", 2, 900), ("brief", 0, 500), ("chat", 2, 100), ("later brief", 0, 600)];
    let mut tasks = tokio::task::JoinSet::new();
    for (name, priority, due) in ranks {
        let (turns, called) = (turns.clone(), called.clone());
        tasks.spawn(async move {
            if turns.wait(Rank { priority, due }, Duration::from_secs(5)).await {
                called.lock().push(name);
            }
        });
        tokio::task::yield_now().await;
    }
    assert!(!turns.is_next(Rank { priority: 1, due: 0 }));
    assert!(turns.is_next(Rank { priority: 0, due: 400 }));
    for _ in ranks {
        turns.wake_next();
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    while tasks.join_next().await.is_some() {}
    assert_eq!(*called.lock(), ["brief", "later brief", "chat", "late chat"]);
}

#[tokio::test]
async fn turns_forget_callers_that_have_gone() {
    let turns = AdmissionQueue::default();
    let rank = Rank { priority: 0, due: 0 };
    assert!(!turns.wait(rank, Duration::from_millis(5)).await);
    assert!(turns.is_next(Rank { priority: 9, due: 9 }), "a request that has gone still waits");
}
