//! Client accounts of the configuration: their keys, shares and limits.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use magnolia_types::{ResourceVector, number_type, text_id, wire_types};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

text_id!(
    /// A client account of the configuration.
    AccountName
);
number_type!(
    /// Share of a client account, in thousandths of a job a second.
    AccountWeight,
    ""
);

wire_types! {
    /// Rules of a client account.
    pub struct AccountRules {
        /// Name of the account.
        pub name: AccountName,
        /// Its share when the cell is full.
        pub weight: AccountWeight,
        /// Most resources that its tasks may take on all executors together; an amount of zero is no
        /// limit.
        pub cap: ResourceVector,
    }
}

impl AccountRules {
    /// Creates the rules of an account without a share or limits of its own.
    pub fn new(name: AccountName) -> Self {
        Self {
            name,
            weight: AccountWeight::new(0),
            cap: ResourceVector::default(),
        }
    }

    /// Sets the share, in thousandths of a job a second.
    #[must_use]
    pub fn with_weight(mut self, weight: AccountWeight) -> Self {
        self.weight = weight;
        self
    }

    /// Sets the most resources that its tasks may take.
    #[must_use]
    pub fn with_cap(mut self, cap: ResourceVector) -> Self {
        self.cap = cap;
        self
    }
}

/// Digest of a caller's key. The key itself is neither kept nor sent to other daemons.
#[derive(Clone, Copy, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn new(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the part of the digest by which keys are found.
    fn index(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_be_bytes([a, b, c, d, e, f, g, h])
    }
}

/// Compares in constant time.
impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// Shows nothing of the digest, which would identify the key in a log.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// The client accounts of a version of the configuration, and their keys.
#[derive(Clone, Debug, Default)]
pub struct AccountDirectory {
    accounts: BTreeMap<AccountName, Arc<AccountRules>>,
    /// Keys by a part of their digest.
    keys: HashMap<u64, Vec<(KeyDigest, AccountName)>>,
}

impl AccountDirectory {
    /// Creates a directory without accounts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an account with its keys. Returns the accounts that had one of these keys before; such a
    /// key stays theirs.
    pub fn add(&mut self, rules: AccountRules, keys: &[KeyDigest]) -> Vec<AccountName> {
        let name = rules.name.clone();
        self.accounts.insert(name.clone(), Arc::new(rules));
        let mut holders = Vec::new();
        for key in keys {
            let found = self.keys.entry(key.index()).or_default();
            match found.iter().find(|(known, _)| known == key) {
                Some((_, holder)) if *holder != name => holders.push(holder.clone()),
                Some(_) => {}
                None => found.push((*key, name.clone())),
            }
        }
        holders
    }

    /// Returns the account that holds a key.
    pub fn account_of(&self, key: &KeyDigest) -> Option<&Arc<AccountRules>> {
        let found = self.keys.get(&key.index())?;
        let (_, name) = found.iter().find(|(known, _)| known == key)?;
        self.accounts.get(name)
    }

    /// Returns the rules of an account.
    pub fn get(&self, name: &AccountName) -> Option<&Arc<AccountRules>> {
        self.accounts.get(name)
    }

    /// Returns the accounts by name.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<AccountRules>> {
        self.accounts.values()
    }

    /// Returns the keys with their accounts.
    pub fn keys(&self) -> impl Iterator<Item = (&KeyDigest, &AccountName)> {
        self.keys
            .values()
            .flatten()
            .map(|(digest, name)| (digest, name))
    }
}

impl PartialEq for AccountDirectory {
    fn eq(&self, other: &Self) -> bool {
        let holds = |digest: &KeyDigest, name: &AccountName| {
            other.account_of(digest).map(|rules| &rules.name) == Some(name)
        };
        self.accounts == other.accounts
            && self.keys().count() == other.keys().count()
            && self.keys().all(|(digest, name)| holds(digest, name))
    }
}
