//! What executors and clients saw, as lines of `record.txt` and as a list of starts and ends.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A start or an end that an executor saw.
#[derive(Clone, Debug)]
pub struct RunEvent {
    pub at_ms: u64,
    pub executor: String,
    pub task: String,
    pub run: u64,
    /// How the run ended; none for a start.
    pub end: Option<String>,
}

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    events: Mutex<Vec<RunEvent>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt")),
            events: Mutex::default(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:>7} ms  {text}", self.now_ms()).expect("record.txt");
    }

    fn event(&self, executor: &str, task: &str, run: u64, end: Option<&str>) {
        let what = end.map_or("started".to_owned(), |how| format!("ended: {how}"));
        self.line(&format!("{executor}: {task} run {run} {what}"));
        self.events.lock().unwrap().push(RunEvent {
            at_ms: self.now_ms(),
            executor: executor.to_owned(),
            task: task.to_owned(),
            run,
            end: end.map(str::to_owned),
        });
    }

    pub fn started(&self, executor: &str, task: &str, run: u64) {
        self.event(executor, task, run, None);
    }

    pub fn ended(&self, executor: &str, task: &str, run: u64, how: &str) {
        self.event(executor, task, run, Some(how));
    }

    /// Returns the starts and ends of the tasks of a job, in order.
    pub fn events_of(&self, job: &str) -> Vec<RunEvent> {
        let events = self.events.lock().unwrap();
        events.iter().filter(|event| event.task.starts_with(job)).cloned().collect()
    }

    pub fn has_started(&self, job: &str) -> bool {
        self.events_of(job).iter().any(|event| event.end.is_none())
    }
}
