//! The backend servers that this daemon knows.

mod blame;
mod false_entry;
mod leaving_news;
mod no_replica;
mod offer;
mod placement_query;
mod registry;
mod replica;
mod replica_guard;
mod replica_health;
mod replica_query;
mod running_request;

pub(crate) use blame::Blame;
pub(crate) use leaving_news::LeavingNews;
pub(crate) use no_replica::NoReplica;
pub(crate) use offer::Offer;
pub(crate) use placement_query::PlacementQuery;
pub(crate) use registry::Replicas;
pub(crate) use replica::Replica;
pub(crate) use replica_guard::ReplicaGuard;
pub(crate) use replica_query::ReplicaQuery;
