// libFuzzer target for the parsers of callers' JSON; run by scripts/fuzz.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "tarragondrift/gate/job_json.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data),  // NOLINT
                              size);
  const auto job = tarragondrift::ParseJob(text);
  if (job && job.value().tasks.empty()) {
    std::abort();
  }
  const auto single = tarragondrift::ParseSingleRequest(text);
  if (single && single.value().tasks.size() != 1) {
    std::abort();
  }
  static_cast<void>(tarragondrift::ParseTicketCount(text));
  return 0;
}
