//! Differences between manifests, which entry VMs send each other in place of whole ones.

use std::collections::{BTreeMap, BTreeSet};

use snipevane_proto::manifest::{
    ChangedItems, Difference, Manifest, Pool, Queue, RemovedItems, Service, Team, Zone,
};

/// An item of a manifest's list.
trait Item: Clone + PartialEq {
    /// Returns the name, unique in the list.
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

/// Returns the change that makes one manifest into another.
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

/// Applies a change to the manifest that it was made from; lists come out in order of names.
///
/// The result is the other manifest only if `base` is the one that the change was made from:
/// compare the hash of its canonical text.
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

fn changed_items<T: Item>(from: &[T], to: &[T]) -> Vec<T> {
    let known: BTreeMap<&str, &T> = from.iter().map(|item| (item.name(), item)).collect();
    to.iter()
        .filter(|item| known.get(item.name()) != Some(item))
        .cloned()
        .collect()
}

fn removed_items<T: Item>(from: &[T], to: &[T]) -> Vec<String> {
    let kept: BTreeSet<&str> = to.iter().map(Item::name).collect();
    from.iter()
        .map(Item::name)
        .filter(|name| !kept.contains(name))
        .map(str::to_owned)
        .collect()
}

fn merge_items<T: Item>(base: &[T], put: &[T], removed: &[String]) -> Vec<T> {
    let mut items: BTreeMap<&str, &T> = base.iter().map(|item| (item.name(), item)).collect();
    for name in removed {
        items.remove(name.as_str());
    }
    items.extend(put.iter().map(|item| (item.name(), item)));
    items.into_values().cloned().collect()
}
