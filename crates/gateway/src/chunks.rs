//! The framing of a chunked body (RFC 9112, section 7.1), followed without a copy of its bytes.

/// Bytes that are no chunked body, or a form of it that is not followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChunkError;

/// The most hexadecimal digits of a chunk's size.
const MAX_DIGITS: u32 = 16;

/// The next byte of a chunked body.
#[derive(Clone, Copy, Debug)]
enum Next {
    Size { size: u64, digits: u32 },
    Extension { size: u64 },
    SizeEnd { size: u64 },
    Data { left: u64 },
    DataReturn,
    DataEnd,
    TrailerStart,
    Trailer,
    TrailerEnd,
    BodyEnd,
}

/// The first byte of a chunk's size.
const CHUNK_START: Next = Next::Size { size: 0, digits: 0 };

/// Follows one chunked body.
#[derive(Debug)]
pub(crate) struct Chunks(Next);

impl Default for Chunks {
    fn default() -> Self {
        Chunks(CHUNK_START)
    }
}

impl Chunks {
    /// Follows `bytes` up to the end of the body. Returns how many belong to it, and whether it has ended.
    pub(crate) fn follow(&mut self, bytes: &[u8]) -> Result<(usize, bool), ChunkError> {
        let mut count = 0;
        while count < bytes.len() {
            if let Next::Data { left } = self.0 {
                let data = left.min((bytes.len() - count) as u64);
                count += data as usize;
                let left = left - data;
                self.0 = if left == 0 { Next::DataReturn } else { Next::Data { left } };
                continue;
            }
            let byte = bytes[count];
            count += 1;
            if matches!((self.0, byte), (Next::BodyEnd, b'\n')) {
                return Ok((count, true));
            }
            self.0 = after(self.0, byte)?;
        }
        Ok((count, false))
    }
}

/// Returns what follows a byte that is neither data nor the last one of the body.
fn after(next: Next, byte: u8) -> Result<Next, ChunkError> {
    Ok(match (next, byte) {
        (Next::Size { size, digits }, _) if byte.is_ascii_hexdigit() && digits < MAX_DIGITS => {
            let digit = char::from(byte).to_digit(16).unwrap_or_default();
            Next::Size { size: size << 4 | u64::from(digit), digits: digits + 1 }
        }
        (Next::Size { size, digits: 1.. }, b';') => Next::Extension { size },
        (Next::Size { size, digits: 1.. } | Next::Extension { size }, b'\r') => {
            Next::SizeEnd { size }
        }
        (Next::Extension { .. }, b'\n') => return Err(ChunkError),
        (Next::Extension { .. }, _) => next,
        (Next::SizeEnd { size: 0 }, b'\n') => Next::TrailerStart,
        (Next::SizeEnd { size: left }, b'\n') => Next::Data { left },
        (Next::DataReturn, b'\r') => Next::DataEnd,
        (Next::DataEnd, b'\n') => CHUNK_START,
        (Next::TrailerStart, b'\r') => Next::BodyEnd,
        (Next::TrailerStart | Next::Trailer, b'\n') => return Err(ChunkError),
        (Next::Trailer, b'\r') => Next::TrailerEnd,
        (Next::TrailerStart | Next::Trailer, _) => Next::Trailer,
        (Next::TrailerEnd, b'\n') => Next::TrailerStart,
        _ => return Err(ChunkError),
    })
}
