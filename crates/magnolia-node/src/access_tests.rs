//! Tests of the verdict on the key of a caller, at the daemon that it asked and again at the owner.

use std::sync::Arc;

use magnolia_scheduler::{
    AccountDirectory, AccountName, AccountRules, CellRules, CellVersion, KeyDigest, QueueName,
    QueueRules, ServiceName,
};
use magnolia_types::Millis;

use crate::access::{check_access, recheck_access};

/// Returns a configuration whose queue may be public; each account is named with its key.
fn rules(version: u64, public: bool, accounts: Option<&[(&str, &str)]>) -> CellRules {
    let queue = QueueRules {
        name: QueueName::new("urgent").expect("valid name"),
        host: "jobs.example".into(),
        path: "/urgent/".into(),
        service: ServiceName::new("desk").expect("valid name"),
        priority: 0,
        max_attempts: 1,
        stretch_permille: 1000,
        latency_target: Millis::new(0),
        advice: None,
        public,
    };
    let directory = accounts.map(|accounts| {
        let mut directory = AccountDirectory::new();
        for (name, key) in accounts {
            let rules = AccountRules::new(AccountName::new(name).expect("valid name"));
            directory.add(rules, &[KeyDigest::new(key.as_bytes())]);
        }
        Arc::new(directory)
    });
    CellRules {
        version: CellVersion::new(version),
        queues: [(queue.name.clone(), Arc::new(queue))].into(),
        accounts: directory,
        ..CellRules::default()
    }
}

/// Returns the verdict of a daemon on a key and then of an owner: the account's name, or an empty text
/// for a call that needs no key; none if one of them rejects it.
fn verdict(daemon: &CellRules, owner: &CellRules, key: Option<&str>) -> Option<String> {
    let key = key.map(|key| KeyDigest::new(key.as_bytes()));
    let queue = daemon.queues.values().next().expect("a queue");
    let access = check_access(daemon, queue, key.as_ref())?;
    let account = recheck_access(owner, &access)?;
    Some(account.map_or_else(String::new, |account| account.name.to_string()))
}

macro_rules! verdict_test {
    ($(#[$meta:meta])* $name:ident, $daemon:expr, $owner:expr, $key:expr, $expected:expr) => {
        $(#[$meta])*
        #[test]
        fn $name() {
            let expected: Option<&str> = $expected;
            assert_eq!(verdict(&$daemon, &$owner, $key).as_deref(), expected);
        }
    };
}

const FIRST: &[(&str, &str)] = &[("first", "key-1"), ("second", "key-2")];
const WITHDRAWN: &[(&str, &str)] = &[("second", "key-2")];
const MOVED: &[(&str, &str)] = &[("second", "key-1")];

verdict_test!(
    /// Guards against a valid key that is rejected.
    a_known_key_names_its_account,
    rules(1, false, Some(FIRST)), rules(1, false, Some(FIRST)), Some("key-1"), Some("first")
);
verdict_test!(
    /// Guards against calls without a key to a queue that needs one.
    a_missing_key_is_rejected,
    rules(1, false, Some(FIRST)), rules(1, false, Some(FIRST)), None, None
);
verdict_test!(
    /// Guards against a withdrawn key that works through a daemon that is behind.
    an_owner_trusts_no_older_verdict,
    rules(1, false, Some(FIRST)), rules(2, false, Some(WITHDRAWN)), Some("key-1"), None
);
verdict_test!(
    /// Guards against an owner that is behind and rejects a key that has just been added.
    an_owner_behind_takes_the_newer_verdict,
    rules(2, false, Some(FIRST)), rules(1, false, Some(WITHDRAWN)), Some("key-1"), Some("first")
);
verdict_test!(
    /// Guards against a job that goes to the account that a key had before.
    a_moved_key_names_its_newer_account,
    rules(1, false, Some(FIRST)), rules(2, false, Some(MOVED)), Some("key-1"), Some("second")
);
verdict_test!(
    /// Guards against a public queue that asks for keys.
    a_public_queue_needs_no_key,
    rules(1, true, Some(FIRST)), rules(1, true, Some(FIRST)), None, Some("")
);
verdict_test!(
    /// Guards against a queue that is not public any more and is served without a key through a daemon
    /// that is behind.
    a_queue_that_became_closed_needs_a_key,
    rules(1, true, Some(FIRST)), rules(2, false, Some(FIRST)), None, None
);
verdict_test!(
    /// Guards against configurations without accounts that ask for keys.
    without_accounts_no_key_is_needed,
    rules(1, false, None), rules(1, false, None), None, Some("")
);
