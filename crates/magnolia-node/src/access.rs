//! Who may call: decides by the configuration in force which client account a caller belongs to.

use std::sync::Arc;

use magnolia_scheduler::{AccountRules, CellRules, KeyDigest, QueueRules};

use crate::callers::{AccountGrant, CallerAccess};

/// Decides on a request to `queue` with this key; `None` if the key is missing or unknown.
///
/// Callers of a public queue need no key, and their jobs belong to no account. So do all jobs of a
/// configuration without accounts.
pub fn check_access(
    rules: &CellRules,
    queue: &QueueRules,
    key: Option<&KeyDigest>,
) -> Option<CallerAccess> {
    let grant = match &rules.accounts {
        Some(directory) if !queue.public => {
            let key = key?;
            Some(AccountGrant {
                account: Arc::clone(directory.account_of(key)?),
                key: *key,
            })
        }
        _ => None,
    };
    Some(CallerAccess {
        version: rules.version,
        queue: queue.name.clone(),
        grant,
    })
}

/// Decides again on a request that another daemon has let through, or this one a moment ago; returns
/// the account of the caller, and `None` if its key is not valid any more.
///
/// A verdict by an older configuration than `rules` does not count: a key may have been withdrawn
/// since.
pub(crate) fn recheck_access(
    rules: &CellRules,
    access: &CallerAccess,
) -> Option<Option<Arc<AccountRules>>> {
    let granted = access.grant.as_ref();
    if rules.version <= access.version {
        return Some(granted.map(|grant| Arc::clone(&grant.account)));
    }
    let Some(directory) = &rules.accounts else {
        return Some(None);
    };
    let queue = rules.queues.get(&access.queue);
    if queue.is_some_and(|queue| queue.public) {
        return Some(None);
    }
    let account = directory.account_of(&granted?.key)?;
    Some(Some(Arc::clone(account)))
}
