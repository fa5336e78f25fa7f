// The log: one line of key=value pairs for each event.
#ifndef TARRAGONDRIFT_DAEMON_LOGGING_H_
#define TARRAGONDRIFT_DAEMON_LOGGING_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace tarragondrift {

/// How much an event matters.
enum class log_level : uint8_t { kInfo, kWarning, kError };

/// Opens the log.
/// @param target a file's name, or "-" for standard error.
void OpenLog(const std::string& target);

/// Opens the log on standard output, written by a thread of its own; lines
/// beyond a bounded queue are dropped, so that no thread waits for a reader.
void OpenQueuedLog();

/// Writes a line that is already made of key=value pairs.
void LogLine(log_level level, const std::string& line);

/// One event; it is written when the object goes out of scope.
class log_event {
 public:
  log_event(log_level level, std::string_view name);
  log_event(const log_event&) = delete;
  log_event& operator=(const log_event&) = delete;
  ~log_event();

  /// Adds a pair; a value with spaces or quotes is quoted.
  log_event& With(std::string_view key, std::string_view value);
  log_event& With(std::string_view key, int64_t value);

 private:
  log_level level_;
  std::string line_;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_DAEMON_LOGGING_H_
