// What this process uses of its machine.
#ifndef TARRAGONDRIFT_DAEMON_PROCESS_USAGE_H_
#define TARRAGONDRIFT_DAEMON_PROCESS_USAGE_H_

#include <chrono>
#include <cstdint>

namespace tarragondrift {

/// Gives the processor time that the process has used.
std::chrono::microseconds ProcessorTime();

/// Gives the bytes of memory that the process holds.
uint64_t ResidentBytes();

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_PROCESS_USAGE_H_
