//! Macros that derive the common traits of data types and define newtypes.

/// Derives `Clone`, `Debug`, `PartialEq`, `Eq`, `Serialize` and `Deserialize` for a data type.
///
/// A leading `copy` adds `Copy`, `Ord` and `Hash`, for small values. `key` adds `Ord` and `Hash`.
/// `float` leaves out `Eq`, for types that contain floating-point numbers.
macro_rules! data {
    (copy $item:item) => {
        #[derive(
            Clone,
            Copy,
            Debug,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            serde::Serialize,
            serde::Deserialize,
        )]
        $item
    };
    (key $item:item) => {
        #[derive(
            Clone,
            Debug,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            serde::Serialize,
            serde::Deserialize,
        )]
        $item
    };
    (float $item:item) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        $item
    };
    ($item:item) => {
        #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        $item
    };
}

/// Defines a newtype over `u64` with `Display`, `FromStr` and conversions.
///
/// Errors of `FromStr` name the type.
macro_rules! number {
    ($(#[$meta:meta])* $name:ident) => {
        $crate::macros::data! {copy
            $(#[$meta])*
            #[derive(Default)]
            #[serde(transparent)]
            pub struct $name(u64);
        }

        impl $name {
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            pub const fn as_u64(self) -> u64 {
                self.0
            }

            /// Returns the value plus one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::error::Error;

            fn from_str(s: &str) -> $crate::error::Result<Self> {
                s.parse()
                    .map(Self)
                    .map_err(|_| $crate::error::Error::bad_value(stringify!($name), s, "use a whole number"))
            }
        }
    };
}

/// Defines a newtype over a shared string that holds a valid name, with `Display`, `FromStr` and
/// serde as a string.
///
/// Parsing checks the name with [`check_name`](crate::id::check_name); its errors name the type.
macro_rules! name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(&self.0)
            }
        }

        impl std::fmt::Debug for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::error::Error;

            fn from_str(s: &str) -> $crate::error::Result<Self> {
                $crate::id::check_name(stringify!($name), s)?;
                Ok(Self(s.into()))
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_str(&self.0)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = String::deserialize(d)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

pub(crate) use data;
pub(crate) use name;
pub(crate) use number;
