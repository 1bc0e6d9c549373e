//! Leases in terms of the workers' clocks.

use std::time::Duration;

use arbtest::arbtest;
use plantainlever::shard::OwnerRow;
use plantainlever::shard::lapse::{GrantedLease, WorkerClock, longest_local_time};
use plantainlever::shard::ownership::{
    ClaimReason, HEARTBEAT_TIMEOUT, LeaseEnds, OWNERSHIP_LEASE_DURATION, OwnershipLease,
    Predecessor, StoreClock,
};
use plantainlever::shard::recovery::RecoveryTimes;
use plantainlever::shard::scheduler::Timing;

/// Length of the leases that the owner grants: longer than its permission, which then bounds them.
const LEASE: Duration = Duration::from_secs(8);

/// Longest time that a worker takes to end runs: the platform's `stop-ms`.
const KILL_TIME: Duration = Duration::from_millis(400);

/// Guards against a task that starts on another worker while its lease is still valid on a slow clock, for any clock up
/// to 2% slow and any delay of the answer.
#[test]
fn a_lease_has_ended_on_the_worker_when_it_counts_as_lapsed() {
    arbtest(|u| {
        let reading_ms: u64 = u.int_in_range(0..=1_000_000_000)?;
        let answer_delay = Duration::from_millis(u.int_in_range(0..=5_000)?);
        let lease_ms: u64 = u.int_in_range(0..=10_000)?;
        let slow_per_mille: u32 = u.int_in_range(0..=20)?;
        let read = Duration::from_secs(50);
        let clock = WorkerClock::new(reading_ms, read, read + answer_delay);
        let expiry_ms = reading_ms + lease_ms;
        let lapsed = clock.lapsed_at(expiry_ms, KILL_TIME);
        let passed = lapsed - read;
        let on_worker = passed * (1_000 - slow_per_mille) / 1_000;
        assert!(on_worker >= Duration::from_millis(lease_ms));
        Ok(())
    });
}

/// Guards against a lease that lasts longer than intended: its expiry may only be too early.
#[test]
fn an_expiry_is_never_later_than_the_lease() {
    arbtest(|u| {
        let later = Duration::from_millis(u.int_in_range(0..=100_000)?);
        let clock = WorkerClock::new(7_000, Duration::from_secs(9), Duration::from_secs(9));
        let now = Duration::from_secs(9) + later;
        let true_clock_ms = 7_000 + later.as_millis() as u64;
        assert!(clock.expiry_ms(now, Duration::from_secs(5)) <= true_clock_ms + 5_000);
        Ok(())
    });
}

/// Guards against a wait that does not allow for a slow clock.
#[test]
fn the_longest_lease_is_longer_than_the_lease() {
    assert!(
        longest_local_time(Duration::from_secs(5), Duration::ZERO) >= Duration::from_millis(5_100)
    );
}

/// Delays and rates that separate the last lease of an owner from the first start by its successor.
#[derive(Clone, Copy, Debug)]
struct Terms {
    /// Time from sending the owner's last heartbeat to the successor's first read of it.
    heartbeat_latency: Duration,
    /// Time from that heartbeat to the owner's last write of other rows.
    other_writes: Duration,
    /// Time from that heartbeat to the grant of the lease, within the owner's permission.
    granted: Duration,
    /// Time for which the owner is suspended between the grant and its arrival.
    suspended: Duration,
    /// Round trip of the owner's and of the successor's newest reading of the store's clock; `None` without that clock.
    store_clock: Option<Duration>,
    /// Rate of the worker's clock, per mille.
    rate_per_mille: u32,
    /// Time from the expiry of the lease to the end of the runs.
    kill_delay: Duration,
}

/// Largest values that the platform and the protocol between owner and successor allow.
const BOUND: Terms = Terms {
    heartbeat_latency: Duration::ZERO,
    other_writes: Duration::from_secs(7),
    granted: Duration::from_secs(7),
    suspended: Duration::from_secs(60),
    store_clock: None,
    rate_per_mille: 980,
    kill_delay: KILL_TIME,
};

/// Reading of the store's clock at the local time zero.
const STORE_ORIGIN: Duration = Duration::from_secs(5_000);

/// Returns a reading of the store's clock from a call that was answered at `received` after a round trip of `length`. The
/// store acts at its end or, if `is_early`, at its beginning.
fn store_reading(received: Duration, length: Duration, is_early: bool) -> StoreClock {
    let sent = received - length;
    let read = if is_early { sent } else { received };
    StoreClock::new((STORE_ORIGIN + read).as_millis() as u64, sent, received)
}

/// Returns true if a run that the owner's last lease keeps alive has ended when the successor starts its task again.
fn has_ended_before_the_next_start(terms: Terms) -> bool {
    let timing = Timing {
        lease: LEASE,
        max_lease: LEASE,
        kill_time: KILL_TIME,
        throttle_delay: Duration::ZERO,
    };
    let heartbeat = Duration::from_secs(100);
    let mut ownership = OwnershipLease::new(heartbeat);
    ownership.confirm(heartbeat + terms.other_writes);
    let granted = (heartbeat + terms.granted).min(ownership.ends_at() - Duration::from_millis(1));
    assert!(ownership.is_valid(granted));
    // The worker reads its clock and answers at once, so the owner knows the clock as well as it can.
    let length = LEASE.min(ownership.ends_at() - granted);
    let expiry_ms = WorkerClock::new(0, granted, granted).expiry_ms(granted, length);
    let on_worker = Duration::from_millis(expiry_ms);
    let arrives = granted + terms.suspended;
    let expires = granted + on_worker * 1_000 / terms.rate_per_mille;
    let ends = if arrives < expires { expires + terms.kill_delay } else { granted };
    let seen = heartbeat + terms.heartbeat_latency;
    let claimed = seen + HEARTBEAT_TIMEOUT;
    let sent_store_ms =
        terms.store_clock.map(|trip| store_reading(heartbeat, trip, true).at_most_ms(heartbeat));
    let row = OwnerRow {
        lease_limit_ms: Some(OWNERSHIP_LEASE_DURATION.as_millis() as u64),
        earlier_lapsed_in_ms: Some(0),
        sent_store_ms,
        ..OwnerRow::default()
    };
    let predecessor = Predecessor {
        row: Some(&row),
        heartbeat_sent_store_ms: sent_store_ms,
        seen,
        is_unanswered_claim: false,
    };
    let store_clock = terms.store_clock.map(|trip| store_reading(claimed, trip, false));
    let reason = ClaimReason::Silent { since: seen };
    ends <= LeaseEnds::before_claim(reason, predecessor, store_clock, &timing, claimed).lapsed_at
}

/// Guards against two runs of a task after a change of owner, for every delay within its bound.
#[test]
fn the_last_lease_of_an_owner_ends_before_the_first_start_of_its_successor() {
    assert!(has_ended_before_the_next_start(Terms { suspended: Duration::ZERO, ..BOUND }));
    arbtest(|u| {
        let mut up_to = |bound: Duration| -> arbtest::arbitrary::Result<Duration> {
            Ok(Duration::from_millis(u.int_in_range(0..=bound.as_millis() as u64)?))
        };
        let terms = Terms {
            heartbeat_latency: up_to(Duration::from_secs(5))?,
            other_writes: up_to(BOUND.other_writes)?,
            granted: up_to(BOUND.granted)?,
            suspended: up_to(BOUND.suspended)?,
            kill_delay: up_to(BOUND.kill_delay)?,
            store_clock: Some(up_to(Duration::from_secs(2))?),
            rate_per_mille: u.int_in_range(BOUND.rate_per_mille..=1_000)?,
        };
        let store_clock = terms.store_clock.filter(|_| terms.granted.as_millis().is_multiple_of(2));
        let terms = Terms { store_clock, ..terms };
        assert!(has_ended_before_the_next_start(terms), "{terms:?}");
        Ok(())
    });
}

/// Guards against a wait that leaves out a delay: each one that is beyond its bound must show.
#[test]
fn a_delay_beyond_its_bound_makes_runs_overlap() {
    let terms = Terms { suspended: Duration::ZERO, granted: Duration::ZERO, ..BOUND };
    assert!(!has_ended_before_the_next_start(Terms { rate_per_mille: 970, ..terms }));
    let kill_delay = BOUND.kill_delay + Duration::from_millis(50);
    assert!(!has_ended_before_the_next_start(Terms { kill_delay, ..terms }));
}

/// Guards against a wait in series: a successor waits for the end of the permission and for a lease after it.
#[test]
fn leases_have_lapsed_little_later_than_the_permission_of_their_owner() {
    let row = OwnerRow {
        lease_limit_ms: Some(OWNERSHIP_LEASE_DURATION.as_millis() as u64),
        earlier_lapsed_in_ms: Some(0),
        ..OwnerRow::default()
    };
    let seen = Duration::from_secs(100);
    let predecessor = Predecessor {
        row: Some(&row),
        heartbeat_sent_store_ms: None,
        seen,
        is_unanswered_claim: false,
    };
    let max_lease = Duration::from_secs(10);
    let timing = Timing {
        lease: max_lease,
        max_lease,
        kill_time: KILL_TIME,
        throttle_delay: Duration::ZERO,
    };
    let reason = ClaimReason::Silent { since: seen };
    let ends = LeaseEnds::before_claim(reason, predecessor, None, &timing, seen);
    assert_eq!(ends.lapsed_at, seen + longest_local_time(OWNERSHIP_LEASE_DURATION, KILL_TIME));
    assert_eq!(
        ends.unanswered_lapsed_at,
        ends.silent_at + longest_local_time(max_lease, KILL_TIME)
    );
    // A version that grants longer leases does not say for how long.
    let row = OwnerRow::default();
    let predecessor = Predecessor { row: Some(&row), ..predecessor };
    let ends = LeaseEnds::before_claim(reason, predecessor, None, &timing, seen);
    assert_eq!(ends.lapsed_at, ends.unanswered_lapsed_at);
}

/// Guards against a wait that a change lengthens beyond what callers are promised, on either deployment, and against
/// settings that allow no better and are not reported.
#[test]
fn the_waits_for_leases_are_within_the_limit_of_callers() {
    let timing = |hold_max_ms, stop_ms| {
        let max_lease = Duration::from_millis(hold_max_ms);
        Timing {
            lease: max_lease.min(OWNERSHIP_LEASE_DURATION),
            max_lease,
            kill_time: Duration::from_millis(stop_ms),
            throttle_delay: Duration::ZERO,
        }
    };
    for timing in [timing(6_000, 400), timing(10_000, 250)] {
        let times = RecoveryTimes::new(&timing);
        assert!(times.are_within_limit(), "{times:?}");
        // The waits that the limit bounds are those that keep two runs apart.
        assert!(times.owner_lost > longest_local_time(OWNERSHIP_LEASE_DURATION, timing.kill_time));
        assert!(times.owner_alive > longest_local_time(timing.lease, timing.kill_time));
    }
    assert!(!RecoveryTimes::new(&timing(6_000, 3_000)).are_within_limit());
}

/// Guards against a lease that ends later than it must: starts are sent to a worker whose silence is not noticed yet.
#[test]
fn starts_do_not_extend_a_lease_that_has_half_of_its_length_left() {
    let mut lease = GrantedLease::default();
    let begin = Duration::from_secs(100);
    let half = LEASE / 2;
    assert_eq!(lease.grant_for_start(begin, LEASE, half), None);
    lease.on_reading(WorkerClock::new(5_000, begin, begin));
    let renewed = lease.grant(begin, LEASE).unwrap();
    let end = lease.end(KILL_TIME);
    for after_ms in [0, 1_000, 3_900] {
        let now = begin + Duration::from_millis(after_ms);
        assert_eq!(lease.grant_for_start(now, LEASE, half), Some(renewed));
        assert_eq!(lease.end(KILL_TIME), end);
    }
    let later = begin + Duration::from_secs(5);
    let expiry_ms = lease.grant_for_start(later, LEASE, half).unwrap();
    assert!(expiry_ms > renewed);
    assert_ne!(lease.end(KILL_TIME), end);
}

/// Guards against a restart that is seen where there is none, and against a run that counts as one of the known
/// incarnation although a later one has answered: readings of slow clocks, in answers that are held back, delayed, and
/// overtake each other.
#[test]
fn a_clock_tells_the_incarnation_that_gave_an_answer() {
    arbtest(|u| {
        let mut ms = |bound: u64| -> arbtest::arbitrary::Result<Duration> {
            Ok(Duration::from_millis(u.int_in_range(0..=bound)?))
        };
        let origin = ms(1_000)?;
        let (begin, restart) = (Duration::from_secs(100), ms(20_000)?);
        let rate = |slow: Duration| 1_000 - slow.as_millis() as u64;
        let (rate, next_rate) = (rate(ms(20)?), rate(ms(20)?));
        let reading = |since: Duration, at: Duration, rate: u64| {
            (origin.as_micros() as u64 + (at - since).as_micros() as u64 * rate / 1_000) / 1_000
        };
        // Answers of the first incarnation, each received after a time on the way there, a wait, and a time back.
        let mut answer = |sent: Duration, earliest: Duration, since: Duration, rate: u64| {
            let read = (sent + ms(100)?).max(earliest) + ms(1_300)?;
            let received = read + ms(400)?;
            arbtest::arbitrary::Result::Ok((
                read,
                WorkerClock::new(reading(since, read, rate), sent, received),
            ))
        };
        let mut lease = GrantedLease::default();
        let (mut sent, mut alive) = (begin, begin);
        let mut known = None;
        for _ in 0..4 {
            let (read, clock) = answer(sent, begin, begin, rate)?;
            if let Some(known) = &known {
                assert!(!clock.has_gone_back(known));
            }
            lease.on_reading(clock);
            known = Some(clock);
            alive = alive.max(read);
            sent += restart / 20;
        }
        // Answers of the same incarnation to commands that were sent before or after the last one.
        let (read, clock) = answer(sent, begin, begin, rate)?;
        assert!(known.is_some_and(|known| !clock.has_gone_back(&known)));
        let mut copy = lease;
        copy.proves_newest(&clock);
        // The next incarnation begins after all of these.
        let since = alive.max(read) + restart;
        let (_, next) = answer(sent.max(alive), since, since, next_rate)?;
        assert!(!lease.proves_newest(&next));
        assert!(!copy.proves_newest(&next));
        Ok(())
    });
}

/// Guards against waits of runs whose start was answered soon after the first contact with a worker: two answers are enough
/// to tell its clock from that of a later incarnation.
#[test]
fn a_clock_proves_the_incarnation_soon_after_the_first_contact() {
    let at = |ms: u64| Duration::from_millis(60_000 + ms);
    let mut lease = GrantedLease::default();
    lease.on_reading(WorkerClock::new(5_000, at(0), at(2)));
    assert!(!lease.proves_newest(&WorkerClock::new(5_100, at(100), at(102))));
    // The worker held back its next answer for 1.3 s.
    lease.on_reading(WorkerClock::new(6_330, at(30), at(1_332)));
    assert!(lease.proves_newest(&WorkerClock::new(6_480, at(1_480), at(1_482))));
}
