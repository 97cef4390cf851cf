//! State and helpers that all checks of a manifest use.

use std::collections::HashMap;

use snipevane_proto::manifest::{Manifest, Pool, Service};
use snipevane_proto::repair::RepairedPaths;

use crate::config::Findings;

/// One of the lists at the top level of a manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum List {
    Zones,
    Teams,
    Pools,
    Services,
    Queues,
}

impl List {
    /// Returns the name of the manifest member that holds the list.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Zones => "zones",
            Self::Teams => "teams",
            Self::Pools => "pools",
            Self::Services => "services",
            Self::Queues => "queues",
        }
    }
}

/// An item and its index in its list.
#[derive(Debug)]
pub(super) struct Indexed<'a, T> {
    pub(super) position: usize,
    pub(super) item: &'a T,
}

impl<T> Clone for Indexed<'_, T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Indexed<'_, T> {}

/// Returns the JSON pointer to an item of a list.
pub(super) fn item_pointer(list: List, position: usize) -> String {
    format!("/{}/{position}", list.name())
}

/// Runs the checks on one manifest and collects their findings.
pub(super) struct Checker<'a> {
    pub(super) manifest: &'a Manifest,
    /// Locations where a placeholder stands for a value that didn't match the schema.
    pub(super) repaired: &'a RepairedPaths,
    /// Pools by name.
    pub(super) pools: HashMap<&'a str, Indexed<'a, Pool>>,
    /// Services by name.
    pub(super) services: HashMap<&'a str, Indexed<'a, Service>>,
    findings: Findings,
}

impl<'a> Checker<'a> {
    pub(super) fn new(
        manifest: &'a Manifest,
        repaired: &'a RepairedPaths,
        findings: Findings,
    ) -> Self {
        let pools = manifest.pools.iter().enumerate();
        let services = manifest.services.iter().enumerate();
        Self {
            manifest,
            repaired,
            pools: pools
                .map(|(position, item)| (item.name.as_str(), Indexed { position, item }))
                .collect(),
            services: services
                .map(|(position, item)| (item.name.as_str(), Indexed { position, item }))
                .collect(),
            findings,
        }
    }

    /// Returns whether a member of an item matched the schema, so that it holds no placeholder.
    pub(super) fn matches_schema(&self, list: List, position: usize, member: &str) -> bool {
        let pointer = format!("{}/{member}", item_pointer(list, position));
        !self.repaired.overlaps(&pointer)
    }

    /// Returns whether a list matched the schema, or at least the names of all its items did.
    ///
    /// If not, an item that a reference names may be missing only because it couldn't be read.
    pub(super) fn names_match_schema(&self, list: List, items: usize) -> bool {
        let whole = format!("/{}", list.name());
        !self.repaired.overlaps(&whole)
            || items > 0 && (0..items).all(|i| self.matches_schema(list, i, "name"))
    }

    /// Adds a finding about a member of an item.
    pub(super) fn add(
        &mut self,
        list: List,
        position: usize,
        member: &str,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) {
        let pointer = format!("{}/{member}", item_pointer(list, position));
        self.add_at(pointer, message, hint);
    }

    /// Adds a finding at a JSON pointer, unless the value there or around it, or a part of it, is a
    /// placeholder.
    pub(super) fn add_at(
        &mut self,
        pointer: String,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) {
        if !self.repaired.overlaps(&pointer) {
            self.findings.add(pointer, message, hint);
        }
    }

    /// Adds a finding if a number that must be at least 1 is 0; `consequence` says what 0 would
    /// cause.
    pub(super) fn require_positive(
        &mut self,
        list: List,
        position: usize,
        member: &str,
        value: u32,
        consequence: &str,
    ) {
        if value == 0 {
            let message = format!("0 means that {consequence}");
            self.add(list, position, member, message, "set it to at least 1");
        }
    }

    pub(super) fn into_findings(self) -> Findings {
        self.findings
    }
}
