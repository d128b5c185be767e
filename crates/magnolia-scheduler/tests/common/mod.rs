//! What several test files share.

/// Names a case that needs nothing but its body.
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
