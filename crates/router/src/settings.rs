//! Settings of a router: the contents of its file and their validation.

mod router_settings;

pub use router_settings::{
    ListenSettings, PlatformSettings, RequestLimits, RouterSettings, SecretSettings, StopSettings,
};
