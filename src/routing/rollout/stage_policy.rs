//! Rules by which a roll-out changes its stage.
//!
//! A new version gets few requests until half of the time limit is over, or longer, so that a version that turns bad
//! some seconds later is found by then. Only as many of its servers are used as these requests need, so each carries
//! its usual load. Then a part of the requests moves to the version, and then all of them. It has taken over once no
//! request is in flight at other versions.

use std::time::Duration;

use super::{RolloutOrder, Stage, evaluation::WINDOW};

/// Part of the exposure limit that a trial uses: reports arrive late, and a verdict takes time.
const TRIAL_EXPOSURE: f64 = 0.4;

/// Maximum share of a service's requests in a trial, if so few requests arrive that the exposure limit allows more.
const TRIAL_SHARE_MAX: f64 = 0.5;

/// Share of the requests in a trial while the request rate is unknown, as a part of the limit's share.
const INITIAL_TRIAL_SHARE: f64 = 0.3;

/// Factor by which the share of a trial may exceed or fall below an even one, to compensate for random variation.
const TRIAL_SHARE_SWING: f64 = 1.5;

/// Minimum time, and number of exchanges, after which the controller has enough reports to know the request rate.
const RATE_KNOWN_AFTER: Duration = Duration::from_secs(1);
const RATE_KNOWN_EXCHANGES: f64 = 2.2;

/// Part of the time limit after which requests move at the earliest, and the part after which a trial is decided.
const EARLIEST_MOVE: f64 = 0.5;
const LATEST_DECISION: f64 = 0.65;

/// Time that moving takes: the first step, the update of all instances, and the longest usual requests.
const MOVING_DURATION: Duration = Duration::from_secs(6);

/// Part of the time limit after which requests in flight at the old version are no longer waited for, since the
/// roll-out would otherwise reach its time limit.
const IN_FLIGHT_WAIT: f64 = 0.88;

/// Time within which a decision that is due is made: a step of the controller.
const DECISION_MARGIN: Duration = Duration::from_millis(250);

/// Share of the requests that moves in the first step, and the minimum duration of that step. All instances receive the
/// update and report responses meanwhile, so that a version that fails under load is found before it has all requests.
const FIRST_STEP_SHARE: f64 = 0.1;
const FIRST_STEP_MIN: Duration = Duration::from_millis(600);

/// Exchanges after which all instances have reported once.
const REPORTED_EXCHANGES: f64 = COUNTED_EXCHANGES / 2.0;

/// Exchanges after which no request is counted in flight that was sent before an instance learned that all requests
/// have moved: one in which the instance learns it, and one in which it reports its requests in flight. Intervals
/// between exchanges vary randomly and are up to a tenth longer.
const COUNTED_EXCHANGES: f64 = 2.2;

/// Number of responses that prove a version if its total regression score, worst failure domain included, is below a
/// maximum. A version that fails one response in ten has 60 successful responses in a row once in 500 cases.
const PROVEN_RESPONSES: u64 = 60;
const PROVEN_SCORE_MAX: f64 = 4.0;

/// The same for the latest decision, where the score excludes the worst failure domain. A higher score is accepted if
/// it is no more than a small part of the total score, as when a zone is failing.
const LATE_RESPONSES: u64 = 40;
const LATE_SCORE_MAX: f64 = 4.0;
const OUTSIDE_WORST_DOMAIN: f64 = 0.15;

/// Log odds that a version is bad, above which `LATE_RESPONSES` or more responses do not prove it. The score of a
/// version that fails three in ten responses is below its maximum by chance at the end of one trial in a hundred.
const LOG_ODDS_MAX: f64 = 0.0;

/// The same in a fleet that needs longer than `SLOW_EVALUATION` for a verdict on a version that has all requests, as its
/// instances report rarely. A bad version would get many requests by then.
const LOG_ODDS_MAX_SLOW: f64 = -2.0;
const SLOW_EVALUATION: Duration = Duration::from_secs(1);

/// The same for a small service, all of whose remaining requests fit in a part of the exposure limit. Such a
/// service does not yield more responses, and the version could not get too many requests if it were bad.
const SMALL_RESPONSES: u64 = 3;
const SMALL_SCORE_MAX: f64 = 4.0;
const SMALL_EXPOSURE: f64 = 0.45;

/// Requests in the trial of a small service that suffice for its decision: not all have a response by then.
const SMALL_TRIAL_REQUESTS: f64 = 6.0;

/// Factor applied to the expected number of remaining requests, since some more may arrive by chance. It is larger in
/// the trial than in the decision, so that the trial keeps more of the limit free.
const REMAINING_MARGIN: f64 = 1.3;
const REMAINING_MARGIN_TRIAL: f64 = 1.7;

/// Minimum number of exchanges that moving takes beside the first step. Until then, few enough requests may remain for
/// the rule for small services.
const MOVING_EXCHANGES: f64 = 6.0;

/// Minimum number of servers of the new version that are used, so that one failing server is distinguished from a bad
/// version.
const SERVERS_MIN: usize = 6;

/// Limit on the requests that a bad version may get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimit {
    /// Part of all requests of its service from the order until the end of the time limit.
    pub share: f64,
    /// Number of requests beyond that.
    pub slack: f64,
}

/// What has been counted of a roll-out so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RolloutProgress {
    /// Time since the order.
    pub elapsed: Duration,
    /// The current stage.
    pub stage: Stage,
    /// Time that the controller has been in this stage.
    pub in_stage: Duration,
    /// Time since when all requests are to go to the new version, if they are.
    pub at_full_share: Option<Duration>,
    /// Requests sent to the service.
    pub sent: u64,
    /// Requests sent to the new version.
    pub sent_new: u64,
    /// Responses of the new version.
    pub responses_new: u64,
    /// Responses of the new version that the scores include.
    pub evaluated_new: u64,
    /// Requests in flight at other versions.
    pub in_flight_old: u32,
    /// Evidence that the version is worse than the old one, its worst failure domain excluded.
    pub regression_score: f64,
    /// The same with all failure domains.
    pub total_regression_score: f64,
    /// Log odds that the version is bad rather than good, its worst failure domain excluded.
    pub log_odds: f64,
    /// Whether the evidence suffices to roll back.
    pub is_bad: bool,
    /// Whether the old version fails or is slow unusually often.
    pub is_disturbed: bool,
    /// Listed servers of the new version.
    pub servers_new: usize,
    /// Listed servers of other versions.
    pub servers_old: usize,
}

/// The rules applied to one roll-out.
#[derive(Debug, Clone, Copy)]
pub struct StagePolicy<'o> {
    /// The order.
    pub order: &'o RolloutOrder,
    /// Limit on the requests that a bad version may get.
    pub exposure_limit: ExposureLimit,
    /// Interval between two exchanges of an instance.
    pub exchange: Duration,
}

impl StagePolicy<'_> {
    /// Returns the next stage of the roll-out, which may be the same.
    pub fn stage(&self, progress: &RolloutProgress) -> Stage {
        match progress.stage {
            Stage::Trial | Stage::Moving if progress.is_bad => Stage::RolledBack,
            Stage::Trial => self.trial_stage(progress),
            Stage::Moving => self.moving_stage(progress),
            stage => stage,
        }
    }

    fn trial_stage(&self, progress: &RolloutProgress) -> Stage {
        let time_limit = self.order.time_limit;
        if progress.servers_new == 0 {
            return if progress.elapsed < time_limit { Stage::Trial } else { Stage::RolledBack };
        }
        if progress.servers_old == 0 {
            // All servers are of the new version already.
            return Stage::Moving;
        }
        // A controller that has just taken over waits for the reports of the other instances, and until they are
        // evaluated. Until then its scores are zero, which would be taken for proof.
        if progress.in_stage < self.exchange.mul_f64(REPORTED_EXCHANGES) + WINDOW {
            return Stage::Trial;
        }
        let earliest =
            time_limit.mul_f64(EARLIEST_MOVE).max(time_limit.saturating_sub(MOVING_DURATION));
        let latest = self.latest_decision();
        let is_proven = progress.evaluated_new >= PROVEN_RESPONSES
            && progress.total_regression_score < PROVEN_SCORE_MAX
            && !self.is_doubtful(progress);
        if progress.elapsed >= earliest.min(latest) && is_proven {
            return Stage::Moving;
        }
        if progress.elapsed < latest {
            return Stage::Trial;
        }
        if self.remaining_fits_limit(progress) {
            let is_proven = progress.responses_new >= SMALL_RESPONSES
                && progress.total_regression_score < SMALL_SCORE_MAX;
            return if is_proven { Stage::Moving } else { Stage::RolledBack };
        }
        if progress.evaluated_new >= LATE_RESPONSES && !self.is_doubtful(progress) {
            return Stage::Moving;
        }
        // More responses may still prove the version, or that it is bad.
        let can_wait = progress.elapsed + self.moving() < time_limit;
        if can_wait { Stage::Trial } else { Stage::RolledBack }
    }

    /// Returns the next stage while requests move. A version in doubt does not take over, which could not be undone.
    fn moving_stage(&self, progress: &RolloutProgress) -> Stage {
        if !self.is_doubtful(progress) {
            return match self.has_moved(progress) {
                true => Stage::Succeeded,
                false if self.is_too_late_for_full_share(progress) => Stage::RolledBack,
                false => Stage::Moving,
            };
        }
        if self.is_late(progress) { Stage::RolledBack } else { Stage::Moving }
    }

    /// Returns the time after which a trial is decided. In a large fleet it leaves the time that moving takes.
    fn latest_decision(&self) -> Duration {
        let time_limit = self.order.time_limit;
        let moves_by = self.latest_full_share().saturating_sub(self.first_step() + DECISION_MARGIN);
        time_limit.mul_f64(LATEST_DECISION).min(moves_by)
    }

    /// Returns the time from which a version that gets all requests could not be evaluated within the time limit.
    fn latest_full_share(&self) -> Duration {
        self.order.time_limit.saturating_sub(self.evaluation_at_full_share())
    }

    /// Returns how long a version has all requests until responses under that load are evaluated: those that are
    /// counted are evaluated a window later.
    fn evaluation_at_full_share(&self) -> Duration {
        self.exchange.mul_f64(COUNTED_EXCHANGES) + WINDOW
    }

    /// Returns whether the version does not have all requests and could take over only without an evaluated response
    /// under its whole load. Without servers of other versions there is nothing to go back to.
    fn is_too_late_for_full_share(&self, progress: &RolloutProgress) -> bool {
        let is_waiting = progress.at_full_share.is_none() && progress.servers_old > 0;
        is_waiting && progress.elapsed > self.latest_full_share()
    }

    /// Returns whether the version could get all remaining requests within the limit for small services.
    fn remaining_fits_limit(&self, progress: &RolloutProgress) -> bool {
        let all = self.expected(progress, self.order.time_limit);
        let remaining = (all - progress.sent as f64).max(0.0);
        let ExposureLimit { share, slack } = self.exposure_limit;
        progress.sent_new as f64 + REMAINING_MARGIN * remaining
            <= SMALL_EXPOSURE * (share * all + slack)
    }

    /// Returns how many requests are expected in total `until` after the order.
    fn expected(&self, progress: &RolloutProgress, until: Duration) -> f64 {
        let elapsed = progress.elapsed.as_secs_f64();
        if elapsed <= 0.0 {
            return 0.0;
        }
        progress.sent as f64 / elapsed * until.as_secs_f64()
    }

    /// Returns the minimum time that moving takes.
    fn moving(&self) -> Duration {
        self.first_step() + self.exchange.mul_f64(MOVING_EXCHANGES)
    }

    /// Returns how many requests the version may get in a trial after which it gets all remaining ones: negative if
    /// these are too many for the rule for small services.
    fn small_trial_requests(&self, progress: &RolloutProgress) -> f64 {
        let all = self.expected(progress, self.order.time_limit);
        let remaining = self.expected(progress, self.moving());
        SMALL_EXPOSURE * (self.exposure_limit.share * all + self.exposure_limit.slack)
            - REMAINING_MARGIN_TRIAL * remaining
    }

    /// Returns the duration of the first step of moving.
    fn first_step(&self) -> Duration {
        self.exchange.mul_f64(COUNTED_EXCHANGES).max(FIRST_STEP_MIN)
    }

    fn has_moved(&self, progress: &RolloutProgress) -> bool {
        let Some(at_full_share) = progress.at_full_share else { return false };
        let is_evaluated = at_full_share >= self.evaluation_at_full_share();
        let has_finished = progress.in_flight_old == 0 || self.is_late(progress);
        progress.servers_new > 0 && is_evaluated && has_finished
    }

    fn is_late(&self, progress: &RolloutProgress) -> bool {
        progress.elapsed >= self.order.time_limit.mul_f64(IN_FLIGHT_WAIT)
    }

    /// Returns whether a later decision could still give the version all requests.
    fn may_move_later(&self, progress: &RolloutProgress) -> bool {
        !self.is_late(progress) && progress.elapsed + DECISION_MARGIN < self.latest_full_share()
    }

    /// Returns the share of the service's requests that goes to the new version in `stage`, which is the current one or
    /// the next.
    pub fn share(&self, stage: Stage, progress: &RolloutProgress) -> f64 {
        // A controller that takes over a version with all requests has no reason to take them away again.
        let is_first_step = stage != progress.stage
            || progress.at_full_share.is_none() && progress.in_stage < self.first_step();
        match stage {
            Stage::Trial => self.trial_share(progress),
            Stage::Moving if is_first_step || self.is_doubtful(progress) => FIRST_STEP_SHARE,
            // Once the old version has no requests, a fault of both versions is taken for one of the new version.
            Stage::Moving if progress.is_disturbed && self.may_move_later(progress) => {
                FIRST_STEP_SHARE
            }
            Stage::Moving => 1.0,
            Stage::RolledBack => 0.0,
            Stage::Succeeded => 1.0,
        }
    }

    fn trial_share(&self, progress: &RolloutProgress) -> f64 {
        let ExposureLimit { share, slack } = self.exposure_limit;
        let allowed = TRIAL_EXPOSURE * (share * progress.sent as f64 + slack);
        if progress.sent_new as f64 >= allowed {
            return 0.0;
        }
        if progress.in_stage < RATE_KNOWN_AFTER.max(self.exchange.mul_f64(RATE_KNOWN_EXCHANGES)) {
            return share * INITIAL_TRIAL_SHARE;
        }
        // Spreads the requests of the trial evenly over the time until the latest decision.
        let all = self.expected(progress, self.latest_decision()).max(1.0);
        let planned = TRIAL_EXPOSURE * (share * all + slack);
        let small = self.small_trial_requests(progress);
        let is_small = small >= SMALL_TRIAL_REQUESTS;
        let planned = if is_small { planned.min(small) } else { planned };
        if is_small && progress.sent_new as f64 >= planned {
            return 0.0;
        }
        let remaining = (all - progress.sent as f64).max(1.0);
        let even = (planned / all).clamp(share * INITIAL_TRIAL_SHARE, TRIAL_SHARE_MAX);
        ((planned - progress.sent_new as f64) / remaining)
            .clamp(even / TRIAL_SHARE_SWING, even * TRIAL_SHARE_SWING)
    }

    /// Returns whether the version is neither proven nor found bad. The worst failure domain does not count.
    fn is_doubtful(&self, progress: &RolloutProgress) -> bool {
        let outside_worst = OUTSIDE_WORST_DOMAIN * progress.total_regression_score;
        let is_suspicious = progress.regression_score >= LATE_SCORE_MAX.max(outside_worst);
        let is_slow = self.evaluation_at_full_share() > SLOW_EVALUATION;
        let log_odds_max = if is_slow { LOG_ODDS_MAX_SLOW } else { LOG_ODDS_MAX };
        is_suspicious
            || progress.evaluated_new >= LATE_RESPONSES && progress.log_odds > log_odds_max
    }

    /// Returns how many servers of the new version are used: as many as serve its requests at the load of the other
    /// servers, so that a version that fails under load does so while it gets few requests.
    pub fn servers(&self, share: f64, progress: &RolloutProgress) -> usize {
        let needed = (share * progress.servers_old as f64).ceil() as usize;
        needed.max(SERVERS_MIN).min(progress.servers_new)
    }
}
