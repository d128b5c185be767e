//! Election of the owner: pings, claims and handovers.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use magnolia_types::{Epoch, Millis};
use tokio::time::sleep;

use crate::membership::{CellView, EarlierClaim, MemberRecord, OwnerClaim, claim_record};
use crate::node::{CellNode, STORE_RETRY_DELAY};
use crate::owner::OwnerSession;
use crate::peer_messages::{PeerReply, PeerRequest, PingReply, PingRequest};
use crate::ports::{AppendCondition, AppendOutcome, StreamName};

/// Interval of the pings that the first candidates send to the owner.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of the pings of all other daemons.
const SLOW_PING_INTERVAL: Duration = Duration::from_millis(700);
/// Number of candidates that ping the owner at the short interval.
const FREQUENT_PINGERS: usize = 3;
/// Longest wait for the answer to a ping, and for each step of a handover: many round trips, also
/// on a slow instance.
const PING_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without contact with the owner after which the first candidate claims ownership.
const OWNER_TIMEOUT: Millis = Millis::new(600);
/// Limit of the tries of one claim. While all daemons start, each registration moves the end of the
/// stream, which makes a claim fail.
const MAX_CLAIM_TRIES: u32 = 20;
/// Time by which each candidate waits longer than the candidate before it.
const RANK_DELAY: Millis = Millis::new(300);

impl CellNode {
    /// Pings the owner, and claims ownership if the owner has failed.
    pub(crate) async fn watch_owner(self: Arc<Self>) {
        let mut view = self.cell.subscribe();
        // The owner is not known before the stream has been read.
        if view.wait_for(|view| view.loaded).await.is_err() {
            return;
        }
        loop {
            let interval = self.ping_owner().await;
            if self.is_claim_due() {
                self.claim().await;
            }
            tokio::select! {
                () = sleep(interval) => {}
                () = self.claim_requested.notified() => self.claim().await,
                () = self.ping_requested.notified() => {}
            }
        }
    }

    /// Pings the owner once; returns the time until the next ping.
    pub(crate) async fn ping_owner(self: &Arc<Self>) -> Duration {
        let Some(claim) = self.cell.borrow().owner.clone() else {
            return PING_INTERVAL;
        };
        if claim.member.incarnation == self.incarnation {
            self.open_session(claim.epoch);
            return PING_INTERVAL;
        }
        let message = self.ping_request(claim.epoch);
        let address = claim.member.address;
        let reply = self
            .peers
            .call(address, &message, PING_TIMEOUT, Duration::ZERO);
        match reply.await {
            Ok(PeerReply::Ping(reply)) => self.apply_ping_reply(&claim, reply).await,
            Ok(other) => log::warn!(reply:? = other; "unexpected reply to a ping"),
            Err(error) => {
                let refused = matches!(error, magnolia_http::HttpError::Refused);
                let mut contact = self
                    .owner_contact
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                contact.refused |= refused;
                drop(contact);
                log::debug!(owner:% = claim.member.name, error:% = error;
                    "ping to the owner failed");
            }
        }
        if self.rank() < FREQUENT_PINGERS {
            PING_INTERVAL
        } else {
            SLOW_PING_INTERVAL
        }
    }

    /// Returns a ping for the owner of an epoch.
    fn ping_request(&self, epoch: Epoch) -> PeerRequest {
        PeerRequest::Ping(PingRequest {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            epoch,
            stopping: self.is_stopping(),
        })
    }

    /// Records what the owner answered, and fetches its configuration if that is newer.
    pub(crate) async fn apply_ping_reply(self: &Arc<Self>, claim: &OwnerClaim, reply: PingReply) {
        let now = self.clock.now();
        let owns = reply.owned == Some(claim.epoch);
        {
            let mut contact = self
                .owner_contact
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if owns {
                contact.last_heard_at = now;
                contact.live.clone_from(&reply.live);
            }
            // Another process listens at the address, or the process there gave ownership up. Just
            // after a new claim was read, its owner may still have to open the session.
            contact.refused = !owns && now.saturating_sub(contact.last_heard_at) > RANK_DELAY;
        }
        if owns {
            self.update_relays();
        }
        if reply.version > self.rules.borrow().version {
            crate::rules_feed::fetch_rules(self, claim.member.address).await;
        }
    }

    /// Returns the number of live candidates that come before this daemon, or `FREQUENT_PINGERS` if
    /// it is no candidate itself.
    pub(crate) fn rank(&self) -> usize {
        let view = self.cell.borrow();
        let live = self.live_names();
        let owner = view.owner.as_ref().map(|claim| claim.member.name.clone());
        view.candidates()
            .iter()
            .filter(|member| Some(&member.name) != owner.as_ref())
            .filter(|member| live.is_empty() || live.contains(&member.name))
            .position(|member| member.name == self.settings.name)
            .unwrap_or(FREQUENT_PINGERS)
    }

    /// Tells whether the owner has been out of contact for so long that this daemon claims
    /// ownership.
    pub(crate) fn is_claim_due(&self) -> bool {
        if self.is_stopping() || self.abstains() || self.session().is_some() {
            return false;
        }
        let owner = self.cell.borrow().owner.clone();
        let now = self.clock.now();
        let contact = self
            .owner_contact
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let silence = now.saturating_sub(contact.last_heard_at);
        let rank = u64::try_from(self.rank()).unwrap_or(u64::MAX);
        let rank_delay = Millis::new(RANK_DELAY.get().saturating_mul(rank));
        let limit = match owner {
            // This daemon has no open session for its own claim, for example after a restart.
            Some(claim) if claim.member.name == self.settings.name => Millis::new(0),
            Some(_) if contact.refused => rank_delay,
            Some(_) => OWNER_TIMEOUT.saturating_add(rank_delay),
            None => rank_delay,
        };
        silence >= limit
    }

    /// Claims ownership; tries again if another record that is no claim was appended first.
    pub(crate) async fn claim(self: &Arc<Self>) {
        let known_epoch = self.cell.borrow().owner_epoch();
        for _ in 0..MAX_CLAIM_TRIES {
            let moved = self.claim_once().await;
            if !moved || self.cell.borrow().owner_epoch() != known_epoch {
                break;
            }
        }
        // A claim is sent by several paths, and the path by which it was stored may not be the
        // first to answer.
        let owner = self.cell.borrow().owner.clone();
        if let Some(claim) = owner.filter(|claim| claim.member.incarnation == self.incarnation) {
            self.open_session(claim.epoch);
        }
    }

    /// Claims ownership once. The store accepts only one of several claims at the same end of the
    /// stream. Returns whether the claim failed because the stream had moved on, and the stream was
    /// read again.
    async fn claim_once(self: &Arc<Self>) -> bool {
        if self.is_stopping() {
            return false;
        }
        let (claim, next) = {
            let view = self.cell.borrow();
            let claim = OwnerClaim::new(self.member(), view.owner.as_ref(), self.clock.unix_ms());
            (claim, view.next)
        };
        let epoch = claim.epoch;
        let record = match claim_record(&claim) {
            Ok(record) => record,
            Err(error) => {
                log::error!(error:% = error; "can't encode the claim");
                return false;
            }
        };
        let condition = AppendCondition::EndsAt(next);
        let asked = self.clock.now();
        let outcome = self
            .store
            .append(StreamName::Cell, std::slice::from_ref(&record), condition)
            .await;
        let now = self.clock.now();
        let silence = now.saturating_sub(
            self.owner_contact
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .last_heard_at,
        );
        let took = now.saturating_sub(asked);
        log::info!(epoch:% = epoch, at:% = next, rank = self.rank(), owner_silent:% = silence,
            took:% = took, outcome:? = outcome; "ownership claimed");
        match outcome {
            Ok(AppendOutcome::Stored { end }) if end.get() == next.get() + 1 => {
                self.apply_cell_page(std::slice::from_ref(&record), end);
                self.open_session(epoch);
                false
            }
            // The claim may still have been stored; the stream shows whether it was.
            outcome => {
                let moved = matches!(outcome, Ok(AppendOutcome::Moved { .. }));
                match self.catch_up().await {
                    Ok(()) => moved,
                    Err(error) => {
                        log::warn!(error:% = error;
                            "reading the stream of the cell after a claim failed");
                        sleep(STORE_RETRY_DELAY).await;
                        false
                    }
                }
            }
        }
    }

    /// Asks the candidates in turn to claim ownership, until the claim of one is known.
    pub(crate) async fn hand_over(&self, session: &OwnerSession) {
        let mut candidates: Vec<MemberRecord> = {
            let view = self.cell.borrow();
            let others = view.candidates().into_iter();
            let others = others.filter(|member| member.name != self.settings.name);
            others.cloned().collect()
        };
        // Live daemons come first, but all are asked: a new owner has received no pings yet.
        let live = session.live_names();
        candidates.sort_by_key(|member| !live.contains(&member.name));
        let message = PeerRequest::TakeOver(session.epoch());
        for member in candidates {
            let limit = PING_TIMEOUT;
            let reply = self
                .peers
                .call(member.address, &message, limit, Duration::ZERO);
            if !matches!(reply.await, Ok(PeerReply::Done)) {
                continue;
            }
            let mut view = self.cell.subscribe();
            let epoch = session.epoch();
            let later =
                |view: &CellView| view.owner.as_ref().is_some_and(|claim| claim.epoch > epoch);
            let wait = tokio::time::timeout(PING_TIMEOUT, view.wait_for(later)).await;
            if wait.is_ok() {
                log::info!(successor:% = member.name; "ownership handed over");
                return;
            }
        }
        log::warn!("no daemon took over ownership");
    }

    /// Tells whether an earlier owner certainly sends no more orders: its answer to a ping says that
    /// it no longer owns the cell by that claim, or a later process of the daemon answers. A failed
    /// call shows nothing, because the owner may run behind a path that refuses connections.
    pub(crate) async fn has_ended(&self, claim: &EarlierClaim) -> bool {
        let member = &claim.member;
        if member.name == self.settings.name {
            return member.incarnation != self.incarnation;
        }
        let message = self.ping_request(claim.epoch);
        let reply = self
            .peers
            .call(member.address, &message, PING_TIMEOUT, Duration::ZERO);
        match reply.await {
            Ok(PeerReply::Ping(reply)) => {
                reply.incarnation != member.incarnation || reply.owned != Some(claim.epoch)
            }
            Ok(_) => false,
            Err(error) => {
                log::debug!(owner:% = member.name, error:% = error;
                    "earlier owner not reached; it may still send orders");
                false
            }
        }
    }
}
