//! Limits that upstreams name in their answers, and the turns to send to such an upstream, which one router of the fleet gives to all.

mod limit_book;
mod return_times;
mod turn_giver;
mod turn_manager;
mod turn_message;
mod turn_taker;

pub use turn_manager::TurnManager;
pub use turn_message::LimitNotice;
pub use turn_taker::{answer_query, take_turn};

use super::relay_core::SharedCore;

/// Starts the task that reports ended limits to the routers that give the turns.
pub fn start(core: &SharedCore) {
    core.spawn(turn_taker::report_ends(core.clone()));
}
