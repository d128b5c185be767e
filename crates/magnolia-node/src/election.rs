//! Who owns the cell: signs of life, claims and handovers.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use magnolia_types::Millis;
use tokio::time::sleep;

use crate::inner::{InnerCall, InnerReply, PingCall, PingReply};
use crate::membership::{CellView, EarlierClaim, MemberRecord, OwnerClaim, claim_record};
use crate::node::{CellNode, STORE_PAUSE};
use crate::owner::OwnerSession;
use crate::ports::{AppendCondition, AppendOutcome, StreamName};

/// Time between two signs of life to the owner by the daemons next in line.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two signs of life by the others.
const SLOW_PING_INTERVAL: Duration = Duration::from_millis(700);
/// Daemons that watch the owner closely.
const CLOSE_WATCHERS: usize = 3;
/// Longest answer to a sign of life: many round trips, also on a slow instance.
const PING_LIMIT: Duration = Duration::from_millis(300);
/// Silence of the owner after which the next in line claims.
const SILENCE_LIMIT: Millis = Millis::new(600);
/// Tries of one claim: while all daemons start, each of their entries moves the end of the stream.
const CLAIM_TRIES: u32 = 20;
/// Head start of each daemon before the one after it in line.
const RANK_DELAY: Millis = Millis::new(300);

impl CellNode {
    /// Sends signs of life to the owner and claims when it is gone.
    pub(crate) async fn watch_owner(self: Arc<Self>) {
        let mut view = self.cell.subscribe();
        // Without the stream nothing is known of an owner.
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
                () = self.claim_wanted.notified() => self.claim().await,
                () = self.owner_lost.notified() => {}
            }
        }
    }

    /// Asks the owner for a sign of life; returns when to ask again.
    pub(crate) async fn ping_owner(self: &Arc<Self>) -> Duration {
        let Some(claim) = self.cell.borrow().owner.clone() else {
            return PING_INTERVAL;
        };
        if claim.member.incarnation == self.incarnation {
            self.open_session(claim.epoch);
            return PING_INTERVAL;
        }
        let call = InnerCall::Ping(PingCall {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            epoch: claim.epoch,
            stopping: self.is_stopping(),
        });
        let address = claim.member.address;
        let reply = self.peers.call(address, &call, PING_LIMIT, Duration::ZERO);
        match reply.await {
            Ok(InnerReply::Ping(reply)) => self.apply_ping_reply(&claim, reply).await,
            Ok(other) => log::warn!(reply:? = other; "unexpected reply to a sign of life"),
            Err(error) => {
                let gone = matches!(error, magnolia_http::HttpError::Refused);
                let mut news = self.news.lock().unwrap_or_else(PoisonError::into_inner);
                news.refused |= gone;
                drop(news);
                log::debug!(owner:% = claim.member.name, error:% = error; "owner does not answer");
            }
        }
        if self.rank() < CLOSE_WATCHERS {
            PING_INTERVAL
        } else {
            SLOW_PING_INTERVAL
        }
    }

    pub(crate) async fn apply_ping_reply(self: &Arc<Self>, claim: &OwnerClaim, reply: PingReply) {
        let now = self.clock.now();
        let owns = reply.owned == Some(claim.epoch);
        {
            let mut news = self.news.lock().unwrap_or_else(PoisonError::into_inner);
            if owns {
                news.heard_at = now;
                news.live.clone_from(&reply.live);
            }
            // Another process at the address, or one that gave ownership up.
            news.refused = !owns && now.saturating_sub(news.heard_at) > RANK_DELAY;
        }
        if owns {
            self.update_relays();
        }
        if reply.version > self.rules.borrow().version {
            crate::rules_feed::fetch_rules(self, claim.member.address).await;
        }
    }

    /// Returns how many live daemons come before this one in line.
    pub(crate) fn rank(&self) -> usize {
        let view = self.cell.borrow();
        let live = self.live_names();
        let owner = view.owner.as_ref().map(|claim| claim.member.name.clone());
        view.candidates()
            .iter()
            .filter(|member| Some(&member.name) != owner.as_ref())
            .filter(|member| live.is_empty() || live.contains(&member.name))
            .position(|member| member.name == self.settings.name)
            .unwrap_or(CLOSE_WATCHERS)
    }

    pub(crate) fn is_claim_due(&self) -> bool {
        if self.is_stopping() || self.session().is_some() {
            return false;
        }
        let owner = self.cell.borrow().owner.clone();
        let now = self.clock.now();
        let news = self
            .news
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let silent = now.saturating_sub(news.heard_at);
        let rank = u64::try_from(self.rank()).unwrap_or(u64::MAX);
        let head_start = Millis::new(RANK_DELAY.get().saturating_mul(rank));
        let limit = match owner {
            // A restarted process does not own what an earlier one claimed.
            Some(claim) if claim.member.name == self.settings.name => Millis::new(0),
            Some(_) if news.refused => head_start,
            Some(_) => SILENCE_LIMIT.saturating_add(head_start),
            None => head_start,
        };
        silent >= limit
    }

    /// Claims ownership, again where other records came first.
    pub(crate) async fn claim(self: &Arc<Self>) {
        let rival = self.cell.borrow().owner_epoch();
        for _ in 0..CLAIM_TRIES {
            let moved = self.claim_once().await;
            if !moved || self.cell.borrow().owner_epoch() != rival {
                break;
            }
        }
        // A claim goes by several paths, and the answer of one that came second may arrive first.
        let owner = self.cell.borrow().owner.clone();
        if let Some(claim) = owner.filter(|claim| claim.member.incarnation == self.incarnation) {
            self.open_session(claim.epoch);
        }
    }

    /// Claims ownership; of two claims at one end of the stream, one is stored. Returns whether the
    /// stream had moved on and was read again.
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
                log::error!(error:% = error; "claim can't be encoded");
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
        let silent = now.saturating_sub(
            self.news
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .heard_at,
        );
        let took = now.saturating_sub(asked);
        log::info!(epoch:% = epoch, at:% = next, rank = self.rank(), owner_silent:% = silent, took:% = took,
            outcome:? = outcome; "ownership claimed");
        match outcome {
            Ok(AppendOutcome::Stored { end }) if end.get() == next.get() + 1 => {
                self.apply_cell_page(std::slice::from_ref(&record), end);
                self.open_session(epoch);
                false
            }
            // The stream tells what became of it.
            outcome => {
                let moved = matches!(outcome, Ok(AppendOutcome::Moved { .. }));
                match self.catch_up().await {
                    Ok(()) => moved,
                    Err(error) => {
                        log::warn!(error:% = error; "stream of the cell not read after a claim");
                        sleep(STORE_PAUSE).await;
                        false
                    }
                }
            }
        }
    }

    /// Asks the next in line to claim, and waits until its claim is known.
    pub(crate) async fn hand_over(&self, session: &OwnerSession) {
        let mut candidates: Vec<MemberRecord> = {
            let view = self.cell.borrow();
            let others = view.candidates().into_iter();
            let others = others.filter(|member| member.name != self.settings.name);
            others.cloned().collect()
        };
        // An owner that has just claimed has heard of no other daemon yet.
        let live = session.live_names();
        candidates.sort_by_key(|member| !live.contains(&member.name));
        let call = InnerCall::TakeOver(session.epoch());
        for member in candidates {
            let limit = PING_LIMIT;
            let reply = self
                .peers
                .call(member.address, &call, limit, Duration::ZERO);
            if !matches!(reply.await, Ok(InnerReply::Done)) {
                continue;
            }
            let mut view = self.cell.subscribe();
            let epoch = session.epoch();
            let later =
                |view: &CellView| view.owner.as_ref().is_some_and(|claim| claim.epoch > epoch);
            let wait = tokio::time::timeout(PING_LIMIT, view.wait_for(later)).await;
            if wait.is_ok() {
                log::info!(successor:% = member.name; "ownership handed over");
                return;
            }
        }
        log::warn!("no daemon took ownership over");
    }

    /// Tells whether the claimant gives orders no more: its process is gone, or it says so.
    pub(crate) async fn has_ended(&self, claim: &EarlierClaim) -> bool {
        let member = &claim.member;
        if member.name == self.settings.name {
            return member.incarnation != self.incarnation;
        }
        let call = InnerCall::Ping(PingCall {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            epoch: claim.epoch,
            stopping: self.is_stopping(),
        });
        let reply = self
            .peers
            .call(member.address, &call, PING_LIMIT, Duration::ZERO);
        match reply.await {
            Ok(InnerReply::Ping(reply)) => {
                reply.incarnation != member.incarnation || reply.owned != Some(claim.epoch)
            }
            Ok(_) => false,
            Err(error) => matches!(error, magnolia_http::HttpError::Refused),
        }
    }
}
