#include "process_usage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace tarragondrift {

std::chrono::microseconds ProcessorTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  using std::chrono::microseconds;
  using std::chrono::seconds;
  return seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         microseconds(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

uint64_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  uint64_t total_pages = 0;
  uint64_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace tarragondrift
