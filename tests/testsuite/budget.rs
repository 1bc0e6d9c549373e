//! The memory for requests, in controlled time.

use std::rc::Rc;
use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use bytes::Bytes;
use plantainlever::net::budget::{
    BudgetLimits, Exhausted, PartialBody, REQUEST_BYTES, RequestBudget, RequestShare,
    SMALL_BODY_BYTES,
};
use plantainlever::telemetry::Metrics;

/// Longer than the time after which a body without progress may be dropped.
const LONG_TIME: Duration = Duration::from_secs(2);

const LIMITS: BudgetLimits = BudgetLimits { bytes: 2 << 20, copies: 2 };

/// Largest body of these tests; several fit into the memory.
const MAX_BODY_BYTES: usize = 128 << 10;

fn in_controlled_time<T>(test: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().unwrap().block_on(test)
}

fn budget() -> Rc<RequestBudget> {
    RequestBudget::new(LIMITS, Metrics::disabled())
}

type Finished = (Bytes, std::sync::Arc<RequestShare>);

/// Requests of a random run.
#[derive(Default)]
struct Requests {
    partial: Vec<PartialBody>,
    finished: Vec<Finished>,
}

impl Requests {
    async fn step(
        &mut self,
        budget: &Rc<RequestBudget>,
        u: &mut Unstructured<'_>,
    ) -> arbtest::arbitrary::Result<()> {
        match u.int_in_range(0..=5)? {
            0 | 1 => {
                let announced = u.int_in_range(0..=MAX_BODY_BYTES)?;
                let announced = u.arbitrary::<bool>()?.then_some(announced);
                self.partial.extend(budget.start_body(announced));
            }
            2 if !self.partial.is_empty() => {
                let index = u.choose_index(self.partial.len())?;
                let data = vec![0; u.int_in_range(0..=MAX_BODY_BYTES / 4)?];
                if self.partial[index].append(&data).is_err() {
                    self.partial.remove(index);
                }
            }
            3 if !self.partial.is_empty() => {
                let index = u.choose_index(self.partial.len())?;
                self.finished.extend(self.partial.remove(index).finish());
            }
            4 if !self.partial.is_empty() => {
                let index = u.choose_index(self.partial.len())?;
                self.partial.remove(index);
            }
            5 if !self.finished.is_empty() => {
                let index = u.choose_index(self.finished.len())?;
                let (body, share) = self.finished.remove(index);
                // The caller may go while the body is still in use.
                drop(share);
                drop(body);
            }
            _ => tokio::time::advance(Duration::from_millis(u.int_in_range(0..=1_500)?)).await,
        }
        Ok(())
    }
}

/// Guards against a sum above the limit, and against memory that is not given back, whatever the order in which bodies
/// begin, grow, are refused, dropped, broken off or completed.
#[test]
fn requests_stay_within_the_memory_and_give_all_of_it_back() {
    arbtest(|u| {
        in_controlled_time(async {
            let budget = budget();
            let mut requests = Requests::default();
            for _ in 0..u.arbitrary_len::<u64>()? {
                requests.step(&budget, u).await?;
                let kept = |(body, _): &Finished| REQUEST_BYTES + body.len() * LIMITS.copies;
                let kept: usize = requests.finished.iter().map(kept).sum();
                let claimed = budget.claimed();
                assert!(kept <= claimed && claimed <= LIMITS.bytes, "{kept} {claimed}");
            }
            drop(requests);
            assert_eq!(budget.claimed(), 0);
            Ok(())
        })
    })
    .seed(0x0041_0000_2000);
}

/// Guards against large bodies that shut out small requests.
#[test]
fn large_bodies_leave_memory_for_small_requests() {
    in_controlled_time(async {
        let budget = budget();
        let mut large = Vec::new();
        for length in [MAX_BODY_BYTES, SMALL_BODY_BYTES + 1] {
            while let Ok(body) = budget.start_body(Some(length)) {
                large.push(body);
            }
        }
        assert!(large.len() > 1);
        for _ in 0..4 {
            assert!(budget.start_body(Some(SMALL_BODY_BYTES)).is_ok());
        }
        assert!(budget.start_body(Some(SMALL_BODY_BYTES + 1)).is_err());
    });
}

/// Guards against bodies that keep the memory by stopping short of their end, or by sending a byte from time to time.
#[test]
fn a_body_without_progress_makes_room_for_another() {
    in_controlled_time(async {
        let budget = budget();
        let mut bodies = Vec::new();
        while let Ok(body) = budget.start_body(Some(MAX_BODY_BYTES)) {
            bodies.push(body);
        }
        for _ in 0..20 {
            tokio::time::advance(LONG_TIME / 20).await;
            bodies[0].append(&[0]).unwrap();
            bodies[1].append(&[0; 4_096]).unwrap();
        }
        let mut next = budget.start_body(Some(MAX_BODY_BYTES)).unwrap();
        assert_eq!(next.append(&[0]), Ok(false));
        assert_eq!(bodies[0].append(&[0]), Err(Exhausted));
        tokio::time::timeout(LONG_TIME, bodies[0].dropped()).await.unwrap();
        assert_eq!(bodies[1].append(&[0; 4_096]), Ok(true));
    });
}

/// Guards against the memory of a request that is free again while its body is still in use, or its answer not written.
#[test]
fn a_body_and_its_request_each_keep_the_memory() {
    in_controlled_time(async {
        let budget = budget();
        for body_first in [true, false] {
            let mut partial = budget.start_body(None).unwrap();
            partial.append(b"ok").unwrap();
            let (body, share) = partial.finish().unwrap();
            let claimed = budget.claimed();
            assert!(claimed >= REQUEST_BYTES);
            let copy = body.clone();
            drop(body);
            assert_eq!(budget.claimed(), claimed);
            if body_first {
                drop(copy);
                assert_eq!(budget.claimed(), claimed);
                drop(share);
            } else {
                drop(share);
                assert_eq!((budget.claimed(), &copy[..]), (claimed, &b"ok"[..]));
                drop(copy);
            }
            assert_eq!(budget.claimed(), 0);
        }
    });
}
