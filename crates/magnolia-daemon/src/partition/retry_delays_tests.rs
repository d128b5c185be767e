//! Tests of the delays before the next attempt of a failed task.

use magnolia_types::{JobId, Millis, TaskRef};

use super::retry_delays::RetryDelays;

/// Returns the delay after a number of failures, in milliseconds.
fn delay_after(failures: u32) -> u64 {
    let task = TaskRef::new(JobId::new_in("p0", 1).expect("an id"), 0);
    let mut delays = RetryDelays::new();
    delays.delay(task.clone(), failures, Millis::new(0));
    let mut times = 0..60_000;
    let end = times.find(|now| delays.expire(Millis::new(*now)) == [task.clone()]);
    end.expect("an end of the delay")
}

/// Guards against a task that is tried again at once or never, and against a delay that grows
/// without bound with the failures of a service.
#[test]
fn delays_double_up_to_a_bound() {
    assert_eq!([1, 2, 3, 4].map(delay_after), [200, 400, 800, 1600]);
    assert_eq!([8, 100, u32::MAX].map(delay_after), [10_000; 3]);
    assert_eq!(delay_after(0), 200, "a service that ended by itself");
}
