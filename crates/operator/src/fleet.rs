//! The routers of a fleet as an operator's tool sees them.

mod fleet_client;
mod operator_settings;

pub use fleet_client::{FleetClient, RouterAnswer};
pub use operator_settings::OperatorSettings;
