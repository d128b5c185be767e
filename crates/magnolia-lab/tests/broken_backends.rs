//! End-to-end tests in which the checks detect misbehaving workers and executors.

mod common;

use common::{PARTITION, cell};
use magnolia_config::ConfigDocument;
use magnolia_http::HttpClient;
use magnolia_lab::checker::{check_capacity, check_single_place};
use magnolia_lab::load::LoadMix;
use magnolia_lab::scenario::ScenarioRun;
use magnolia_types::ResourceVector;
use serde_json::{Value, json};

/// Starts a cell whose configuration, workers and executors claim more capacity than they have.
async fn start_overstated(name: &str, change: impl Fn(&mut ConfigDocument)) -> ScenarioRun {
    let worker = json!({
        "ignore_limits": true, "claimed_capacity": {"cpu_millis": 256_000, "memory_mib": 1_000_000},
    });
    let executor = json!({"ignore_limits": true, "service_ms": 200, "claimed_slots": 64});
    let mut cell = cell(name, 1)
        .with_backends(1, 1)
        .with_data_centres(1)
        .with_backend_faults(&worker.to_string(), &executor.to_string())
        .start_unpublished()
        .await
        .expect("stand-ins");
    change(&mut cell.document);
    cell.start_daemon(0).expect("a start");
    cell.announce_instances().await.expect("a list");
    cell.publish_first(&cell.document)
        .await
        .expect("a publication");
    cell.wait_ready().await.expect("a ready daemon");
    ScenarioRun::new(cell).await.expect("owners")
}

/// Guards against a capacity check that misses a ninth request on eight slots.
#[tokio::test(flavor = "multi_thread")]
async fn executor_over_its_slots_is_detected() {
    let change = |document: &mut ConfigDocument| document.executor_blocks[0].slots = 64;
    let mut run = start_overstated("ninth_slot", change).await;
    let load = run.load(200, LoadMix::new_quick(), 3, 41).expect("a load");
    run.start_load(load);
    let history = run.finish().await.expect("histories");
    let found = check_capacity(&history);
    assert!(!found.is_empty(), "nothing was found");
    assert!(
        found
            .iter()
            .all(|violation| violation.description.contains("slots"))
    );
}

/// Guards against a capacity check that misses tasks that exceed the resources of a worker.
#[tokio::test(flavor = "multi_thread")]
async fn worker_over_its_capacity_is_detected() {
    let change = |document: &mut ConfigDocument| {
        document.racks[0].capacity = ResourceVector::new(256_000, 1 << 20, 0);
    };
    let run = start_overstated("overfull_worker", change).await;
    let job = json!({
        "customer": "guild", "class": "batch", "kind": "batch", "tasks": 40, "run_ms": 2000,
        "size": {"cpu_millis": 2000, "memory_mib": 100},
    });
    let job = common::submit(&run, 0, &job).await;
    common::wait_job(&run, 0, &job).await;
    let history = run.cell.read_history().expect("histories");
    assert!(!check_capacity(&history).is_empty(), "nothing was found");
}

async fn post(
    client: &HttpClient,
    worker: std::net::SocketAddr,
    path: &str,
    body: &Value,
) -> Value {
    let answer = client.post_json(worker, path, body, common::TIMEOUT).await;
    answer.expect("an answer").json().expect("JSON")
}

/// Guards against a "single place" check that misses a worker that carries out commands of a
/// superseded owner.
#[tokio::test(flavor = "multi_thread")]
async fn worker_that_ignores_fences_is_detected() {
    for (faults, is_broken) in [("{}", false), (r#"{"ignore_fences": true}"#, true)] {
        let name = format!("ignored_fences_{is_broken}");
        let builder = cell(&name, 1).with_backend_faults(faults, "{}");
        let cell = builder
            .start_unpublished()
            .await
            .expect("the stand-ins start");
        let workers = [cell.worker(0), cell.worker(1)];
        for worker in workers {
            while cell
                .client
                .get(worker, "/faults", common::TIMEOUT)
                .await
                .is_err()
            {
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
        let partition = PARTITION.trim_start_matches("partition:");
        // The new owner, with epoch 2, fences both workers and places the task on the second one.
        for (epoch, worker) in [(2, workers[1]), (1, workers[0])] {
            for fenced in workers.iter().filter(|_| epoch == 2) {
                let fence = json!({"partition": partition, "epoch": 2});
                post(&cell.client, *fenced, "/v1/fence", &fence).await;
            }
            let status = cell.client.get(worker, "/v1/status", common::TIMEOUT).await;
            let status: Value = status.expect("an answer").json().expect("JSON");
            let batch = json!({
                "partition": partition, "epoch": epoch, "incarnation": status["incarnation"],
                "reading_ms": status["clock_ms"], "lease_ms": 30_000, "start_window_ms": 12_000,
                "renew": false, "full_report": false,
                "starts": [{
                    "attempt": format!("a{epoch}"), "task": {"job": "p0.1", "task": 0},
                    "size": {"cpu_millis": 1, "memory_mib": 1, "accelerators": 0},
                    "run_ms": 60_000,
                }],
            });
            post(&cell.client, worker, "/v1/commands", &batch).await;
        }
        let history = cell.read_history().expect("histories");
        let found = check_single_place(&history);
        assert_eq!(!found.is_empty(), is_broken, "{found:?}");
    }
}
