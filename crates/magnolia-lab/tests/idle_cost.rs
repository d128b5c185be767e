//! Traffic of idle daemons in cells of different sizes.

use std::path::Path;
use std::time::Duration;

use magnolia_lab::cell::{CellBuilder, RunningCell};

/// Time after the start until owners and connections are stable.
const SETTLE: Duration = Duration::from_secs(5);
/// Duration of the measurement.
const MEASURED: Duration = Duration::from_secs(10);

/// Returns the bytes that each daemon has read and written since its start.
async fn bytes(cell: &RunningCell) -> Vec<u64> {
    let mut counts = Vec::new();
    for index in 0..cell.daemons.len() {
        let gauges = &cell.state(index).await.expect("a state")["gauges"];
        let count = |name: &str| gauges[name].as_u64().expect("a gauge");
        counts.push(count("http.read_bytes") + count("http.written_bytes"));
    }
    counts
}

/// Returns the traffic of each daemon in bytes per second, read and written, lowest first.
async fn measure(daemons: usize, workers: usize, executors: usize) -> Vec<u64> {
    let program = Path::new(env!("CARGO_BIN_EXE_magnolia-lab"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("idle_{daemons}_{workers}"));
    let cell = CellBuilder::new(program, &folder)
        .with_daemons(daemons)
        .with_backends(workers, executors)
        .with_data_centres(if executors > 3 { 3 } else { 1 })
        .start()
        .await
        .expect("the cell starts");
    tokio::time::sleep(SETTLE).await;
    // The read of the state is traffic as well, so the second of two reads is the baseline.
    bytes(&cell).await;
    let before = bytes(&cell).await;
    tokio::time::sleep(MEASURED).await;
    let after = bytes(&cell).await;
    let mut rates: Vec<u64> = after
        .iter()
        .zip(&before)
        .map(|(after, before)| (after - before) / MEASURED.as_secs())
        .collect();
    rates.sort_unstable();
    rates
}

/// Returns the traffic of the instance list in bytes per second. A daemon reads a short list once
/// per second, and a longer one so much less often that the traffic stays limited.
fn list_rate(daemons: u64) -> u64 {
    const ENTRY_BYTES: u64 = 110;
    const LIST_BYTES_PER_SECOND: u64 = 2000;
    (daemons * ENTRY_BYTES).min(LIST_BYTES_PER_SECOND)
}

/// Guards against traffic between daemons that grows with their number: without the instance list,
/// a daemon that owns nothing may have at most a quarter more in a cell of 14 than in one of 3.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of about a minute and a half; run with --ignored --nocapture"]
async fn idle_traffic_does_not_grow_with_the_cell() {
    let mut lowest = Vec::new();
    for daemons in [3_u8, 7, 14] {
        let rates = measure(daemons.into(), 1, 1).await;
        println!("{daemons} daemons, 1 worker, 1 executor: bytes/s per daemon {rates:?}");
        lowest.push(rates[0].saturating_sub(list_rate(daemons.into())));
    }
    println!("without the instance list: {lowest:?}");
    let rates = measure(7, 50, 50).await;
    println!("7 daemons, 50 workers, 50 executors: bytes/s per daemon {rates:?}");
    assert!(lowest[2] * 4 <= lowest[0] * 5, "{lowest:?}");
}
