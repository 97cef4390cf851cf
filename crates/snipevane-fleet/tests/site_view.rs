//! How long a process serves callers by a configuration.

use std::rc::Rc;
use std::time::Duration;

use snipevane_adapter::settings::Bounds;
use snipevane_core::jobs::{Site, SiteSpec};
use snipevane_fleet::site_view::SiteView;

const CONFIRMED_AT: Duration = Duration::from_secs(100);

fn bounds() -> Bounds {
    Bounds {
        key_withdrawal: Duration::from_secs(5),
        config_apply: Duration::from_secs(2),
        ..Bounds::default()
    }
}

/// Returns a view of version 3, confirmed at [`CONFIRMED_AT`].
fn view() -> SiteView {
    let spec = SiteSpec {
        version: 3,
        ..SiteSpec::default()
    };
    let mut view = SiteView::default();
    view.site = Some(Rc::new(Site::new(spec)));
    view.confirm(3, CONFIRMED_AT);
    view
}

fn is_confirmed_after(view: &SiteView, millis: u64) -> bool {
    view.is_confirmed(CONFIRMED_AT + Duration::from_millis(millis), &bounds())
}

#[test]
fn a_configuration_is_served_for_a_while_after_its_last_confirmation() {
    let view = view();
    assert!(is_confirmed_after(&view, 2_999));
    assert!(!is_confirmed_after(&view, 3_000));
}

#[test]
fn a_configuration_is_not_served_once_a_newer_one_must_be_in_force() {
    let mut view = view();
    view.confirm(4, CONFIRMED_AT + Duration::from_millis(500));
    assert!(is_confirmed_after(&view, 1_999));
    assert!(!is_confirmed_after(&view, 2_000));
}
