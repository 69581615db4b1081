//! A macro for table-driven tests with named cases.

/// Generates a `#[test]` named `name` from each line `name: input => expected`.
///
/// The first item is the function under test: its result for the input must equal the expected value. Each case appears
/// by name in the test report.
#[macro_export]
macro_rules! cases {
    ($function:path; $($(#[$doc:meta])* $name:ident: $input:expr => $expected:expr,)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!($function($input), $expected);
            }
        )+
    };
}
