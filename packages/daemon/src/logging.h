// The log: one line of key=value pairs for each event.
#ifndef TARRAGONDRIFT_DAEMON_LOGGING_H_
#define TARRAGONDRIFT_DAEMON_LOGGING_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace tarragondrift {

enum class log_level : uint8_t { kInfo, kWarning, kError };

/// Opens the log.
/// @param target path of a file, or "-" for standard error.
void OpenLog(const std::string& target);

/// Opens the log on standard output. A separate thread writes the lines from a
/// bounded queue; lines are dropped while it is full, so that a slow reader of
/// standard output never blocks the logging thread.
void OpenQueuedLog();

/// Writes a line that is already formatted as key=value pairs.
void LogLine(log_level level, const std::string& line);

/// Builds the line of one event; the destructor writes it.
class log_event {
 public:
  log_event(log_level level, std::string_view name);
  log_event(const log_event&) = delete;
  log_event& operator=(const log_event&) = delete;
  ~log_event();

  /// Appends a key=value pair; a value with spaces or quotes is quoted.
  log_event& With(std::string_view key, std::string_view value);
  log_event& With(std::string_view key, int64_t value);

 private:
  log_level level_;
  std::string line_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_LOGGING_H_
