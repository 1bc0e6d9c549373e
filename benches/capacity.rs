//! Cost of an entry process, from runs of real processes: processor time, memory and control traffic by number of
//! workers, and throughput and added latency of the request path.
//!
//! The figures are wall-clock figures of one machine; docs/CAPACITY.md derives the slopes. Run it on an idle machine:
//! the traffic is counted on the loopback interface.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use plantainlever::catalogue::{Class, Document, Entry, EntryLimits};
use plantainlever::task::TaskState;
use plantainlever::worker::Resources;
use plantainlever_test_support::site::{Site, SiteBuilder};
use plantainlever_test_support::wait;

/// Numbers of workers of the only domain. The last is the size of a domain of the planned fleet.
const WORKER_COUNTS: [usize; 3] = [10, 40, 81];

/// Running tasks on the 81 workers of a domain of the planned fleet; smaller sizes run the same share.
const TASKS_PER_81_WORKERS: usize = 600;

/// Wait after the last start until the scheduler no longer polls at short intervals.
const WARM_UP: Duration = Duration::from_secs(8);

/// Duration of one measurement of the control cost.
const MEASUREMENT_INTERVAL: Duration = Duration::from_secs(15);

/// Numbers of concurrent callers on the request path, up to the 8 slots of the target that is called directly.
const CALLER_COUNTS: [usize; 3] = [1, 4, 8];

/// Duration of one load on the request path.
const LOAD_DURATION: Duration = Duration::from_secs(4);

/// Requests per second that two cores must sustain.
const TWO_CORE_TARGET_RPS: f64 = 5_000.0;

/// Clock ticks per second in `/proc/PID/stat`; fixed by the kernel's interface to user space.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    measure_control_cost();
    measure_request_path();
}

fn document(class: Class, per_task: Resources) -> Document {
    Document::Entry(Entry {
        owner: "bench".to_owned(),
        class,
        limits: EntryLimits { per_task, max_running: None, max_attempts: 5 },
        priority: 0,
        exclusive: None,
        idempotent: None,
        p99_target_ms: None,
        domains: Vec::new(),
    })
}

fn builder() -> SiteBuilder {
    SiteBuilder::new(env!("CARGO_BIN_EXE_plantainlever"))
        .document("echo", document(Class::LatencyCritical, Resources::default()))
        .document("count", document(Class::Batch, Resources::new(1_000, 1_024, 0)))
}

/// Processor time of a process since its start, in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    let (_, fields) = stat.rsplit_once(')').expect("the name is in parentheses");
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<f64>().expect("a number of ticks");
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Resident memory of a process in MiB.
fn resident_mb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a memory line");
    let kib = line.split_whitespace().nth(1).and_then(|kib| kib.parse::<f64>().ok());
    kib.expect("a number of KiB") / 1024.0
}

/// Bytes received on the loopback interface, all headers included.
fn loopback_bytes() -> u64 {
    let table = std::fs::read_to_string("/proc/net/dev").expect("the interface table");
    let line = table.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    bytes.expect("the loopback interface")
}

fn measure_control_cost() {
    println!("one domain with two entry processes, {MEASUREMENT_INTERVAL:?} without submissions");
    println!(
        "platform bytes are payload of both processes; the site's VM list is sent whole each time"
    );
    println!(
        "workers tasks scheduler_cpu_% scheduler_mb other_cpu_% other_mb platform_B/s rest_B/s"
    );
    for workers in WORKER_COUNTS {
        let site = builder()
            .entries_per_domain(2)
            .workers_per_domain(workers, Resources::new(32_000, 125_000, 2))
            .start()
            .expect("the site starts");
        let tasks = TASKS_PER_81_WORKERS * workers / 81;
        let scheduler = fill(&site, tasks);
        std::thread::sleep(WARM_UP);
        let pids: Vec<u32> = site.entries().iter().map(|entry| entry.process.pid()).collect();
        let cpu: Vec<f64> = pids.iter().map(|pid| cpu_seconds(*pid)).collect();
        let (bytes, relayed) = (loopback_bytes(), relayed(&site));
        let calls = site.workers("dc-a").expect("the only domain").counts();
        let start = Instant::now();
        std::thread::sleep(MEASUREMENT_INTERVAL);
        let seconds = start.elapsed().as_secs_f64();
        let spent = |index: usize| (cpu_seconds(pids[index]) - cpu[index]) / seconds * 100.0;
        let relayed = self::relayed(&site) - relayed;
        // The loopback interface carries the platform's bytes twice, before and behind the links.
        let rest = (loopback_bytes() - bytes).saturating_sub(relayed * 2);
        let other = 1 - scheduler;
        println!(
            "{workers:7} {tasks:5} {:15.2} {:12.1} {:11.2} {:8.1} {:12.0} {:8.0}",
            spent(scheduler),
            resident_mb(pids[scheduler]),
            spent(other),
            resident_mb(pids[other]),
            relayed as f64 / seconds,
            rest as f64 / seconds,
        );
        let after = site.workers("dc-a").expect("the only domain").counts();
        println!("        calls of workers in the interval: {calls:?} to {after:?}");
    }
}

fn relayed(site: &Site) -> u64 {
    site.entries().iter().map(|entry| entry.link_bytes()).sum()
}

/// Starts long-running tasks and returns the index of the entry process that schedules the domain.
fn fill(site: &Site, tasks: usize) -> usize {
    let client = site.entries()[0].client();
    let args = serde_json::json!({ "run_ms": 600_000 });
    for _ in 0..tasks {
        client.submit("count", &args).expect("the task is accepted");
    }
    wait::until("all tasks run", wait::BOUND, || {
        let listed = client.tasks().map_err(|error| error.to_string())?;
        let running = listed.iter().filter(|task| task.state == TaskState::Running).count();
        if running == tasks { Ok(()) } else { Err(format!("{running} run")) }
    });
    let status = client.status().expect("the process answers");
    let holder = status.domains[0].scheduler.clone().expect("the domain is scheduled");
    let is_holder =
        |entry: &plantainlever_test_support::site::SiteEntry| entry.process.process() == holder;
    site.entries().iter().position(is_holder).expect("one of the two schedules")
}

fn measure_request_path() {
    let site = builder().targets_per_domain("echo", 8).start().expect("the site starts");
    let entry = &site.entries()[0];
    let through = format!("http://{}/v1/services/echo/x", entry.process.address());
    let target = site.targets().values().next().expect("a target");
    let direct = format!("http://{}/x", target.address());
    println!("request path, closed loop for {LOAD_DURATION:?}, one entry process");
    println!("callers way     requests/s   p50_us   p99_us requests/cpu_s");
    for callers in CALLER_COUNTS {
        run_load(callers, &direct, None).print(callers, "direct");
        let result = run_load(callers, &through, Some(entry.process.pid()));
        result.print(callers, "entry");
        let two_cores = result.requests as f64 / result.cpu * 2.0;
        let verdict = if two_cores >= TWO_CORE_TARGET_RPS { "met" } else { "MISSED" };
        println!(
            "        two cores: {two_cores:.0} requests/s, target {TWO_CORE_TARGET_RPS:.0} {verdict}"
        );
    }
}

struct Load {
    requests: u64,
    seconds: f64,
    latency: Histogram<u64>,
    cpu: f64,
}

impl Load {
    fn print(&self, callers: usize, route: &str) {
        println!(
            "{callers:7} {route:7} {:10.0} {:8} {:8} {:14.0}",
            self.requests as f64 / self.seconds,
            self.latency.value_at_quantile(0.5),
            self.latency.value_at_quantile(0.99),
            if self.cpu > 0.0 { self.requests as f64 / self.cpu } else { 0.0 },
        );
    }
}

/// Runs callers that keep their connections open and send one request after the other. With `pid`, also measures the
/// processor time of that process.
fn run_load(callers: usize, url: &str, pid: Option<u32>) -> Load {
    let latency = Mutex::new(Histogram::<u64>::new(3).expect("three digits are allowed"));
    let refused = Mutex::new(Vec::new());
    let cpu = pid.map(cpu_seconds);
    let start = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..callers {
            scope.spawn(|| {
                let config = ureq::Agent::config_builder().http_status_as_error(false);
                let agent: ureq::Agent = config.build().into();
                let mut own = Histogram::<u64>::new(3).expect("three digits are allowed");
                while start.elapsed() < LOAD_DURATION {
                    let sent = Instant::now();
                    let mut answer = agent.get(url).call().expect("the request is answered");
                    let body = answer.body_mut().read_to_string().expect("the answer is whole");
                    if answer.status().as_u16() != 200 {
                        refused.lock().expect("no caller panicked").push(body);
                        continue;
                    }
                    own.saturating_record(
                        sent.elapsed().as_micros().try_into().unwrap_or(u64::MAX),
                    );
                }
                latency.lock().expect("no caller panicked").add(own).expect("same range");
            });
        }
    });
    let latency = latency.into_inner().expect("no caller panicked");
    let refused = refused.into_inner().expect("no caller panicked");
    if let Some(first) = refused.first() {
        println!("        {} requests were refused, the first with {first}", refused.len());
    }
    Load {
        requests: latency.len(),
        seconds: start.elapsed().as_secs_f64(),
        latency,
        cpu: pid.map(cpu_seconds).zip(cpu).map_or(0.0, |(after, before)| after - before),
    }
}
