use monotonic_clock::Micros;
use peer_messages::TransferredDemand;
use std::collections::VecDeque;

/// What cells, starts and late answers cost beside each other, all in megabytes of memory held for a
/// second. Example: `CostModel::default().start == 110.0`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// One start.
    pub start: f64,
    /// One call that is answered later than its target.
    pub late_call: f64,
    /// One call that is sent to a cell in another zone.
    pub remote_call: f64,
}

impl Default for CostModel {
    fn default() -> CostModel {
        CostModel { start: 110.0, late_call: 600.0, remote_call: 20.0 }
    }
}

/// What is known of a function before its calls are. Example: see [`InstanceDemand::wanted`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InstanceShape {
    /// Memory of one cell in megabytes.
    pub memory_mb: f64,
    /// The time a start takes.
    pub boot: Micros,
    /// Calls one cell may run at once.
    pub calls_at_once: u32,
    /// The time within which an answer is worth most, for the strictest lane.
    pub target: Micros,
    /// What it all costs.
    pub costs: CostModel,
}

/// How many cells a function is worth, from the load of the last seconds and the cost model.
///
/// The calls under way are taken as Poisson arrivals at a common queue (Erlang C): cells are added as
/// long as the late calls they save cost more than their memory. Without calls a function keeps its
/// last cell only where its next call, met cold, would cost more than the memory until then.
///
/// Example: `demand.note(now, 3.0); demand.wanted(&shape, latency, now)`.
#[derive(Debug)]
pub struct InstanceDemand {
    began_at: Micros,
    noted_at: Micros,
    decayed_at: Micros,
    /// Calls under way: over the last moment, and over the last seconds.
    load_fast: f64,
    load_slow: f64,
    /// First dispatches a second, over the last seconds.
    rate: f64,
    /// The same over the last moment, for what cannot wait until the other follows.
    rate_fast: f64,
    first_call_at: Option<Micros>,
    /// Since when other functions are called, as far as is known.
    traffic_since: Option<Micros>,
    /// What was wanted lately, each with the time until which it holds: falling counts, oldest first.
    held: VecDeque<(Micros, u32)>,
}

const FAST: f64 = 0.4;
const SLOW: f64 = 5.0;
const RATE_SPAN: f64 = 8.0;
const FAST_RATE_SPAN: f64 = 0.5;
/// A function is young for so long after its first call: the rate is over this time at least.
const YOUNG: f64 = 3.0;
/// A function whose load is not known yet, and that a cold start would make late, has so many cells.
const UNKNOWN_INSTANCES: u32 = 2;
/// Load is unknown for so long after the first call.
const UNKNOWN_SPAN: Micros = Micros::from_secs(4);
/// A function that no call came to is kept warm for so long.
const UNCALLED_SPAN: Micros = Micros::from_secs(60);
/// Cold boots take up to so much of the usual time.
const LONG_BOOT: f64 = 1.6;
const THOUSAND: f64 = 1_000.0;
const MAX_INSTANCES: u32 = 10_000;

impl InstanceDemand {
    /// Nothing known. Example: `InstanceDemand::new(now).rate(now) == 0.0`.
    pub fn new(now: Micros) -> InstanceDemand {
        InstanceDemand {
            began_at: now,
            noted_at: now,
            decayed_at: now,
            load_fast: 0.0,
            load_slow: 0.0,
            rate: 0.0,
            rate_fast: 0.0,
            first_call_at: None,
            traffic_since: None,
            held: VecDeque::new(),
        }
    }

    /// A call's first dispatch is asked for. Example: `demand.called(now)` at each ask.
    pub fn called(&mut self, now: Micros) {
        self.decay(now);
        self.rate += 1.0 / RATE_SPAN;
        self.rate_fast += 1.0 / FAST_RATE_SPAN;
        self.first_call_at.get_or_insert(now);
    }

    /// What a successor shall know of the calls so far; latency, boot and cells are the caller's to fill in.
    /// Example: `demand.handover(now).rate == 0` where no call came.
    pub fn handover(&mut self, now: Micros) -> TransferredDemand {
        self.decay(now);
        TransferredDemand {
            load_fast: thousandths(self.load_fast),
            load_slow: thousandths(self.load_slow),
            rate: thousandths(self.rate),
            rate_fast: thousandths(self.rate_fast),
            called_for_micros: self.first_call_at.map_or(0, |first_call_at| (now - first_call_at).0.max(1)),
            instances_kept: 0,
            usual_latency_micros: 0,
            boot_micros: 0,
        }
    }

    /// Goes on from what the leader before saw. Example: `demand.resume(&handover, now)`.
    pub fn resume(&mut self, handover: &TransferredDemand, now: Micros) {
        self.load_fast = f64::from(handover.load_fast) / THOUSAND;
        self.load_slow = f64::from(handover.load_slow) / THOUSAND;
        self.rate = f64::from(handover.rate) / THOUSAND;
        self.rate_fast = f64::from(handover.rate_fast) / THOUSAND;
        self.decayed_at = now;
        self.noted_at = now;
        if handover.called_for_micros > 0 {
            self.first_call_at = Some(now - Micros(handover.called_for_micros));
        }
    }

    /// Whether a call ever came. Example: `InstanceDemand::new(now).is_called() == false`.
    pub fn is_called(&self) -> bool {
        self.first_call_at.is_some()
    }

    /// Slots that calls take, over the last moment or the last seconds, whichever is more.
    /// Example: `demand.load() >= 0.0`.
    pub fn load(&self) -> f64 {
        self.load_fast.max(self.load_slow)
    }

    /// Tells since when calls of any function come. Example: `demand.set_traffic_since(Some(now))`.
    pub fn set_traffic_since(&mut self, since: Option<Micros>) {
        self.traffic_since = since;
    }

    /// Notes the slots that calls take now. Example: `demand.note(now, 3.0)` each 40 ms.
    pub fn note(&mut self, now: Micros, calls: f64) {
        let (fast, slow) = (self.share_of(now, FAST), self.share_of(now, SLOW));
        self.load_fast += (calls - self.load_fast) * fast;
        self.load_slow += (calls - self.load_slow) * slow;
        self.noted_at = now;
        self.decay(now);
    }

    fn share_of(&self, now: Micros, span: f64) -> f64 {
        1.0 - (-seconds(now - self.noted_at) / span).exp()
    }

    fn decay(&mut self, now: Micros) {
        self.rate *= (-seconds(now - self.decayed_at) / RATE_SPAN).exp();
        self.rate_fast *= (-seconds(now - self.decayed_at) / FAST_RATE_SPAN).exp();
        self.decayed_at = now;
    }

    /// Calls a second. Example: `demand.rate(now) < 0.5`.
    pub fn rate(&self, now: Micros) -> f64 {
        let Some(first_call_at) = self.first_call_at else { return 0.0 };
        let age = seconds(now - first_call_at).max(YOUNG);
        self.rate / (1.0 - (-age / RATE_SPAN).exp())
    }

    /// Calls a second as of the last moment, where that is more than the usual rate.
    /// Example: `demand.peak_rate(now) >= demand.rate(now)`.
    pub fn peak_rate(&self, now: Micros) -> f64 {
        let passed = seconds(now - self.decayed_at);
        self.rate(now).max(self.rate_fast * (-passed / FAST_RATE_SPAN).exp())
    }

    /// Counts cells as wanted for a while: those that the steward before kept for calls it had seen.
    /// Example: `demand.hold(3, now + Micros::from_secs(3))`.
    pub fn hold(&mut self, instances: u32, until: Micros) {
        self.held.retain(|(_, held)| *held > instances);
        self.held.push_back((until, instances));
    }

    /// Cells that the load is worth now; `zone_shares` are the shares of the calls that come from each zone,
    /// the largest first. Example: `demand.wanted(&shape, &[0.7, 0.3], Micros::from_millis(60), now)`.
    pub fn wanted(
        &mut self,
        shape: &InstanceShape,
        zone_shares: &[f64],
        latency: Micros,
        now: Micros,
    ) -> u32 {
        let wanted = self.worth(shape, zone_shares, latency, now);
        // Going down and up again costs a start and a boot: what was wanted holds for about as long as
        // its memory costs that much.
        let hold = shape.costs.start / shape.memory_mb + seconds(shape.boot);
        if wanted > 0 {
            self.hold(wanted, now + Micros((hold * 1e6) as u64));
        }
        wanted
    }

    /// Cells wanted now or so lately that stopping them would not pay. The last one is let go as soon
    /// as the rate of calls does not pay for it. Example: `demand.kept(wanted, now)`.
    pub fn kept(&mut self, wanted: u32, now: Micros) -> u32 {
        while self.held.front().is_some_and(|(until, _)| now >= *until) {
            self.held.pop_front();
        }
        if wanted == 0 {
            self.held.retain(|(_, instances)| *instances > 1);
        }
        self.held.iter().map(|(_, instances)| *instances).max().unwrap_or(0).max(wanted)
    }

    /// Whether a function that nobody called yet is likely enough to be called to be worth a warm cell. Before
    /// any traffic that is not known, for a while. Once others are called, one that was not for some seconds
    /// has no more than about one call in as many seconds, and each call met cold would cost so much.
    fn may_be_called_soon(&self, shape: &InstanceShape, now: Micros) -> bool {
        let Some(traffic_since) = self.traffic_since else {
            return now < self.began_at + UNCALLED_SPAN;
        };
        let cold_cost = shape.costs.start + shape.memory_mb * seconds(shape.boot) + shape.costs.late_call;
        seconds(now - traffic_since.max(self.began_at)) * shape.memory_mb < cold_cost
    }

    fn worth(&self, shape: &InstanceShape, zone_shares: &[f64], latency: Micros, now: Micros) -> u32 {
        let boot = seconds(shape.boot);
        let is_slow_cold = shape.boot + latency > shape.target;
        let Some(first_call_at) = self.first_call_at else {
            let is_waited_for = is_slow_cold && self.may_be_called_soon(shape, now);
            return if is_waited_for { UNKNOWN_INSTANCES } else { 0 };
        };
        let rate = self.rate(now);
        let late_share = ((boot * LONG_BOOT + seconds(latency) - seconds(shape.target)) / boot.max(0.001))
            .clamp(0.05, 1.0);
        // All calls of a boot's time are late where the first is.
        let late_calls = late_share * (1.0 + if is_slow_cold { rate * boot } else { 0.0 });
        let cold_cost = shape.costs.start + shape.memory_mb * boot + shape.costs.late_call * late_calls;
        let load = self.load();
        if rate * cold_cost < shape.memory_mb && load < 0.5 {
            return 0;
        }
        let instances = instances_for(load, rate, shape, zone_shares, latency);
        let is_unknown = is_slow_cold && now < first_call_at + UNKNOWN_SPAN;
        if is_unknown { instances.max(UNKNOWN_INSTANCES) } else { instances }
    }
}

/// The cheapest number of cells for a load, at least one. Each takes the zone with most calls that has none.
fn instances_for(load: f64, rate: f64, shape: &InstanceShape, zone_shares: &[f64], latency: Micros) -> u32 {
    let service = seconds(latency).max(0.001);
    // What an answer may wait and still be in time, given that some calls take twice as long.
    let timeout = (seconds(shape.target) - 2.0 * service).max(0.2 * service);
    let calls_at_once = f64::from(shape.calls_at_once.max(1));
    let mut instances = (load / calls_at_once).floor().max(0.0) as u32 + 1;
    let cost_of = |instances: u32| {
        let servers = f64::from(instances) * calls_at_once;
        let late = erlang_c(servers as u32, load) * (-(servers - load) * timeout / service).exp();
        let remote: f64 = zone_shares.iter().skip(instances as usize).sum();
        f64::from(instances) * shape.memory_mb
            + rate * (late * shape.costs.late_call + remote * shape.costs.remote_call)
    };
    let mut cost = cost_of(instances);
    while instances < MAX_INSTANCES {
        let next = cost_of(instances + 1);
        if next >= cost {
            break;
        }
        cost = next;
        instances += 1;
    }
    instances
}

/// The share of arrivals that wait, for a load on so many servers (Erlang C).
fn erlang_c(servers: u32, load: f64) -> f64 {
    if load <= 0.0 {
        return 0.0;
    }
    let blocked = (1..=servers).fold(1.0, |blocked, server| {
        let offered = load * blocked;
        offered / (f64::from(server) + offered)
    });
    let used = load / f64::from(servers);
    if used >= 1.0 { 1.0 } else { blocked / (1.0 - used * (1.0 - blocked)) }
}

fn thousandths(value: f64) -> u32 {
    (value * THOUSAND).clamp(0.0, f64::from(u32::MAX)) as u32
}

fn seconds(span: Micros) -> f64 {
    span.0 as f64 / 1e6
}

#[cfg(test)]
mod tests;
