// Runs instances of the stand-in upstream until told to stop.
#include <cstdio>

#include "fake_upstream.h"
#include "flags.h"

namespace tarragondrift {
namespace {

constexpr const char* kUsage =
    "fake_upstream --first-port N --admin-port N [--instances N] [--slots N]\n"
    "  [--shortest-ms N] [--longest-ms N] [--seed N]\n";

/// Takes one flag over into the options.
void TakeFlag(const flag_value& flag, fake_upstream_options& options) {
  const uint32_t number = ReadNumber(flag.value);
  if (flag.name == "first-port") {
    options.first_port = static_cast<uint16_t>(number);
  } else if (flag.name == "admin-port") {
    options.admin_port = static_cast<uint16_t>(number);
  } else if (flag.name == "instances") {
    options.instances = number;
  } else if (flag.name == "slots") {
    options.slots = number;
  } else if (flag.name == "shortest-ms") {
    options.shortest = std::chrono::milliseconds(number);
  } else if (flag.name == "longest-ms") {
    options.longest = std::chrono::milliseconds(number);
  } else {
    options.seed = number;
  }
}

/// Runs the program.
/// @return its exit code.
int RunProgram(int count, char** arguments) {
  const auto flags = ReadFlags(count, arguments,
                               {"first-port", "admin-port", "instances",
                                "slots", "shortest-ms", "longest-ms", "seed"});
  if (!flags) {
    std::fputs(kUsage, stderr);
    return 2;
  }
  fake_upstream_options options;
  for (const flag_value& flag : *flags) {
    TakeFlag(flag, options);
  }
  BlockStopSignals();
  fake_upstream upstream(options);
  if (!upstream.Start()) {
    std::fputs("event=start_failed cause=port_in_use\n", stderr);
    return 1;
  }
  std::printf("event=started instances=%zu admin=%s\n",
              upstream.Addresses().size(), upstream.AdminUrl().c_str());
  std::fflush(stdout);
  WaitForStopSignal();
  upstream.Stop();
  return 0;
}

}  // namespace
}  // namespace tarragondrift

int main(int argc, char** argv) {
  return tarragondrift::RunGuarded(argc, argv, tarragondrift::RunProgram);
}
