//! Which services the streams of a route go to: a stream that began while the route had other shares may have begun at
//! another service than the one that the route leads its caller to now.

use std::sync::Arc;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::{Route, RouteKind, RouteTable, registry::Registry};

/// Maximum number of routes whose shares are registered: with up to two shares each they stay below the 65,536 bytes that a
/// row of the store takes.
const ROUTES_MAX: usize = 1_500;

/// Identifies a route by its host and prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteTag(u64);

/// Identifies what selects the service of a stream; routes with the same value lead the same stream to the same service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SharesTag(u64);

/// A route with its shares, as the streams of it are led now or were when they began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteShares {
    /// The route.
    pub route: RouteTag,
    /// Its shares.
    pub shares: SharesTag,
}

/// The shares of routes.
pub type ListedShares = IndexSet<(RouteTag, SharesTag)>;

/// The registered shares of all routes.
pub type RouteRegistry = Registry<RouteTag, SharesTag>;

impl RouteTag {
    /// Returns the tag of a route.
    pub fn of(route: &Route) -> RouteTag {
        let host = route.host.to_ascii_lowercase();
        RouteTag(hash([host.as_bytes(), route.prefix.as_bytes()]))
    }
}

impl SharesTag {
    /// Returns the tag of a route's shares.
    pub fn of(route: &Route) -> SharesTag {
        let mut shares = route.used_shares();
        if let (Some(sole), None) = (shares.next(), shares.next()) {
            return SharesTag(hash([sole.service.as_str().as_bytes()]));
        }
        let weights = route.shares.iter().map(|share| share.weight.to_le_bytes());
        let weights: Vec<[u8; 8]> = weights.collect();
        let shares = route.shares.iter().zip(&weights);
        let shares = shares.flat_map(|(share, weight)| [share.service.as_str().as_bytes(), weight]);
        // Requests with a shared prompt are led by the name of the route as well.
        let name = if route.affinity { route.name.as_bytes() } else { b"" };
        SharesTag(hash(std::iter::once(name).chain(shares)))
    }
}

impl RouteShares {
    /// Returns the shares of a route.
    pub fn of(route: &Route) -> RouteShares {
        RouteShares { route: RouteTag::of(route), shares: SharesTag::of(route) }
    }
}

/// Returns the shares of all routes whose streams may be resumed; none if there are too many to register.
pub fn listed_shares(routes: &RouteTable) -> ListedShares {
    let listed: ListedShares =
        resumable(routes).map(|route| (RouteTag::of(route), SharesTag::of(route))).collect();
    if listed.len() > ROUTES_MAX { ListedShares::new() } else { listed }
}

/// Returns the shares that are new in `after`, with those by which streams of the same paths were led in `before`: a path
/// may get a route of its own, or lose it.
pub fn changed_shares(before: &RouteTable, after: &RouteTable) -> ListedShares {
    let mut changed = ListedShares::new();
    for route in resumable(after) {
        let shares = RouteShares::of(route);
        let former = before.find(&route.host, &route.prefix);
        let former = former.filter(|former| former.kind == RouteKind::ResumableStream);
        match former.map(|former| RouteShares::of(former)) {
            Some(former) if former != shares => link(&mut changed, former, shares),
            Some(_) => {}
            None => drop(changed.insert((shares.route, shares.shares))),
        }
    }
    for route in resumable(before).filter(|route| after.get(&route.key()).is_none()) {
        let later = after.find(&route.host, &route.prefix);
        if let Some(later) = later.filter(|later| later.kind == RouteKind::ResumableStream) {
            link(&mut changed, RouteShares::of(route), RouteShares::of(later));
        }
    }
    changed
}

fn resumable(routes: &RouteTable) -> impl Iterator<Item = &Arc<Route>> {
    routes.iter().filter(|route| route.kind == RouteKind::ResumableStream)
}

/// Adds that streams of two routes may be led by the shares of either one.
fn link(shares: &mut ListedShares, one: RouteShares, other: RouteShares) {
    for route in [one.route, other.route] {
        shares.extend([(route, one.shares), (route, other.shares)]);
    }
}

fn hash<'b>(parts: impl IntoIterator<Item = &'b [u8]>) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        // The length keeps a part apart from the one that follows it.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
