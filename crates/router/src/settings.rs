//! Settings of a router: what its file holds and the checks beyond its form.

mod router_settings;

pub use router_settings::{
    ListenSettings, PlatformSettings, RequestLimits, RouterSettings, SecretSettings, StopSettings,
};
