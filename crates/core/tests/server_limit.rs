//! Servers that name a limit on requests per second, on virtual time.

use redwingtrestle_core::{cases, process::server_limit::parse_limit};

cases! {
    parse_limit;
    /// Guards against ignoring a fraction.
    fraction_is_read: "2.7" => Some(2.7),
    /// Guards against a limit below 0 that stops all work.
    negative_limit_is_ignored: "-1" => None,
    /// Guards against a limit of no number.
    no_number_is_ignored: "NaN" => None,
    /// Guards against a text that is read as a limit.
    text_is_ignored: "few" => None,
    /// Guards against a server that gets no request any more and so cannot end its limit.
    limit_of_nothing_leaves_a_trickle: "0" => Some(0.1),
}
