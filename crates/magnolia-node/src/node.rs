//! The daemon: follows the cell's stream, takes ownership, passes callers to the owner.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use magnolia_http::{HttpHandler, HttpRequest, HttpResponse, read_body, serve};
use magnolia_scheduler::CellRules;
use magnolia_types::{Epoch, Incarnation, LogOffset, Millis};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use crate::callers::{CallerAnswer, CallerCall, CallerRequest, ServeOutcome};
use crate::clock::NodeClock;
use crate::inner::{InnerCall, InnerReply, PingCall, PingReply, RulesCopy};
use crate::membership::{
    CellView, EarlierClaim, MemberRecord, OwnerClaim, claim_record, member_record,
};
use crate::metrics::NodeMetrics;
use crate::owner::OwnerSession;
use crate::peers::{PeerClient, reply_response};
use crate::ports::{
    AdvicePort, AppendCondition, AppendOutcome, ExecutorPort, OperatorCodec, StoreError,
    StreamName, StreamStore,
};
use crate::routed_store::{RoutedStore, relay_call};
use crate::settings::NodeSettings;

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
/// Head start of each daemon before the one after it in line.
const RANK_DELAY: Millis = Millis::new(300);
/// Longest wait of the follower for a record of the cell's stream.
const FOLLOW_WAIT: Millis = Millis::new(10_000);
/// Pause after a failed call to the store.
const STORE_PAUSE: Duration = Duration::from_millis(200);
/// Time without an owner after which a request that was not passed on is refused: a change of
/// owner takes less, and the caller can try another daemon in time.
const OWNER_WAIT: Millis = Millis::new(1500);
/// When callers come back after there was no owner.
const OWNER_RETRY: Millis = Millis::new(1000);
/// Longest single try to pass a request to the owner.
const FORWARD_LIMIT: Duration = Duration::from_millis(2500);
/// Time kept for the way back of an answer.
const ANSWER_MARGIN: Millis = Millis::new(50);
/// Largest message between daemons.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Connections to the platform.
#[derive(Clone)]
pub struct NodePorts {
    /// The store.
    pub store: Arc<dyn StreamStore>,
    /// Executors.
    pub executors: Arc<dyn ExecutorPort>,
    /// The service for eligibility, where there is one.
    pub advice: Option<Arc<dyn AdvicePort>>,
    /// Reader of the platform's documents.
    pub codec: Arc<dyn OperatorCodec>,
}

/// What the owner last said.
#[derive(Clone, Debug, Default)]
struct OwnerNews {
    /// Epoch of the last answer.
    epoch: Epoch,
    heard_at: Millis,
    refused: bool,
    live: Vec<magnolia_types::DaemonId>,
}

/// One daemon of a cell.
pub struct CellNode {
    pub(crate) settings: NodeSettings,
    pub(crate) ports: NodePorts,
    pub(crate) clock: NodeClock,
    pub(crate) metrics: Arc<NodeMetrics>,
    pub(crate) store: RoutedStore,
    pub(crate) peers: PeerClient,
    pub(crate) rules: watch::Sender<Arc<CellRules>>,
    pub(crate) cell: watch::Sender<CellView>,
    pub(crate) incarnation: Incarnation,
    session: Mutex<Option<Arc<OwnerSession>>>,
    news: Mutex<OwnerNews>,
    stopping: AtomicBool,
    claim_wanted: Notify,
    owner_lost: Notify,
}

impl CellNode {
    /// Creates a daemon that does nothing before `run`.
    pub fn new(settings: NodeSettings, ports: NodePorts, metrics: Arc<NodeMetrics>) -> Arc<Self> {
        let clock = NodeClock::new();
        let peers = PeerClient::new();
        let store = RoutedStore::new(Arc::clone(&ports.store), peers.clone(), clock);
        Arc::new(Self {
            settings,
            ports,
            clock,
            metrics,
            store,
            peers,
            rules: watch::Sender::new(Arc::default()),
            cell: watch::Sender::new(CellView::default()),
            incarnation: Incarnation::new(rand::random::<u64>() >> 1),
            session: Mutex::new(None),
            news: Mutex::default(),
            stopping: AtomicBool::new(false),
            claim_wanted: Notify::new(),
            owner_lost: Notify::new(),
        })
    }

    /// Starts the loops of the daemon and its listener for other daemons.
    pub fn run(self: &Arc<Self>, listener: TcpListener) {
        let node = Arc::clone(self);
        let handler: Arc<dyn HttpHandler> = Arc::new(InnerHandler { node });
        tokio::spawn(serve(
            listener,
            handler,
            std::future::pending(),
            Duration::ZERO,
        ));
        tokio::spawn(Arc::clone(self).follow_cell());
        tokio::spawn(Arc::clone(self).watch_owner());
        tokio::spawn(crate::rules_feed::follow_rules(Arc::clone(self)));
    }

    /// Returns the newest configuration.
    pub fn rules(&self) -> Arc<CellRules> {
        Arc::clone(&self.rules.borrow())
    }

    /// Tells whether callers can be served: a configuration and an owner are known.
    pub fn is_ready(&self) -> bool {
        let configured = self.rules.borrow().version.get() > 0;
        configured && !self.is_stopping()
    }

    /// Tells whether the process is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Gives ownership up and tells the others, before the process stops.
    pub async fn begin_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        let Some(session) = self.session() else {
            return;
        };
        // Without the store nobody can claim; the stop does not wait for it.
        let limit = self.settings.notice_time;
        if tokio::time::timeout(limit, self.hand_over(&session))
            .await
            .is_err()
        {
            log::warn!(limit:? = limit; "no daemon took ownership over in time");
        }
    }

    /// Takes a configuration unless a newer one is known.
    pub(crate) fn take_rules(&self, rules: CellRules, source: &str) {
        let version = rules.version;
        let taken = self.rules.send_if_modified(|known| {
            let newer = version > known.version;
            if newer {
                *known = Arc::new(rules);
            }
            newer
        });
        if taken {
            log::info!(version:% = version, source = source; "configuration in force");
            if let Some(session) = self.session() {
                session.take_rules(self.rules());
            }
        }
    }

    pub(crate) fn session(&self) -> Option<Arc<OwnerSession>> {
        let session = self.session.lock().unwrap_or_else(PoisonError::into_inner);
        session.clone().filter(|session| !session.is_closed())
    }

    fn member(&self) -> MemberRecord {
        MemberRecord {
            name: self.settings.name.clone(),
            address: self.settings.inner_address,
            incarnation: self.incarnation,
            weight: self.settings.weight,
        }
    }

    /// Registers this daemon, then follows members and claims.
    async fn follow_cell(self: Arc<Self>) {
        while let Err(error) = self.register().await {
            log::warn!(error:% = error; "registration failed; trying again");
            sleep(STORE_PAUSE).await;
        }
        let mut loaded = false;
        loop {
            let result = if loaded {
                self.read_cell_tail().await
            } else {
                self.load_cell().await
            };
            match result {
                Ok(()) => loaded = true,
                Err(StoreError::Expired) => loaded = false,
                Err(error) => {
                    log::debug!(error:% = error; "stream of the cell not read");
                    sleep(STORE_PAUSE).await;
                }
            }
        }
    }

    async fn register(&self) -> Result<(), StoreError> {
        let record = member_record(&self.member())
            .map_err(|error| StoreError::Malformed(error.to_string().into()))?;
        let always = AppendCondition::Always;
        self.store
            .append(StreamName::Cell, &[record], always)
            .await?;
        Ok(())
    }

    async fn load_cell(&self) -> Result<(), StoreError> {
        let (records, end) = self.store.read_all(StreamName::Cell).await?;
        let mut view = CellView::default();
        records.iter().for_each(|record| view.apply(record));
        view.next = end;
        view.loaded = true;
        self.set_view(view);
        Ok(())
    }

    async fn read_cell_tail(&self) -> Result<(), StoreError> {
        let from = self.cell.borrow().next;
        let page = self
            .store
            .read_tail(StreamName::Cell, from, FOLLOW_WAIT)
            .await?;
        self.apply_cell_page(&page.records, page.next);
        Ok(())
    }

    fn apply_cell_page(&self, records: &[crate::ports::StreamRecord], next: LogOffset) {
        let mut view = self.cell.borrow().clone();
        if next <= view.next {
            return;
        }
        records.iter().for_each(|record| view.apply(record));
        view.next = next;
        self.set_view(view);
    }

    /// Makes a view known and acts on a change of owner.
    fn set_view(&self, view: CellView) {
        let claim = view.owner.clone();
        let before = self.cell.borrow().owner.clone();
        self.cell.send_replace(view);
        if let Some(claim) = claim
            && before.as_ref() != Some(&claim)
        {
            self.apply_claim(&claim);
        }
        self.update_relays();
    }

    fn apply_claim(&self, claim: &OwnerClaim) {
        log::info!(epoch:% = claim.epoch, owner:% = claim.member.name, address:% = claim.member.address;
            "owner of the cell changed");
        let now = self.clock.now();
        let mut news = self.news.lock().unwrap_or_else(PoisonError::into_inner);
        news.heard_at = now;
        news.refused = false;
        drop(news);
        // The new owner sends calls for eligibility only through daemons that it has heard from.
        self.owner_lost.notify_one();
        let mut slot = self.session.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(session) = slot.as_ref()
            && session.epoch() < claim.epoch
        {
            session.close("a later claim was stored");
            *slot = None;
        }
    }

    /// Starts the session of a claim of this process.
    fn open_session(self: &Arc<Self>, epoch: Epoch) {
        let mut slot = self.session.lock().unwrap_or_else(PoisonError::into_inner);
        if slot
            .as_ref()
            .is_some_and(|session| session.epoch() >= epoch)
        {
            return;
        }
        let session = OwnerSession::open(Arc::clone(self), epoch);
        *slot = Some(session);
    }

    fn update_relays(&self) {
        let view = self.cell.borrow();
        let live = self.live_names();
        let others = view
            .members
            .values()
            .filter(|m| m.name != self.settings.name);
        let mut relays: Vec<&MemberRecord> = others.collect();
        relays.sort_by_key(|member| {
            let own = format!("{}{}", member.name, self.settings.name);
            let hash = magnolia_types::stable_hash(own.as_bytes());
            (!live.contains(&member.name), hash)
        });
        let addresses = relays.iter().map(|member| member.address).collect();
        self.store.set_relays(addresses);
    }

    /// Returns the daemons that the owner heard from lately.
    fn live_names(&self) -> Vec<magnolia_types::DaemonId> {
        if let Some(session) = self.session() {
            return session.live_names();
        }
        let news = self.news.lock().unwrap_or_else(PoisonError::into_inner);
        news.live.clone()
    }

    /// Sends signs of life to the owner and claims when it is gone.
    async fn watch_owner(self: Arc<Self>) {
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
    async fn ping_owner(self: &Arc<Self>) -> Duration {
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

    async fn apply_ping_reply(self: &Arc<Self>, claim: &OwnerClaim, reply: PingReply) {
        let now = self.clock.now();
        let owns = reply.owned == Some(claim.epoch);
        {
            let mut news = self.news.lock().unwrap_or_else(PoisonError::into_inner);
            if owns {
                news.heard_at = now;
                news.epoch = claim.epoch;
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
    fn rank(&self) -> usize {
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

    fn is_claim_due(&self) -> bool {
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

    /// Claims ownership; of two claims at one end of the stream, one is stored.
    async fn claim(self: &Arc<Self>) {
        if self.is_stopping() {
            return;
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
                return;
            }
        };
        let condition = AppendCondition::EndsAt(next);
        let outcome = self
            .store
            .append(StreamName::Cell, std::slice::from_ref(&record), condition)
            .await;
        log::info!(epoch:% = epoch, at:% = next, outcome:? = outcome; "ownership claimed");
        match outcome {
            Ok(AppendOutcome::Stored { end }) if end.get() == next.get() + 1 => {
                self.apply_cell_page(std::slice::from_ref(&record), end);
                self.open_session(epoch);
            }
            // The stream tells what became of it.
            _ => {
                if let Err(error) = self.catch_up().await {
                    log::warn!(error:% = error; "stream of the cell not read after a claim");
                    sleep(STORE_PAUSE).await;
                }
            }
        }
    }

    /// Reads what the stream holds beyond the view, without waiting.
    async fn catch_up(&self) -> Result<(), StoreError> {
        let from = self.cell.borrow().next;
        let page = self
            .store
            .read_tail(StreamName::Cell, from, Millis::new(0))
            .await?;
        self.apply_cell_page(&page.records, page.next);
        Ok(())
    }

    /// Tells whether no later claim than that of `epoch` is stored at the time of the call.
    pub(crate) async fn confirms_epoch(&self, epoch: Epoch) -> bool {
        match self.catch_up().await {
            Ok(()) => {
                let view = self.cell.borrow();
                view.owner
                    .as_ref()
                    .is_some_and(|claim| claim.epoch == epoch)
            }
            Err(error) => {
                log::debug!(error:% = error; "ownership not confirmed");
                false
            }
        }
    }

    /// Asks the next in line to claim, and waits until its claim is known.
    async fn hand_over(&self, session: &OwnerSession) {
        let candidates: Vec<MemberRecord> = {
            let view = self.cell.borrow();
            let live = session.live_names();
            let others = view
                .candidates()
                .into_iter()
                .filter(|member| live.contains(&member.name) && member.name != self.settings.name);
            others.cloned().collect()
        };
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

    /// Serves a caller: here when this daemon owns the cell, otherwise through the owner.
    pub async fn serve_caller(self: &Arc<Self>, call: CallerCall) -> CallerAnswer {
        let started = self.clock.now();
        let deadline = started
            .saturating_add(call.time_left)
            .saturating_sub(ANSWER_MARGIN);
        let mut passed_on = false;
        loop {
            let now = self.clock.now();
            let waited = now.saturating_sub(started);
            if now >= deadline || (!passed_on && waited > OWNER_WAIT) {
                return give_up(&call.request, passed_on);
            }
            let left = deadline.saturating_sub(now);
            match self.try_owner(&call.request, left, &mut passed_on).await {
                Some(answer) => return answer,
                None => self.owner_changed(deadline).await,
            }
        }
    }

    /// Waits for another owner, or a moment.
    async fn owner_changed(&self, deadline: Millis) {
        let pause = Duration::from_millis(40);
        let left = deadline.saturating_sub(self.clock.now());
        let mut view = self.cell.subscribe();
        let _changed = tokio::time::timeout(pause.min(left.into()), view.changed()).await;
    }

    /// Passes a request to the owner once; `None` when it has to be passed on again.
    async fn try_owner(
        self: &Arc<Self>,
        request: &CallerRequest,
        left: Millis,
        passed_on: &mut bool,
    ) -> Option<CallerAnswer> {
        if let Some(session) = self.session() {
            let limit = left.into();
            let outcome = tokio::time::timeout(limit, session.serve(request)).await;
            return match outcome {
                Ok(ServeOutcome::Answered(answer)) => Some(answer),
                Ok(ServeOutcome::Elsewhere) => None,
                Ok(ServeOutcome::Unsettled) | Err(_) => {
                    *passed_on = true;
                    None
                }
            };
        }
        let claim = self.cell.borrow().owner.clone()?;
        if claim.member.incarnation == self.incarnation {
            return None;
        }
        let call = InnerCall::Caller(CallerCall {
            request: request.clone(),
            time_left: left,
        });
        let limit = FORWARD_LIMIT.min(left.into());
        let reply = self
            .peers
            .call(claim.member.address, &call, limit, FORWARD_LIMIT)
            .await;
        match reply {
            Ok(InnerReply::Caller(answer)) => Some(answer),
            Ok(InnerReply::NotOwner) => None,
            Ok(InnerReply::Unsettled) => {
                *passed_on = true;
                None
            }
            Ok(other) => {
                log::warn!(reply:? = other; "unexpected reply to a caller's request");
                None
            }
            Err(error) => {
                *passed_on |= !error.is_not_sent();
                self.owner_lost.notify_one();
                log::debug!(owner:% = claim.member.name, error:% = error; "request not passed on");
                None
            }
        }
    }

    /// Answers another daemon.
    async fn answer_peer(self: &Arc<Self>, call: InnerCall) -> InnerReply {
        match call {
            InnerCall::Ping(ping) => InnerReply::Ping(self.answer_ping(&ping)),
            InnerCall::Caller(call) => match self.session() {
                Some(session) => match session.serve(&call.request).await {
                    ServeOutcome::Answered(answer) => InnerReply::Caller(answer),
                    ServeOutcome::Elsewhere => InnerReply::NotOwner,
                    ServeOutcome::Unsettled => InnerReply::Unsettled,
                },
                None => InnerReply::NotOwner,
            },
            InnerCall::Advise(call) => {
                let answer = crate::advisers::ask_here(self, &call).await;
                InnerReply::Advice(answer)
            }
            InnerCall::Store(call) => relay_call(&self.store, &call).await,
            InnerCall::Rules => InnerReply::Rules(Arc::new(RulesCopy::from(&*self.rules()))),
            InnerCall::TakeOver(epoch) => {
                let current = self.cell.borrow().owner.clone();
                if current.is_some_and(|claim| claim.epoch <= epoch) && !self.is_stopping() {
                    self.claim_wanted.notify_one();
                    return InnerReply::Done;
                }
                InnerReply::NotOwner
            }
        }
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

    fn answer_ping(&self, ping: &PingCall) -> PingReply {
        let session = self.session();
        if let Some(session) = &session {
            if ping.epoch > session.epoch() {
                session.close("a peer knows a later epoch");
            }
            session.note_ping(ping);
        }
        let session = session.filter(|session| !session.is_closed());
        PingReply {
            incarnation: self.incarnation,
            owned: session.as_ref().map(|session| session.epoch()),
            stopping: self.is_stopping(),
            live: session.map_or_else(Vec::new, |session| session.live_names()),
            version: self.rules.borrow().version,
        }
    }
}

/// Returns the final answer when no owner can be asked in time.
fn give_up(request: &CallerRequest, passed_on: bool) -> CallerAnswer {
    match request {
        // A submission that may have reached an owner may have been stored by it.
        CallerRequest::Submit { .. } if passed_on => CallerAnswer::Undetermined,
        CallerRequest::Cancel { .. } if passed_on => CallerAnswer::Undetermined,
        _ => CallerAnswer::Unavailable {
            retry_after: OWNER_RETRY,
        },
    }
}

/// Serves other daemons.
struct InnerHandler {
    node: Arc<CellNode>,
}

impl HttpHandler for InnerHandler {
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        async move {
            let body = match read_body(request, MAX_MESSAGE_BYTES).await {
                Ok(body) => body,
                Err(code) => {
                    log::warn!(code:? = code; "message of a daemon not read");
                    return reply_response(&InnerReply::Malformed);
                }
            };
            match rmp_serde::from_slice::<InnerCall>(&body) {
                Ok(call) => reply_response(&self.node.answer_peer(call).await),
                Err(error) => {
                    log::warn!(error:% = error; "message of a daemon not understood");
                    reply_response(&InnerReply::Malformed)
                }
            }
        }
        .boxed()
    }
}
