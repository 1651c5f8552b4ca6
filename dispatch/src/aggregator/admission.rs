//! What is let in: a limit on parts out, learned from how long they take, and no query that is past serving.

use super::*;

/// The least limit on parts out, for each server ready, over all aggregators; each has an equal share.
/// There is no limit until parts get late.
const LIMIT_LEAST: f64 = 3.0;
/// While the usual latency of a part is above the second share of the aim, in any class, queries that end
/// cut the limit, at most once in the time that a query takes; below the first they raise it.
const SHORT_SHARE: f64 = 0.25;
const LONG_SHARE: f64 = 0.3;
/// Where an answer in part may be given, a late part costs less the smaller the least share is: the limit
/// acts so many times later as that share goes into a whole answer, up to so many.
const PARTIAL_LENIENCE: f64 = 3.0;
/// While few recent queries miss their aim, latency may be so much longer uncut. Where there are as many
/// aggregators as servers, each sees too little to go round slow ones, which end most queries of many parts
/// and leave the usual latency low: there the limit is cut while more than the second share miss.
const MISS_GAIN: f64 = 0.1;
const MISSES_MOST: f64 = 0.1;
const MISS_GAIN_SELDOM: f64 = 0.2;
const MISSES_BORNE: f64 = 0.05;
/// There, too, a limit learned from few queries must not outlast its jam: only those that miss cut it; while
/// latency is no sign, it grows so many times in each shortest aim, and past so much it is lifted.
const REGROWTH: f64 = 1.2;
const LIMIT_MOST: f64 = 100.0;
const FEW_MISSES_LENIENCE: f64 = 1.3;
const CUT: f64 = 0.8;
const RAISE: f64 = 0.1;
/// An aggregator with few queries makes up for them: so many raises for each aim passed, up to so many.
const RAISES_EACH_AIM: f64 = 5.0;
const RAISES_AT_ONCE: f64 = 7.0;
/// The share of the limit for the class of least worth a part, and of that for over-quota tenants.
const RANK_SHARE: f64 = 0.5;
const OVER_QUOTA_SHARE: f64 = 0.6;
/// A query trimmed of light parts keeps so many times the least weight that may be answered.
const TRIM_RESERVE: f64 = 1.15;
/// An all-or-nothing query whose slowest shard is expected to take this share of the aim is let in for sure,
/// at the second share never, and in between with a chance. While nothing is out nobody would see the jam's
/// end: the chance is then this at the least.
const JAM_FROM: f64 = 0.5;
const JAM_TO: f64 = 1.2;
const JAM_LEAST: f64 = 0.02;

impl Aggregator {
    /// Takes a new query in, in full or without its lightest parts, or refuses it.
    /// The limit acts when the usual latency of this aggregator's own parts shows that queries are about
    /// to miss their aim, over-quota tenants first. It could harm where less work does not cure the
    /// latency; some is therefore always let through. Where many aggregators share the servers it may be
    /// less than one query: what was let in then counts until the limit, turned over once in the usual
    /// latency of a part, has worked it off. Without a limit, too, nothing is begun that a shard without
    /// a trusted replica would waste, that needs a jammed shard (with a chance, so that its end is seen; it
    /// could harm a query that would just make it), or whose client leaves before it can end.
    pub(super) fn admit(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let long = |(class, typical): (&Class, &Millis)| *typical > LONG_SHARE * class.latency_target_ms;
        if self.seldom()
            && self.limit.parts < f64::MAX
            && !self.set.classes.iter().zip(&self.typical).any(long)
        {
            let grown = self.limit.parts * REGROWTH.powf((now - self.limit.counted) / self.aim);
            self.limit.parts = if grown > LIMIT_MOST { f64::MAX } else { grown };
        }
        let turnover = self.typical.iter().copied().fold(self.set.turn_ms, f64::max);
        let worked = self.limit.parts * self.ready() * (now - self.limit.counted) / turnover;
        (self.limit.backlog, self.limit.counted) = ((self.limit.backlog - worked).max(self.out()), now);
        let room = self.limit.parts * self.ready();
        let Some(query) = self.queries.get(&id).filter(|query| !query.admitted) else { return };
        let below = room < query.parts.len() as f64;
        let used = if below { self.limit.backlog } else { self.out() } / room;
        let class = &self.set.classes[query.class];
        // One failure in a row is enough once there has been a jam; before, a single error refuses nothing.
        let enough = u32::from(self.limit.parts == f64::MAX);
        let mut order: Vec<(Place, f64, RequestId, f64)> = Vec::new();
        let mut shut = 0.0;
        for &p in &query.parts {
            let Some(part) = self.parts.get(&p) else { continue };
            let best = self.best(now, part, query.class);
            shut += if best.is_some_and(|(rank, _)| rank.distrust > enough) { part.weight } else { 0.0 };
            // Where any parts will do, those whose shards are least loaded go first.
            let key = |r: Rank| {
                if class.required_share < 1.0 {
                    (r.distrust, r.count, r.pace)
                } else {
                    Place::default()
                }
            };
            let pace = best.and_then(|(_, sid)| self.servers.get(&sid)).map_or(1.0, |s| self.pace(now, s));
            order.push((best.map_or((u32::MAX, 0, 0), |(rank, _)| key(rank)), part.weight, p, pace));
        }
        order.sort_by(|a, b| (a.0, -a.1).partial_cmp(&(b.0, -b.1)).unwrap_or(std::cmp::Ordering::Equal));
        // How many parts, heaviest first, earn most beyond their price; and the least that may be answered.
        let all = order.len() as f64;
        let price = used.max(all / room) / all.max(1.0);
        let least =
            if class.minimum_share < class.required_share { class.minimum_share * TRIM_RESERVE } else { 1.0 };
        let (mut sum, mut sent, mut most, mut density) = (0.0, 0, f64::NEG_INFINITY, 0.0);
        for (n, (_, weight, _, _)) in order.iter().enumerate() {
            sum += weight;
            let whole = n + 1 == order.len() || sum >= class.required_share - ROUNDING;
            if !whole && sum < least {
                continue;
            }
            let earns = if whole { 1.0 } else { class.partial_value * sum / class.required_share };
            let parts = (n + 1) as f64;
            if density == 0.0 {
                density = class.value * earns / (parts + f64::from(class.follow_up_parts) / 2.0);
            }
            if earns - price * parts > most {
                (sent, most) = (n + 1, earns - price * parts);
            }
        }
        let worst = order[..sent].iter().fold(0.0, |a: f64, o| a.max(o.3));
        let share = worst * self.typical[query.class] / class.latency_target_ms.max(1.0);
        let chance = (JAM_TO - share) / (JAM_TO - JAM_FROM);
        let chance = if self.out() > 0.0 { chance } else { chance.max(JAM_LEAST) };
        let jammed = class.minimum_share >= class.required_share && unit(mix(self.random ^ id)) > chance;
        self.density[query.class] = density;
        let best = self.density.iter().copied().fold(0.0, f64::max).max(f64::MIN_POSITIVE);
        let rank = RANK_SHARE + (1.0 - RANK_SHARE) * self.density[query.class] / best;
        let limit = if query.over_quota { OVER_QUOTA_SHARE * rank } else { rank };
        let shut = 1.0 - shut < class.minimum_share - ROUNDING;
        let waits = (HASTE * self.typical[query.class]).min(class.latency_target_ms);
        let hasty = query.deadline - now < waits && self.out() > 0.0;
        let over = used > limit;
        let turned = [
            (over, RejectionReason::OverLimit),
            (shut, RejectionReason::NoHealthyReplica),
            (jammed, RejectionReason::Saturated),
            (hasty, RejectionReason::DeadlineTooShort),
        ];
        let turned = turned.into_iter().find(|(turned, _)| *turned).map(|(_, why)| why);
        if let Some(why) = turned.or(query.parts.is_empty().then_some(RejectionReason::PartsLost)) {
            self.limit.refused |= over;
            self.end(id, why, actions);
            return;
        }
        self.limit.backlog += sent as f64;
        self.queries.entry(id).and_modify(|query| (query.admitted, query.used) = (true, used));
        for (_, _, part, _) in order.drain(sent..) {
            self.parts.entry(part).and_modify(|part| part.state = PartState::Spare);
        }
    }

    pub(super) fn ready(&self) -> f64 {
        self.holders.ready().max(1) as f64
    }

    /// Whether each aggregator sees too little of the servers to go by its own samples alone.
    fn seldom(&self) -> bool {
        f64::from(self.set.aggregators) >= self.ready()
    }

    pub(super) fn out(&self) -> f64 {
        self.servers.values().map(|s| s.outs.len()).sum::<usize>() as f64
    }

    /// Learns from a query's end how many parts may be out; see the constants.
    pub(super) fn learn_limit(&mut self, now: Millis, id: RequestId, served: bool) {
        let Some(query) = self.queries.get(&id).filter(|query| query.admitted) else { return };
        let class = &self.set.classes[query.class];
        let lenience = (class.required_share / class.minimum_share).min(PARTIAL_LENIENCE);
        // Waiting for company takes its share of the aim first.
        let left = 1.0 - self.gather(query.class);
        let share = self.typical[query.class] / (class.latency_target_ms.max(1.0) * lenience * left);
        let (seldom, missed) = (self.seldom(), !served || now > query.aim);
        let gain = if seldom { MISS_GAIN_SELDOM } else { MISS_GAIN };
        self.limit.misses += gain * (f64::from(missed) - self.limit.misses);
        let lenience = if self.limit.misses <= MISSES_BORNE { FEW_MISSES_LENIENCE } else { 1.0 };
        let pressed = query.used > 0.5 || self.limit.refused;
        let missing = seldom && self.limit.misses > MISSES_MOST;
        let over = (missing && missed) || share > LONG_SHARE * lenience;
        if share < SHORT_SHARE && pressed && served && !missing {
            let quiet = RAISES_EACH_AIM * (now - self.limit.changed) / class.latency_target_ms.max(1.0);
            self.limit.parts *= (1.0 + RAISE).powf(quiet.clamp(1.0, RAISES_AT_ONCE));
        } else if over && query.arrived >= self.limit.cut_at {
            let level = self.out().max(query.parts.len() as f64) / self.ready();
            let least = LIMIT_LEAST / f64::from(self.set.aggregators);
            self.limit.parts = (self.limit.parts.min(level) * CUT).max(least);
            self.limit.cut_at = now;
        } else {
            return;
        }
        (self.limit.changed, self.limit.refused) = (now, false);
    }
}
