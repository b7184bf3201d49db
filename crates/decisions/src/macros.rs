//! Macros that declare types with a common set of derives.

/// Declares data types with the common derives; deserialization rejects unknown fields.
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

/// Declares enums without data: copyable, ordered, serialized in snake case.
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

/// Declares newtypes for the time of one clock, so that times of different clocks cannot be mixed.
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

/// Declares newtypes for names: strings that are cheap to clone and cannot be mixed with names of
/// another type.
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
                /// Wraps `text` without validation.
                pub fn new(text: &str) -> Self {
                    Self(text.into())
                }

                /// The name as a string slice.
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
