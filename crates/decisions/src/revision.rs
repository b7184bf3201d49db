//! Which revision of the configuration a router may take for the newest one.
//!
//! A revision only goes up: what a later one takes away stays away. The store may come back from a copy that holds an earlier one, and then
//! only routers that ran meanwhile know better. So each message between routers states the revision in force at its sender, whoever hears of a
//! later one than its own fetches it, and no router takes an earlier one for confirmed until then.
//!
//! Load patterns: most routers start one after another while the store comes back; a router starts that knows nobody yet; those that are asked
//! have just started too; messages are lost; all routers start at once.

mod era_check;
mod known_revisions;
mod rules_confirmation;

pub use era_check::{EraCheck, EraRound, EraStep};
pub use known_revisions::KnownRevisions;
pub use rules_confirmation::RulesConfirmation;
