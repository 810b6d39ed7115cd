//! Seeded returning chats: who asks what, when.

use std::{sync::Arc, time::Duration};

use fastrand::Rng;

use crate::{
    cache::segments,
    fleet::TeamSpec,
    model::{ChatRequest, Message},
};

/// What the load is made of.
#[derive(Debug, Clone)]
pub struct WorkloadSpec {
    /// Seed.
    pub seed: u64,
    /// Teams, the first ones larger.
    pub teams: usize,
    /// Requests a second.
    pub rate: f64,
    /// Length of the run.
    pub length: Duration,
    /// Mean turns of a chat.
    pub turns: u32,
    /// Shortest pause between two turns.
    pub pause_least: Duration,
    /// Longest pause between two turns.
    pub pause_most: Duration,
    /// Tokens of a short opening message.
    pub short_tokens: u32,
    /// Tokens of a long opening message, such as an inventory.
    pub long_tokens: u32,
    /// Tokens of an answer.
    pub answer_tokens: u32,
    /// Share of chats whose callers send placement hints back.
    pub hint_share: f64,
    /// A surge of the second team, if any.
    pub surge: Option<Surge>,
}

/// A team that sends many times its usual load for a while.
#[derive(Debug, Clone, Copy)]
pub struct Surge {
    /// Start.
    pub from: Duration,
    /// End.
    pub to: Duration,
    /// Requests a second on top of the usual.
    pub rate: f64,
}

impl Default for WorkloadSpec {
    fn default() -> WorkloadSpec {
        WorkloadSpec {
            seed: 1,
            teams: 10,
            rate: 80.0,
            length: Duration::from_secs(20),
            turns: 5,
            pause_least: Duration::from_millis(1500),
            pause_most: Duration::from_secs(8),
            short_tokens: 60,
            long_tokens: 600,
            answer_tokens: 40,
            hint_share: 0.5,
            surge: None,
        }
    }
}

/// One request of the load.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// When it is sent, from the start.
    pub at: Duration,
    /// Number of the chat.
    pub chat: usize,
    /// Number of the turn; above zero, the chat returns.
    pub turn: u32,
    /// Team.
    pub team: String,
    /// Whether it belongs to a surge.
    pub surge: bool,
    /// Whether its caller sends placement hints back.
    pub hints: bool,
    /// The request.
    pub request: Arc<ChatRequest>,
    /// Tokens of the prompt that an engine with everything before cached would find.
    pub reusable: u32,
}

/// Returns the teams of a workload; the first is of the reserved class.
pub fn teams(count: usize) -> Vec<TeamSpec> {
    let name = |n: usize| format!("team-{n:02}");
    let mut teams: Vec<TeamSpec> = (0..count).map(|n| TeamSpec::new(&name(n))).collect();
    if let Some(first) = teams.first_mut() {
        first.lines = "priority = \"reserved\"".to_owned();
    }
    teams
}

/// Draws the requests of a workload, in the order they are sent.
pub fn plan(spec: &WorkloadSpec) -> Vec<PlannedRequest> {
    let mut rng = Rng::with_seed(spec.seed);
    let mut planned = Vec::new();
    let turns = f64::from(spec.turns);
    // Chats open at a rate that, with their turns, makes the stated rate; some were open before
    // the start, so that returns are there from the beginning on.
    let lead = spec.pause_most * spec.turns / 2;
    let openings = spec.rate / turns;
    let span = spec.length + lead;
    let count = (span.as_secs_f64() * openings) as usize;
    for chat in 0..count {
        let at = span.mul_f64(rng.f64());
        let team = draw_team(&mut rng, spec.teams);
        plan_chat(spec, &mut rng, chat, &team, at, lead, false, &mut planned);
    }
    if let Some(surge) = spec.surge {
        let surging = ((surge.to - surge.from).as_secs_f64() * surge.rate / turns) as usize;
        for chat in count..count + surging {
            let at = lead + surge.from + (surge.to - surge.from).mul_f64(rng.f64());
            plan_chat(spec, &mut rng, chat, "team-01", at, lead, true, &mut planned);
        }
        planned.retain(|p| !p.surge || p.at < surge.to);
    }
    planned.retain(|p| p.at < spec.length);
    planned.sort_by_key(|p| p.at);
    planned
}

/// Draws a team: the first ones get most of the load, but for the reserved one.
fn draw_team(rng: &mut Rng, teams: usize) -> String {
    let weight = |n: usize| if n == 0 { 0.3 } else { 1.0 / n as f64 };
    let total: f64 = (0..teams).map(weight).sum();
    let mut left = rng.f64() * total;
    for n in 0..teams {
        left -= weight(n);
        if left <= 0.0 {
            return format!("team-{n:02}");
        }
    }
    "team-00".to_owned()
}

fn words(rng: &mut Rng, count: u32) -> String {
    (0..count).map(|_| format!("w{:03x}", rng.u16(..4096))).collect::<Vec<_>>().join(" ")
}

#[expect(clippy::too_many_arguments, reason = "one chat, described in full")]
fn plan_chat(
    spec: &WorkloadSpec,
    rng: &mut Rng,
    chat: usize,
    team: &str,
    opened: Duration,
    lead: Duration,
    surge: bool,
    planned: &mut Vec<PlannedRequest>,
) {
    let turns = rng.u32(1..spec.turns * 2);
    let hints = rng.f64() < spec.hint_share;
    let opening = if rng.f64() < 0.3 { spec.long_tokens } else { spec.short_tokens };
    let message = |role: &str, content: String| Message { role: role.to_owned(), content };
    let mut messages = vec![message("system", format!("you work for {team}"))];
    let mut at = opened;
    let mut reusable = 0;
    for turn in 0..turns {
        let tokens =
            if turn == 0 { rng.u32(opening / 2..opening * 3 / 2) } else { rng.u32(10..30) };
        messages.push(message("user", words(rng, tokens)));
        let max_tokens = Some(rng.u32(spec.answer_tokens / 2..spec.answer_tokens * 3 / 2));
        let request = ChatRequest { messages: messages.clone(), stream: true, max_tokens };
        messages.push(message("assistant", request.expected_answer()));
        if let Some(at) = at.checked_sub(lead) {
            let (team, request) = (team.to_owned(), Arc::new(request));
            planned.push(PlannedRequest { at, chat, turn, team, surge, hints, request, reusable });
            reusable = segments(messages.iter().map(|m| m.content.as_str()))
                .iter()
                .map(|s| s.tokens)
                .sum();
        }
        // Most pauses are short, some long.
        let pause = rng.f64().powi(3);
        at += spec.pause_least + (spec.pause_most - spec.pause_least).mul_f64(pause);
    }
}
