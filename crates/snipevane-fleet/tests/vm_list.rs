//! Work on VMs while the platform refuses part of the calls for the list of VMs.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

#[allow(dead_code, reason = "the module is shared with other tests")]
mod site;

use site::{Site, eventually};
use snipevane_adapter_standin::HostVm;

/// VMs on a page, so that the list has more pages than the platform sends in a second.
const PAGE_SIZE: usize = 5;
const VMS: usize = 400;
const PAGES_PER_S: u32 = 64;

/// Guards against a list of VMs that is requested again from its first page whenever one is refused: the pages that
/// were sent are paid for again, and the list is never complete.
#[test]
fn a_list_whose_pages_are_refused_is_completed() {
    let site = Site::start("refused-pages", 1, 1);
    let hosts = (0..VMS).map(|number| HostVm {
        name: format!("down-{number}"),
        minion: None,
    });
    site.vm_api.set_hosts(hosts.collect());
    site.vm_api.limit_list(PAGE_SIZE, PAGES_PER_S);
    // A list that was requested before has no limits.
    std::thread::sleep(std::time::Duration::from_secs(1));
    site.store.put("op", "wave/3", &site.vm_api.wave(3));
    eventually("an order", || !site.vm_api.holders().is_empty());
}
