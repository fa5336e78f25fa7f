#include "store_rows.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace tarragondrift {
namespace {

using nlohmann::json;

constexpr int kHexBase = 16;

table_write KeyRow(const claim_key& claim) {
  const json value{{"id", FormatSubmissionId(claim.id)},
                   {"high", claim.digest.high},
                   {"low", claim.digest.low}};
  return {
      .key = "key/" + claim.key, .value = value.dump(), .expected_version = 0};
}

}  // namespace

std::string FormatIncarnation(incarnation who) {
  std::array<char, sizeof(who.value) * 2> digits{};
  const auto written = std::to_chars(
      digits.data(), digits.data() + digits.size(), who.value, kHexBase);
  return {digits.data(), written.ptr};
}

std::optional<incarnation> ParseIncarnation(const std::string& text) {
  incarnation who;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, who.value, kHexBase);
  if (read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  return who;
}

table_write IntentRow(const submission_id& id, const char* value) {
  return {.key = "intent/" + FormatSubmissionId(id),
          .value = value,
          .expected_version = 0};
}

table_write RecordRow(const start_record& record) {
  if (const auto* const claim = std::get_if<claim_key>(&record)) {
    return KeyRow(*claim);
  }
  return IntentRow(std::get<record_intent>(record).id, kIntentStarted);
}

table_write IntervalRow(const key_interval& interval, incarnation owner) {
  return {.key = "interval/" + std::to_string(interval.home_data_centre) + "/" +
                 std::to_string(interval.shard) + "/" +
                 std::to_string(interval.number),
          .value = FormatIncarnation(owner),
          .expected_version = 0};
}

std::optional<key_claim> ParseKeyHolder(const std::string& value) {
  const json row = json::parse(value, nullptr, false);
  if (!row.is_object()) {
    return std::nullopt;
  }
  try {
    const result<submission_id> holder =
        ParseSubmissionId(row.at("id").get<std::string>());
    if (!holder) {
      return std::nullopt;
    }
    return key_claim{.outcome = store_outcome::kConflict,
                     .holder = holder.value(),
                     .holder_digest = {row.at("high"), row.at("low")}};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace tarragondrift
