//! Holds on the budget of buffered bytes. A hold releases its bytes when it is dropped, also after a panic.

use std::sync::Mutex;

use crate::{
    names::TeamName,
    routing::{BufferBudget, BufferClaim, BufferDenial, BufferKind},
    utils::sync::lock,
};

/// Bytes held for each request from its admission to its end, beside its body: a piece of its response and its chunk,
/// so that the response can be passed on when there is no room for more. A piece has at most 4 KiB where all that was
/// read before has been passed on; only after a head of over 4 KiB can the read buffer, and the piece, be larger.
pub const RELAY_WINDOW: usize = 8 << 10;

/// Largest number of bytes that a growing body allocates ahead.
const GROWTH_MAX: usize = 256 << 10;

/// The budget of an instance.
#[derive(Debug)]
pub struct Buffers {
    budget: Mutex<BufferBudget>,
}

/// Bytes held for one request.
#[derive(Debug)]
pub struct BufferHold<'g> {
    buffers: &'g Buffers,
    team: Option<TeamName>,
    has_other_teams: bool,
    /// Bytes held by kind, in the order of [`BufferKind::ALL`].
    held: [u64; BufferKind::ALL.len()],
}

/// A body of a response and the hold on its bytes.
#[derive(Debug)]
pub struct HeldBody<'g> {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// The hold.
    pub hold: BufferHold<'g>,
}

impl Buffers {
    /// Returns an unused budget of `max` bytes.
    pub fn new(max: u64) -> Buffers {
        Buffers { budget: Mutex::new(BufferBudget::new(max)) }
    }

    /// Returns a hold for a caller of `team` that has no bytes yet.
    pub fn hold(&self, team: Option<TeamName>, has_other_teams: bool) -> BufferHold<'_> {
        BufferHold { buffers: self, team, has_other_teams, held: [0; BufferKind::ALL.len()] }
    }

    /// Returns the number of bytes held of a kind.
    pub fn held(&self, kind: BufferKind) -> u64 {
        lock(&self.budget).held(kind)
    }

    /// Returns the number of bytes held in total.
    pub fn total(&self) -> u64 {
        lock(&self.budget).total()
    }
}

impl BufferHold<'_> {
    /// Checks whether `bytes` more may be held.
    ///
    /// # Errors
    ///
    /// The reason why they may not.
    pub fn check(&self, kind: BufferKind, bytes: u64) -> Result<(), BufferDenial> {
        lock(&self.buffers.budget).check(&self.claim(kind, bytes))
    }

    /// Holds `bytes` more.
    ///
    /// # Errors
    ///
    /// The reason why they may not be held; nothing more is held then.
    pub fn reserve(&mut self, kind: BufferKind, bytes: usize) -> Result<(), BufferDenial> {
        let bytes = bytes as u64;
        lock(&self.buffers.budget).reserve(&self.claim(kind, bytes))?;
        self.held[kind as usize] += bytes;
        Ok(())
    }

    /// Releases the bytes beyond `bytes`.
    pub fn shrink(&mut self, kind: BufferKind, bytes: usize) {
        let excess = self.held[kind as usize].saturating_sub(bytes as u64);
        if excess > 0 {
            self.held[kind as usize] -= excess;
            lock(&self.buffers.budget).release(kind, &self.team, excess);
        }
    }

    /// Holds exactly `bytes`; returns whether they may be held.
    pub fn resize(&mut self, kind: BufferKind, bytes: usize) -> bool {
        self.shrink(kind, bytes);
        let missing = bytes - self.held[kind as usize] as usize;
        missing == 0 || self.reserve(kind, missing).is_ok()
    }

    /// Returns the number of bytes that the team holds, for logs.
    pub fn held_by_team(&self) -> u64 {
        lock(&self.buffers.budget).held_by(&self.team)
    }

    /// Returns the team, for logs.
    pub fn team(&self) -> &str {
        self.team.as_ref().map_or("", TeamName::as_str)
    }

    fn claim(&self, kind: BufferKind, bytes: u64) -> BufferClaim<'_> {
        BufferClaim { kind, team: &self.team, bytes, has_other_teams: self.has_other_teams }
    }
}

impl Drop for BufferHold<'_> {
    fn drop(&mut self) {
        let mut budget = lock(&self.buffers.budget);
        for kind in BufferKind::ALL {
            budget.release(kind, &self.team, self.held[kind as usize]);
        }
    }
}

impl<'g> HeldBody<'g> {
    /// Returns an empty body.
    pub fn new(hold: BufferHold<'g>) -> HeldBody<'g> {
        HeldBody { bytes: Vec::new(), hold }
    }
}

/// Appends to a body. Its allocation exceeds its length by a third at most, as only the length is held.
pub fn append(body: &mut Vec<u8>, piece: &[u8]) {
    if body.capacity() - body.len() < piece.len() {
        body.reserve_exact(piece.len().max((body.len() / 3).min(GROWTH_MAX)));
    }
    body.extend_from_slice(piece);
}
