// The whole entry, step by step.
#ifndef TARRAGONDRIFT_FLEET_ENGINE_CMD_H_
#define TARRAGONDRIFT_FLEET_ENGINE_CMD_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tarragondrift/fleet/engine_base.h"

namespace tarragondrift::fleet {

/// Makes the state of an entry that starts now.
engine MakeEngine(const fleet_options& options, const entry_identity& self,
                  instant now);

/// Puts a configuration in force unless a newer one already is.
/// @return whether it is in force now.
bool ApplyConfig(engine& state, std::shared_ptr<const fleet_config> config,
                 std::string text, instant now);

/// Begins a planned stop: workers are handed over, what runs goes on.
void BeginLeaving(engine& state, instant leave_by, instant now);

/// Tells whether nothing is left to wait for in a planned stop.
bool HasLeft(const engine& state);

/// Tells whether new callers should be sent here.
bool IsReady(const engine& state);

/// Takes note of the time before anything else is done at this moment; after a
/// standstill nothing that peers sent before is acted on.
void DetectProcessPause(engine& state, instant now);

/// Does everything that is due by now.
void Tick(engine& state, instant now);

/// Starts and sends what the events since the last call made possible.
void DispatchAndFlush(engine& state, instant now);

/// Takes the actions that have gathered.
std::vector<action> TakeActions(engine& state);

/// Builds a line for the log: "event=NAME key=value ...".
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

/// Adds a line to the log.
void AddLogLine(engine& state, log_line& line, bool warning = false);

}  // namespace tarragondrift::fleet

#endif  // TARRAGONDRIFT_FLEET_ENGINE_CMD_H_
