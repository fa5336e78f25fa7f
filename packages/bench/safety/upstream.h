// The modelled upstreams, where every start is counted.
#ifndef TARRAGONDRIFT_BENCH_SAFETY_UPSTREAM_H_
#define TARRAGONDRIFT_BENCH_SAFETY_UPSTREAM_H_

#include "world.h"

namespace tarragondrift::bench {

/// Carries one attempt to its upstream and its end back, exactly once.
void StartAttempt(world& all, entry_host& host, const start_task& asked);

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_SAFETY_UPSTREAM_H_
