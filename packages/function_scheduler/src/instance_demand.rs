use monotonic_clock::Micros;
use peer_messages::TransferredDemand;
use std::collections::VecDeque;

/// The relative costs of instances, starts and late responses, in megabyte-seconds of memory.
/// Example: `CostModel::default().start == 110.0`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// One start.
    pub start: f64,
    /// One call answered later than its target.
    pub late_call: f64,
    /// One call sent to an instance in another zone.
    pub remote_call: f64,
}

impl Default for CostModel {
    fn default() -> CostModel {
        CostModel { start: 110.0, late_call: 600.0, remote_call: 20.0 }
    }
}

/// Properties of a function that do not depend on its calls. Example: see [`InstanceDemand::wanted`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InstanceShape {
    /// Memory of one instance in megabytes.
    pub memory_mb: f64,
    /// The duration of a start.
    pub boot: Micros,
    /// Calls one instance may run at once.
    pub calls_at_once: u32,
    /// The target response time of the strictest route.
    pub target: Micros,
    /// The cost model.
    pub costs: CostModel,
}

/// Computes how many instances a function is worth, from the load of the last seconds and the cost model.
///
/// Calls are modelled as Poisson arrivals at one shared queue (Erlang C). Instances are added as long as the
/// late calls they avoid cost more than their memory. Without calls in progress, a function keeps its last
/// instance only if a cold start for the next call would cost more than the memory held until then.
///
/// Example: `demand.record_load(now, 3.0); demand.wanted(&shape, latency, now)`.
#[derive(Debug)]
pub struct InstanceDemand {
    created_at: Micros,
    load_updated_at: Micros,
    rate_updated_at: Micros,
    /// Calls in progress, as moving averages over [`FAST_LOAD_SECONDS`] and [`SLOW_LOAD_SECONDS`].
    load_fast: f64,
    load_slow: f64,
    /// First dispatches per second, over [`RATE_SECONDS`].
    rate: f64,
    /// The same over [`FAST_RATE_SECONDS`], for decisions that must follow a jump quickly.
    rate_fast: f64,
    first_call_at: Option<Micros>,
    /// When calls of any function began, as far as is known here.
    traffic_since: Option<Micros>,
    /// Recently wanted counts, each with the time until which it is kept; oldest first, counts decreasing.
    kept_counts: VecDeque<(Micros, u32)>,
}

const FAST_LOAD_SECONDS: f64 = 0.4;
const SLOW_LOAD_SECONDS: f64 = 5.0;
const RATE_SECONDS: f64 = 8.0;
const FAST_RATE_SECONDS: f64 = 0.5;
/// The rate is averaged over at least this many seconds, also shortly after the first call.
const MIN_RATE_SECONDS: f64 = 3.0;
/// Instances of a function whose load is not known yet and whose calls a cold start would make late.
const INITIAL_INSTANCES: u32 = 2;
/// The load counts as unknown for this long after the first call.
const INITIAL_PERIOD: Micros = Micros::from_secs(4);
/// How long a function without any call is kept warm before any traffic is seen.
const UNCALLED_RETENTION: Micros = Micros::from_secs(60);
/// A cold boot takes up to this many times the usual boot time.
const SLOW_BOOT_FACTOR: f64 = 1.6;
const THOUSAND: f64 = 1_000.0;
const MAX_INSTANCES: u32 = 10_000;

impl InstanceDemand {
    /// Starts without any calls observed. Example: `InstanceDemand::new(now).rate(now) == 0.0`.
    pub fn new(now: Micros) -> InstanceDemand {
        InstanceDemand {
            created_at: now,
            load_updated_at: now,
            rate_updated_at: now,
            load_fast: 0.0,
            load_slow: 0.0,
            rate: 0.0,
            rate_fast: 0.0,
            first_call_at: None,
            traffic_since: None,
            kept_counts: VecDeque::new(),
        }
    }

    /// Records a request for a call's first dispatch. Example: `demand.record_call(now)` for each request.
    pub fn record_call(&mut self, now: Micros) {
        self.decay(now);
        self.rate += 1.0 / RATE_SECONDS;
        self.rate_fast += 1.0 / FAST_RATE_SECONDS;
        self.first_call_at.get_or_insert(now);
    }

    /// The call history for a successor; the caller fills in the latency, boot time and instance count.
    /// Example: `demand.handover(now).rate == 0` if no call was made.
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

    /// Continues from the previous leader's call history. Example: `demand.resume(&handover, now)`.
    pub fn resume(&mut self, handover: &TransferredDemand, now: Micros) {
        self.load_fast = f64::from(handover.load_fast) / THOUSAND;
        self.load_slow = f64::from(handover.load_slow) / THOUSAND;
        self.rate = f64::from(handover.rate) / THOUSAND;
        self.rate_fast = f64::from(handover.rate_fast) / THOUSAND;
        self.rate_updated_at = now;
        self.load_updated_at = now;
        if handover.called_for_micros > 0 {
            self.first_call_at = Some(now - Micros(handover.called_for_micros));
        }
    }

    /// Whether any call was made so far. Example: `InstanceDemand::new(now).is_called() == false`.
    pub fn is_called(&self) -> bool {
        self.first_call_at.is_some()
    }

    /// Slots in use: the larger of the fast and the slow average. Example: `demand.load() >= 0.0`.
    pub fn load(&self) -> f64 {
        self.load_fast.max(self.load_slow)
    }

    /// Sets the time since when calls of any function have been seen.
    /// Example: `demand.set_traffic_since(Some(now))`.
    pub fn set_traffic_since(&mut self, since: Option<Micros>) {
        self.traffic_since = since;
    }

    /// Records the number of slots in use now. Example: `demand.record_load(now, 3.0)` each 40 ms.
    pub fn record_load(&mut self, now: Micros, calls: f64) {
        let (fast, slow) =
            (self.smoothing_factor(now, FAST_LOAD_SECONDS), self.smoothing_factor(now, SLOW_LOAD_SECONDS));
        self.load_fast += (calls - self.load_fast) * fast;
        self.load_slow += (calls - self.load_slow) * slow;
        self.load_updated_at = now;
        self.decay(now);
    }

    fn smoothing_factor(&self, now: Micros, span: f64) -> f64 {
        1.0 - (-seconds(now - self.load_updated_at) / span).exp()
    }

    fn decay(&mut self, now: Micros) {
        self.rate *= (-seconds(now - self.rate_updated_at) / RATE_SECONDS).exp();
        self.rate_fast *= (-seconds(now - self.rate_updated_at) / FAST_RATE_SECONDS).exp();
        self.rate_updated_at = now;
    }

    /// Calls per second. Example: `demand.rate(now) < 0.5`.
    pub fn rate(&self, now: Micros) -> f64 {
        let Some(first_call_at) = self.first_call_at else { return 0.0 };
        let age = seconds(now - first_call_at).max(MIN_RATE_SECONDS);
        self.rate / (1.0 - (-age / RATE_SECONDS).exp())
    }

    /// Calls per second over the last half second if that is more than the usual rate.
    /// Example: `demand.peak_rate(now) >= demand.rate(now)`.
    pub fn peak_rate(&self, now: Micros) -> f64 {
        let passed = seconds(now - self.rate_updated_at);
        self.rate(now).max(self.rate_fast * (-passed / FAST_RATE_SECONDS).exp())
    }

    /// Keeps a count as wanted until a time. Used for instances that the previous leader kept for calls which
    /// this leader has not seen.
    /// Example: `demand.retain_count(3, now + Micros::from_secs(3))`.
    pub fn retain_count(&mut self, instances: u32, until: Micros) {
        self.kept_counts.retain(|(_, count)| *count > instances);
        self.kept_counts.push_back((until, instances));
    }

    /// The number of instances the load is worth now; `zone_shares` are the shares of the calls that come
    /// from each zone, largest first.
    /// Example: `demand.wanted(&shape, &[0.7, 0.3], Micros::from_millis(60), now)`.
    pub fn wanted(
        &mut self,
        shape: &InstanceShape,
        zone_shares: &[f64],
        latency: Micros,
        now: Micros,
    ) -> u32 {
        let wanted = self.instances_worth(shape, zone_shares, latency, now);
        // Scaling down and up again costs a start and a boot, so a wanted count is kept for about as long as
        // its memory costs that much.
        let hold_seconds = shape.costs.start / shape.memory_mb + seconds(shape.boot);
        if wanted > 0 {
            self.retain_count(wanted, now + Micros((hold_seconds * 1e6) as u64));
        }
        wanted
    }

    /// Instances wanted now, or so recently that stopping them would not pay. The last instance is released
    /// as soon as the call rate no longer pays for it.
    /// Example: `demand.apply_retention(wanted, now)`.
    pub fn apply_retention(&mut self, wanted: u32, now: Micros) -> u32 {
        while self.kept_counts.front().is_some_and(|(until, _)| now >= *until) {
            self.kept_counts.pop_front();
        }
        if wanted == 0 {
            self.kept_counts.retain(|(_, instances)| *instances > 1);
        }
        self.kept_counts.iter().map(|(_, instances)| *instances).max().unwrap_or(0).max(wanted)
    }

    /// Whether a function without any call yet is likely enough to be called to be worth a warm instance.
    /// Before any traffic this is unknown and assumed for a while. Once other functions are called, a
    /// function that was idle for some seconds is assumed to get at most about one call in that time, each of
    /// which would pay for a cold start.
    fn may_be_called_soon(&self, shape: &InstanceShape, now: Micros) -> bool {
        let Some(traffic_since) = self.traffic_since else {
            return now < self.created_at + UNCALLED_RETENTION;
        };
        let cold_cost = shape.costs.start + shape.memory_mb * seconds(shape.boot) + shape.costs.late_call;
        seconds(now - traffic_since.max(self.created_at)) * shape.memory_mb < cold_cost
    }

    fn instances_worth(
        &self,
        shape: &InstanceShape,
        zone_shares: &[f64],
        latency: Micros,
        now: Micros,
    ) -> u32 {
        let boot = seconds(shape.boot);
        let is_cold_start_late = shape.boot + latency > shape.target;
        let Some(first_call_at) = self.first_call_at else {
            let is_kept_warm = is_cold_start_late && self.may_be_called_soon(shape, now);
            return if is_kept_warm { INITIAL_INSTANCES } else { 0 };
        };
        let rate = self.rate(now);
        let late_share = ((boot * SLOW_BOOT_FACTOR + seconds(latency) - seconds(shape.target))
            / boot.max(0.001))
        .clamp(0.05, 1.0);
        // If the first call is late, so are all calls that arrive during the boot.
        let late_calls = late_share * (1.0 + if is_cold_start_late { rate * boot } else { 0.0 });
        let cold_cost = shape.costs.start + shape.memory_mb * boot + shape.costs.late_call * late_calls;
        let load = self.load();
        if rate * cold_cost < shape.memory_mb && load < 0.5 {
            return 0;
        }
        let instances = instances_for(load, rate, shape, zone_shares, latency);
        let is_load_unknown = is_cold_start_late && now < first_call_at + INITIAL_PERIOD;
        if is_load_unknown { instances.max(INITIAL_INSTANCES) } else { instances }
    }
}

/// The cheapest number of instances for a load, at least one. Each further instance is assumed to be placed
/// in the zone with the most calls among those without one.
fn instances_for(load: f64, rate: f64, shape: &InstanceShape, zone_shares: &[f64], latency: Micros) -> u32 {
    let service = seconds(latency).max(0.001);
    // How long a call may queue and still meet its target if some calls take twice the usual time.
    let max_wait = (seconds(shape.target) - 2.0 * service).max(0.2 * service);
    let calls_at_once = f64::from(shape.calls_at_once.max(1));
    let mut instances = (load / calls_at_once).floor().max(0.0) as u32 + 1;
    let cost_of = |instances: u32| {
        let servers = f64::from(instances) * calls_at_once;
        let late = erlang_c(servers as u32, load) * (-(servers - load) * max_wait / service).exp();
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

/// The share of arrivals that have to wait at a given load and number of servers (Erlang C).
fn erlang_c(servers: u32, load: f64) -> f64 {
    if load <= 0.0 {
        return 0.0;
    }
    let blocked = (1..=servers).fold(1.0, |blocked, server| {
        let offered = load * blocked;
        offered / (f64::from(server) + offered)
    });
    let utilization = load / f64::from(servers);
    if utilization >= 1.0 { 1.0 } else { blocked / (1.0 - utilization * (1.0 - blocked)) }
}

fn thousandths(value: f64) -> u32 {
    (value * THOUSAND).clamp(0.0, f64::from(u32::MAX)) as u32
}

fn seconds(span: Micros) -> f64 {
    span.0 as f64 / 1e6
}

#[cfg(test)]
mod tests;
