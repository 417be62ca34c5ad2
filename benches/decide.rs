//! Benchmarks of the decision functions; they do not affect the result of CI.

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use sorrelwick::decide::AttemptOutcome;
use sorrelwick::decide::QueueView;
use sorrelwick::decide::ServerLoad;
use sorrelwick::decide::ServerScope;
use sorrelwick::decide::SlotPool;
use sorrelwick::decide::decide_admission;

fn decide(c: &mut Criterion) {
    let mut group = c.benchmark_group("take and give back");
    for servers in [6, 30, 100, 1_000] {
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            let mut pool = SlotPool::new(vec![ServerLoad::warm(4); servers], 1);
            let mut now_us = 1_000_000;
            b.iter(|| {
                now_us += 1;
                let index = pool.acquire_slot(ServerScope::Own, &[], now_us).unwrap_or(0);
                pool.release_slot(index, AttemptOutcome::Answered { latency_us: 900 }, now_us);
            });
        });
    }
    group.finish();
    c.bench_function("admit", |b| {
        let view = QueueView {
            waiting: 10,
            queue_age_us: 5_000,
            waiting_max: 1_000,
            slots: 120,
            median_service_us: 900.0,
            remaining_us: 1_000_000,
        };
        b.iter(|| decide_admission(std::hint::black_box(&view)));
    });
}

criterion_group!(benches, decide);
criterion_main!(benches);
