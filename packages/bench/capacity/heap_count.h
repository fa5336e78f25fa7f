// Counts the bytes that are allocated, so that a slope of memory is the same
// on every run.
#ifndef TARRAGONDRIFT_BENCH_CAPACITY_HEAP_COUNT_H_
#define TARRAGONDRIFT_BENCH_CAPACITY_HEAP_COUNT_H_

#include <cstddef>

namespace tarragondrift::bench {

/// Gives the bytes that operator new has given out and that are still held.
size_t LiveHeapBytes();

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_CAPACITY_HEAP_COUNT_H_
