#include "tarragondrift/core/result_code.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace tarragondrift {
namespace {

TEST_CASE("the page of result codes lists exactly the codes of the table") {
  std::ifstream page("docs/RESULT_CODES.md");
  REQUIRE(page.is_open());
  const std::string text{std::istreambuf_iterator<char>(page), {}};
  size_t rows = 0;
  for (size_t at = text.find("\n| "); at != std::string::npos;
       at = text.find("\n| ", at + 1)) {
    ++rows;
  }
  for (const auto& info : ResultCodeTable()) {
    std::ostringstream row;
    row << "| " << static_cast<int>(info.code) << " | " << info.name << " | "
        << info.http_status << " | " << info.cause << " | " << info.remedy
        << " |";
    INFO(row.str());
    CHECK(text.find(row.str()) != std::string::npos);
  }
  constexpr size_t kHeaderRows = 2;
  CHECK(rows == ResultCodeTable().size() + kHeaderRows);
}

TEST_CASE("a result code travels as a std::error_code") {
  const std::error_code code = result_code::kNotRunQuota;
  CHECK(code.value() == 202);
  CHECK(code.category().name() == std::string("tarragondrift"));
}

TEST_CASE("only refusals before the first start promise not run") {
  CHECK(PromisesNotRun(result_code::kNotRunDraining));
  CHECK_FALSE(PromisesNotRun(result_code::kOutcomeUnknown));
  CHECK_FALSE(PromisesNotRun(result_code::kTaskFailed));
  CHECK_FALSE(PromisesNotRun(result_code::kContentMismatch));
  CHECK_FALSE(PromisesNotRun(result_code::kNotFound));
  CHECK_FALSE(PromisesNotRun(result_code::kRefusedForNow));
}

}  // namespace
}  // namespace tarragondrift
