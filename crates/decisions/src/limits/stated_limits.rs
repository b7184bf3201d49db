//! What an upstream states of the requests that it takes.

use serde::{Deserialize, Serialize};

/// What an upstream states of the requests that it takes from all routers together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct StatedLimits {
    /// Requests per second; absent if it names no limit.
    pub per_second: Option<f64>,
    /// Rejections per second after which it breaks down; absent if it does not say that it is brittle.
    #[serde(default)]
    pub rejections: Option<u32>,
}

impl StatedLimits {
    /// Whether it states none.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}
