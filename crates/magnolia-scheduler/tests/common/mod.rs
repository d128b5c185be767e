//! Helpers shared by several test files.

/// Defines a test without arguments from its name and body.
macro_rules! test_case {
    ($(#[$meta:meta])* $name:ident, $body:expr) => {
        $(#[$meta])*
        #[test]
        fn $name() {
            let check: fn() = $body;
            check();
        }
    };
}

pub(crate) use test_case;
