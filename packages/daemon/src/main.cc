// tarragondriftd, the entry daemon.
#include <curl/curl.h>
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
/// Time for a forced stop to answer all that is held.
constexpr std::chrono::milliseconds kForceLimit{2'000};

/// What wakes the main thread.
struct wake {
  /// A signal came; otherwise the entry has drained.
  bool signal = false;
  std::optional<incarnation> successor;
};

/// Blocks the signals that ask for a stop in all threads started later.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/// Waits for a signal on a thread of its own, for as long as the process lives.
void WatchSignals(const sigset_t& signals, mailbox<wake>& wakes) {
  std::thread([signals, &wakes] {
    int number = 0;
    while (sigwait(&signals, &number) == 0) {
      wakes.Push({.signal = true});
    }
  }).detach();
}

/// Stops gracefully: until nothing is left, a second signal, or the limit.
void Stop(process& entry, mailbox<wake>& wakes,
          std::chrono::milliseconds limit) {
  log_event(log_level::kInfo, "draining").With("limit_ms", limit.count());
  entry.BeginDrain([&wakes](std::optional<incarnation> successor) {
    wakes.Push({.successor = successor});
  });
  const auto deadline = std::chrono::steady_clock::now() + limit;
  std::vector<wake> woken = wakes.TakeUntil(deadline);
  if (woken.empty() || woken.front().signal) {
    log_event(log_level::kWarning, "drain_forced")
        .With("cause", woken.empty() ? "timeout" : "signal");
    entry.ForceDrain();
    woken = wakes.TakeUntil(std::chrono::steady_clock::now() + kForceLimit);
  }
  entry.Finish(woken.empty() ? std::nullopt : woken.front().successor);
}

int Serve(const settings& options) {
  const sigset_t signals = BlockStopSignals();
  // It outlives the watching thread, which ends with the process.
  static mailbox<wake> wakes;
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
      return ServeFleet(parsed.value.metrics_port);
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
