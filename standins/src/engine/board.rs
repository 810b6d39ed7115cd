//! Loads of all engines of a service side by side, and how arrivals stand to the bound.

use std::{sync::Mutex, time::Instant};

use cartvane::utils::sync::lock;

/// Loads of a service's engines, and how arrivals stand to the bound.
#[derive(Debug, Default)]
pub struct Board {
    loads: Mutex<Vec<BoardEntry>>,
    bound: Mutex<f64>,
    arrivals: Mutex<Vec<Arrival>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct BoardEntry {
    load: u32,
    in_use: bool,
}

/// One arrival at an engine.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When.
    pub at: Instant,
    /// Requests beyond `ceil(bound x mean)` at the engine, the arriving one counted in both.
    pub beyond: u32,
}

impl Board {
    /// Returns a board that holds arrivals against `bound`.
    pub fn new(bound: f64) -> Board {
        Board { bound: Mutex::new(bound), ..Board::default() }
    }

    /// Adds an engine and returns its place.
    pub fn join(&self) -> usize {
        let mut loads = lock(&self.loads);
        loads.push(BoardEntry { load: 0, in_use: true });
        loads.len() - 1
    }

    /// Says whether an engine counts for the mean.
    pub fn set_in_use(&self, at: usize, in_use: bool) {
        lock(&self.loads)[at].in_use = in_use;
    }

    /// Notes that a request arrived at an engine.
    pub fn arrive(&self, at: usize) {
        let mut loads = lock(&self.loads);
        loads[at].load += 1;
        let used: Vec<u32> = loads.iter().filter(|e| e.in_use).map(|e| e.load).collect();
        let mean = f64::from(used.iter().sum::<u32>()) / used.len().max(1) as f64;
        let most = (*lock(&self.bound) * mean).ceil() as u32;
        let beyond = if loads[at].in_use { loads[at].load.saturating_sub(most) } else { 0 };
        lock(&self.arrivals).push(Arrival { at: Instant::now(), beyond });
    }

    /// Notes that a request left an engine.
    pub fn depart(&self, at: usize) {
        lock(&self.loads)[at].load -= 1;
    }

    /// Takes the arrivals noted so far.
    pub fn take_arrivals(&self) -> Vec<Arrival> {
        std::mem::take(&mut lock(&self.arrivals))
    }
}
