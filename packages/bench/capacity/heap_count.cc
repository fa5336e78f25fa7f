#include "heap_count.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace tarragondrift::bench {
namespace {

std::atomic<size_t> live_bytes{0};

}  // namespace

size_t LiveHeapBytes() { return live_bytes.load(); }

}  // namespace tarragondrift::bench

void* operator new(size_t size) {
  void* const block = std::malloc(size);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  tarragondrift::bench::live_bytes += malloc_usable_size(block);
  return block;
}

void operator delete(void* block) noexcept {
  tarragondrift::bench::live_bytes -= malloc_usable_size(block);
  std::free(block);
}

void operator delete(void* block, size_t /*size*/) noexcept {
  operator delete(block);
}
