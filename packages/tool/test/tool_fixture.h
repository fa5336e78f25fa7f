// What the tool's tests share: entries that answer as a test has it, and runs
// of the tool against them.
#ifndef TARRAGONDRIFT_TOOL_TEST_TOOL_FIXTURE_H_
#define TARRAGONDRIFT_TOOL_TEST_TOOL_FIXTURE_H_

#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "commands.h"
#include "fake_http_server.h"
#include "settings.h"

namespace tarragondrift {

/// An entry whose answers are given by a function.
struct scripted_entry {
  fake_handler handler;
  std::mutex mutex;
  std::vector<fake_request> requests;
  fake_http_server server{[this](const fake_request& request) {
    const std::lock_guard lock(mutex);
    requests.push_back(request);
    return handler(request);
  }};

  explicit scripted_entry(fake_handler answer) : handler(std::move(answer)) {
    REQUIRE(server.Start(0));
  }
};

/// What a run of the tool came to.
struct tool_run {
  int code = 0;
  std::string out;
  std::string err;
};

using variables = std::map<std::string, std::string>;

/// Reads a command line as the program does.
inline tool_settings Parse(std::vector<std::string> words,
                           const variables& environment = {}) {
  words.insert(words.begin(), "tarragondrift");
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  return ReadSettings(static_cast<int>(words.size()), arguments.data(),
                      [&](const std::string& name) {
                        const auto found = environment.find(name);
                        return found == environment.end()
                                   ? std::nullopt
                                   : std::optional(found->second);
                      });
}

/// Runs the tool with a command line.
inline tool_run Run(const std::vector<std::string>& words) {
  const tool_settings settings = Parse(words);
  std::ostringstream out;
  std::ostringstream err;
  const console console{.out = out, .err = err, .json = settings.json};
  const exit_code code = RunTool(settings, console);
  return {.code = static_cast<int>(code), .out = out.str(), .err = err.str()};
}

/// Writes a file that the tool reads.
inline std::string WriteFile(const std::string& name,
                             const std::string& content) {
  std::string path = "build/tool_test_" + name;
  std::ofstream(path) << content;
  return path;
}

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_TOOL_TEST_TOOL_FIXTURE_H_
