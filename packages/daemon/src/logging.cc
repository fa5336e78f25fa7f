#include "logging.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>

namespace tarragondrift {
namespace {

constexpr const char* kPattern =
    "time=%d{yyyy-MM-ddTHH:mm:ss.SSS}{UTC}Z level=%p %m%n";

log4cxx::LoggerPtr Root() { return log4cxx::Logger::getRootLogger(); }

/// Whether a value must be quoted to be read back as a single value.
bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

/// Appends a quoted value. Control characters become spaces, so that a value
/// can't start a new line of the log.
void AppendQuoted(std::string& line, std::string_view value) {
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      line += '\\';
    }
    line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  line += '"';
}

}  // namespace

void OpenLog(const std::string& target) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>(kPattern);
  log4cxx::AppenderPtr appender;
  if (target == "-") {
    appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
  } else {
    appender = std::make_shared<log4cxx::FileAppender>(layout, target, true);
  }
  Root()->removeAllAppenders();
  Root()->addAppender(appender);
  Root()->setLevel(log4cxx::Level::getInfo());
}

void OpenQueuedLog() {
  // Capacity of the queue: some seconds of lines at the usual rate.
  constexpr int kMaxQueuedLines = 1'024;
  const auto layout = std::make_shared<log4cxx::PatternLayout>(kPattern);
  const auto console = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemOut());
  const auto queue = std::make_shared<log4cxx::AsyncAppender>();
  queue->setBufferSize(kMaxQueuedLines);
  queue->setBlocking(false);
  queue->addAppender(console);
  Root()->removeAllAppenders();
  Root()->addAppender(queue);
  Root()->setLevel(log4cxx::Level::getInfo());
}

void LogLine(log_level level, const std::string& line) {
  switch (level) {
    case log_level::kInfo:
      LOG4CXX_INFO(Root(), line);
      break;
    case log_level::kWarning:
      LOG4CXX_WARN(Root(), line);
      break;
    case log_level::kError:
      LOG4CXX_ERROR(Root(), line);
      break;
  }
}

log_event::log_event(log_level level, std::string_view name) : level_(level) {
  line_ = "event=";
  line_ += name;
}

log_event::~log_event() { LogLine(level_, line_); }

log_event& log_event::With(std::string_view key, std::string_view value) {
  line_ += ' ';
  line_ += key;
  line_ += '=';
  if (NeedsQuotes(value)) {
    AppendQuoted(line_, value);
  } else {
    line_ += value;
  }
  return *this;
}

log_event& log_event::With(std::string_view key, int64_t value) {
  return With(key, std::to_string(value));
}

}  // namespace tarragondrift
