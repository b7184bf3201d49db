//! A body that is joined while its pieces arrive.

use bytes::Bytes;

/// Least growth of the buffer, in bytes.
const MIN_GROWTH: usize = 4 * 1024;
/// Growth of the buffer, as a divisor of what it holds.
const GROWTH_DIVISOR: usize = 4;
/// Memory that a piece takes beside its bytes if it is kept in a list, in bytes: its handle, its allocation and the share of the list that is
/// free.
const PIECE_OVERHEAD: usize = 96;

/// Bytes of a body so far, in one buffer, so that their number alone decides how much memory they take, and not that of the pieces.
#[derive(Debug, Default)]
pub struct JoinedBody {
    /// The only piece so far, which is not copied.
    only: Option<Bytes>,
    /// All pieces once there are two; empty before.
    joined: Vec<u8>,
}

impl JoinedBody {
    /// Appends `piece`.
    pub fn push(&mut self, piece: Bytes) {
        if self.is_empty() {
            self.only = Some(piece);
            return;
        }
        if let Some(first) = self.only.take() {
            self.append(&first);
        }
        self.append(&piece);
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.joined.len() + self.only.as_ref().map_or(0, Bytes::len)
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory that the bytes take.
    pub fn held_bytes(&self) -> usize {
        self.joined.capacity() + self.only.as_ref().map_or(0, Bytes::len)
    }

    /// The whole body.
    pub fn into_bytes(self) -> Bytes {
        self.only.unwrap_or_else(|| self.joined.into())
    }

    fn append(&mut self, piece: &[u8]) {
        let free = self.joined.capacity() - self.joined.len();
        if free < piece.len() {
            let growth = (self.joined.len() / GROWTH_DIVISOR).max(MIN_GROWTH);
            self.joined.reserve_exact(growth.max(piece.len()));
        }
        self.joined.extend_from_slice(piece);
    }
}

/// Memory that `piece` takes in a list of pieces.
pub fn held_piece_bytes(piece: &Bytes) -> usize {
    piece.len() + PIECE_OVERHEAD
}
