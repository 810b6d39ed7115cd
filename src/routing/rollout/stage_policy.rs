//! How a roll-out goes from stage to stage.
//!
//! A version gets few requests until half of the time is over, or longer, so that one that turns bad some seconds later is
//! found by then; its servers carry their usual load all the while, since only as many of them are used as the requests
//! need. Then a part of the requests moves to it, and then all, and it has taken over when nothing is under way at the others.

use std::time::Duration;

use super::{RolloutOrder, Stage};

/// Part of the exposure that operators allow which a trial uses: reports are late, and a verdict takes time.
const EXPOSURE_USED: f64 = 0.4;

/// Largest share of a service's requests in a trial, where these are so few that operators allow more.
const TRIAL_MAX: f64 = 0.5;

/// Share of the requests in a trial of which it is not known yet how many come, as a part of what operators allow.
const TRIAL_FIRST: f64 = 0.3;

/// Times by which the share may be more or less than an even one, to make up for chance.
const TRIAL_SWING: f64 = 1.5;

/// Time, and exchanges, in which the instance that takes the roll-out further has heard enough of the others to know the rate
/// of requests.
const RATE_KNOWN: (Duration, f64) = (Duration::from_secs(1), 2.2);

/// Part of the time after which requests move at the earliest, and the part after which it is decided one way or the other.
const MOVES: (f64, f64) = (0.5, 0.65);

/// Time that moving takes: the first step, word to all instances, and the longest usual requests.
const MOVING_TIME: Duration = Duration::from_secs(6);

/// Part of the time after which requests that are still under way at the old version are not waited for: they would end
/// with the roll-out's time.
const WAITS: f64 = 0.88;

/// Share of the requests that moves first, and how long that step lasts at least: all instances learn of it meanwhile and
/// tell what has come of it, so that a version which fails under load is found before it has all of it.
const STEP_SHARE: f64 = 0.1;
const STEP_MIN: Duration = Duration::from_millis(600);

/// Exchanges until nothing is counted under way that was sent before an instance knew that all requests have moved: one in
/// which it learns that, and one in which it tells what is under way. Pauses are drawn up to a tenth longer.
const EXCHANGES: f64 = 2.2;

/// Answers that speak for a version if hardly anything is against it, its worst failure domain included, and what may be
/// against it: of a version that answers badly one time in ten, 60 answers all good come once in 500 times.
const PROVEN: (u64, f64) = (60, 4.0);

/// The same where the time runs out, the worst failure domain left out; more may be against it where that is but so small a
/// part of what is against it in all, as in the trouble of a zone.
const PROVEN_LATE: (u64, f64) = (40, 4.0);
const BESIDE_WORST: f64 = 0.15;

/// The same where all requests that are still to come stay within a part of the exposure that operators allow: more answers are
/// not to be had of a service with few requests, and the version could not get too many if it were bad.
const PROVEN_FEW: (u64, f64) = (3, 4.0);
const EXPOSURE_FEW: f64 = 0.45;

/// Requests in a trial that are enough to take a version on few answers: not all are answered by then.
const TRIAL_FEW: f64 = 6.0;

/// Times the requests that are expected to be left, for which there is to be room: chance has some more come. In the trial more
/// room is kept than the decision asks for.
const LEFT_MARGIN: f64 = 1.3;
const LEFT_MARGIN_TRIAL: f64 = 1.7;

/// Exchanges, beside the first step, that moving takes at least: until then it may turn out that few requests are left.
const MOVING_EXCHANGES: f64 = 6.0;

/// Servers of the new version used at least, so that one in trouble is told from the version.
const SERVERS_MIN: usize = 6;

/// What operators allow a bad version to get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimit {
    /// Part of all requests of its service from the order until its time is over.
    pub share: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// What is known of a roll-out at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RolloutProgress {
    /// Time since the order.
    pub elapsed: Duration,
    /// Time in the present stage, at the instance that takes the roll-out further.
    pub in_stage: Duration,
    /// Requests sent to the service.
    pub sent: u64,
    /// Requests sent to the new version.
    pub sent_new: u64,
    /// Answers of the new version.
    pub answered_new: u64,
    /// Requests under way at other versions.
    pub under_way_old: u32,
    /// What speaks against the version, its worst failure domain left out.
    pub regression_score: f64,
    /// What speaks against it in all.
    pub total_regression_score: f64,
    /// Whether that is enough.
    pub is_bad: bool,
    /// Listed servers of the new version.
    pub servers_new: usize,
    /// Listed servers of other versions.
    pub servers_old: usize,
}

/// The rules by which one roll-out goes on.
#[derive(Debug, Clone, Copy)]
pub struct StagePolicy<'o> {
    /// The order.
    pub order: &'o RolloutOrder,
    /// What operators allow.
    pub exposure_limit: ExposureLimit,
    /// Pause between two exchanges of an instance.
    pub exchange: Duration,
}

impl StagePolicy<'_> {
    /// Returns the stage in which the roll-out should be, where it is in `stage`.
    pub fn stage(&self, stage: Stage, progress: &RolloutProgress) -> Stage {
        match stage {
            Stage::Trial | Stage::Moving if progress.is_bad => Stage::RolledBack,
            Stage::Trial => self.after_trial(progress),
            Stage::Moving if self.has_moved(progress) => Stage::Succeeded,
            stage => stage,
        }
    }

    fn after_trial(&self, progress: &RolloutProgress) -> Stage {
        let time_limit = self.order.time_limit;
        if progress.servers_new == 0 {
            return if progress.elapsed < time_limit { Stage::Trial } else { Stage::RolledBack };
        }
        if progress.servers_old == 0 {
            // Whatever runs is of the version that is wanted.
            return Stage::Moving;
        }
        let earliest = time_limit.mul_f64(MOVES.0).max(time_limit.saturating_sub(MOVING_TIME));
        let latest = time_limit.mul_f64(MOVES.1);
        let (answers, regression_score) = PROVEN;
        let is_proven =
            progress.answered_new >= answers && progress.total_regression_score < regression_score;
        if progress.elapsed >= earliest.min(latest) && is_proven {
            return Stage::Moving;
        }
        // One that has just taken over waits for the others' reports.
        let has_heard = progress.in_stage >= self.exchange.mul_f64(EXCHANGES);
        let (answers, regression_score) = PROVEN_FEW;
        if progress.elapsed >= latest && has_heard && self.is_little(progress) {
            let is_proven = progress.answered_new >= answers
                && progress.total_regression_score < regression_score;
            return if is_proven { Stage::Moving } else { Stage::RolledBack };
        }
        let (answers, regression_score) = PROVEN_LATE;
        if progress.answered_new < answers && progress.elapsed + self.moving() < time_limit {
            return Stage::Trial;
        }
        let beside = BESIDE_WORST * progress.total_regression_score;
        match progress.elapsed >= latest && has_heard {
            true if progress.answered_new >= answers
                && progress.regression_score < regression_score.max(beside) =>
            {
                Stage::Moving
            }
            true => Stage::RolledBack,
            false => Stage::Trial,
        }
    }

    /// Returns whether so few requests come that the version could have all of them from now on.
    fn is_little(&self, progress: &RolloutProgress) -> bool {
        let all = self.expected(progress, self.order.time_limit);
        let left = (all - progress.sent as f64).max(0.0);
        let ExposureLimit { share, slack } = self.exposure_limit;
        progress.sent_new as f64 + LEFT_MARGIN * left <= EXPOSURE_FEW * (share * all + slack)
    }

    /// Returns how many requests will have come when `until` is over.
    fn expected(&self, progress: &RolloutProgress, until: Duration) -> f64 {
        let elapsed = progress.elapsed.as_secs_f64();
        if elapsed <= 0.0 {
            return 0.0;
        }
        progress.sent as f64 / elapsed * until.as_secs_f64()
    }

    /// Returns how long moving takes at least.
    fn moving(&self) -> Duration {
        self.step() + self.exchange.mul_f64(MOVING_EXCHANGES)
    }

    /// Returns how many requests the version may get in a trial after which it gets all that are left: none where these are
    /// too many.
    fn before_few(&self, progress: &RolloutProgress) -> f64 {
        let all = self.expected(progress, self.order.time_limit);
        let left = self.expected(progress, self.moving());
        EXPOSURE_FEW * (self.exposure_limit.share * all + self.exposure_limit.slack)
            - LEFT_MARGIN_TRIAL * left
    }

    /// Returns how long the first step lasts.
    fn step(&self) -> Duration {
        self.exchange.mul_f64(EXCHANGES).max(STEP_MIN)
    }

    fn has_moved(&self, progress: &RolloutProgress) -> bool {
        // Until then some send requests to servers that would stop.
        let all_told = progress.in_stage >= self.step() + self.exchange.mul_f64(EXCHANGES / 2.0);
        let all_counted = progress.in_stage >= self.step() + self.exchange.mul_f64(EXCHANGES);
        let is_late = progress.elapsed >= self.order.time_limit.mul_f64(WAITS);
        let has_ended = all_counted && progress.under_way_old == 0;
        progress.servers_new > 0 && all_told && (is_late || has_ended)
    }

    /// Returns the share of the service's requests that go to the new version.
    pub fn share(&self, stage: Stage, progress: &RolloutProgress) -> f64 {
        match stage {
            Stage::Trial => self.trial_share(progress),
            Stage::Moving if progress.in_stage < self.step() => STEP_SHARE,
            Stage::Moving => 1.0,
            Stage::RolledBack => 0.0,
            Stage::Succeeded => 1.0,
        }
    }

    fn trial_share(&self, progress: &RolloutProgress) -> f64 {
        let ExposureLimit { share, slack } = self.exposure_limit;
        let allowed = EXPOSURE_USED * (share * progress.sent as f64 + slack);
        if progress.sent_new as f64 >= allowed {
            return 0.0;
        }
        if progress.in_stage < RATE_KNOWN.0.max(self.exchange.mul_f64(RATE_KNOWN.1)) {
            return share * TRIAL_FIRST;
        }
        // What the trial may use, spread over the requests until it is decided one way or the other.
        let all = self.expected(progress, self.order.time_limit.mul_f64(MOVES.1)).max(1.0);
        let used = EXPOSURE_USED * (share * all + slack);
        let few = self.before_few(progress);
        let is_few = few >= TRIAL_FEW;
        let used = if is_few { used.min(few) } else { used };
        if is_few && progress.sent_new as f64 >= used {
            return 0.0;
        }
        let left = (all - progress.sent as f64).max(1.0);
        let even = (used / all).clamp(share * TRIAL_FIRST, TRIAL_MAX);
        ((used - progress.sent_new as f64) / left).clamp(even / TRIAL_SWING, even * TRIAL_SWING)
    }

    /// Returns how many servers of the new version are used: as many as carry the requests at the load that the others
    /// have, so that a version that fails under load does so while few requests go there.
    pub fn servers(&self, share: f64, progress: &RolloutProgress) -> usize {
        let needed = (share * progress.servers_old as f64).ceil() as usize;
        needed.max(SERVERS_MIN).min(progress.servers_new)
    }
}
