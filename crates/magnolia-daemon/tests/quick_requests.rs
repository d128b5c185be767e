//! Quick requests through complete daemons: changes of owner, failing and leaving executors,
//! retries.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use magnolia_state::ClaimChange;
use magnolia_types::{Epoch, ResultCode};
use serde_json::Value;
use support::{ExecutorMode, SLOTS, TestCell, send_request, wait_for};

/// Number of requests that a background load keeps in flight.
const CONCURRENT_REQUESTS: usize = 40;

/// Keeps requests in flight through some daemons until it is stopped, and counts the answers.
struct BackgroundLoad {
    stopping: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl BackgroundLoad {
    /// Starts the load, spread over the given daemons.
    fn start(cell: &TestCell, entries: &[usize]) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let tasks = (0..CONCURRENT_REQUESTS).map(|task| {
            let address = cell.daemons[entries[task % entries.len()]].caller_address;
            let client = cell.client.clone();
            let (stopping, answered) = (Arc::clone(&stopping), Arc::clone(&answered));
            tokio::spawn(async move {
                let mut sent = 0;
                while !stopping.load(Ordering::SeqCst) {
                    sent += 1;
                    let body = format!("{task}-{sent}");
                    let Ok(answer) = send_request(&client, address, &body, 2000).await else {
                        continue;
                    };
                    if answer.status.is_success() {
                        let value: Value = answer.json().expect("JSON");
                        assert_eq!(value["answer"], format!("answer to {body}"));
                        answered.fetch_add(1, Ordering::SeqCst);
                    }
                }
            })
        });
        Self {
            stopping: Arc::clone(&stopping),
            answered: Arc::clone(&answered),
            tasks: tasks.collect(),
        }
    }

    /// Waits until more requests have been answered.
    async fn wait_for_progress(&self) {
        let before = self.answered.load(Ordering::SeqCst);
        wait_for("progress", async || {
            self.answered.load(Ordering::SeqCst) > before + 2 * CONCURRENT_REQUESTS
        })
        .await;
    }

    /// Stops the load and panics if an answer was wrong.
    async fn stop(self) {
        self.stopping.store(true, Ordering::SeqCst);
        for task in self.tasks {
            task.await.expect("right answers");
        }
    }
}

/// Guards against more requests on an executor than it has slots, when a new owner takes over while
/// requests of a killed owner are still running, and against answers to the wrong request.
#[tokio::test(flavor = "multi_thread")]
async fn slots_hold_when_the_owner_is_killed() {
    let mut cell = TestCell::start(3, &[2]).await;
    let owner = cell.owner(0).await.expect("an owner");
    let entries: Vec<usize> = (0..3).filter(|index| *index != owner).collect();
    let set_modes = |cell: &TestCell, mode| {
        let executors = cell.groups[0].iter();
        executors.for_each(|executor| executor.set_mode(mode));
    };
    set_modes(&cell, ExecutorMode::Hold);
    let load = BackgroundLoad::start(&cell, &entries);
    wait_for("full executors", async || {
        let mut executors = cell.groups[0].iter();
        executors.all(|executor| executor.busy() == SLOTS)
    })
    .await;
    cell.kill(owner);
    cell.update_instance_list();
    // The new owner has the status of all executors and queued requests, and no slot is free.
    wait_for("a queue at the new owner", async || {
        let Some(index) = cell.owner(0).await else {
            return false;
        };
        let state = cell.state(index).await.unwrap_or_default();
        let group = &state["groups"]["groups"]["group:g0"];
        let executors = group["executors"].as_array().cloned().unwrap_or_default();
        let known = |line: &Value| line["capacity"].as_u64() == Some(u64::from(SLOTS));
        executors.iter().all(known) && group["queued"].as_u64() > Some(0)
    })
    .await;
    set_modes(&cell, ExecutorMode::Answer(Duration::from_millis(20)));
    load.wait_for_progress().await;
    load.stop().await;
    for executor in &cell.groups[0] {
        assert!(executor.max_busy() <= SLOTS, "{}", executor.max_busy());
    }
}

/// Shows that the test executor accepts more requests than it has slots, so that the assertion in
/// `slots_hold_when_the_owner_is_killed` can fail.
#[tokio::test(flavor = "multi_thread")]
async fn executor_counts_beyond_its_slots_without_an_owner() {
    let cell = TestCell::start(1, &[1]).await;
    let executor = &cell.groups[0][0];
    executor.set_mode(ExecutorMode::Answer(Duration::from_millis(200)));
    let calls = (0..SLOTS + 4).map(|_| send_request(&cell.client, executor.address, "x", 1000));
    join_all(calls).await;
    assert!(executor.max_busy() > SLOTS);
}

/// Guards against a group that is handed over while requests that the new owner does not know of
/// are still running.
#[tokio::test(flavor = "multi_thread")]
async fn slots_hold_when_the_group_is_handed_over() {
    let mut cell = TestCell::start(3, &[2]).await;
    let owner = cell.owner(0).await.expect("an owner");
    let entries: Vec<usize> = (0..3).filter(|index| *index != owner).collect();
    for executor in &cell.groups[0] {
        executor.set_mode(ExecutorMode::Answer(Duration::from_millis(20)));
    }
    let load = BackgroundLoad::start(&cell, &entries);
    load.wait_for_progress().await;
    // Daemons that do not know of each other yet may both claim the first epoch.
    let before = cell.claims().len();
    let status = cell.stop(owner).await.expect("an exit status");
    assert_eq!(status, magnolia_daemon::ExitStatus::Success);
    load.wait_for_progress().await;
    load.stop().await;
    for executor in &cell.groups[0] {
        assert!(executor.max_busy() <= SLOTS, "{}", executor.max_busy());
    }
    // After the stop, only the successor has claimed the group, at the next epoch.
    let claims = cell.claims();
    let [ClaimChange::Claim(claim)] = &claims[before..] else {
        panic!("claims after the stop: {claims:#?}");
    };
    assert_eq!(claim.epoch, Epoch::new(2));
}

/// Guards against an owner that resumes after a pause and sends requests to slots that another
/// owner uses by then.
#[tokio::test(flavor = "multi_thread")]
async fn slots_hold_when_the_owner_was_paused() {
    let cell = TestCell::start(3, &[2]).await;
    let owner = cell.owner(0).await.expect("an owner");
    for executor in &cell.groups[0] {
        executor.set_mode(ExecutorMode::Answer(Duration::from_millis(20)));
    }
    // Requests also reach the paused daemon and wait there until it resumes.
    let load = BackgroundLoad::start(&cell, &[0, 1, 2]);
    load.wait_for_progress().await;
    let paused = cell.pause(owner);
    let others: Vec<usize> = (0..3).filter(|index| *index != owner).collect();
    wait_for("a new owner", async || {
        let mut owned = false;
        for index in &others {
            let state = cell.state(*index).await.unwrap_or_default();
            owned |= state["groups"]["groups"]["group:g0"].is_object();
        }
        owned
    })
    .await;
    // With the log unavailable, the old owner can learn only from peers that it was replaced.
    cell.log.is_unavailable.store(true, Ordering::SeqCst);
    drop(paused);
    wait_for("the old owner to step down", async || {
        let state = cell.state(owner).await.unwrap_or_default();
        let groups = state["groups"]["groups"].as_object();
        groups.is_some_and(serde_json::Map::is_empty)
    })
    .await;
    load.wait_for_progress().await;
    load.stop().await;
    for executor in &cell.groups[0] {
        assert!(executor.max_busy() <= SLOTS, "{}", executor.max_busy());
    }
}

/// Guards against an owner that goes on sending when it is cut off, so that the next owner and it
/// use the same slots.
#[tokio::test(flavor = "multi_thread")]
async fn slots_hold_when_the_owner_is_cut_off_alone() {
    check_slots_of_isolated_owner(0).await;
}

/// Guards against an owner and a peer, cut off together from the log and from the next owner, that
/// keep up each other's confirmations.
#[tokio::test(flavor = "multi_thread")]
async fn slots_hold_when_the_owner_and_a_peer_are_cut_off_together() {
    check_slots_of_isolated_owner(1).await;
}

/// Cuts the owner of a group off, together with `peers` of the other three daemons, and checks that
/// it uses no slots once the next owner serves the group.
async fn check_slots_of_isolated_owner(peers: usize) {
    let mut cell = TestCell::start(4, &[2]).await;
    let owner = cell.owner(0).await.expect("an owner");
    let (inside, outside): (Vec<usize>, Vec<usize>) =
        (0..4).partition(|index| (index + 4 - owner) % 4 <= peers);
    cell.isolate(&inside);
    wait_for("a new owner", async || {
        let mut owned = false;
        for index in &outside {
            let state = cell.state(*index).await.unwrap_or_default();
            owned |= state["groups"]["groups"]["group:g0"].is_object();
        }
        owned
    })
    .await;
    for executor in &cell.groups[0] {
        executor.set_mode(ExecutorMode::Hold);
    }
    // Started after the takeover: an entry reaches the owner at the address in its claim, past the
    // cut.
    let load = BackgroundLoad::start(&cell, &outside);
    wait_for("full executors", async || {
        let mut executors = cell.groups[0].iter();
        executors.all(|executor| executor.busy() == SLOTS)
    })
    .await;
    join_all((0..SLOTS).map(|_| cell.request(owner, "inside", 1000))).await;
    for executor in &cell.groups[0] {
        executor.set_mode(ExecutorMode::Answer(Duration::ZERO));
    }
    load.wait_for_progress().await;
    load.stop().await;
    for executor in &cell.groups[0] {
        assert!(executor.max_busy() <= SLOTS, "{}", executor.max_busy());
    }
}

/// Guards against new requests to an executor that reports that it is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_executor_gets_nothing_new() {
    let cell = TestCell::start(2, &[2]).await;
    let owner = cell.owner(0).await.expect("an owner");
    let leaving = &cell.groups[0][0];
    cell.wait_until_answered(0, "before").await;
    leaving.leave();
    wait_for("notice of the leaving executor", async || {
        let state = cell.state(owner).await.unwrap_or_default();
        let executors = &state["groups"]["groups"]["group:g0"]["executors"];
        executors
            .as_array()
            .is_some_and(|all| all.iter().any(|line| line["leaving"] == true))
    })
    .await;
    let before = leaving.requests();
    for index in 0..50 {
        let answer = cell.request(index % 2, "after", 5000).await;
        assert!(answer.expect("an answer").status.is_success());
    }
    assert_eq!(leaving.requests(), before);
    assert!(cell.groups[0][1].requests() >= 50);
}

/// Guards against retries that multiply the load when executors fail: retries are limited to a
/// tenth of the requests plus the bursts of the budgets.
#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_within_the_budget_when_all_executors_fail() {
    let cell = TestCell::start(2, &[2, 2]).await;
    let executors: Vec<_> = cell.groups.iter().flatten().collect();
    for executor in &executors {
        executor.set_mode(ExecutorMode::Refuse);
    }
    let requests = 400;
    for index in 0..requests {
        let answer = cell.request(index % 2, "x", 300).await.expect("an answer");
        let body: Value = answer.json().expect("JSON");
        assert_eq!(body["ran"], "no", "{body}");
    }
    let arrived: usize = executors.iter().map(|executor| executor.requests()).sum();
    // Each executor has a budget at its owner, and each group has one at each entry.
    let budgets = executors.len() + 2 * cell.groups.len();
    let bound = requests + requests / 10 + 10 * budgets;
    // Without a budget each request would have been tried at both owners.
    assert!(bound < requests * cell.groups.len());
    assert!(arrived <= bound, "{arrived} attempts, bound {bound}");
    let mut retries = 0;
    for index in 0..2 {
        let counters = &cell.state(index).await.expect("a state")["counters"];
        let names = ["quick.retries", "quick.executor_retries", "quick.hedges"];
        let counted = names.iter().filter_map(|name| counters[*name].as_u64());
        retries += usize::try_from(counted.sum::<u64>()).expect("a small number");
    }
    assert!(retries > 0);
    assert!(retries <= bound - requests, "{retries} retries");
}

/// Guards against requests that fail although another executor works, and against an executor that
/// gets no requests after it has recovered.
#[tokio::test(flavor = "multi_thread")]
async fn failed_executor_is_avoided_and_used_again() {
    let cell = TestCell::start(1, &[2]).await;
    let [failing, working] = &cell.groups[0][..] else {
        panic!("two executors");
    };
    failing.set_mode(ExecutorMode::Refuse);
    let mut refused = 0;
    for _ in 0..50 {
        let answer = cell.request(0, "x", 2000).await.expect("an answer");
        refused += usize::from(!answer.status.is_success());
    }
    assert_eq!(refused, 0);
    assert!(working.requests() >= 50);
    failing.set_mode(ExecutorMode::Answer(Duration::from_millis(1)));
    let before = failing.requests();
    wait_for("work for the repaired executor", async || {
        cell.request(0, "x", 2000).await.expect("an answer");
        failing.requests() > before + 10
    })
    .await;
}

/// Guards against a request that stays in the queue, or runs, after its caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn queued_request_of_a_disconnected_caller_is_withdrawn() {
    let cell = TestCell::start(1, &[1]).await;
    let executor = &cell.groups[0][0];
    executor.set_mode(ExecutorMode::Hold);
    let address = cell.daemons[0].caller_address;
    let send = |body: &'static str| {
        let client = cell.client.clone();
        tokio::spawn(async move { send_request(&client, address, body, 60_000).await })
    };
    let blockers: Vec<_> = (0..SLOTS).map(|_| send("blocker")).collect();
    wait_for("full slots", async || executor.busy() == SLOTS).await;
    let disconnected = send("withdrawn");
    let queued = async || {
        let state = cell.state(0).await.unwrap_or_default();
        state["groups"]["groups"]["group:g0"]["queued"].as_u64()
    };
    wait_for("a queued request", async || queued().await == Some(1)).await;
    disconnected.abort();
    // All slots are still held, so only a withdrawal can empty the queue.
    wait_for("an empty queue", async || queued().await == Some(0)).await;
    assert_eq!(executor.busy(), SLOTS);
    executor.set_mode(ExecutorMode::Answer(Duration::from_millis(1)));
    for blocker in blockers {
        blocker.await.expect("a task").expect("an answer");
    }
    cell.wait_until_answered(0, "later").await;
    assert_eq!(executor.count_body("withdrawn"), 0);
    assert_eq!(executor.count_body("later"), 1);
}

/// Guards against the report "not run" for requests that an executor received and never answered,
/// and against new requests to slots that are still held.
#[tokio::test(flavor = "multi_thread")]
async fn hanging_executor_leaves_unknown_outcomes_within_its_slots() {
    let cell = TestCell::start(1, &[1]).await;
    let executor = &cell.groups[0][0];
    executor.set_mode(ExecutorMode::Hang);
    let calls = (0..20).map(|index| {
        let body = format!("r{index}");
        let cell = &cell;
        async move {
            let answer = cell.request(0, &body, 300).await.expect("an answer");
            (body, answer.json::<Value>().expect("JSON"))
        }
    });
    for (body, answer) in join_all(calls).await {
        let arrived = executor.count_body(&body);
        if answer["ran"] == "no" {
            assert_eq!(arrived, 0, "{answer}");
        } else {
            let unknown = u64::from(ResultCode::OutcomeUnknown.number());
            assert_eq!(answer["code"].as_u64(), Some(unknown));
        }
    }
    assert!(executor.max_busy() <= SLOTS);
}

/// Guards against repeatable requests that wait for an executor that does not answer although
/// another group has free slots: they are hedged within the retry budget.
#[tokio::test(flavor = "multi_thread")]
async fn repeatable_requests_are_hedged() {
    let cell = TestCell::start(1, &[1, 1]).await;
    cell.wait_until_answered(0, "before").await;
    let [hanging, working] = &cell.groups[..] else {
        panic!("two groups");
    };
    hanging[0].set_mode(ExecutorMode::Hang);
    let mut answered = 0;
    while hanging[0].requests() < 2 {
        let answer = cell.request(0, "x", 5000).await.expect("an answer");
        assert!(answer.status.is_success(), "{:?}", answer.body);
        answered += 1;
    }
    assert!(working[0].requests() >= answered);
}

/// Guards against an outage of the log that stops quick requests.
#[tokio::test(flavor = "multi_thread")]
async fn quick_requests_continue_while_the_log_is_unavailable() {
    let cell = TestCell::start(2, &[1]).await;
    cell.log.is_unavailable.store(true, Ordering::SeqCst);
    // Longer than the maximum age of a confirmation of the claims (2 s).
    tokio::time::sleep(Duration::from_millis(2500)).await;
    for index in 0..20 {
        let answer = cell.request(index % 2, "x", 2000).await.expect("an answer");
        assert!(answer.status.is_success(), "{:?}", answer.body);
    }
}

/// Guards against traffic that grows with the number of daemons: in an idle cell, a daemon is
/// probed only by its neighbours on the ring.
#[tokio::test(flavor = "multi_thread")]
async fn idle_daemons_probe_only_their_neighbours() {
    let cell = TestCell::start(5, &[1]).await;
    for index in 0..5 {
        wait_for("end of the requested probes", async || {
            let state = cell.state(index).await.unwrap_or_default();
            let probed = state["members"]["probed_besides_ring"].as_array();
            probed.is_some_and(Vec::is_empty)
        })
        .await;
    }
}
