//! What all parts of the process share.

use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use snipevane_adapter::settings::NodeSettings;
use tokio::sync::Notify;

use crate::client::Client;
use crate::clock::Clock;
use crate::scheduling::{Lead, SchedulerView};
use crate::site_view::SiteView;
use crate::store::Store;

/// The process on an entry VM.
pub struct Node<C> {
    /// Settings.
    pub settings: NodeSettings,
    /// Clock.
    pub clock: C,
    /// HTTP client.
    pub client: Client,
    /// Store.
    pub store: Store<C>,
    /// Configuration in force.
    pub site: RefCell<SiteView>,
    /// What is known of the scheduler.
    pub scheduler: RefCell<SchedulerView>,
    /// The scheduler of this process's term, while it holds one.
    leader: RefCell<Option<Rc<Lead<C>>>>,
    /// Whether the process is stopping.
    pub stopping: Cell<bool>,
    /// Told when the process begins to stop.
    pub shutdown: Notify,
    /// Told when the configuration changes.
    pub site_changed: Notify,
    /// Start of the process, in Unix milliseconds.
    pub started_unix_ms: u64,
    rng: RefCell<StdRng>,
}

impl<C: Clock> Node<C> {
    /// Creates the shared state of a process.
    pub fn new(settings: NodeSettings, clock: C) -> Rc<Self> {
        let client = Client::default();
        let store = Store::new(clock.clone(), client.clone(), settings.store);
        let started_unix_ms = clock.unix_ms();
        let rng = StdRng::seed_from_u64(started_unix_ms ^ seed_of(&settings.ip));
        Rc::new(Self {
            settings,
            clock,
            client,
            store,
            site: RefCell::default(),
            scheduler: RefCell::default(),
            leader: RefCell::new(None),
            stopping: Cell::new(false),
            shutdown: Notify::new(),
            site_changed: Notify::new(),
            started_unix_ms,
            rng: RefCell::new(rng),
        })
    }

    /// Returns the scheduler of this process's term, while it holds one.
    pub fn leader(&self) -> Option<Rc<Lead<C>>> {
        self.leader.borrow().clone()
    }

    /// Takes note of the scheduler of this process's term, or of the term's end.
    pub(crate) fn set_leader(&self, leader: Option<Rc<Lead<C>>>) {
        *self.leader.borrow_mut() = leader;
    }

    /// Returns a random number in a range.
    pub fn random(&self, range: Range<f64>) -> f64 {
        self.rng.borrow_mut().random_range(range)
    }

    /// Returns whether requests can be served by a configuration that is surely in force.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get()
            && self
                .site
                .borrow()
                .is_confirmed(self.clock.now(), &self.settings.bounds)
    }
}

/// Returns a number that differs between VMs.
fn seed_of(text: &str) -> u64 {
    use std::hash::Hasher;
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}
