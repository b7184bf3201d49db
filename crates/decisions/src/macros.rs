//! Macros for the derive sets that the project's types share.

/// Declares data types with the common derive set, rejecting unknown fields on input.
#[macro_export]
macro_rules! value_type {
    ($($(#[$meta:meta])* $vis:vis struct $name:ident $body:tt)+) => {
        $(
            #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
            #[serde(deny_unknown_fields)]
            $(#[$meta])*
            $vis struct $name $body
        )+
    };
}

/// Declares closed sets without data: copyable, ordered, written in snake case.
#[macro_export]
macro_rules! closed_set {
    ($($(#[$meta:meta])* $vis:vis enum $name:ident $body:tt)+) => {
        $(
            $(#[$meta])*
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            #[serde(rename_all = "snake_case")]
            $vis enum $name $body
        )+
    };
}

/// Declares moments of one clock, which are compared and stored but not mixed up with those of another.
#[macro_export]
macro_rules! clock_type {
    ($($(#[$meta:meta])* $name:ident($unit:ty);)+) => {
        $(
            $(#[$meta])*
            #[derive(
                Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(pub $unit);
        )+
    };
}

/// Declares cheap-to-clone string names that cannot be mixed up with one another.
#[macro_export]
macro_rules! name_type {
    ($($(#[$meta:meta])* $name:ident;)+) => {
        $(
            $(#[$meta])*
            #[derive(
                Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(std::sync::Arc<str>);

            impl $name {
                /// Wraps `text` without checking it.
                pub fn new(text: &str) -> Self {
                    Self(text.into())
                }

                /// The name as text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl From<&str> for $name {
                fn from(text: &str) -> Self {
                    Self::new(text)
                }
            }

            impl std::borrow::Borrow<str> for $name {
                fn borrow(&self) -> &str {
                    &self.0
                }
            }
        )+
    };
}
