// Lifecycle and event loop of an entry.
#ifndef TARRAGONDRIFT_FLEET_ENGINE_CMD_H_
#define TARRAGONDRIFT_FLEET_ENGINE_CMD_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Creates the state of an entry that starts at `now`.
engine MakeEngine(const fleet_options& options, const entry_identity& self,
                  instant now);

/// Applies a configuration unless the current one is as new or newer.
/// @return whether it was applied.
bool ApplyConfig(engine& state, std::shared_ptr<const fleet_config> config,
                 std::string text);

/// Begins a planned stop: workers are handed over, runs go on.
void BeginLeaving(engine& state, instant leave_by, instant now);

/// Whether a planned stop is complete: no jobs, parts or controlled workers are
/// left.
bool HasLeft(const engine& state);

/// Whether this entry can serve new callers.
bool IsReady(const engine& state, instant now);

/// Detects a pause of the process; must be called before each event is handled.
/// After a pause all peers are marked silent, which begins new message
/// streams, so that offers sent before the pause are ignored.
void DetectProcessPause(engine& state, instant now);

/// Handles everything that is due at `now`.
void Tick(engine& state, instant now);

/// Places queued tasks after events that allow it, and sends queued messages to
/// peers.
void DispatchAndFlush(engine& state, instant now);

/// Returns and clears the requested actions.
std::vector<action> TakeActions(engine& state);

/// Builds a log line: "event=NAME key=value ...".
class log_line {
 public:
  explicit log_line(const char* event) : line_("event=") { line_ += event; }

  log_line& With(const char* key, const std::string& value) {
    line_ += ' ';
    line_ += key;
    line_ += '=';
    line_ += value;
    return *this;
  }
  log_line& With(const char* key, int64_t value) {
    return With(key, std::to_string(value));
  }

  std::string Take() { return std::move(line_); }

 private:
  std::string line_;
};

/// Returns names separated by commas, for a log line.
std::string JoinNames(const std::vector<std::string>& names);

void AddLogLine(engine& state, log_line& line, bool warning = false);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_ENGINE_CMD_H_
