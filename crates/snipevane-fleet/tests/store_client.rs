//! Calls to the store: which of them are sent twice, and what is known of the store's clock.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use snipevane_adapter_standin::Store;
use snipevane_fleet::client::Client;
use snipevane_fleet::clock::{Clock, SystemClock};
use snipevane_fleet::store::{Purpose, StoreClient};

/// Table that the tests read.
const TABLE: &str = "table";

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), test);
}

#[test]
fn calls_to_a_store_that_has_become_slow_are_not_sent_through_other_vms() {
    let (store, relayed) = (Store::default(), Store::default());
    let (address, relay) = (store.add_endpoint().address, relayed.add_endpoint().address);
    run(async {
        let client = StoreClient::new(SystemClock, Client::default(), address);
        client.set_relays(vec![relay]);
        for answer_ms in [500, 600, 700, 800, 900, 1_000] {
            store.set_times(Duration::from_millis(answer_ms), Duration::ZERO);
            client
                .get(Purpose::TermPoll, TABLE, "key")
                .await
                .expect("a page");
        }
    });
    assert_eq!(store.read_count(TABLE), 6);
    assert_eq!(relayed.read_count(TABLE), 0);
}

/// Clock that a test advances.
#[derive(Clone)]
struct ManualClock {
    offset: Rc<Cell<Duration>>,
    start: Instant,
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        self.start.elapsed() + self.offset.get()
    }

    fn unix_ms(&self) -> u64 {
        0
    }
}

/// The clocks of an entry VM and of the store may drift apart, so that an old reading tells nothing.
#[test]
fn an_old_reading_of_the_stores_clock_tells_no_time() {
    let store = Store::default();
    let address = store.add_endpoint().address;
    run(async {
        let clock = ManualClock {
            offset: Rc::default(),
            start: Instant::now(),
        };
        let client = StoreClient::new(clock.clone(), Client::default(), address);
        assert_eq!(client.latest_clock_ms(), None, "not read yet");
        // The stand-in's clock starts at zero, which counts as no reading.
        tokio::time::sleep(Duration::from_millis(20)).await;
        client
            .get(Purpose::TermPoll, TABLE, "key")
            .await
            .expect("a page");
        tokio::time::sleep(Duration::from_millis(20)).await;
        client
            .get(Purpose::TermPoll, TABLE, "key")
            .await
            .expect("a page");
        let read = client.latest_clock_ms().expect("a reading");
        clock.offset.set(Duration::from_secs(4));
        let later = client.latest_clock_ms().expect("a reading");
        assert!(later >= read + 4_000, "{read} {later}");
        clock.offset.set(Duration::from_secs(6));
        assert_eq!(client.latest_clock_ms(), None);
    });
}

/// Guards against calls that try the silent direct route first each second and wait for its timeout of 0.7 s.
#[test]
fn only_the_first_call_waits_for_a_store_that_has_fallen_silent() {
    let store = Store::default();
    let (direct, relay) = (store.add_endpoint(), store.add_endpoint());
    run(async {
        let client = StoreClient::new(SystemClock, Client::default(), direct.address);
        client.set_relays(vec![relay.address]);
        client
            .get(Purpose::TermPoll, TABLE, "key")
            .await
            .expect("a page");
        direct.set_silent(true);
        client
            .get(Purpose::TermPoll, TABLE, "key")
            .await
            .expect("a page");
        let end = Instant::now() + Duration::from_secs(3);
        while Instant::now() < end {
            let sent_at = Instant::now();
            client
                .get(Purpose::TermPoll, TABLE, "key")
                .await
                .expect("a page");
            let elapsed = sent_at.elapsed();
            assert!(elapsed < Duration::from_millis(350), "{elapsed:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(!client.is_direct());
        direct.set_silent(false);
        let end = Instant::now() + Duration::from_secs(3);
        while !client.is_direct() {
            assert!(Instant::now() < end, "the direct route isn't used again");
            client
                .get(Purpose::TermPoll, TABLE, "key")
                .await
                .expect("a page");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}

/// A relay that works is kept, so that one that is cut off as well isn't tried each second call.
#[test]
fn a_relay_that_works_is_kept() {
    let store = Store::default();
    let direct = store.add_endpoint();
    let relays = [store.add_endpoint(), store.add_endpoint()];
    direct.set_silent(true);
    relays[0].set_silent(true);
    run(async {
        let client = StoreClient::new(SystemClock, Client::default(), direct.address);
        client.set_relays(relays.iter().map(|relay| relay.address).collect());
        client
            .get(Purpose::TermPoll, TABLE, "key")
            .await
            .expect("a page");
        for _ in 0..4 {
            let sent_at = Instant::now();
            client
                .get(Purpose::TermPoll, TABLE, "key")
                .await
                .expect("a page");
            assert!(sent_at.elapsed() < Duration::from_millis(350));
        }
    });
}
