#include "flags.h"

#include <getopt.h>

#include <charconv>
#include <csignal>
#include <cstdio>
#include <exception>
#include <stdexcept>

namespace tarragondrift {
namespace {

/// The signals that end a stand-in.
sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

}  // namespace

std::optional<std::vector<flag_value>> ReadFlags(
    int count, char** arguments, const std::vector<std::string>& names) {
  std::vector<option> options;
  options.reserve(names.size() + 1);
  for (const std::string& name : names) {
    options.push_back({name.c_str(), required_argument, nullptr, 1});
  }
  options.push_back({nullptr, 0, nullptr, 0});
  std::vector<flag_value> flags;
  int index = 0;
  int found = 0;
  while ((found = getopt_long(count, arguments, "", options.data(), &index)) !=
         -1) {
    if (found != 1) {
      return std::nullopt;
    }
    flags.push_back(
        {.name = names[static_cast<size_t>(index)], .value = optarg});
  }
  if (optind != count) {
    return std::nullopt;
  }
  return flags;
}

uint32_t ReadNumber(const std::string& text) {
  uint32_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    throw std::invalid_argument("not a number: " + text);
  }
  return number;
}

int RunGuarded(int count, char** arguments, int (*run)(int, char**)) {
  try {
    return run(count, arguments);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "event=failed cause=\"%s\"\n", error.what());
    return 2;
  }
}

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
}

}  // namespace tarragondrift
