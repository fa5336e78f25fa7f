#include "tarragondrift/config/document_text.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <array>
#include <cassert>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

#include "document_limits.h"
#include "document_reader.h"

namespace tarragondrift {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr int kIndent = 2;

void ReadElement(object_reader& reader, upstream_config& out) {
  ReadNumber(reader, "slots_per_instance", kSlotsRange, out.slots_per_instance);
  ReadNumber(reader, "connections_per_instance", kConnectionsRange,
             out.connections_per_instance);
}

void ReadElement(object_reader& reader, contract_config& out) {
  ReadFlag(reader, "idempotent", out.idempotent);
  ReadFlag(reader, "recorded", out.recorded);
  ReadTime(reader, "default_deadline_ms", out.default_deadline);
  ReadTime(reader, "longest_running_ms", out.max_running_time);
  ReadNumber(reader, "most_attempts", kAttemptsRange, out.max_attempts);
  ReadDecimal(reader, "objective_percent", kPercentRange,
              out.objective_percent);
  ReadTime(reader, "objective_latency_ms", out.objective_latency);
}

void ReadElement(object_reader& reader, team_config& out) {
  ReadNumber(reader, "weight", kWeightRange, out.weight);
  ReadNumber(reader, "starts_per_s", kStartsRange, out.starts_per_s);
  ReadNumber(reader, "most_queued_tasks", kQueuedRange, out.max_queued_tasks);
}

void ReadElement(object_reader& reader, data_centre_config& out) {
  ReadName(reader, "region", out.region);
}

/// Reads an element of a list, whose name must be unique in the list.
template <class Element>
Element ReadNamed(const json& object, const std::string& path,
                  std::set<std::string>& names,
                  std::vector<config_error>& errors) {
  Element element;
  if (!object.is_object()) {
    errors.push_back(config_error{.fault = config_fault::kWrongType,
                                  .path = path,
                                  .detail = "must be an object"});
    return element;
  }
  object_reader reader{.object = &object, .path = path, .errors = &errors};
  ReadName(reader, "name", element.name);
  if (!element.name.empty() && !names.insert(element.name).second) {
    AddError(reader, config_fault::kDuplicateName, "name",
             "'" + element.name + "' names an earlier element too");
  }
  ReadElement(reader, element);
  ReportUnknownKeys(reader);
  return element;
}

/// Reads a list of named elements, which must not be empty.
template <class Element>
void ReadList(object_reader& reader, std::string_view key, size_t max_elements,
              std::vector<Element>& out) {
  const json* const list = FindKey(reader, key, true);
  if (list == nullptr) {
    return;
  }
  if (!list->is_array()) {
    AddError(reader, config_fault::kWrongType, key, "must be an array");
    return;
  }
  if (list->empty() || list->size() > max_elements) {
    AddError(reader, config_fault::kTooManyElements, key,
             "must have 1 to " + std::to_string(max_elements) + " elements");
    return;
  }
  std::set<std::string> names;
  const std::string path = JoinPath(reader.path, key);
  for (size_t number = 0; number < list->size(); ++number) {
    out.push_back(ReadNamed<Element>((*list)[number],
                                     JoinPath(path, std::to_string(number)),
                                     names, *reader.errors));
  }
}

/// Reads the required schema version.
void ReadSchema(object_reader& reader) {
  const json* const schema = FindKey(reader, "schema", true);
  if (schema != nullptr && *schema != kConfigSchema) {
    AddError(reader, config_fault::kUnsupportedSchema, "schema",
             "must be " + std::to_string(kConfigSchema));
  }
}

/// Reads the top-level fields of a document.
void ReadDocument(object_reader& reader, config_document& out) {
  ReadSchema(reader);
  ReadNumber(reader, "most_tasks_per_job", kTasksRange, out.max_tasks_per_job);
  ReadList(reader, "upstreams", kMaxUpstreams, out.upstreams);
  ReadList(reader, "contracts", kMaxContracts, out.contracts);
  ReadList(reader, "teams", kMaxTeams, out.teams);
  ReadList(reader, "data_centres", kMaxDataCentres, out.data_centres);
  ReportUnknownKeys(reader);
}

/// Parses JSON and reports duplicate keys in an object, of which the library
/// would silently keep the last.
class strict_parser {
 public:
  explicit strict_parser(std::vector<config_error>& errors) : errors_(errors) {}

  std::optional<json> Parse(std::string_view text) {
    try {
      return json::parse(
          text, [this](int /*depth*/, json::parse_event_t event, json& value) {
            Watch(event, value);
            return true;
          });
    } catch (const json::exception& problem) {
      errors_.push_back(config_error{.fault = config_fault::kNotJson,
                                     .path = "",
                                     .detail = problem.what()});
      return std::nullopt;
    }
  }

 private:
  void Watch(json::parse_event_t event, const json& value) {
    if (event == json::parse_event_t::object_start) {
      keys_.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      keys_.pop_back();
    } else if (event == json::parse_event_t::key &&
               !keys_.back().insert(value.get<std::string>()).second) {
      errors_.push_back(config_error{
          .fault = config_fault::kDuplicateKey,
          .path = "",
          .detail = "key '" + value.get<std::string>() + "' stands twice"});
    }
  }

  std::vector<config_error>& errors_;
  std::vector<std::set<std::string>> keys_;
};

ordered_json FormatElement(const upstream_config& element) {
  return {{"name", element.name},
          {"slots_per_instance", element.slots_per_instance},
          {"connections_per_instance", element.connections_per_instance}};
}

ordered_json FormatElement(const contract_config& element) {
  return {{"name", element.name},
          {"idempotent", element.idempotent},
          {"recorded", element.recorded},
          {"default_deadline_ms", element.default_deadline.count()},
          {"longest_running_ms", element.max_running_time.count()},
          {"most_attempts", element.max_attempts},
          {"objective_percent", element.objective_percent},
          {"objective_latency_ms", element.objective_latency.count()}};
}

ordered_json FormatElement(const team_config& element) {
  return {{"name", element.name},
          {"weight", element.weight},
          {"starts_per_s", element.starts_per_s},
          {"most_queued_tasks", element.max_queued_tasks}};
}

ordered_json FormatElement(const data_centre_config& element) {
  return {{"name", element.name}, {"region", element.region}};
}

template <class Element>
ordered_json FormatList(const std::vector<Element>& elements) {
  ordered_json list = ordered_json::array();
  for (const Element& element : elements) {
    list.push_back(FormatElement(element));
  }
  return list;
}

}  // namespace

std::string_view ConfigFaultName(config_fault fault) {
  switch (fault) {
    case config_fault::kNotJson:
      return "not_json";
    case config_fault::kTooLarge:
      return "too_large";
    case config_fault::kWrongType:
      return "wrong_type";
    case config_fault::kMissingKey:
      return "missing_key";
    case config_fault::kUnknownKey:
      return "unknown_key";
    case config_fault::kOutOfRange:
      return "out_of_range";
    case config_fault::kDuplicateName:
      return "duplicate_name";
    case config_fault::kDuplicateKey:
      return "duplicate_key";
    case config_fault::kBadName:
      return "bad_name";
    case config_fault::kUnsupportedSchema:
      return "unsupported_schema";
    case config_fault::kTooManyElements:
      return "too_many_elements";
    case config_fault::kContradiction:
      return "contradiction";
  }
  return "unknown";
}

parsed_config ParseConfigDocument(std::string_view text) {
  parsed_config parsed;
  if (text.size() > kMaxConfigBytes) {
    parsed.errors.push_back(config_error{
        .fault = config_fault::kTooLarge,
        .path = "",
        .detail =
            "must be at most " + std::to_string(kMaxConfigBytes) + " bytes"});
    return parsed;
  }
  const std::optional<json> root = strict_parser(parsed.errors).Parse(text);
  if (!root.has_value()) {
    return parsed;
  }
  if (!root->is_object()) {
    parsed.errors.push_back(config_error{.fault = config_fault::kWrongType,
                                         .path = "",
                                         .detail = "must be an object"});
    return parsed;
  }
  object_reader reader{.object = &*root, .errors = &parsed.errors};
  ReadDocument(reader, parsed.document);
  parsed.document.digest = DigestConfigText(text);
  return parsed;
}

std::string FormatConfigDocument(const config_document& document) {
  const ordered_json root = {
      {"schema", kConfigSchema},
      {"most_tasks_per_job", document.max_tasks_per_job},
      {"upstreams", FormatList(document.upstreams)},
      {"contracts", FormatList(document.contracts)},
      {"teams", FormatList(document.teams)},
      {"data_centres", FormatList(document.data_centres)}};
  return root.dump(kIndent) + "\n";
}

std::string DigestConfigText(std::string_view text) {
  constexpr size_t kDigestBytes = 32;
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibbleMask = 15;
  std::array<uint8_t, kDigestBytes> bytes{};
  const int code = gnutls_hash_fast(GNUTLS_DIG_SHA256, text.data(), text.size(),
                                    bytes.data());
  assert(code == GNUTLS_E_SUCCESS);
  static_cast<void>(code);
  std::string digest;
  for (const uint8_t byte : bytes) {
    digest += kDigits[byte >> kNibbleBits];
    digest += kDigits[byte & kNibbleMask];
  }
  return digest;
}

}  // namespace tarragondrift
