//! State shared by all parts of the process.

use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use snipevane_adapter::settings::NodeSettings;
use snipevane_core::candidates::VmCapacity;
use tokio::sync::Notify;

use crate::client::Client;
use crate::clock::Clock;
use crate::peers::RelayTurn;
use crate::scheduling::{Leader, SchedulerView};
use crate::senders::OrderSender;
use crate::site_view::SiteView;
use crate::store::StoreClient;

/// Shared state of the daemon process on an entry VM.
pub struct Node<C> {
    /// Settings of the process.
    pub settings: NodeSettings,
    /// Time source.
    pub clock: C,
    /// HTTP client for calls to other processes.
    pub client: Client,
    /// Client of the store.
    pub store: StoreClient<C>,
    /// Turn of relaying changes of the configuration to another entry VM.
    pub config_relay_turn: RelayTurn,
    /// Configuration in force and its last confirmation.
    pub site_view: RefCell<SiteView>,
    /// This process's view of the scheduler, which may run on another entry VM.
    pub scheduler_view: RefCell<SchedulerView>,
    /// Sender of start orders on behalf of a scheduler on another entry VM.
    pub order_sender: OrderSender,
    /// Number of registered entry VMs, this one included; `None` until it is read from the store.
    pub entry_vms: Cell<Option<usize>>,
    /// Capacity of the largest VM, apart from the scheduler's, that can take over the term, as the
    /// scheduler last said; `None` if there is none.
    pub largest_candidate: Cell<Option<VmCapacity>>,
    /// Time before which this process doesn't hand over a term to a larger VM again.
    pub no_handover_until: Cell<Duration>,
    /// Scheduler of this process's term, while it holds one.
    leader: RefCell<Option<Rc<Leader<C>>>>,
    /// Whether the process is stopping.
    pub stopping: Cell<bool>,
    /// Number of callers' requests that were read and aren't answered.
    pub open_requests: Cell<usize>,
    /// Notified when open connections are to be shut down.
    pub shutdown: Notify,
    /// Notified when the process is about to end: requests that are open then are answered at once.
    pub ending: Notify,
    /// Notified when the configuration changes.
    pub site_changed: Notify,
    /// Start time of the process in Unix milliseconds, which distinguishes it from earlier
    /// processes on the VM.
    pub started_unix_ms: u64,
    /// Start time of the process on its monotonic clock.
    pub started_at: Duration,
    rng: RefCell<StdRng>,
}

impl<C: Clock> Node<C> {
    /// Creates the shared state of a process.
    pub fn new(settings: NodeSettings, clock: C) -> Rc<Self> {
        let client = Client::default();
        let store = StoreClient::new(clock.clone(), client.clone(), settings.store_address);
        let started_unix_ms = clock.unix_ms();
        let started_at = clock.now();
        let mut rng = StdRng::seed_from_u64(started_unix_ms ^ seed_of(&settings.ip));
        store.seed_jitter(rng.random());
        Rc::new(Self {
            settings,
            clock,
            client,
            store,
            config_relay_turn: RelayTurn::default(),
            site_view: RefCell::default(),
            scheduler_view: RefCell::default(),
            order_sender: OrderSender::default(),
            entry_vms: Cell::new(None),
            largest_candidate: Cell::new(None),
            no_handover_until: Cell::new(Duration::ZERO),
            leader: RefCell::new(None),
            stopping: Cell::new(false),
            open_requests: Cell::new(0),
            shutdown: Notify::new(),
            ending: Notify::new(),
            site_changed: Notify::new(),
            started_unix_ms,
            started_at,
            rng: RefCell::new(rng),
        })
    }

    /// Returns the scheduler of this process's term, while it holds one.
    pub fn leader(&self) -> Option<Rc<Leader<C>>> {
        self.leader.borrow().clone()
    }

    /// Sets the scheduler of this process's term, or none when the term has ended.
    pub(crate) fn set_leader(&self, leader: Option<Rc<Leader<C>>>) {
        *self.leader.borrow_mut() = leader;
    }

    /// Returns a uniformly distributed random number in a range.
    pub fn random(&self, range: Range<f64>) -> f64 {
        self.rng.borrow_mut().random_range(range)
    }

    /// Returns a delay between reads that all entry VMs make, lengthened if the store couldn't serve them.
    pub fn read_interval(&self, usual: Duration) -> Duration {
        let vms = self.entry_vms.get().unwrap_or_default();
        usual.max(self.settings.store_rates.min_read_interval(vms))
    }

    /// Returns the time over which a write that all entry VMs make at the same time is to be spread; `None` if
    /// their number isn't known yet.
    pub fn write_spread(&self, max: Duration) -> Option<Duration> {
        let vms = self.entry_vms.get()?;
        Some(self.settings.store_rates.write_spread(vms, max))
    }

    /// Returns whether the process is ready for callers: it is not stopping, and its configuration
    /// is confirmed to be in force.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get()
            && self
                .site_view
                .borrow()
                .is_confirmed(self.clock.now(), &self.settings.bounds)
    }
}

/// Hashes a text, so that VMs with different addresses get different seeds.
fn seed_of(text: &str) -> u64 {
    use std::hash::Hasher;
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}
