//! Macros for common sets of derives and for newtypes.

/// Derives the traits of plain data types that are sent to other processes or stored.
#[macro_export]
macro_rules! wire_types {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Derives the traits of small `Copy` types that are compared, ordered, hashed and serialized.
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

/// Declares a text identifier: a newtype over `Arc<str>` that is validated when it is created,
/// parsed or deserialized.
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
            /// Creates the identifier after checking the text.
            ///
            /// # Errors
            ///
            /// Fails when the text is empty, longer than [`MAX_NAME_BYTES`](crate::MAX_NAME_BYTES)
            /// bytes, or contains a character other than ASCII letters, digits, `-`, `_`, `.`, `:`.
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

/// Declares a newtype over `u64` with a unit, saturating arithmetic, and conversions from and to
/// text such as `5ms`.
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
            /// Creates the value from a number of units.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number of units.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Adds, saturating at the maximum value.
            #[must_use]
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Subtracts, saturating at zero.
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
