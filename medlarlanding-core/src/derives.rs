//! Macro for the derives that most data types of the system share.

/// Derives the traits of a plain data type: `Clone`, `Debug`, `Eq` and serde.
///
/// The `copy` form adds the traits that small keys need.
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

/// Names each case of a table-driven test: one `#[test]` per line.
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
