//! Answers of engines that are cut, crossed, doubled, late or lost with their replica.

use standin::{engine::EngineFaults, load::Ended, platform::InstanceState};

use crate::support::{TestSite, eventually, run};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stream_cut_is_resumed_whole() {
    let site = TestSite::start(2, 5).await;
    site.all_engines(&EngineFaults { cut: 0.2, ..EngineFaults::default() });
    let report = run(site.load(20.0, 0.0, 4)).await;
    assert_eq!((report.cut, report.wrong, report.unanswered), (0, 0, 0), "{report:?}");
    assert_eq!(report.whole, report.streams, "{report:?}");
    assert!(site.counter("resumed_total", "recompute").await > 0.0, "no stream was cut, so nothing was shown");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stream_crossed_and_doubled_is_whole() {
    let site = TestSite::start(1, 5).await;
    site.all_engines(&EngineFaults { crossed: 0.1, doubled: 0.3, ..EngineFaults::default() });
    let report = run(site.load(20.0, 0.0, 4)).await;
    assert_eq!((report.cut, report.wrong, report.whole), (0, 0, report.streams), "{report:?}");
    assert!(site.counter("dropped_total", "crossed").await > 0.0);
    assert!(site.counter("dropped_total", "repeated").await > 0.0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stream_of_killed_replica_is_resumed_whole() {
    let site = TestSite::start(1, 3).await;
    let streams: Vec<_> = (0..12).map(|n| format!("prompt {n} with words of its own")).collect();
    let target = site.daemons[0].callers;
    let tasks: Vec<_> = streams
        .into_iter()
        .map(|prompt| {
            let client = standin::load::Client::default();
            let planned = std::time::Instant::now();
            tokio::spawn(async move {
                client.stream(target, crate::support::KEY, "meal-planner", &prompt, 300, planned).await
            })
        })
        .collect();
    let busy = || async { (site.engines.iter().filter(|e| e.counts().running > 0).count() >= 2).then_some(()) };
    eventually("two engines are busy", busy).await;
    let busiest = site.engines.iter().max_by_key(|e| e.counts().running).expect("there are engines");
    busiest.kill();
    for task in tasks {
        assert_eq!(task.await.expect("the caller runs").ended, Ended::Whole);
    }
    assert!(site.counter("resumed_total", "").await > 0.0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stream_of_reclaimed_zone_moves_with_its_cache() {
    let mut site = TestSite::start(2, 3).await;
    let south = site.add_engine("models-1", "south").await;
    site.wait_until_serving().await;
    let load = tokio::spawn(run(site.load(30.0, 0.0, 6)));
    let busy = || async { (0..3).any(|n| site.engines[n].counts().running > 0).then_some(()) };
    eventually("an engine of the zone is busy", busy).await;
    for number in 0..3 {
        site.list_engine(number, "models-1", "north", InstanceState::Leaving);
    }
    let idle = || async { (0..3).all(|n| site.engines[n].counts().running == 0).then_some(()) };
    eventually("the leaving engines get no new work", idle).await;
    site.engines[..3].iter().for_each(standin::engine::Engine::kill);
    let report = load.await.expect("the load runs");
    assert_eq!((report.cut, report.wrong, report.whole), (0, 0, report.streams), "{report:?}");
    assert!(site.engines[south].counts().requests > 0);
    assert!(site.counter("resumed_total", "import").await > 0.0, "no stream was moved, so nothing was shown");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_that_crashes_replicas_is_refused_everywhere() {
    let site = TestSite::start(3, 6).await;
    site.all_engines(&EngineFaults { crash_on: "poison".into(), ..EngineFaults::default() });
    let bad = site.stream(0, "a prompt with poison in it", 20).await;
    let Ended::Refused(reason, run) = &bad.ended else { panic!("answered: {bad:?}") };
    assert_eq!((reason.as_str(), run.as_str()), ("crashes-back-ends", "may-have-run"));
    let refused = || async {
        let again = site.stream(2, "a prompt with poison in it", 20).await;
        matches!(&again.ended, Ended::Refused(reason, run) if reason == "crashes-back-ends" && run == "not-run")
            .then_some(())
    };
    eventually("another daemon refuses it without running it", refused).await;
    let innocent = site.stream(1, "a prompt without it", 20).await;
    assert_eq!(innocent.ended, Ended::Whole);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_beside_a_crash_is_not_condemned() {
    let site = TestSite::start(1, 4).await;
    site.all_engines(&EngineFaults { crash_on: "poison".into(), ..EngineFaults::default() });
    let target = site.daemons[0].callers;
    let innocents: Vec<_> = (0..8)
        .map(|n| {
            let client = standin::load::Client::default();
            let planned = std::time::Instant::now();
            tokio::spawn(async move {
                let prompt = format!("innocent {n}");
                client.stream(target, crate::support::KEY, "meal-planner", &prompt, 400, planned).await
            })
        })
        .collect();
    let busy = || async { site.engines.iter().all(|e| e.counts().running > 0).then_some(()) };
    eventually("all engines are busy", busy).await;
    site.stream(0, "poison", 20).await;
    for task in innocents {
        assert_eq!(task.await.expect("the caller runs").ended, Ended::Whole);
    }
    for n in 0..8 {
        assert_eq!(site.stream(0, &format!("innocent {n}"), 20).await.ended, Ended::Whole);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn caller_that_hangs_up_cancels_its_attempt() {
    let site = TestSite::start(1, 1).await;
    let target = site.daemons[0].callers;
    let caller = tokio::spawn(async move {
        let client = standin::load::Client::default();
        let planned = std::time::Instant::now();
        client.stream(target, crate::support::KEY, "meal-planner", "a long answer", 100_000, planned).await
    });
    let busy = || async { (site.engines[0].counts().tokens > 5).then_some(()) };
    eventually("the engine answers", busy).await;
    caller.abort();
    let idle = || async { (site.engines[0].counts().running == 0).then_some(()) };
    eventually("the engine has been told", idle).await;
}
