// The tool's settings: flags, with an environment variable for each.
#ifndef TARRAGONDRIFT_TOOL_SETTINGS_H_
#define TARRAGONDRIFT_TOOL_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tarragondrift {

/// What the load command sends.
struct load_settings {
  double starts_per_s = 2'000;
  std::chrono::seconds duration{10};
  uint32_t tasks_per_job = 10;
  std::chrono::milliseconds work{20};
  std::string contract = "quote";
  std::string team = "sales";
  std::string upstream = "plata";
  uint32_t connections = 256;
  uint64_t seed = 1;
};

/// All settings of one run.
struct tool_settings {
  /// Callers' addresses of entries, tried in this order.
  std::vector<std::string> entries;
  /// Operators' addresses of entries.
  std::vector<std::string> operators;
  std::string token;
  bool json = false;
  bool help = false;
  bool version = false;
  /// How long to wait for a job's answer.
  std::chrono::milliseconds timeout{600'000};
  /// The submission id to use; empty fetches one.
  std::string id;
  uint32_t count = 1;
  /// Who changes the configuration.
  std::string by;
  std::string environment = "production";
  /// Slots that the ideal time of a job assumes; 0 leaves the ideal out.
  uint32_t slots = 0;
  /// Where report burn writes its plot; empty writes none.
  std::string plot;
  load_settings load;
  /// The command and its arguments.
  std::vector<std::string> words;
  /// Everything that is wrong, one a line.
  std::vector<std::string> errors;
};

/// Looks an environment variable up.
using environment_lookup =
    std::function<std::optional<std::string>(const std::string&)>;

/// Reads flags and environment; flags go first. All errors are listed.
tool_settings ReadSettings(int count, char** arguments,
                           const environment_lookup& environment);

/// Lists every flag with its variable, for --help.
std::string DescribeFlags();

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_TOOL_SETTINGS_H_
