// The length of key intervals: keys refused after a death, against writes and
// the store outage that grants survive.
#ifndef TARRAGONDRIFT_BENCH_SAFETY_INTERVALS_H_
#define TARRAGONDRIFT_BENCH_SAFETY_INTERVALS_H_

namespace tarragondrift::bench {

/// Prints the figures of some lengths, over a month of one data centre.
void PrintIntervals();

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_SAFETY_INTERVALS_H_
