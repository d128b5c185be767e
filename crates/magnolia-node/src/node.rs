//! The daemon: follows the cell's stream, holds the owner's session and answers other daemons.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use magnolia_http::{
    HttpHandler, HttpRequest, HttpResponse, ServerSettings, read_held_body, serve_with,
};
use magnolia_scheduler::{
    AccountRules, CellRules, JobSpec, QueueRules, RecordError, check_record_size,
};
use magnolia_types::{Epoch, Incarnation, LogOffset, Millis};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use crate::callers::ServeOutcome;
use crate::clock::NodeClock;
use crate::guarded_tasks::spawn_restarting;
use crate::membership::{CellView, MemberRecord, OwnerClaim, member_record};
use crate::metrics::NodeMetrics;
use crate::owner::OwnerSession;
use crate::peer_messages::{PeerReply, PeerRequest, PingReply, PingRequest, RulesCopy};
use crate::peers::{PeerClient, reply_response};
use crate::ports::{
    AppendCondition, DocumentDecoder, EligibilityPort, ExecutorPort, StoreError, StreamName,
    StreamStore,
};
use crate::routed_store::{RoutedStore, relay_call};
use crate::settings::NodeSettings;
use crate::state::JobExplanation;

/// Longest wait of one read for a new record of the cell's stream.
const TAIL_WAIT: Millis = Millis::new(10_000);
/// Delay before a failed call to the store is retried.
pub(crate) const STORE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time for which a daemon that could not take ownership leaves it to others: they claim it within
/// about a second, and need some seconds each on a slow link.
const ABSTENTION: Millis = Millis::new(10_000);
/// Time for which operators are told that clients were refused.
const SHED_MEMORY: Millis = Millis::new(10_000);
/// Largest body of a message between daemons.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Interfaces to the platform.
#[derive(Clone)]
pub struct NodePorts {
    /// Store of keyed streams.
    pub store: Arc<dyn StreamStore>,
    /// Sender of orders to executors.
    pub executors: Arc<dyn ExecutorPort>,
    /// Eligibility service, if the platform has one.
    pub eligibility: Option<Arc<dyn EligibilityPort>>,
    /// Decoder of the platform's records.
    pub decoder: Arc<dyn DocumentDecoder>,
}

/// Last contact of this daemon with the owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnerContact {
    /// When the owner last confirmed its claim, or when a new claim was read.
    pub(crate) last_heard_at: Millis,
    /// Whether no process listens at the owner's address, or the one there does not own the cell.
    pub(crate) refused: bool,
    /// Daemons that the owner recently received a ping from.
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
    /// The configuration in force.
    pub(crate) rules: watch::Sender<Arc<CellRules>>,
    /// The newest view of the cell's stream.
    pub(crate) cell: watch::Sender<CellView>,
    pub(crate) incarnation: Incarnation,
    /// The session of the newest claim of this daemon; it may be closed.
    session: Mutex<Option<Arc<OwnerSession>>>,
    pub(crate) owner_contact: Mutex<OwnerContact>,
    stopping: AtomicBool,
    /// Time before which this daemon does not claim ownership by itself.
    abstains_until: Mutex<Millis>,
    /// Notified when the owner asks this daemon to take over ownership.
    pub(crate) claim_requested: Notify,
    /// Notified when the owner should be pinged at once.
    pub(crate) ping_requested: Notify,
    /// When clients were last refused because they held too much.
    shed_at: Mutex<Option<Millis>>,
}

impl CellNode {
    /// Creates a daemon. It does nothing before [`run`](Self::run) is called.
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
            owner_contact: Mutex::default(),
            stopping: AtomicBool::new(false),
            abstains_until: Mutex::default(),
            claim_requested: Notify::new(),
            ping_requested: Notify::new(),
            shed_at: Mutex::default(),
        })
    }

    /// Starts the background tasks of the daemon and serves other daemons on `listener`.
    pub fn run(self: &Arc<Self>, listener: TcpListener, server: ServerSettings) {
        let node = Arc::clone(self);
        let handler: Arc<dyn HttpHandler> = Arc::new(PeerHandler { node });
        tokio::spawn(serve_with(
            listener,
            handler,
            server,
            std::future::pending(),
            Duration::ZERO,
        ));
        let node = Arc::clone(self);
        spawn_restarting("follow_cell", move || Arc::clone(&node).follow_cell());
        let node = Arc::clone(self);
        spawn_restarting("watch_owner", move || Arc::clone(&node).watch_owner());
        let node = Arc::clone(self);
        spawn_restarting("follow_rules", move || {
            crate::rules_feed::follow_rules(Arc::clone(&node))
        });
    }

    /// Records that clients were refused or given up because they held too much or were too slow.
    pub fn record_shed_clients(&self) {
        let now = self.clock.now();
        *self.shed_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
    }

    /// Tells whether clients were refused or given up lately.
    pub(crate) fn sheds_clients(&self) -> bool {
        let shed_at = *self.shed_at.lock().unwrap_or_else(PoisonError::into_inner);
        shed_at.is_some_and(|at| self.clock.now().saturating_sub(at) < SHED_MEMORY)
    }

    /// Returns the newest configuration that this daemon knows.
    pub fn rules(&self) -> Arc<CellRules> {
        Arc::clone(&self.rules.borrow())
    }

    /// Tells whether callers may be sent here: a configuration is known and the daemon is not
    /// stopping.
    pub fn is_ready(&self) -> bool {
        let configured = self.rules.borrow().version.get() > 0;
        configured && !self.is_stopping()
    }

    /// Tells whether a stop of the process was requested.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Leaves ownership to other daemons for a while, because this one could not take it.
    pub(crate) fn abstain(&self) {
        let until = self.clock.now().saturating_add(ABSTENTION);
        *self
            .abstains_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = until;
    }

    /// Tells whether this daemon leaves ownership to others.
    pub(crate) fn abstains(&self) -> bool {
        let until = self
            .abstains_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.clock.now() < *until
    }

    /// Marks this daemon as stopping, and hands ownership over if it is the owner.
    pub async fn begin_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        let Some(session) = self.session() else {
            return;
        };
        // No daemon can claim ownership while the store is unavailable; the stop does not wait
        // for that.
        let limit = self.settings.drain_delay;
        if tokio::time::timeout(limit, self.hand_over(&session))
            .await
            .is_err()
        {
            log::warn!(limit:? = limit; "handover of ownership timed out");
        }
    }

    /// Applies a configuration if it is newer than the one in force.
    pub(crate) fn apply_rules(&self, rules: CellRules, source: &str) {
        let version = rules.version;
        let applied = self.rules.send_if_modified(|known| {
            let is_newer = version > known.version;
            if is_newer {
                *known = Arc::new(rules);
            }
            is_newer
        });
        if applied {
            log::info!(version:% = version, source = source; "configuration in force");
            if let Some(session) = self.session() {
                session.apply_rules(self.rules());
            }
        }
    }

    /// Returns the session of ownership that is open at this daemon, if any.
    pub(crate) fn session(&self) -> Option<Arc<OwnerSession>> {
        let session = self.session.lock().unwrap_or_else(PoisonError::into_inner);
        session.clone().filter(|session| !session.is_closed())
    }

    /// Returns the record under which this daemon registers.
    pub(crate) fn member(&self) -> MemberRecord {
        MemberRecord {
            name: self.settings.name.clone(),
            address: self.settings.inner_address,
            incarnation: self.incarnation,
            weight: self.settings.weight,
            memory_bytes: self.settings.memory_bytes,
        }
    }

    /// Returns the memory of the smallest daemon of the cell, in bytes; none if no memory is limited.
    /// Any daemon may be the next owner, and has to hold what this one accepts.
    pub(crate) fn smallest_memory(&self) -> Option<u64> {
        let view = self.cell.borrow();
        let others = view
            .members
            .values()
            .filter_map(|member| member.memory_bytes);
        others.chain(self.settings.memory_bytes).min()
    }

    /// Registers this daemon, then follows the registrations and claims in the cell's stream.
    async fn follow_cell(self: Arc<Self>) {
        while let Err(error) = self.register().await {
            log::warn!(error:% = error; "registration failed; retrying");
            sleep(STORE_RETRY_DELAY).await;
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
                    log::debug!(error:% = error; "reading the stream of the cell failed");
                    sleep(STORE_RETRY_DELAY).await;
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

    /// Reads the newest record of each key.
    async fn load_cell(&self) -> Result<(), StoreError> {
        let (records, end) = self.store.read_all(StreamName::Cell).await?;
        let mut view = CellView::default();
        records.iter().for_each(|record| view.apply(record));
        view.next = end;
        view.loaded = true;
        self.set_view(view);
        Ok(())
    }

    /// Waits for new records and applies them.
    async fn read_cell_tail(&self) -> Result<(), StoreError> {
        let from = self.cell.borrow().next;
        let page = self
            .store
            .read_tail(StreamName::Cell, from, TAIL_WAIT)
            .await?;
        self.apply_cell_page(&page.records, page.next);
        Ok(())
    }

    /// Applies records that end at offset `next`, unless a later end is known already.
    pub(crate) fn apply_cell_page(&self, records: &[crate::ports::StreamRecord], next: LogOffset) {
        let mut view = self.cell.borrow().clone();
        if next <= view.next {
            return;
        }
        records.iter().for_each(|record| view.apply(record));
        view.next = next;
        self.set_view(view);
    }

    /// Publishes a view of the cell's stream and reacts to a new claim in it.
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

    /// Reacts to a new claim: resets the contact with the owner and closes an outdated session.
    fn apply_claim(&self, claim: &OwnerClaim) {
        log::info!(epoch:% = claim.epoch, owner:% = claim.member.name,
            address:% = claim.member.address; "owner of the cell changed");
        let now = self.clock.now();
        let mut contact = self
            .owner_contact
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        contact.last_heard_at = now;
        contact.refused = false;
        drop(contact);
        // The new owner sends eligibility requests only through daemons that have pinged it, so
        // the next ping is sent at once.
        self.ping_requested.notify_one();
        let mut slot = self.session.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(session) = slot.as_ref()
            && session.epoch() < claim.epoch
        {
            session.close("a later claim was stored");
            *slot = None;
        }
    }

    /// Opens the session of a claim that this process has stored, unless that session or a later
    /// one has been opened before.
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

    /// Updates the peers through which the store is reached: live ones first, in an order that
    /// differs between daemons.
    pub(crate) fn update_relays(&self) {
        let view = self.cell.borrow();
        let live = self.live_names();
        let others = view
            .members
            .values()
            .filter(|m| m.name != self.settings.name);
        let mut relays: Vec<&MemberRecord> = others.collect();
        relays.sort_by_key(|member| {
            let pair = format!("{}{}", member.name, self.settings.name);
            let hash = magnolia_types::stable_hash(pair.as_bytes());
            (!live.contains(&member.name), hash)
        });
        let addresses = relays.iter().map(|member| member.address).collect();
        self.store.set_relays(addresses);
    }

    /// Returns the daemons that the owner recently received a ping from, as far as is known here.
    pub(crate) fn live_names(&self) -> Vec<magnolia_types::DaemonId> {
        if let Some(session) = self.session() {
            return session.live_names();
        }
        let contact = self
            .owner_contact
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        contact.live.clone()
    }

    /// Reads the records of the cell's stream that are not in the view yet, without waiting.
    pub(crate) async fn catch_up(&self) -> Result<(), StoreError> {
        let from = self.cell.borrow().next;
        let page = self
            .store
            .read_tail(StreamName::Cell, from, Millis::new(0))
            .await?;
        self.apply_cell_page(&page.records, page.next);
        Ok(())
    }

    /// Reads the cell's stream and tells whether the claim of `epoch` is still the newest.
    pub(crate) async fn confirms_epoch(&self, epoch: Epoch) -> bool {
        match self.catch_up().await {
            Ok(()) => {
                let view = self.cell.borrow();
                view.owner
                    .as_ref()
                    .is_some_and(|claim| claim.epoch == epoch)
            }
            Err(error) => {
                log::debug!(error:% = error; "confirming ownership failed");
                false
            }
        }
    }

    /// Checks that the record of a submitted job can be stored as long as the job is live.
    ///
    /// # Errors
    ///
    /// Fails if the record may exceed the limit of the store.
    pub fn check_record_size(
        &self,
        rules: &Arc<QueueRules>,
        spec: &Arc<JobSpec>,
        account: Option<&Arc<AccountRules>>,
    ) -> Result<(), RecordError> {
        let limit = self.settings.scheduler.max_record_bytes;
        check_record_size(spec, rules, account, limit)
    }

    /// Answers a request from another daemon.
    async fn answer_peer(self: &Arc<Self>, message: PeerRequest) -> PeerReply {
        match message {
            PeerRequest::Ping(ping) => PeerReply::Ping(self.answer_ping(&ping)),
            PeerRequest::Caller(timed) => match self.session() {
                Some(session) => match session.serve(&timed, timed.time_left).await {
                    ServeOutcome::Answered(answer) => PeerReply::Caller(answer),
                    ServeOutcome::NotOwner => PeerReply::NotOwner,
                    ServeOutcome::OwnershipLost => PeerReply::Unsettled,
                },
                None => PeerReply::NotOwner,
            },
            PeerRequest::Advise(request) => {
                let answer = crate::eligibility::query_locally(self, &request).await;
                PeerReply::Advice(answer)
            }
            PeerRequest::Store(call) => relay_call(&self.store, &call).await,
            PeerRequest::Explain(key) => match self.explain_locally(key) {
                JobExplanation::Known(lines) => PeerReply::Explanation(Some(lines)),
                JobExplanation::Unknown => PeerReply::Explanation(None),
                JobExplanation::NoOwner => PeerReply::NotOwner,
            },
            PeerRequest::Rules => PeerReply::Rules(Arc::new(RulesCopy::from(&*self.rules()))),
            PeerRequest::TakeOver(epoch) => {
                let current = self.cell.borrow().owner.clone();
                if current.is_some_and(|claim| claim.epoch <= epoch) && !self.is_stopping() {
                    self.claim_requested.notify_one();
                    return PeerReply::Done;
                }
                PeerReply::NotOwner
            }
        }
    }

    /// Records a ping as owner and answers it; a later epoch in it ends this daemon's ownership.
    fn answer_ping(&self, ping: &PingRequest) -> PingReply {
        let session = self.session();
        if let Some(session) = &session {
            if ping.epoch > session.epoch() {
                session.close("a peer knows a later epoch");
            }
            session.record_ping(ping);
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

/// HTTP handler for messages from other daemons.
struct PeerHandler {
    node: Arc<CellNode>,
}

impl HttpHandler for PeerHandler {
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        async move {
            let (parts, body) = request.into_parts();
            let read = read_held_body(body, &parts.extensions, MAX_MESSAGE_BYTES);
            let held = match read.await {
                Ok(held) => held,
                Err(error) => {
                    log::warn!(error:% = error; "reading a message from a daemon failed");
                    return reply_response(&PeerReply::Malformed);
                }
            };
            // The body counts until the answer is there: what is decoded from it lives as long.
            match rmp_serde::from_slice::<PeerRequest>(held.bytes()) {
                Ok(message) => reply_response(&self.node.answer_peer(message).await),
                Err(error) => {
                    log::warn!(error:% = error; "malformed message from a daemon");
                    reply_response(&PeerReply::Malformed)
                }
            }
        }
        .boxed()
    }
}
