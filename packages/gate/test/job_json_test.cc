#include "tarragondrift/gate/job_json.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

#include "tarragondrift/gate/limits.h"

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr const char* kJob =
    R"({"contract":"quote","team":"sales","deadline_ms":2000,
        "tasks":[{"name":"a","upstream":"plata","declared_ms":1.5,
                  "payload":"x"},
                 {"name":"b","upstream":"plata"}]})";

/// Returns the code with which a job is rejected, kOk if it is accepted.
result_code CodeOf(const std::string& body) {
  const checked<job_content> parsed = ParseJob(body);
  return parsed ? result_code::kOk : parsed.error().code;
}

std::string WithTask(const std::string& task) {
  return R"({"contract":"c","team":"t","tasks":[)" + task + "]}";
}

TEST_CASE("all fields of a job are parsed") {
  const checked<job_content> parsed = ParseJob(kJob);
  REQUIRE(parsed);
  const job_content& job = parsed.value();
  CHECK(job.contract == "quote");
  CHECK(job.deadline == 2000ms);
  REQUIRE(job.tasks.size() == 2);
  CHECK(job.tasks[0].declared == 1500us);
  CHECK(job.tasks[0].payload == "x");
  CHECK(job.digest != content_digest{});
}

TEST_CASE("invalid input is rejected with its result code") {
  CHECK(CodeOf("") == result_code::kMalformedRequest);
  CHECK(CodeOf("{") == result_code::kMalformedRequest);
  CHECK(CodeOf("[]") == result_code::kMalformedRequest);
  CHECK(CodeOf(std::string(100'000, '[')) == result_code::kMalformedRequest);
  CHECK(CodeOf(std::string(kMostBodyBytes + 1, ' ')) ==
        result_code::kRequestTooLarge);
  CHECK(CodeOf(R"({"contract":"c","team":"t","tasks":[]})") ==
        result_code::kMalformedRequest);
  CHECK(CodeOf(WithTask(R"({"name":"a"})")) == result_code::kMalformedRequest);
  CHECK(CodeOf(WithTask(R"({"name":"a","upstream":"u","declared_ms":-1})")) ==
        result_code::kInvalidDuration);
  CHECK(
      CodeOf(WithTask(R"({"name":"a","upstream":"u","declared_ms":1e300})")) ==
      result_code::kInvalidDuration);
  CHECK(CodeOf(WithTask(R"({"name":"a","upstream":"u"},
                           {"name":"a","upstream":"u"})")) ==
        result_code::kDuplicateTaskName);
  CHECK(CodeOf(R"({"id":"nonsense","contract":"c","team":"t","tasks":
                   [{"name":"a","upstream":"u"}]})") ==
        result_code::kInvalidSubmissionId);
  CHECK(CodeOf(WithTask(R"({"name":"a","upstream":"u","paylod":"x"})")) ==
        result_code::kMalformedRequest);
  CHECK(CodeOf(WithTask(R"({"name":")" + std::string(kMostNameBytes + 1, 'n') +
                        R"(","upstream":"u"})")) ==
        result_code::kRequestTooLarge);
}

TEST_CASE("the digest covers the content and neither id nor key") {
  const auto digest = [](const std::string& body) {
    const checked<job_content> parsed = ParseJob(body);
    REQUIRE(parsed);
    return parsed.value().digest;
  };
  const std::string plain = WithTask(R"({"name":"a","upstream":"u"})");
  const std::string keyed =
      R"({"idempotency_key":"k","contract":"c","team":"t","tasks":
          [{"name":"a","upstream":"u"}]})";
  CHECK(digest(plain) == digest(keyed));
  CHECK(digest(plain) != digest(WithTask(R"({"name":"b","upstream":"u"})")));
  CHECK(digest(plain) !=
        digest(WithTask(R"({"name":"a","upstream":"u","payload":"p"})")));
}

TEST_CASE("unknown names are rejected with their result code") {
  config_document config;
  config.contracts.push_back({.name = "quote"});
  config.teams.push_back({.name = "sales"});
  config.upstreams.push_back({.name = "plata"});
  const auto code = [&config](const std::string& body) {
    checked<job_content> parsed = ParseJob(body);
    REQUIRE(parsed);
    const checked<job_request> resolved =
        ResolveJob(std::move(parsed).value(), config);
    return resolved ? result_code::kOk : resolved.error().code;
  };
  CHECK(code(kJob) == result_code::kOk);
  config.max_tasks_per_job = 1;
  CHECK(code(kJob) == result_code::kTooManyTasks);
  config.upstreams[0].name = "other";
  config.max_tasks_per_job = 10;
  CHECK(code(kJob) == result_code::kUnknownUpstream);
  config.teams[0].name = "other";
  CHECK(code(kJob) == result_code::kUnknownTeam);
  config.contracts[0].name = "other";
  CHECK(code(kJob) == result_code::kUnknownContract);
}

TEST_CASE("random corruption neither crashes the parser nor adds tasks") {
  // Fixed seed: the same corruption on every run.
  setenv("RC_PARAMS", "seed=7 max_success=2000", 1);
  const std::string job = kJob;
  const checked<job_content> whole = ParseJob(job);
  const auto whole_names = whole.value().tasks.size();
  const bool held = rc::check([&] {
    std::string damaged = job;
    const auto count = *rc::gen::inRange(1, 6);
    for (int change = 0; change < count; ++change) {
      const auto at = *rc::gen::inRange<size_t>(0, damaged.size());
      damaged[at] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    const checked<job_content> parsed = ParseJob(damaged);
    // The extra parentheses are needed: the macro prepends '!' to its argument.
    RC_ASSERT((!parsed || parsed.value().tasks.size() <= whole_names));
    RC_ASSERT((parsed || parsed.error().code != result_code::kOk));
  });
  CHECK(held);
}

}  // namespace
}  // namespace tarragondrift
