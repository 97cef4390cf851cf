//! The manifest: the whole configuration of a site.

pub use crate::generated::manifest::{
    KeyPolicy, Maintenance, Manifest, Pool, Queue, Service, Team, Urgency, Zone,
};
