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

use crate::callers::ServeOutcome;
use crate::clock::NodeClock;
use crate::inner::{InnerCall, InnerReply, PingCall, PingReply, RulesCopy};
use crate::membership::{CellView, MemberRecord, OwnerClaim, member_record};
use crate::metrics::NodeMetrics;
use crate::owner::OwnerSession;
use crate::peers::{PeerClient, reply_response};
use crate::ports::{
    AppendCondition, DocumentDecoder, EligibilityPort, ExecutorPort, StoreError, StreamName,
    StreamStore,
};
use crate::routed_store::{RoutedStore, relay_call};
use crate::settings::NodeSettings;
use crate::state::JobExplanation;

/// Longest wait of the follower for a record of the cell's stream.
const FOLLOW_WAIT: Millis = Millis::new(10_000);
/// Pause after a failed call to the store.
pub(crate) const STORE_PAUSE: Duration = Duration::from_millis(200);
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
    pub advice: Option<Arc<dyn EligibilityPort>>,
    /// Reader of the platform's documents.
    pub decoder: Arc<dyn DocumentDecoder>,
}

/// What the owner last said.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnerNews {
    pub(crate) heard_at: Millis,
    pub(crate) refused: bool,
    pub(crate) live: Vec<magnolia_types::DaemonId>,
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
    pub(crate) news: Mutex<OwnerNews>,
    stopping: AtomicBool,
    pub(crate) claim_wanted: Notify,
    pub(crate) owner_lost: Notify,
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

    /// Tells whether callers may be sent here: a configuration is known and no stop was asked for.
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
        let limit = self.settings.drain_delay;
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

    pub(crate) fn member(&self) -> MemberRecord {
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

    pub(crate) fn apply_cell_page(&self, records: &[crate::ports::StreamRecord], next: LogOffset) {
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
    pub(crate) fn open_session(self: &Arc<Self>, epoch: Epoch) {
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

    pub(crate) fn update_relays(&self) {
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
    pub(crate) fn live_names(&self) -> Vec<magnolia_types::DaemonId> {
        if let Some(session) = self.session() {
            return session.live_names();
        }
        let news = self.news.lock().unwrap_or_else(PoisonError::into_inner);
        news.live.clone()
    }

    /// Reads what the stream holds beyond the view, without waiting.
    pub(crate) async fn catch_up(&self) -> Result<(), StoreError> {
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

    /// Answers another daemon.
    async fn answer_peer(self: &Arc<Self>, call: InnerCall) -> InnerReply {
        match call {
            InnerCall::Ping(ping) => InnerReply::Ping(self.answer_ping(&ping)),
            InnerCall::Caller(call) => match self.session() {
                Some(session) => match session.serve(&call.request, call.time_left).await {
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
            InnerCall::Explain(key) => match self.explain_here(key) {
                JobExplanation::Known(lines) => InnerReply::Explanation(Some(lines)),
                JobExplanation::Unknown => InnerReply::Explanation(None),
                JobExplanation::NoOwner => InnerReply::NotOwner,
            },
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
