//! A queue that is fair among teams: reserved work first, then deficit round robin by weight.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::names::Tag;

/// What one request takes from its team's deficit.
const COST: u32 = 1;

#[derive(Debug)]
struct TeamLine<T> {
    weight: u32,
    deficit: u32,
    items: VecDeque<T>,
}

/// Waiting items in lines by team.
#[derive(Debug)]
pub struct FairQueue<T> {
    reserved: VecDeque<T>,
    teams: IndexMap<Tag, TeamLine<T>>,
    turn: usize,
    len: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> FairQueue<T> {
        FairQueue { reserved: VecDeque::new(), teams: IndexMap::new(), turn: 0, len: 0 }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how many items would leave before a new item of `team` does.
    pub fn ahead_of(&self, team: Tag, weight: u32, reserved: bool) -> usize {
        if reserved {
            return self.reserved.len();
        }
        let own = self.teams.get(&team).map_or(0, |line| line.items.len());
        // Until the own line is through, each other team gets its weight's part of the turns.
        let rounds = (own as u32 / weight.max(1)) as usize + 1;
        let others: usize = self
            .teams
            .iter()
            .filter(|(tag, _)| **tag != team)
            .map(|(_, line)| line.items.len().min(rounds * line.weight as usize))
            .sum();
        self.reserved.len() + own + others
    }

    /// Adds an item to the end of its line.
    pub fn push(&mut self, team: Tag, weight: u32, reserved: bool, item: T) {
        self.len += 1;
        if reserved {
            self.reserved.push_back(item);
            return;
        }
        let line = self.teams.entry(team).or_insert_with(|| TeamLine {
            weight,
            deficit: 0,
            items: VecDeque::new(),
        });
        line.weight = weight;
        line.items.push_back(item);
    }

    /// Takes the item whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        if let Some(item) = self.reserved.pop_front() {
            self.len -= 1;
            return Some(item);
        }
        loop {
            if self.teams.is_empty() {
                return None;
            }
            self.turn %= self.teams.len();
            let (_, line) = self.teams.get_index_mut(self.turn)?;
            if line.deficit < COST {
                line.deficit += line.weight.max(1);
            }
            let Some(item) = line.items.pop_front() else {
                self.teams.shift_remove_index(self.turn);
                continue;
            };
            line.deficit -= COST;
            self.len -= 1;
            if line.items.is_empty() {
                self.teams.shift_remove_index(self.turn);
            } else if line.deficit < COST {
                self.turn += 1;
            }
            return Some(item);
        }
    }

    /// Puts an item back to the front of its line, with the turn it had.
    pub fn push_front(&mut self, team: Tag, weight: u32, reserved: bool, item: T) {
        self.len += 1;
        if reserved {
            self.reserved.push_front(item);
            return;
        }
        if let Some(line) = self.teams.get_mut(&team) {
            line.deficit += COST;
            line.items.push_front(item);
            return;
        }
        let items = VecDeque::from([item]);
        let at = self.turn.min(self.teams.len());
        self.teams.shift_insert(at, team, TeamLine { weight, deficit: COST, items });
    }

    /// Takes out every item that `leaves` picks, in any line.
    pub fn extract(&mut self, mut leaves: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut out = Vec::new();
        let lines = self.teams.values_mut().map(|line| &mut line.items);
        for items in std::iter::once(&mut self.reserved).chain(lines) {
            let (gone, kept) = std::mem::take(items).into_iter().partition(|item| leaves(item));
            *items = kept;
            out.extend::<VecDeque<T>>(gone);
        }
        self.teams.retain(|_, line| !line.items.is_empty());
        self.len -= out.len();
        out
    }
}
