// config check, try, promote, status and diff: what operators do.
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "commands.h"
#include "entry_client.h"

namespace tarragondrift {
namespace {

using nlohmann::json;

constexpr int kIndent = 2;

/// Sends a request to the operators' addresses until one answers. A change
/// carries the name of its operation, so that a repeated one meets its own
/// earlier outcome and is made once.
entry_reply AskOperators(const tool_settings& settings, entry_request request) {
  http_client client{http_client_options{}};
  request.token = settings.token;
  entry_reply reply;
  bool reply_lost = false;
  for (const std::string& address : settings.operators) {
    request.address = address;
    reply = SendToEntry(client, request);
    if (reply.contact == entry_contact::kAnswered) {
      return reply;
    }
    reply_lost = reply_lost || reply.contact == entry_contact::kReplyLost;
  }
  if (reply_lost && request.method != http_method::kGet) {
    reply.error.code = result_code::kConfigOutcomeUnknown;
  }
  return reply;
}

/// Makes a random name for one change.
std::string MakeOperation() {
  std::random_device random;
  std::ostringstream name;
  name << std::hex << random() << random();
  return name.str();
}

/// Names who makes a change: --by, else the user.
std::string AuthorOf(const tool_settings& settings) {
  if (!settings.by.empty()) {
    return settings.by;
  }
  const char* const user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

/// Prints the errors of a document, one a line.
void PrintDocumentErrors(const console& console, const json& errors) {
  for (const json& error : errors) {
    if (!error.is_object()) {
      console.out << error.dump() << '\n';
      continue;
    }
    console.out << error.value("path", "") << ": "
                << error.value("name", error.value("fault", "")) << ": "
                << error.value("detail", "") << '\n';
  }
}

/// Reads the list of document errors out of an answer.
json ErrorsOf(const json& body) {
  return body.is_object() ? body.value("errors", json::array()) : json::array();
}

/// Prints whose change came first, where an answer names it.
void PrintWinner(const console& console, const json& body) {
  if (!body.is_object() || !body.contains("winner")) {
    return;
  }
  const json& winner = body.at("winner");
  console.out << "in force: version " << winner.value("version", uint64_t{0})
              << " by " << winner.value("by", "") << ", digest "
              << winner.value("digest", "") << '\n';
}

/// Prints an answer of the configuration commands, or its error.
exit_code PrintConfigReply(const console& console, const entry_reply& reply) {
  if (reply.Succeeded()) {
    console.out << reply.body.dump(console.json ? -1 : kIndent) << '\n';
    return exit_code::kOk;
  }
  if (console.json && reply.body.is_object()) {
    console.out << reply.body.dump() << '\n';
    return ExitCodeOf(reply.error.code);
  }
  PrintDocumentErrors(console, ErrorsOf(reply.body));
  PrintWinner(console, reply.body);
  return PrintError(console, reply.error);
}

/// Sends a change, under a name of its own.
exit_code RunChange(const tool_settings& settings, const console& console,
                    const char* path, json body) {
  body["by"] = AuthorOf(settings);
  body["operation"] = MakeOperation();
  return PrintConfigReply(console,
                          AskOperators(settings, {.method = http_method::kPost,
                                                  .path = path,
                                                  .body = body.dump()}));
}

/// A document as text, or as JSON; a type of its own, as json takes anything.
struct config_text {
  json body;
};

/// Reads a document file as JSON.
tool_result<config_text> ReadDocument(const std::string& file) {
  const auto text = ReadWholeFile(file);
  if (!text) {
    return text.error();
  }
  config_text document{.body = json::parse(text.value(), nullptr, false)};
  if (document.body.is_discarded()) {
    return tool_error{.code = result_code::kConfigInvalid,
                      .detail = "file '" + file + "' is not JSON"};
  }
  return document;
}

/// Fetches an environment's document as JSON.
tool_result<config_text> FetchDocument(const tool_settings& settings,
                                       const std::string& environment) {
  const entry_reply reply = AskOperators(
      settings, {.path = "/v1/config/document?environment=" + environment});
  if (!reply.Succeeded()) {
    return reply.error;
  }
  const auto field = reply.body.find("document");
  if (field == reply.body.end()) {
    return tool_error{.detail = "the answer has no document"};
  }
  // The document travels as text, so that its digest stays what it is.
  config_text document{
      .body = field->is_string()
                  ? json::parse(field->get<std::string>(), nullptr, false)
                  : *field};
  return document;
}

/// Prints the differences between two documents.
void PrintDifferences(const console& console, const json& from,
                      const json& to) {
  const json changes = json::diff(from, to);
  if (console.json) {
    console.out << changes.dump() << '\n';
    return;
  }
  for (const json& change : changes) {
    const json::json_pointer path(change.value("path", ""));
    const std::string operation = change.value("op", "");
    console.out << operation << ' ' << path.to_string();
    if (operation != "add") {
      console.out << " was " << from.at(path).dump();
    }
    if (operation != "remove") {
      console.out << " is " << change.at("value").dump();
    }
    console.out << '\n';
  }
}

}  // namespace

exit_code RunConfigCheck(const tool_settings& settings,
                         const console& console) {
  const auto text = ReadWholeFile(settings.words.front());
  if (!text) {
    PrintError(console, text.error());
    return exit_code::kUsage;
  }
  const entry_reply reply =
      AskOperators(settings, {.method = http_method::kPost,
                              .path = "/v1/config/check",
                              .body = text.value()});
  const json errors = ErrorsOf(reply.body);
  if (!reply.Succeeded() || errors.empty()) {
    return PrintConfigReply(console, reply);
  }
  if (console.json) {
    console.out << reply.body.dump() << '\n';
    return exit_code::kConfig;
  }
  PrintDocumentErrors(console, errors);
  return PrintError(console, {.code = result_code::kConfigInvalid});
}

exit_code RunConfigTry(const tool_settings& settings, const console& console) {
  const auto text = ReadWholeFile(settings.words.front());
  if (!text) {
    PrintError(console, text.error());
    return exit_code::kUsage;
  }
  return RunChange(settings, console, "/v1/config/try",
                   {{"document", text.value()}});
}

exit_code RunConfigPromote(const tool_settings& settings,
                           const console& console) {
  return RunChange(settings, console, "/v1/config/promote",
                   {{"digest", settings.words.front()}});
}

exit_code RunConfigStatus(const tool_settings& settings,
                          const console& console) {
  return PrintConfigReply(
      console, AskOperators(settings, {.path = "/v1/config/status"}));
}

exit_code RunConfigDiff(const tool_settings& settings, const console& console) {
  const auto in_force = FetchDocument(settings, settings.environment);
  if (!in_force) {
    return PrintError(console, in_force.error());
  }
  const auto other = settings.words.empty()
                         ? FetchDocument(settings, "trial")
                         : ReadDocument(settings.words.front());
  if (!other) {
    return PrintError(console, other.error());
  }
  PrintDifferences(console, in_force.value().body, other.value().body);
  return exit_code::kOk;
}

}  // namespace tarragondrift
