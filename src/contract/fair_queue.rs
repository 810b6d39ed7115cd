//! A queue that is fair among teams: items of the reserved class first, then deficit round robin by weight.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::names::Tag;

/// What one item takes from its team's deficit counter.
const COST: u32 = 1;

#[derive(Debug)]
struct TeamQueue<T> {
    weight: u32,
    deficit: u32,
    items: VecDeque<T>,
}

/// Waiting items, in one queue for the reserved class and one for each team.
#[derive(Debug)]
pub struct FairQueue<T> {
    reserved: VecDeque<T>,
    teams: IndexMap<Tag, TeamQueue<T>>,
    next_team: usize,
    len: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> FairQueue<T> {
        FairQueue { reserved: VecDeque::new(), teams: IndexMap::new(), next_team: 0, len: 0 }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how many items would be popped before a new item of `team`.
    pub fn ahead_of(&self, team: Tag, weight: u32, reserved: bool) -> usize {
        if reserved {
            return self.reserved.len();
        }
        let own = self.teams.get(&team).map_or(0, |queue| queue.items.len());
        // While the team's own queue is served, each other team is served up to its weight in each round.
        let rounds = (own as u32 / weight.max(1)) as usize + 1;
        let others: usize = self
            .teams
            .iter()
            .filter(|(tag, _)| **tag != team)
            .map(|(_, queue)| queue.items.len().min(rounds * queue.weight as usize))
            .sum();
        self.reserved.len() + own + others
    }

    /// Adds an item to the end of its queue.
    pub fn push(&mut self, team: Tag, weight: u32, reserved: bool, item: T) {
        self.len += 1;
        if reserved {
            self.reserved.push_back(item);
            return;
        }
        let queue = self.teams.entry(team).or_insert_with(|| TeamQueue {
            weight,
            deficit: 0,
            items: VecDeque::new(),
        });
        queue.weight = weight;
        queue.items.push_back(item);
    }

    /// Removes and returns the next item.
    pub fn pop(&mut self) -> Option<T> {
        if let Some(item) = self.reserved.pop_front() {
            self.len -= 1;
            return Some(item);
        }
        loop {
            if self.teams.is_empty() {
                return None;
            }
            self.next_team %= self.teams.len();
            let (_, queue) = self.teams.get_index_mut(self.next_team)?;
            if queue.deficit < COST {
                queue.deficit += queue.weight.max(1);
            }
            let Some(item) = queue.items.pop_front() else {
                self.teams.shift_remove_index(self.next_team);
                continue;
            };
            queue.deficit -= COST;
            self.len -= 1;
            if queue.items.is_empty() {
                self.teams.shift_remove_index(self.next_team);
            } else if queue.deficit < COST {
                self.next_team += 1;
            }
            return Some(item);
        }
    }

    /// Returns a popped item to the front of its queue, and its cost to the team's deficit counter.
    pub fn push_front(&mut self, team: Tag, weight: u32, reserved: bool, item: T) {
        self.len += 1;
        if reserved {
            self.reserved.push_front(item);
            return;
        }
        if let Some(queue) = self.teams.get_mut(&team) {
            queue.deficit += COST;
            queue.items.push_front(item);
            return;
        }
        let items = VecDeque::from([item]);
        let index = self.next_team.min(self.teams.len());
        self.teams.shift_insert(index, team, TeamQueue { weight, deficit: COST, items });
    }

    /// Removes and returns every item, in any queue, for which `matches` is true.
    pub fn extract(&mut self, mut matches: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut out = Vec::new();
        let queues = self.teams.values_mut().map(|queue| &mut queue.items);
        for items in std::iter::once(&mut self.reserved).chain(queues) {
            let (extracted, kept) =
                std::mem::take(items).into_iter().partition(|item| matches(item));
            *items = kept;
            out.extend::<VecDeque<T>>(extracted);
        }
        self.teams.retain(|_, queue| !queue.items.is_empty());
        self.len -= out.len();
        out
    }
}
