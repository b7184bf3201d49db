//! Price of the tokens of one stage.

/// Number of tokens that a configured price refers to.
const PRICE_UNIT_TOKENS: u128 = 1_000;

/// Prices of a version, in millionths of the currency unit for a thousand tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenPrice {
    /// Price of prompt tokens.
    pub prompt: u64,
    /// Price of completion tokens.
    pub completion: u64,
}

impl TokenPrice {
    /// Price of these tokens, rounded up, in millionths of the currency unit; the largest that a bill holds if it is larger, as an engine
    /// may state any number of tokens.
    pub fn of(&self, prompt_tokens: u64, completion_tokens: u64) -> u64 {
        let prompt = u128::from(prompt_tokens) * u128::from(self.prompt);
        let completion = u128::from(completion_tokens) * u128::from(self.completion);
        let price = prompt
            .saturating_add(completion)
            .div_ceil(PRICE_UNIT_TOKENS);
        u64::try_from(price).unwrap_or(u64::MAX)
    }
}
