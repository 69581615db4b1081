//! The memory of the test's process.

/// Returns the resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").expect("the process's status");
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).expect("a resident size");
    let kib: u64 = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number");
    kib * 1024
}
