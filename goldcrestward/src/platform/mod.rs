//! Built-in adapters to a platform: an etcd-compatible key-value service and an instance list.

mod etcd;
mod instances;

pub(crate) use etcd::Etcd;
pub(crate) use instances::InstanceList;

#[cfg(test)]
mod partial_answers_test;
