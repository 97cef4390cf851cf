//! Checks that names are valid and unique.

use std::collections::HashMap;

use super::checker::{Checker, List, item_pointer};

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Hint for an invalid name.
const NAME_HINT: &str =
    "use 1 to 64 letters, digits, dots, hyphens and underscores, with a letter or digit first";

impl Checker<'_> {
    /// Checks that all names are valid and that each is unique in its list.
    pub(super) fn check_names(&mut self) {
        let manifest = self.manifest;
        if manifest.site.is_empty() {
            self.add_at(
                "/site".to_owned(),
                "the site has no name",
                "set the site's name",
            );
        }
        self.check_list_names(List::Zones, manifest.zones.iter().map(|zone| &zone.name));
        self.check_list_names(List::Teams, manifest.teams.iter().map(|team| &team.name));
        self.check_list_names(List::Pools, manifest.pools.iter().map(|pool| &pool.name));
        let services = manifest.services.iter().map(|service| &service.name);
        self.check_list_names(List::Services, services);
        let queues = manifest.queues.iter().map(|queue| &queue.name);
        self.check_list_names(List::Queues, queues);
    }

    fn check_list_names<'a>(&mut self, list: List, names: impl Iterator<Item = &'a String>) {
        let mut first = HashMap::new();
        for (position, name) in names.enumerate() {
            if !is_valid_name(name) {
                let message = format!("{name:?} is not a valid name");
                self.add(list, position, "name", message, NAME_HINT);
            }
            if let Some(&earlier) = first.get(name) {
                let earlier = item_pointer(list, earlier);
                let message = format!("{name:?} is already the name of {earlier}");
                self.add(list, position, "name", message, "choose another name");
            } else {
                first.insert(name, position);
            }
        }
    }
}

/// Returns whether a text is a valid name.
///
/// The characters are restricted because names are used in URL paths, headers and row keys.
pub(super) fn is_valid_name(text: &str) -> bool {
    let has_valid_start = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    has_valid_start && text.len() <= MAX_NAME_BYTES && text.chars().all(is_name_char)
}

/// Returns the hint for an invalid name.
pub(super) fn name_hint() -> &'static str {
    NAME_HINT
}
