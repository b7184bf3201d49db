//! Beliefs about the network paths from one router to the upstreams.

mod path_health;

pub use path_health::PathHealth;
