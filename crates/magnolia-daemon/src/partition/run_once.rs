//! Quick requests that are not repeatable: at most one run for each idempotency key.
//!
//! The intent of a request is journalled before the request is sent, and its outcome afterwards. A
//! request whose intent has no outcome may have run and is never sent again.

use std::sync::Arc;

use magnolia_protocol::{JobReply, QuickOutcome};
use magnolia_state::{JournalEntry, KeyLookup, KeyUse};
use magnolia_types::{
    CustomerName, IdempotencyKey, Millis, QuickSpec, RequestId, ResultCode, stable_hash,
};

use super::events::{CustomerKey, JournalWaiter, OnceIntent, OwnerEvent, ReplySender};
use super::owner::{PartitionOwner, refused, wall_clock};
use crate::quick;

/// Maximum length of an answer that is stored for repeats of a key. A journal record has to stay
/// under 1 MiB.
const MAX_KEPT_ANSWER_BYTES: usize = 512 << 10;

/// Message of a refusal because another partition stores the key.
pub(super) const KEY_MOVED: &str = "another partition keeps the key now; send the work again";

impl PartitionOwner {
    /// Journals the intent of a request; the request is sent once the intent is in the journal.
    pub(super) fn run_once(&mut self, request: RequestId, spec: QuickSpec, reply: ReplySender) {
        let Some(key) = spec.idempotency_key.clone() else {
            let message = "a request that may not repeat needs an idempotency key";
            reply.send(refused(ResultCode::KeyRequired, message)).ok();
            return;
        };
        let key = (spec.customer.clone(), key);
        let content = request_content(&spec);
        if let Some(known) = self.reply_for_known_key(&key, content) {
            reply.send(known).ok();
            return;
        }
        if !self.keeps_key(&key.0, &key.1) {
            reply.send(refused(ResultCode::NotOwner, KEY_MOVED)).ok();
            return;
        }
        if !self.is_serving() {
            let message = "the owner is handing over";
            reply.send(refused(ResultCode::Draining, message)).ok();
            return;
        }
        if !self.committer.is_healthy() {
            let message = "the log does not answer";
            reply
                .send(refused(ResultCode::LogUnavailable, message))
                .ok();
            return;
        }
        let now = self.now();
        let entry = JournalEntry::IntentRecorded {
            customer: key.0.clone(),
            key: key.1.clone(),
            request: request.clone(),
            content,
            key_set: self.key_set(),
            at: wall_clock(),
        };
        self.once_running.insert(key.clone(), None);
        let intent = OnceIntent {
            key,
            request,
            content,
            deadline: now.saturating_add(spec.deadline_ms),
            spec,
            reply,
        };
        let waiter = JournalWaiter::Once(Box::new(intent));
        self.committer.push_urgent(entry, waiter, true, now);
    }

    /// Returns the reply to a request whose key is known; `None` when the key is unused.
    fn reply_for_known_key(&self, key: &CustomerKey, content: u64) -> Option<JobReply> {
        let in_progress = || refused(ResultCode::InProgress, "the first request still runs");
        match self.table.lookup(&key.0, &key.1, content) {
            KeyLookup::Same(KeyUse::Request { outcome, .. }) => Some(match outcome {
                Some((code, text)) => JobReply::Once(QuickOutcome {
                    code,
                    text,
                    free_slots: 0,
                }),
                None if self.once_running.contains_key(key) => in_progress(),
                None => refused(
                    ResultCode::OutcomeUnknown,
                    "the first request may have run and is not run again",
                ),
            }),
            KeyLookup::Same(KeyUse::Job(_)) | KeyLookup::Reused => Some(refused(
                ResultCode::KeyReused,
                "the key was used with other content",
            )),
            KeyLookup::Unused if self.submitted_keys.contains_key(key) => {
                Some(refused(ResultCode::KeyReused, "the key was used for a job"))
            }
            KeyLookup::Unused => self.once_running.contains_key(key).then(in_progress),
        }
    }

    /// Sends a request whose intent is in the journal.
    pub(super) fn send_once(&mut self, intent: OnceIntent) {
        let entry = JournalEntry::IntentRecorded {
            customer: intent.key.0.clone(),
            key: intent.key.1.clone(),
            request: intent.request.clone(),
            content: intent.content,
            key_set: self.key_set(),
            at: wall_clock(),
        };
        self.table.apply(self.claim.epoch, &entry);
        self.once_running
            .insert(intent.key.clone(), Some(intent.reply));
        let left = intent.deadline.saturating_sub(self.now());
        if left == Millis::new(0) {
            let outcome = QuickOutcome {
                code: ResultCode::DeadlineExceeded,
                text: "the deadline passed before the request was sent".into(),
                free_slots: 0,
            };
            self.handle_once_outcome(&intent.key, outcome);
            return;
        }
        let spec = QuickSpec {
            deadline_ms: left,
            ..intent.spec
        };
        let (context, events) = (Arc::clone(&self.context), self.events.clone());
        let (key, request) = (intent.key, intent.request);
        tokio::spawn(async move {
            let outcome = quick::run_request(&context, request, spec).await;
            events.send(OwnerEvent::OnceDone { key, outcome }).ok();
        });
    }

    /// Journals the outcome of a request and sends it to the caller.
    pub(super) fn handle_once_outcome(&mut self, key: &CustomerKey, outcome: QuickOutcome) {
        let text: Arc<str> = if outcome.text.len() > MAX_KEPT_ANSWER_BYTES {
            format!("the answer of {} bytes was not kept", outcome.text.len()).into()
        } else {
            Arc::clone(&outcome.text)
        };
        let kept_code = match outcome.code {
            ResultCode::Ok if text != outcome.text => ResultCode::OutcomeUnknown,
            code => code,
        };
        let entry = JournalEntry::IntentResolved {
            customer: key.0.clone(),
            key: key.1.clone(),
            code: kept_code,
            text,
        };
        self.table.apply(self.claim.epoch, &entry);
        self.committer.push(entry, None, self.now());
        if let Some(Some(reply)) = self.once_running.remove(key) {
            reply.send(JobReply::Once(outcome)).ok();
        }
    }

    /// Refuses a request that was not sent.
    pub(super) fn refuse_once(&mut self, intent: OnceIntent, code: ResultCode, message: &str) {
        self.once_running.remove(&intent.key);
        intent.reply.send(refused(code, message)).ok();
    }

    /// Resolves open intents of earlier owners as unknown, because their requests may have been
    /// sent.
    pub(super) fn resolve_open_intents(&mut self) {
        for (customer, key, _) in self.table.open_intents() {
            let entry = JournalEntry::IntentResolved {
                customer,
                key,
                code: ResultCode::OutcomeUnknown,
                text: "the owner changed before the outcome was recorded".into(),
            };
            self.table.apply(self.claim.epoch, &entry);
            self.committer.push(entry, None, self.now());
        }
    }

    /// Tells whether this partition stores the key according to the configuration in force. If not,
    /// a daemon with an older configuration may have sent the operation here.
    pub(super) fn keeps_key(&self, customer: &CustomerName, key: &IdempotencyKey) -> bool {
        let partition = self.claim.unit.partition().unwrap_or_default();
        let keeps = self
            .context
            .with_document(|document| document.keeps_key(partition, customer, key));
        keeps.unwrap_or(false)
    }

    /// Returns a hash of the names of the partitions that store keys.
    fn key_set(&self) -> u64 {
        let partitions = self.context.with_document(|document| document.partitions());
        stable_hash(partitions.unwrap_or_default().join(",").as_bytes())
    }
}

/// Returns a hash of a request without its deadline, which is shorter at each repeat.
fn request_content(spec: &QuickSpec) -> u64 {
    let parts = [spec.customer.as_str(), spec.class.as_str(), &spec.body];
    stable_hash(parts.join("\u{0}").as_bytes())
}
