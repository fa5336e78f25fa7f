// What the state of one entry costs: bytes and work, not time.
#ifndef TARRAGONDRIFT_BENCH_SAFETY_SIZES_H_
#define TARRAGONDRIFT_BENCH_SAFETY_SIZES_H_

namespace tarragondrift::bench {

/// Prints the bytes of a job and of a kept answer, and the work of a wave of
/// cancels.
void PrintSizes();

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_SAFETY_SIZES_H_
