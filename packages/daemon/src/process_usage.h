// Processor time and memory used by this process.
#ifndef TARRAGONDRIFT_DAEMON_PROCESS_USAGE_H_
#define TARRAGONDRIFT_DAEMON_PROCESS_USAGE_H_

#include <chrono>
#include <cstdint>

namespace tarragondrift {

/// Returns the processor time that the process has used.
std::chrono::microseconds ProcessorTime();

/// Returns the resident memory of the process in bytes.
uint64_t ResidentBytes();

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_PROCESS_USAGE_H_
