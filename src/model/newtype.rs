//! Macros that declare newtypes of text, numbers and bytes with a common set of conversions.

/// Declares an identifier: 1 to 128 ASCII letters, digits or any of `-_.:/`.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::error::ModelError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                crate::model::newtype::check_id(stringify!($name), text)?;
                Ok(Self(text.to_string()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = crate::error::ModelError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                crate::model::newtype::check_id(stringify!($name), &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

/// Declares a number whose type states its unit.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $repr:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl $name {
            /// Returns the plain number.
            pub const fn get(self) -> $repr {
                self.0
            }

            /// Adds, saturating at the largest value.
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Subtracts, saturating at zero.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::error::ModelError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| crate::error::ModelError::Number {
                    kind: stringify!($name),
                    text: text.to_string(),
                })
            }
        }

        impl From<$repr> for $name {
            fn from(value: $repr) -> Self {
                Self(value)
            }
        }

        impl From<$name> for $repr {
            fn from(value: $name) -> Self {
                value.0
            }
        }
    };
}

/// Declares bytes of a fixed length that are written as lower-case hexadecimal text.
macro_rules! hex_bytes {
    ($(#[$doc:meta])* $name:ident, $len:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub [u8; $len]);

        impl Default for $name {
            fn default() -> Self {
                Self([0; $len])
            }
        }

        impl std::fmt::Debug for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}({self})", stringify!($name))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&hex::encode(self.0))
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::error::ModelError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let mut bytes = [0; $len];
                hex::decode_to_slice(text, &mut bytes).map_err(|_| {
                    crate::error::ModelError::Hex {
                        kind: stringify!($name),
                        digits: 2 * $len,
                    }
                })?;
                Ok(Self(bytes))
            }
        }

        impl TryFrom<String> for $name {
            type Error = crate::error::ModelError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> Self {
                value.to_string()
            }
        }
    };
}

pub(crate) use hex_bytes;
pub(crate) use number;
pub(crate) use text_id;

use crate::error::ModelError;

/// Maximum length of an identifier, since identifiers are part of store keys and headers.
const MAX_ID_BYTES: usize = 128;

pub(crate) fn check_id(kind: &'static str, text: &str) -> Result<(), ModelError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    if text.is_empty() || text.len() > MAX_ID_BYTES || !text.chars().all(allowed) {
        return Err(ModelError::Id {
            kind,
            text: text.chars().take(MAX_ID_BYTES).collect(),
        });
    }
    Ok(())
}
