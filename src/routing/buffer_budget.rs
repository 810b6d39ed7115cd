//! Budget of the bytes that an instance holds in memory for its callers: bodies of requests, responses that their
//! callers have not read yet, and pieces of streams.
//!
//! It guards against callers that read or send slowly: their number has no bound below that of connections, and each
//! may leave a whole body in the memory of the instance.

use indexmap::IndexMap;

use crate::names::TeamName;

/// Number of kinds of buffered bytes.
const KINDS: usize = 3;

/// What buffered bytes belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BufferKind {
    /// Bodies of requests, and the part that each request needs to pass on its response.
    Request,
    /// Responses that were read from a server and not yet written to their caller.
    Response,
    /// Incomplete events of streams.
    Stream,
}

impl BufferKind {
    /// All kinds.
    pub const ALL: [BufferKind; KINDS] =
        [BufferKind::Request, BufferKind::Response, BufferKind::Stream];

    /// Returns the name of the kind for metrics.
    pub fn name(self) -> &'static str {
        match self {
            BufferKind::Request => "request",
            BufferKind::Response => "response",
            BufferKind::Stream => "stream",
        }
    }
}

/// Why no more bytes may be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BufferDenial {
    /// The budget, or the part of it for the kind, has too little room.
    Full,
    /// The budget is short and the team holds its equal share.
    TeamShare,
}

impl BufferDenial {
    /// Returns the name of the reason for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            BufferDenial::Full => "buffer_full",
            BufferDenial::TeamShare => "buffer_team_share",
        }
    }
}

/// Buffered bytes that are to be held.
#[derive(Debug, Clone, Copy)]
pub struct BufferClaim<'a> {
    /// What they belong to.
    pub kind: BufferKind,
    /// Team of the caller; `None` if it has none.
    pub team: &'a Option<TeamName>,
    /// Number of bytes.
    pub bytes: u64,
    /// Whether the configuration has several teams.
    pub has_other_teams: bool,
}

/// The budget and the bytes that are held, by kind and team.
#[derive(Debug)]
pub struct BufferBudget {
    max: u64,
    held: [u64; KINDS],
    /// Only teams that hold bytes.
    teams: IndexMap<Option<TeamName>, u64>,
}

impl BufferBudget {
    /// Returns an unused budget of `max` bytes.
    pub fn new(max: u64) -> BufferBudget {
        BufferBudget { max, held: [0; KINDS], teams: IndexMap::new() }
    }

    /// Returns the number of bytes held of a kind.
    pub fn held(&self, kind: BufferKind) -> u64 {
        self.held[kind as usize]
    }

    /// Returns the number of bytes held in total.
    pub fn total(&self) -> u64 {
        self.held.iter().sum()
    }

    /// Returns the number of bytes that a team holds.
    pub fn held_by(&self, team: &Option<TeamName>) -> u64 {
        self.teams.get(team).copied().unwrap_or(0)
    }

    /// Checks whether more bytes may be held.
    ///
    /// # Errors
    ///
    /// The reason why they may not.
    pub fn check(&self, claim: &BufferClaim<'_>) -> Result<(), BufferDenial> {
        let total = self.total().saturating_add(claim.bytes);
        if total > self.max {
            return Err(BufferDenial::Full);
        }
        let responses = self.held(BufferKind::Response) + self.held(BufferKind::Stream);
        if claim.kind != BufferKind::Request && responses + claim.bytes > self.responses_max() {
            return Err(BufferDenial::Full);
        }
        let by_team = self.held_by(claim.team) + claim.bytes;
        if total > self.short_above() && by_team > self.team_share(claim) {
            return Err(BufferDenial::TeamShare);
        }
        Ok(())
    }

    /// Holds more bytes.
    ///
    /// # Errors
    ///
    /// As [`BufferBudget::check`]; nothing more is held then.
    pub fn reserve(&mut self, claim: &BufferClaim<'_>) -> Result<(), BufferDenial> {
        self.check(claim)?;
        if claim.bytes > 0 {
            self.held[claim.kind as usize] += claim.bytes;
            *self.teams.entry(claim.team.clone()).or_default() += claim.bytes;
        }
        Ok(())
    }

    /// Releases bytes that are held.
    pub fn release(&mut self, kind: BufferKind, team: &Option<TeamName>, bytes: u64) {
        self.held[kind as usize] = self.held[kind as usize].saturating_sub(bytes);
        if let Some(held) = self.teams.get_mut(team) {
            *held = held.saturating_sub(bytes);
            if *held == 0 {
                self.teams.swap_remove(team);
            }
        }
    }

    /// Returns how many bytes of responses and streams may be held. The other half is left to requests: a response can
    /// also be read at the pace of its caller, while a request without room is refused.
    fn responses_max(&self) -> u64 {
        self.max / 2
    }

    /// Returns the number of held bytes above which teams are limited to equal shares.
    fn short_above(&self) -> u64 {
        self.max / 4 * 3
    }

    /// Returns the equal share of the claiming team among those that hold bytes. A team that holds bytes alone shares
    /// with one that may come.
    fn team_share(&self, claim: &BufferClaim<'_>) -> u64 {
        let is_new = !self.teams.contains_key(claim.team);
        let holders = self.teams.len() as u64 + u64::from(is_new);
        self.max / holders.max(if claim.has_other_teams { 2 } else { 1 })
    }
}
