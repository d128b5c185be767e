//! Macros for the common derive sets and for newtypes.

/// Derives the set of a plain data type that crosses a process border.
#[macro_export]
macro_rules! wire_types {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Derives the set of a small copyable value that is compared, ordered and hashed.
#[macro_export]
macro_rules! value_types {
    ($($item:item)*) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            $item
        )*
    };
}

/// Declares a text identifier: a newtype over `Arc<str>` with checked `FromStr` and `Display`.
#[macro_export]
macro_rules! text_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(::std::sync::Arc<str>);

        impl $name {
            /// Creates the identifier from checked text.
            ///
            /// # Errors
            ///
            /// Fails when the text is empty, longer than [`MAX_NAME_BYTES`](crate::MAX_NAME_BYTES)
            /// bytes, or holds a character other than ASCII letters, digits, `-`, `_`, `.`, `:`.
            pub fn new(text: &str) -> Result<Self, $crate::ParseIdError> {
                $crate::ParseIdError::check(stringify!($name), text)?;
                Ok(Self(::std::sync::Arc::from(text)))
            }

            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.to_string()
            }
        }
    };
}

/// Declares a numeric newtype with a unit, `Display`, `FromStr` and saturating arithmetic.
#[macro_export]
macro_rules! number_type {
    ($(#[$meta:meta])* $name:ident, $unit:literal) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates the value from its number of units.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number of units.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Adds and stops at the largest value.
            #[must_use]
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Subtracts and stops at zero.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(f, "{}{}", self.0, $unit)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::ParseQuantityError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let digits = text.strip_suffix($unit).unwrap_or(text);
                digits
                    .parse()
                    .map(Self)
                    .map_err(|_| $crate::ParseQuantityError::new(stringify!($name), text))
            }
        }
    };
}
