// Command line helpers of the stand-ins' programs.
#ifndef TARRAGONDRIFT_FAKES_FLAGS_H_
#define TARRAGONDRIFT_FAKES_FLAGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tarragondrift {

/// One "--name value" pair.
struct flag_value {
  std::string name;
  std::string value;
};

/// Reads the flags; each of the names takes a value.
/// @return nothing for an unknown flag or a stray argument.
std::optional<std::vector<flag_value>> ReadFlags(
    int count, char** arguments, const std::vector<std::string>& names);

/// Reads a whole number; throws std::invalid_argument for other text.
uint32_t ReadNumber(const std::string& text);

/// Runs a program; what it throws is printed as one event.
/// @return its exit code, or 2 when it threw.
int RunGuarded(int count, char** arguments, int (*run)(int, char**));

/// Blocks SIGINT and SIGTERM in this thread and those it starts.
void BlockStopSignals();

/// Waits for SIGINT or SIGTERM.
void WaitForStopSignal();

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_FAKES_FLAGS_H_
