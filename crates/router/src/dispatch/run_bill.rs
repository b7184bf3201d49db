//! Accumulates the cost of a run and creates its bill.

use ferry_decisions::bill::{BillEntry, BillOutcome, TokenPrice};
use ferry_decisions::names::VersionName;
use ferry_kernel::wall_clock;
use ferry_platform::engine::TokenUsage;

use crate::caller::CallerRequest;
use crate::core::RouterCore;

/// Tokens and price of all stages of one run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunBill {
    /// Prompt tokens of all stages.
    pub prompt_tokens: u64,
    /// Completion tokens of all stages.
    pub completion_tokens: u64,
    /// Price of all stages, in millionths of the currency unit.
    pub cost: u64,
}

impl RunBill {
    /// Adds the tokens of one stage at the prices of `version`; only the tokens if the configuration
    /// no longer has the version.
    pub fn add(&mut self, core: &RouterCore, version: &VersionName, usage: TokenUsage) {
        let (prompt, completion) = (usage.prompt_tokens, usage.completion_tokens);
        self.prompt_tokens = self.prompt_tokens.saturating_add(prompt);
        self.completion_tokens = self.completion_tokens.saturating_add(completion);
        let view = core.config.view();
        let Some(entry) = view.version(version.as_str()) else {
            return;
        };
        let price = TokenPrice {
            prompt: entry.spec.prompt_price,
            completion: entry.spec.completion_price,
        };
        self.cost = self.cost.saturating_add(price.of(prompt, completion));
    }

    /// Creates the bill for `request`, answered by `version`.
    pub fn to_entry(
        self,
        core: &RouterCore,
        request: &CallerRequest,
        version: &VersionName,
        outcome: BillOutcome,
    ) -> BillEntry {
        BillEntry {
            request: request.id.clone(),
            workspace: request.workspace.clone(),
            version: version.clone(),
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.completion_tokens,
            cost: self.cost,
            outcome,
            router: core.settings.host.clone(),
            time: wall_clock::now(),
        }
    }
}
