// tarragondriftd, the entry daemon.
#include <curl/curl.h>
#include <malloc.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "fleet_process.h"
#include "logging.h"
#include "mailbox.h"
#include "process.h"
#include "settings.h"

namespace tarragondrift {
namespace {

constexpr const char* kVersion = "0.1.0";
constexpr int kExitUsage = 2;
constexpr int kExitFailure = 1;
/// Time for a forced stop to answer all held requests.
constexpr std::chrono::milliseconds kForcedStopTimeout{2'000};

/// An event that wakes the main thread.
struct wake_event {
  /// True for a stop signal, false when the entry has drained.
  bool signal = false;
  std::optional<incarnation> successor;
};

/// Blocks the stop signals in this thread and in all threads started later.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/// Starts a detached thread that forwards stop signals to `wakes` until the
/// process exits.
void WatchSignals(const sigset_t& signals, mailbox<wake_event>& wakes) {
  std::thread([signals, &wakes] {
    int number = 0;
    while (sigwait(&signals, &number) == 0) {
      wakes.Push({.signal = true});
    }
  }).detach();
}

/// Drains the entry. Forces the stop on a second signal or after `limit`.
void Stop(process& entry, mailbox<wake_event>& wakes,
          std::chrono::milliseconds limit) {
  log_event(log_level::kInfo, "draining").With("limit_ms", limit.count());
  entry.BeginDrain([&wakes](std::optional<incarnation> successor) {
    wakes.Push({.successor = successor});
  });
  const auto deadline = std::chrono::steady_clock::now() + limit;
  std::vector<wake_event> received_wakes = wakes.TakeUntil(deadline);
  if (received_wakes.empty() || received_wakes.front().signal) {
    log_event(log_level::kWarning, "drain_forced")
        .With("cause", received_wakes.empty() ? "timeout" : "signal");
    entry.ForceDrain();
    received_wakes =
        wakes.TakeUntil(std::chrono::steady_clock::now() + kForcedStopTimeout);
  }
  entry.Finish(received_wakes.empty() ? std::nullopt
                                      : received_wakes.front().successor);
}

/// Has large bodies in mappings of their own, which are returned to the system
/// when they are freed. The library would raise the size from which it does so
/// with each of them, and keep those below it in the heap of each thread.
void FixMappingThreshold() {
  constexpr int kThresholdBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kThresholdBytes);
}

int Serve(const settings& options) {
  FixMappingThreshold();
  const sigset_t signals = BlockStopSignals();
  // Static, since the detached signal thread uses it until the process exits.
  static mailbox<wake_event> wakes;
  WatchSignals(signals, wakes);
  process entry(options);
  if (!entry.Start()) {
    return kExitFailure;
  }
  log_event(log_level::kInfo, "started")
      .With("callers", options.callers)
      .With("operators", options.operators)
      .With("peers", options.peers);
  wakes.Take();
  Stop(entry, wakes, options.drain_timeout);
  return 0;
}

int Run(const std::vector<std::string>& arguments) {
  const parsed_settings parsed =
      ParseSettings(arguments, [](const char* name) { return getenv(name); });
  for (const std::string& error : parsed.errors) {
    std::cerr << "tarragondriftd: " << error << '\n';
  }
  if (!parsed.errors.empty()) {
    return kExitUsage;
  }
  switch (parsed.value.mode) {
    case run_mode::kHelp:
      std::cout << SettingsHelp();
      return 0;
    case run_mode::kVersion:
      std::cout << "tarragondriftd " << kVersion << '\n';
      return 0;
    case run_mode::kCheck:
      std::cout << "settings are in order\n";
      return 0;
    case run_mode::kServeFleet:
      OpenQueuedLog();
      return ServeFleet({.metrics_port = parsed.value.metrics_port,
                         .peer_proxy = parsed.value.peer_proxy,
                         .share_capacity = parsed.value.share_capacity,
                         .without = parsed.value.without});
    case run_mode::kServe:
      break;
  }
  OpenLog(parsed.value.log);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const int code = Serve(parsed.value);
  log_event(log_level::kInfo, "stopped").With("exit_code", code);
  return code;
}

}  // namespace
}  // namespace tarragondrift

int main(int count, char** arguments) {
  return tarragondrift::Run({arguments, arguments + count});
}
