//! Bringing in a version of a service: bounded exposure, pooled evidence, completion or return.

mod rollout_order;

pub use rollout_order::RolloutOrder;
