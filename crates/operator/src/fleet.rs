//! Client and settings with which operators' tools reach a fleet.

mod fleet_client;
mod operator_settings;

pub use fleet_client::{FleetClient, RouterAnswer};
pub use operator_settings::OperatorSettings;
