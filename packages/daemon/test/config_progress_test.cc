// What an entry shows of configurations on their way and of waiting work.
#include "config_progress.h"

#include <catch2/catch.hpp>
#include <string>

#include "engine_queue.h"

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

bool HasLine(const std::string& page, const std::string& line) {
  return ('\n' + page).find('\n' + line + '\n') != std::string::npos;
}

TEST_CASE("the page shows the version heard, applied and used by source") {
  config_progress progress;
  const instant start{100s};
  progress.Heard(config_source::kStore, 7, start);
  progress.Heard(config_source::kPeer, 9, start + 1s);
  // An older one from the same source does not count.
  progress.Heard(config_source::kPeer, 8, start + 2s);
  progress.Applied(config_source::kPeer, 9, start + 1s, start + 4s);
  progress.Used(7, start + 2s);
  progress.Used(9, start + 5s);
  progress.Used(7, start + 6s);
  const std::string page = progress.Render(start + 10s);
  CHECK(
      HasLine(page, "tarragondrift_config_heard_version{source=\"store\"} 7"));
  CHECK(HasLine(page,
                "tarragondrift_config_heard_age_seconds{source=\"store\"} 10"));
  CHECK(HasLine(page, "tarragondrift_config_heard_version{source=\"peer\"} 9"));
  CHECK(HasLine(page,
                "tarragondrift_config_heard_age_seconds{source=\"peer\"} 9"));
  CHECK(HasLine(page,
                "tarragondrift_config_applied_version{source=\"store\"} 0"));
  CHECK(HasLine(page,
                "tarragondrift_config_applied_age_seconds{source=\"peer\"} 6"));
  CHECK(HasLine(page, "tarragondrift_config_used_version 9"));
  CHECK(HasLine(page, "tarragondrift_config_used_age_seconds 5"));
  CHECK(HasLine(page, "tarragondrift_config_wait_seconds 3"));
  CHECK(HasLine(page, "tarragondrift_config_longest_wait_seconds 3"));
}

TEST_CASE("the age of waiting work counts until its batch has ended") {
  engine_queue queue;
  const instant start{100s};
  CHECK(queue.Age(start) == 0s);
  queue.Post([](instant) {}, start);
  queue.Post([](instant) {}, start + 1s);
  CHECK(queue.Age(start + 2s) == 2s);
  CHECK(queue.TakeUntil(start).size() == 2);
  queue.Post([](instant) {}, start + 2s);
  CHECK(queue.Age(start + 3s) == 3s);
  queue.EndBatch(start + 4s);
  CHECK(queue.Age(start + 5s) == 3s);
  const std::string page = queue.Render(start + 5s);
  CHECK(HasLine(page, "tarragondrift_engine_wait_seconds 3"));
  CHECK(HasLine(page, "tarragondrift_engine_longest_wait_seconds 4"));
  CHECK(HasLine(page, "tarragondrift_engine_steps_total 2"));
}

}  // namespace
}  // namespace tarragondrift
