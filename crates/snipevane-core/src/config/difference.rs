//! Computes and applies differences between manifests. Entry VMs send each other differences in
//! place of whole manifests.

use std::collections::{BTreeMap, BTreeSet};

use snipevane_proto::manifest::{
    ChangedItems, Difference, Manifest, Pool, Queue, RemovedItems, Service, Team, Zone,
};

/// An item of one of a manifest's lists.
trait Item: Clone + PartialEq {
    /// Returns the name, which is unique in the list.
    fn name(&self) -> &str;
}

macro_rules! impl_item {
    ($($item:ident),*) => {
        $(impl Item for $item {
            fn name(&self) -> &str {
                &self.name
            }
        })*
    };
}

impl_item!(Zone, Team, Pool, Service, Queue);

/// Computes the difference that turns the manifest `from` into `to`.
pub fn difference(from: &Manifest, to: &Manifest) -> Difference {
    let put = ChangedItems {
        zones: changed_items(&from.zones, &to.zones),
        teams: changed_items(&from.teams, &to.teams),
        pools: changed_items(&from.pools, &to.pools),
        services: changed_items(&from.services, &to.services),
        queues: changed_items(&from.queues, &to.queues),
    };
    let removed = RemovedItems {
        zones: removed_items(&from.zones, &to.zones),
        teams: removed_items(&from.teams, &to.teams),
        pools: removed_items(&from.pools, &to.pools),
        services: removed_items(&from.services, &to.services),
        queues: removed_items(&from.queues, &to.queues),
    };
    Difference {
        site: to.site.clone(),
        put,
        removed,
        maintenance: to.maintenance.clone(),
        keys: to.keys.clone(),
    }
}

/// Applies a difference to the manifest that it was computed from.
///
/// The lists of the result are sorted by name. The result equals the other manifest only if `base`
/// is the manifest that the difference was computed from, so callers must compare the hash of its
/// canonical text.
pub fn apply_difference(base: &Manifest, change: &Difference) -> Manifest {
    let (put, removed) = (&change.put, &change.removed);
    Manifest {
        site: change.site.clone(),
        zones: merge_items(&base.zones, &put.zones, &removed.zones),
        teams: merge_items(&base.teams, &put.teams, &removed.teams),
        pools: merge_items(&base.pools, &put.pools, &removed.pools),
        services: merge_items(&base.services, &put.services, &removed.services),
        queues: merge_items(&base.queues, &put.queues, &removed.queues),
        maintenance: change.maintenance.clone(),
        keys: change.keys.clone(),
    }
}

/// Returns the items of `to` that are new or differ from those of the same name in `from`.
fn changed_items<T: Item>(from: &[T], to: &[T]) -> Vec<T> {
    let known: BTreeMap<&str, &T> = from.iter().map(|item| (item.name(), item)).collect();
    to.iter()
        .filter(|item| known.get(item.name()) != Some(item))
        .cloned()
        .collect()
}

/// Returns the names of the items of `from` that aren't in `to`.
fn removed_items<T: Item>(from: &[T], to: &[T]) -> Vec<String> {
    let kept: BTreeSet<&str> = to.iter().map(Item::name).collect();
    from.iter()
        .map(Item::name)
        .filter(|name| !kept.contains(name))
        .map(str::to_owned)
        .collect()
}

/// Removes and replaces items of a list; the result is sorted by name.
fn merge_items<T: Item>(base: &[T], put: &[T], removed: &[String]) -> Vec<T> {
    let mut items: BTreeMap<&str, &T> = base.iter().map(|item| (item.name(), item)).collect();
    for name in removed {
        items.remove(name.as_str());
    }
    items.extend(put.iter().map(|item| (item.name(), item)));
    items.into_values().cloned().collect()
}
