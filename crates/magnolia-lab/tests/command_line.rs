//! Command lines of magnoliactl against a running cell.

mod common;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use common::{cell, wait_partitions};
use magnolia_config::ConfigDocument;
use magnolia_lab::cell::RunningCell;
use magnolia_lab::history::HistoryEvent;
use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const README: &str = include_str!("../../../README.md");

/// Runs `magnoliactl` with arguments that are separated by spaces, except between double quotes.
async fn ctl(endpoints: &[SocketAddr], line: &str) -> Output {
    let program = env!("CARGO_BIN_EXE_magnolia-lab");
    let mut command = Command::new(program);
    command.arg("ctl").args(split_words(line));
    let list: Vec<String> = endpoints.iter().map(SocketAddr::to_string).collect();
    match list.is_empty() {
        true => command.env_remove("MAGNOLIA_ENDPOINTS"),
        false => command.env("MAGNOLIA_ENDPOINTS", list.join(",")),
    };
    command.stdin(Stdio::null());
    tokio::task::spawn_blocking(move || command.output())
        .await
        .expect("a thread")
        .expect("a process")
}

fn split_words(line: &str) -> Vec<String> {
    let mut words = Vec::new();
    for (index, part) in line.split('"').enumerate() {
        match index % 2 {
            0 => words.extend(part.split_whitespace().map(str::to_owned)),
            _ => words.push(part.to_owned()),
        }
    }
    words
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Runs a command and expects an exit code and a part of its output.
async fn expect(endpoints: &[SocketAddr], line: &str, code: i32, part: &str) -> String {
    let output = ctl(endpoints, line).await;
    let (out, err) = (stdout(&output), stderr(&output));
    let shown = format!("$ magnoliactl {line}\n{out}{err}");
    assert_eq!(output.status.code(), Some(code), "{shown}");
    assert!(out.contains(part) || err.contains(part), "{part}: {shown}");
    out
}

fn endpoints(cell: &RunningCell) -> Vec<SocketAddr> {
    cell.daemons.iter().map(|daemon| daemon.callers).collect()
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// Returns an address at which nothing listens.
async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    listener.local_addr().expect("an address")
}

/// Starts a server that reads each request and closes the connection without an answer.
async fn silent_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1024];
            // The number of bytes read does not matter.
            let _arrived = stream.read(&mut request).await;
        }
    });
    address
}

/// Guards against failures in the first session of a new user: configuration, a quick request, a
/// job and the commands that show their state.
#[tokio::test(flavor = "multi_thread")]
async fn a_first_session() {
    let cell = cell("first_session", 2).start().await.expect("a cell");
    cell.wait_owners(0).await.expect("owners");
    cell.wait_owners(1).await.expect("owners");
    wait_partitions(&cell).await;
    let to = endpoints(&cell);
    expect(&to, "status", 0, "It is not down").await;
    expect(&to, "config show", 0, "version 1").await;
    let quick = "request --customer board --class quick stock-of-goatskin";
    expect(&to, quick, 0, "answer to stock-of-goatskin").await;
    let submit = "submit --customer guild --class batch --tasks 4 --cpu-millis 1000 \
                  --memory-mib 256 --run-ms 50 --wait";
    let shown = expect(&to, submit, 0, "4 done").await;
    let job = shown
        .lines()
        .nth(1)
        .and_then(|line| line.split_whitespace().next());
    let job = job.expect("the row of the job").to_owned();
    expect(&to, &format!("get {job}"), 0, "done").await;
    expect(&to, &format!("wait {job} --timeout-ms 1000"), 0, "done").await;
    let json = expect(&to, &format!("get {job} --json"), 0, "").await;
    let json: Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(json["tasks"]["done"], 4, "{json}");
    let state = expect(&to, "state", 0, "claims").await;
    serde_json::from_str::<Value>(&state).expect("the state is JSON");
}

/// Returns the commands of the README, without the name of the program.
fn readme_commands() -> Vec<String> {
    let text = README.replace("\\\n", " ");
    let lines = text
        .lines()
        .filter_map(|line| line.strip_prefix("    magnoliactl "));
    lines.map(str::to_owned).collect()
}

/// Writes `examples/board.toml` with the back ends of the lab.
fn board_on_lab(cell: &RunningCell, folder: &Path) -> PathBuf {
    let text = std::fs::read_to_string(example("board.toml")).expect("an example");
    let mut document = ConfigDocument::from_toml(&text).expect("a valid example");
    document.data_centres = cell.document.data_centres.clone();
    document.racks = cell.document.racks.clone();
    document.executor_blocks = cell.document.executor_blocks.clone();
    let file = folder.join("board.toml");
    std::fs::write(&file, document.to_toml()).expect("a file");
    file
}

/// Guards against a README whose commands do not work as written.
#[tokio::test(flavor = "multi_thread")]
async fn the_commands_of_the_readme_succeed() {
    // The first work is sent while units have no owner yet; the tool has to repeat it.
    let cell = cell("readme_session", 1).start().await.expect("a cell");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("readme_session");
    let file = board_on_lab(&cell, &folder).display().to_string();
    let commands = readme_commands();
    assert!(commands.len() >= 7, "{commands:?}");
    for command in commands {
        let line = command.replace("examples/board.toml", &file);
        expect(&endpoints(&cell), &line, 0, "").await;
    }
}

/// Guards against a service that cannot be followed, explained and cancelled, and against a
/// repeated submission that makes a second job.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_is_followed_and_cancelled() {
    let cell = cell("service_session", 2).start().await.expect("a cell");
    cell.wait_owners(0).await.expect("owners");
    cell.wait_owners(1).await.expect("owners");
    wait_partitions(&cell).await;
    let to = endpoints(&cell);
    let submit = "submit --customer board --class service --kind service --tasks 2 \
                  --cpu-millis 1000 --memory-mib 256 --key watch-1";
    let job = expect(&to, submit, 0, "p0.").await.trim().to_owned();
    let again = expect(&to[1..], submit, 0, "p0.").await;
    assert_eq!(again.trim(), job, "one key, one job");
    let list = "--json list --customer board";
    let list: Value = serde_json::from_str(&expect(&to, list, 0, "").await).expect("JSON");
    assert_eq!(list["jobs"].as_array().map(Vec::len), Some(1), "{list}");
    assert_eq!(list["missing"], serde_json::json!([]), "{list}");
    expect(&to, &format!("explain {job}"), 0, "2 tasks").await;
    expect(&to, &format!("wait {job} --timeout-ms 100"), 6, &job).await;
    expect(&to, &format!("cancel {job}"), 0, &job).await;
    expect(&to, &format!("wait {job}"), 5, "cancelled").await;
    expect(&to, "list --state cancelled", 0, &job).await;
    let none = expect(&to, "list --state running", 0, "JOB").await;
    assert!(!none.contains(&job), "{none}");
}

/// Guards against a request that is not repeatable but runs again when it is sent again.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_not_repeat_runs_once() {
    let cell = cell("once_session", 2).start().await.expect("a cell");
    cell.wait_owners(0).await.expect("owners");
    cell.wait_owners(1).await.expect("owners");
    wait_partitions(&cell).await;
    let to = endpoints(&cell);
    let once = "request --customer board --class quick --not-repeatable --key once-1 one-skin";
    expect(&to, once, 0, "answer to one-skin").await;
    expect(&to[1..], once, 0, "answer to one-skin").await;
    let other = once.replace("one-skin", "two-skins");
    expect(&to, &other, 1, "KeyReused (108)").await;
    let history = cell.read_history().expect("a history");
    let runs = history.records.iter().filter(|record| {
        matches!(&record.event, HistoryEvent::RequestStarted { body, .. } if body.contains("skin"))
    });
    assert_eq!(runs.count(), 1);
}

/// Guards against a configuration change that is lost, or that reverts a change by another
/// operator.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_shown_edited_and_published() {
    let cell = cell("edit_config", 1).start().await.expect("a cell");
    cell.wait_owners(0).await.expect("owners");
    wait_partitions(&cell).await;
    let to = endpoints(&cell);
    let shown = expect(&to, "config show --toml", 0, "# version 1").await;
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("edit_config");
    let (first, second) = (folder.join("first.toml"), folder.join("second.toml"));
    assert_eq!(shown.matches("weight = 1").count(), 2, "{shown}");
    std::fs::write(&first, shown.replacen("weight = 1", "weight = 5", 1)).expect("a file");
    std::fs::write(&second, shown.replacen("weight = 1", "weight = 6", 1)).expect("a file");
    let publish = |file: &Path| format!("config publish --author test {}", file.display());
    let diff = format!("config diff {}", first.display());
    expect(&to, &diff, 0, "weight: 1 -> 5").await;
    expect(
        &to,
        &publish(&first),
        0,
        "version 2 is in force, 1 sections",
    )
    .await;
    expect(&to, &publish(&first), 0, "already is").await;
    expect(&to, &publish(&second), 1, "was changed by version 2").await;
    expect(&to, "config show", 0, "customer/board changed by version 2").await;
    let moved = folder.join("moved.toml");
    let newest = expect(&to, "config show --toml", 0, "# version 2").await;
    assert!(newest.contains("partition = \"p0\""), "{newest}");
    let text = newest.replace("partition = \"p0\"", "partition = \"p1\"");
    std::fs::write(&moved, text).expect("a file");
    expect(&to, &publish(&moved), 0, "key_set_confirmed").await;
    expect(&to, "status", 0, "key_set_confirmed").await;
    let faulty = folder.join("faulty.toml");
    std::fs::write(&faulty, "[cell]\nname = 3\n[rack]\n").expect("a file");
    let check = format!("config check {}", faulty.display());
    let output = ctl(&to, &check).await;
    let text = stderr(&output);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(
        text.contains("line 2: cell: name") && text.contains("line 3: rack"),
        "{text}"
    );
}

/// Guards against example files that the tool refuses.
#[tokio::test]
async fn the_examples_pass_the_check() {
    for name in ["board.toml", "hradecky.toml"] {
        let line = format!("config check {}", example(name).display());
        expect(&[], &line, 0, "50 workers, 50 executors").await;
    }
}

/// Guards against refusals that look like success, and against wrong exit codes for scripts.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_have_their_exit_codes() {
    let cell = cell("exit_codes", 1).start().await.expect("a cell");
    cell.wait_owners(0).await.expect("owners");
    wait_partitions(&cell).await;
    let to = endpoints(&cell);
    let unknown = "request --customer nobody --class quick x";
    expect(&to, unknown, 1, "UnknownCustomer (104)").await;
    let json = expect(&to, &format!("--json {unknown}"), 1, "").await;
    let json: Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!((&json["code"], &json["ran"]), (&104.into(), &"no".into()));
    expect(&to, "get p0.0000000000000000", 1, "no such job").await;
    expect(&to, "get a/b", 2, "ASCII letters").await;
    expect(&to, "list --state asleep", 2, "possible values").await;
    expect(
        &to,
        "config check no-such-file.toml",
        2,
        "no-such-file.toml",
    )
    .await;
    let no_key = "request --customer board --class quick --not-repeatable x";
    expect(&to, no_key, 2, "--key").await;
    expect(&to, "status --endpoint here", 2, "IP address and a port").await;
}

/// Guards against a call that is repeated at another endpoint although the first may have run it,
/// and against a call that fails although it could safely be repeated at the next endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn the_next_endpoint_is_tried_only_when_that_is_safe() {
    let cell = cell("endpoints", 1).start().await.expect("a cell");
    cell.wait_owners(0).await.expect("owners");
    wait_partitions(&cell).await;
    let daemon = cell.daemons[0].callers;
    let (closed, silent) = (closed_address().await, silent_server().await);
    expect(&[closed, daemon], "status", 0, "It is not down").await;
    expect(&[silent, daemon], "status", 0, "It is not down").await;
    expect(&[closed], "status", 3, "nothing was sent").await;
    let job = "submit --customer guild --class batch --cpu-millis 1 --memory-mib 1 --run-ms 1";
    expect(&[closed, daemon], job, 0, "p0.").await;
    expect(&[silent, daemon], job, 4, "may have taken effect").await;
    let keyed = format!("{job} --key endpoints-1");
    expect(&[silent, daemon], &keyed, 0, "p0.").await;
    let quick = "request --customer board --class quick --deadline-ms 2000 again";
    expect(&[silent, daemon], quick, 0, "answer to again").await;
}

/// Guards against help and completions that fail or lack a command.
#[tokio::test]
async fn help_and_completion_name_every_command() {
    let commands = [
        "config",
        "submit",
        "request",
        "list",
        "get",
        "wait",
        "cancel",
        "explain",
        "status",
        "state",
        "completion",
    ];
    for command in commands {
        expect(&[], "--help", 0, command).await;
        expect(&[], "completion bash", 0, command).await;
    }
    expect(&[], "--help", 0, "4  the outcome is unknown").await;
    expect(&[], "", 2, "").await;
}
