//! Tests of single decisions: admission, eligibility requests, pacing, health, leases, run numbers.

mod common;

use std::collections::BTreeSet;

use common::test_case;
use magnolia_bench::property_test;
use magnolia_scheduler::{
    AdmissionDecision, AdmissionLoad, Candidate, EligibilityQueue, ExecutorLease, HealthState,
    HealthTracker, JobKey, PaceDecision, PlacementAim, QueuedEligibilityRequest, RunNumber,
    StepRef, TaskRef, choose_executor, choose_executors_to_ask, decide_admission, decide_pace,
    speed_tier,
};
use magnolia_types::{Epoch, Millis};

/// Number of inputs of each property.
const INPUTS: u64 = 100;

fn request(priority: u32, order: u64, expected_ms: u64) -> QueuedEligibilityRequest {
    let step = StepRef {
        job: JobKey::new(order),
        occurrence: 0,
        step: 0,
    };
    QueuedEligibilityRequest {
        beyond_share: false,
        priority,
        order_unix_ms: order,
        step,
        executors: Vec::new(),
        expected_duration: Millis::new(expected_ms),
    }
}

test_case!(
    /// Guards against urgent eligibility requests that wait because long batch requests occupy
    /// every daemon.
    long_requests_leave_daemons_to_short_ones,
    || {
        let mut queue = EligibilityQueue::new();
        queue.set_daemons(&(0..7).collect());
        (0..20).for_each(|order| queue.push(request(2, order, 500)));
        assert_eq!(queue.dispatch().len(), 6);
        queue.push(request(0, 100, 30));
        assert_eq!(queue.dispatch().len(), 1);
        assert_eq!(queue.waiting(), 14);
    }
);

test_case!(
    /// Guards against a cell of one daemon that reserves it for short requests and never sends a
    /// long one.
    one_daemon_serves_all_requests,
    || {
        let mut queue = EligibilityQueue::new();
        queue.set_daemons(&BTreeSet::from([0]));
        queue.push(request(2, 1, 500));
        assert_eq!(queue.dispatch().len(), 1);
        queue.release(0, true);
        queue.push(request(2, 2, 500));
        queue.push(request(0, 3, 30));
        assert_eq!(queue.dispatch()[0].step.job, JobKey::new(3));
    }
);

test_case!(
    /// Guards against a refusal without a retry delay, or with one that is too short or too long.
    a_refused_job_learns_when_to_come_back,
    || {
        let load = AdmissionLoad {
            backlog_work: 100_000_000,
            capacity_millis: 1_000_000,
            eligibility_backlog: Millis::new(0),
            objective: Millis::new(10_000),
            critical_path: Millis::new(4000),
            account_work: 0,
            account_millis: None,
            beyond_share: false,
        };
        let AdmissionDecision::Refuse { retry_after, .. } = decide_admission(&load) else {
            panic!("accepted despite a backlog of 100 s");
        };
        assert!(retry_after >= Millis::new(1000) && retry_after <= Millis::new(10_000));
        let light = AdmissionLoad {
            backlog_work: 1_000_000,
            ..load
        };
        assert_eq!(decide_admission(&light), AdmissionDecision::Accept);
    }
);

test_case!(
    /// Guards against setting healthy executors aside because of one job that fails everywhere.
    one_failing_job_sets_no_executor_aside,
    || {
        let mut tracker = HealthTracker::default();
        let now = Millis::new(1000);
        for _ in 0..20 {
            assert!(!tracker.record_failure(JobKey::new(1), now));
        }
        assert!(tracker.record_failure(JobKey::new(2), now));
        assert_eq!(tracker.state(now), HealthState::SetAside);
        let later = Millis::new(4000);
        assert_eq!(tracker.state(later), HealthState::Trusted);
    }
);

test_case!(
    /// Guards against filler tasks that keep their CPU share while a tail latency is above its
    /// target.
    fillers_give_way_to_tasks_that_serve,
    || {
        assert_eq!(decide_pace(120, 100), PaceDecision::Set(0));
        assert_eq!(decide_pace(80, 100), PaceDecision::Set(50));
        assert_eq!(decide_pace(60, 40), PaceDecision::Keep);
        assert_eq!(decide_pace(20, 40), PaceDecision::Set(60));
        assert_eq!(decide_pace(20, 100), PaceDecision::Keep);
    }
);

test_case!(
    /// Guards against a lease that counts as expired while it still lasts on a slow executor clock.
    a_lease_ends_late_by_a_slow_clock,
    || {
        let mut lease = ExecutorLease::default();
        assert_eq!(lease.expires_at(), None);
        lease.observe(Millis::new(50_000), Millis::new(1000));
        lease.grant(Millis::new(53_000));
        let expires_at = lease.expires_at().expect("a reading");
        let shown = Millis::new(50_000 + (expires_at.get() - 1000) * 98 / 100);
        assert!(shown >= Millis::new(53_000), "expired at {expires_at}, clock at {shown}");
        lease.grant(Millis::new(52_000));
        assert_eq!(lease.expires_at(), Some(expires_at), "a lease never shortens");
    }
);

test_case!(
    /// Guards against steps that send requests at the same time and all name the same executors.
    steps_name_different_executors,
    || {
        let candidates = || -> Vec<Candidate> {
            (0..40)
                .map(|executor_index| Candidate {
                    executor_index,
                    fitting_tasks: 4,
                    spare_cpu: 30_000,
                    speed: 1.0,
                    speed_tier: 0,
                    near_data: true,
                    avoided: false,
                })
                .collect()
        };
        let first: BTreeSet<_> = choose_executors_to_ask(&mut candidates(), 10, 0.5, 100, 1, PlacementAim::Fit).into_iter().collect();
        let second: BTreeSet<_> = choose_executors_to_ask(&mut candidates(), 10, 0.5, 100, 2, PlacementAim::Fit).into_iter().collect();
        let shared = first.intersection(&second).count();
        assert!(shared * 4 < first.len() * 3, "{shared} of {} shared", first.len());
        assert!(choose_executors_to_ask(&mut candidates(), 10, 0.5, 3, 1, PlacementAim::Fit).len() <= 3);
    }
);

test_case!(
    /// Guards against urgent tasks on slow executors while fast ones have free capacity.
    urgent_tasks_go_to_fast_executors,
    || {
        let candidate = |executor_index, speed, spare_cpu| Candidate {
            executor_index,
            fitting_tasks: 1,
            spare_cpu,
            speed,
            speed_tier: speed_tier(speed),
            near_data: true,
            avoided: false,
        };
        let candidates = [candidate(0, 0.8, 60_000), candidate(1, 1.25, 10_000), candidate(2, 1.0, 30_000)];
        assert_eq!(choose_executor(&candidates, PlacementAim::Speed), Some(1));
        assert_eq!(choose_executor(&[], PlacementAim::Speed), None);
    }
);

test_case!(
    /// Guards against batch tasks that take the fast executors from urgent ones while slower ones have
    /// room, and that leave gaps on executors of one speed.
    batch_tasks_leave_fast_executors_free,
    || {
        let candidate = |executor_index, speed, spare_cpu| Candidate {
            executor_index,
            fitting_tasks: 1,
            spare_cpu,
            speed,
            speed_tier: speed_tier(speed),
            near_data: true,
            avoided: false,
        };
        let unlike = [candidate(0, 1.3, 10_000), candidate(1, 0.65, 60_000), candidate(2, 0.64, 30_000)];
        assert_eq!(choose_executor(&unlike, PlacementAim::Fit), Some(2), "the fullest slow one");
        assert_eq!(choose_executor(&unlike, PlacementAim::Room), Some(1), "the emptiest slow one");
        let alike = [candidate(0, 1.0, 60_000), candidate(1, 1.05, 10_000), candidate(2, 0.97, 30_000)];
        assert_eq!(choose_executor(&alike, PlacementAim::Fit), Some(1), "the fullest that fits");
    }
);

test_case!(
    /// Guards against a run number that does not increase with the epoch: executors refuse it.
    runs_of_a_later_epoch_are_higher,
    || {
        fn property(epoch: u16, first: u16, second: u16) -> bool {
            let epoch = u64::from(epoch) + 1;
            let before = RunNumber::new_in(Epoch::new(epoch), u64::from(first) + 1);
            let after = RunNumber::new_in(Epoch::new(epoch + 1), u64::from(second) + 1);
            before < after && before.get() >= 1
        }
        property_test(INPUTS).quickcheck(property as fn(u16, u16, u16) -> bool);
    }
);

test_case!(
    /// Guards against a task reference that is parsed differently than it was written; executors
    /// report runs by it.
    task_names_are_read_as_written,
    || {
        fn property(job: u64, occurrence: u32, step: u16, index: u32) -> bool {
            let step = StepRef { job: JobKey::new(job), occurrence, step };
            let task = TaskRef { step, index };
            task.to_string().parse() == Ok(task)
        }
        property_test(INPUTS).quickcheck(property as fn(u64, u32, u16, u32) -> bool);
    }
);

test_case!(
    /// Guards against text that parses as a task reference although it is not one.
    other_text_names_no_task,
    || {
        fn property(text: String) -> bool {
            match text.parse::<TaskRef>() {
                Ok(task) => task.to_string() == text,
                Err(_) => true,
            }
        }
        property_test(INPUTS).quickcheck(property as fn(String) -> bool);
    }
);
