// Flags, environment variables and the command line's errors.
#include <catch2/catch.hpp>
#include <string>

#include "tool_fixture.h"

namespace tarragondrift {

TEST_CASE("flags go before the environment") {
  const tool_settings settings =
      Parse({"submit", "--entry", "a:1,http://b:2/", "--entry=c:3", "file"},
            {{"TARRAGONDRIFT_ENTRY", "d:4"},
             {"TARRAGONDRIFT_TIMEOUT_MS", "70"},
             {"TARRAGONDRIFT_JSON", "1"}});
  CHECK(settings.errors.empty());
  CHECK(settings.entries ==
        std::vector<std::string>{"http://a:1", "http://b:2", "http://c:3"});
  CHECK(settings.timeout == std::chrono::milliseconds(70));
  CHECK(settings.json);
  CHECK(settings.words == std::vector<std::string>{"submit", "file"});
}

TEST_CASE("every error of the settings is listed") {
  const tool_settings settings =
      Parse({"load", "--count", "0", "--odd", "--rate", "-1", "--plot"},
            {{"TARRAGONDRIFT_SECONDS", "1s"}});
  CHECK(settings.errors ==
        std::vector<std::string>{
            "--count: invalid value '0'", "--odd: unknown flag",
            "--rate: invalid value '-1'", "--plot: needs a value",
            "TARRAGONDRIFT_SECONDS: invalid value '1s'"});
}

TEST_CASE("a wrong command line exits with 2 and runs nothing") {
  CHECK(Run({}).code == 2);
  CHECK(Run({"dance"}).code == 2);
  CHECK(Run({"submit", "--entry", "127.0.0.1:1"}).code == 2);
  CHECK(Run({"tickets"}).err.find("--entry is needed") != std::string::npos);
  CHECK(Run({"config"}).code == 2);
}

TEST_CASE("help lists commands, flags and variables") {
  const tool_run run = Run({"--help"});
  CHECK(run.code == 0);
  CHECK(run.out.find("config promote DIGEST") != std::string::npos);
  CHECK(run.out.find("[TARRAGONDRIFT_TIMEOUT_MS]") != std::string::npos);
  CHECK(Run({"--version"}).out.starts_with("tarragondrift 0."));
}

}  // namespace tarragondrift
