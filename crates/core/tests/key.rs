//! Parsing and printing of idempotency keys.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use redwingtrestle_core::{
    cases,
    ids::StartId,
    request::key::{Key, KeyPrefix, RequestKey, MAX_CALLER_KEY_LEN, MAX_KEY_LEN},
};
use std::{
    net::{IpAddr, SocketAddr, SocketAddrV6},
    sync::Arc,
};

const SEED: u64 = 0x6b65_7973;

#[derive(Clone, Debug)]
struct AnyKey(RequestKey);

impl Arbitrary for AnyKey {
    fn arbitrary(g: &mut Gen) -> Self {
        // Half of the addresses are IPv6, which quickcheck's own address type covers less evenly.
        let ip: IpAddr = if bool::arbitrary(g) {
            u32::arbitrary(g).to_be_bytes().into()
        } else {
            u128::arbitrary(g).to_be_bytes().into()
        };
        let home = SocketAddr::new(ip, u16::arbitrary(g));
        let prefix = KeyPrefix::new(home, StartId(u64::arbitrary(g)), u64::arbitrary(g));
        let len = 1 + usize::arbitrary(g) % MAX_CALLER_KEY_LEN;
        let caller: String = (0..len).map(|_| char::from(0x21 + u8::arbitrary(g) % 94)).collect();
        AnyKey(RequestKey::new(prefix, &caller).expect("the caller key is valid"))
    }
}

fn check() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED)).tests(2_000)
}

/// Guards against a printed key that its home does not recognise, above all with IPv6.
#[test]
fn printed_key_parses_to_itself() {
    fn property(AnyKey(key): AnyKey) -> bool {
        let text = key.to_string();
        text.len() <= MAX_KEY_LEN && Key::parse(&text) == Ok(Key::Homed(key))
    }
    check().quickcheck(property as fn(AnyKey) -> bool);
}

/// Guards against a panic on a caller's text, and against two spellings of one key.
#[test]
fn random_text_never_panics() {
    fn property(text: String) -> bool {
        match Key::parse(&text) {
            Ok(Key::Homed(key)) => key.to_string() == text,
            Ok(Key::Plain(plain)) => plain == Arc::from(text),
            Err(_) => true,
        }
    }
    check().quickcheck(property as fn(String) -> bool);
}

/// Guards against a panic on text close to a valid key, which random text rarely is.
#[test]
fn damaged_key_never_panics() {
    fn property(AnyKey(key): AnyKey, at: usize, with: char, cut: bool) -> bool {
        let mut chars: Vec<char> = key.to_string().chars().collect();
        let at = at % chars.len();
        if cut {
            chars.truncate(at);
        } else {
            chars[at] = with;
        }
        let text: String = chars.into_iter().collect();
        match Key::parse(&text) {
            Ok(Key::Homed(key)) => key.to_string() == text,
            Ok(Key::Plain(_)) | Err(_) => true,
        }
    }
    check().quickcheck(property as fn(AnyKey, usize, char, bool) -> bool);
}

#[derive(Debug, PartialEq)]
enum Kind {
    Homed,
    Plain,
    Malformed,
}

fn kind(text: &str) -> Kind {
    match Key::parse(text) {
        Ok(Key::Homed(_)) => Kind::Homed,
        Ok(Key::Plain(_)) => Kind::Plain,
        Err(_) => Kind::Malformed,
    }
}

cases! {
    kind;
    ipv4_key_is_homed: "127.0.0.1-9000-00000000000000ff-7.order-1" => Kind::Homed,
    ipv6_key_is_homed: "::1-9000-00000000000000ff-7.order-1" => Kind::Homed,
    /// The dots of the embedded address must not end the prefix.
    ipv6_key_with_embedded_ipv4_is_homed: "::ffff:10.0.0.1-9000-00000000000000ff-7.a" => Kind::Homed,
    caller_key_with_separators_is_homed: "127.0.0.1-9000-00000000000000ff-7.a.b-c.d" => Kind::Homed,
    /// A UUID also has dashes and must not count as a broken prefix.
    uuid_is_plain: "550e8400-e29b-41d4-a716-446655440000" => Kind::Plain,
    dotted_text_is_plain: "order.2026.17" => Kind::Plain,
    bare_address_is_plain: "127.0.0.1" => Kind::Plain,
    empty_text_is_malformed: "" => Kind::Malformed,
    empty_caller_key_is_malformed: "127.0.0.1-9000-00000000000000ff-7." => Kind::Malformed,
    prefix_without_caller_key_is_malformed: "127.0.0.1-9000-00000000000000ff-7" => Kind::Malformed,
    truncated_prefix_is_malformed: "127.0.0.1-9000-00000000000000ff" => Kind::Malformed,
    port_above_range_is_malformed: "127.0.0.1-65536-00000000000000ff-7.a" => Kind::Malformed,
    short_start_id_is_malformed: "127.0.0.1-9000-ff-7.a" => Kind::Malformed,
    upper_case_start_id_is_malformed: "127.0.0.1-9000-00000000000000FF-7.a" => Kind::Malformed,
    signed_generation_is_malformed: "127.0.0.1-9000-00000000000000ff-+7.a" => Kind::Malformed,
    generation_with_leading_zero_is_malformed: "127.0.0.1-9000-00000000000000ff-07.a" => Kind::Malformed,
    generation_above_range_is_malformed: "127.0.0.1-9000-00000000000000ff-18446744073709551616.a" => Kind::Malformed,
    uncompressed_ipv6_is_malformed: "0:0:0:0:0:0:0:1-9000-00000000000000ff-7.a" => Kind::Malformed,
    space_is_malformed: "order 1" => Kind::Malformed,
    line_break_is_malformed: "order\n1" => Kind::Malformed,
    non_ascii_text_is_malformed: "commandé" => Kind::Malformed,
}

fn caller_len_fits(len: usize) -> bool {
    kind(&format!("127.0.0.1-9000-00000000000000ff-7.{}", "k".repeat(len))) == Kind::Homed
}

cases! {
    caller_len_fits;
    longest_caller_key_is_accepted: MAX_CALLER_KEY_LEN => true,
    caller_key_above_limit_is_refused: MAX_CALLER_KEY_LEN + 1 => false,
}

fn plain_len_fits(len: usize) -> bool {
    kind(&"k".repeat(len)) == Kind::Plain
}

cases! {
    plain_len_fits;
    longest_plain_key_is_accepted: MAX_KEY_LEN => true,
    plain_key_above_limit_is_refused: MAX_KEY_LEN + 1 => false,
}

/// Guards against a home that does not recognise its own prefix because its socket has a scope id.
#[test]
fn scope_id_is_cleared() {
    let scoped = SocketAddrV6::new("fe80::1".parse().expect("address"), 9000, 5, 3);
    let prefix = KeyPrefix::new(scoped.into(), StartId(1), 0);
    assert_eq!(prefix.to_string().parse(), Ok(prefix));
}
