//! Work of the owner of a shard, counted.

use plantainlever_test_support::model::owner_load::mean_load;

/// Guards against an owner that is saturated at scale: each placement pass estimated every worker anew.
#[test]
fn interference_is_estimated_at_most_once_per_report_or_change_of_a_worker() {
    for workers in [66, 490] {
        let load = mean_load(workers, 2, 1);
        println!("{workers} workers: {load:?}");
        assert!(load.starts > workers as u64, "{load:?}");
        // A start and an end change a worker; the end comes with a report.
        assert!(load.estimates <= load.reports + load.starts, "{load:?}");
    }
}
