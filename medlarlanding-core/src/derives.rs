//! Macros for the derives that most data types share, and for table-driven tests.

/// Defines a data type that derives `Clone`, `Debug`, `PartialEq`, `Eq` and the serde traits.
///
/// With `copy` it also derives `Copy`, `PartialOrd`, `Ord` and `Hash`, which small types need to be
/// map keys.
#[macro_export]
macro_rules! value_type {
    (copy $(#[$meta:meta])* $vis:vis $kind:ident $name:ident $($body:tt)*) => {
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        $(#[$meta])*
        $vis $kind $name $($body)*
    };
    ($(#[$meta:meta])* $vis:vis $kind:ident $name:ident $($body:tt)*) => {
        #[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
        $(#[$meta])*
        $vis $kind $name $($body)*
    };
}

/// Defines one `#[test]` per case of a table-driven test.
///
/// ```text
/// cases! { check;
///     rejects_empty_name => ("", false),
///     accepts_plain_name => ("desk", true),
/// }
/// ```
#[macro_export]
macro_rules! cases {
    ($check:path; $( $(#[$meta:meta])* $name:ident => $argument:expr ),* $(,)?) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                $check($argument);
            }
        )*
    };
}
