// Runs the stand-in platform until it is told to stop.
#include <cstdio>
#include <sstream>
#include <vector>

#include "fake_platform.h"
#include "flags.h"

namespace tarragondrift {
namespace {

constexpr const char* kUsage =
    "fake_platform --table-port N --objects-port N --instances-port N\n"
    "  --admin-port N [--writes-per-s N] [--reads-per-s N] [--lag-ms N]\n"
    "  [--instance SERVICE,IP:PORT,DATA_CENTRE,RACK,SLOTS]...\n";

/// Reads an instance given as a flag.
fake_instance ReadInstance(const std::string& text) {
  std::istringstream fields(text);
  fake_instance instance;
  std::string slots;
  std::getline(fields, instance.service, ',');
  std::getline(fields, instance.address, ',');
  std::getline(fields, instance.data_centre, ',');
  std::getline(fields, instance.rack, ',');
  std::getline(fields, slots, ',');
  instance.slots = ReadNumber(slots);
  return instance;
}

/// What the command line asks for.
struct platform_settings {
  fake_platform_options options;
  std::vector<fake_instance> instances;
};

/// Reads a port number.
uint16_t ReadPort(const std::string& text) {
  return static_cast<uint16_t>(ReadNumber(text));
}

/// Takes one flag over into the settings.
void TakeFlag(const flag_value& flag, platform_settings& settings) {
  fake_platform_options& options = settings.options;
  if (flag.name == "table-port") {
    options.table_port = ReadPort(flag.value);
  } else if (flag.name == "objects-port") {
    options.objects_port = ReadPort(flag.value);
  } else if (flag.name == "instances-port") {
    options.instances_port = ReadPort(flag.value);
  } else if (flag.name == "admin-port") {
    options.admin_port = ReadPort(flag.value);
  } else if (flag.name == "writes-per-s") {
    options.writes_per_s = ReadNumber(flag.value);
  } else if (flag.name == "reads-per-s") {
    options.reads_per_s = ReadNumber(flag.value);
  } else if (flag.name == "lag-ms") {
    options.instances_lag = std::chrono::milliseconds(ReadNumber(flag.value));
  } else {
    settings.instances.push_back(ReadInstance(flag.value));
  }
}

/// Runs the program.
/// @return its exit code.
int RunProgram(int count, char** arguments) {
  const auto flags =
      ReadFlags(count, arguments,
                {"table-port", "objects-port", "instances-port", "admin-port",
                 "writes-per-s", "reads-per-s", "lag-ms", "instance"});
  if (!flags) {
    std::fputs(kUsage, stderr);
    return 2;
  }
  platform_settings settings;
  for (const flag_value& flag : *flags) {
    TakeFlag(flag, settings);
  }
  BlockStopSignals();
  fake_platform platform(settings.options);
  for (const fake_instance& instance : settings.instances) {
    platform.Instances().Register(instance);
  }
  if (!platform.Start()) {
    std::fputs("event=start_failed cause=port_in_use\n", stderr);
    return 1;
  }
  std::printf("event=started table=%s objects=%s instances=%s admin=%s\n",
              platform.Url(fake_service::kTable).c_str(),
              platform.Url(fake_service::kObjects).c_str(),
              platform.Url(fake_service::kInstances).c_str(),
              platform.AdminUrl().c_str());
  std::fflush(stdout);
  WaitForStopSignal();
  platform.Stop();
  return 0;
}

}  // namespace
}  // namespace tarragondrift

int main(int argc, char** argv) {
  return tarragondrift::RunGuarded(argc, argv, tarragondrift::RunProgram);
}
