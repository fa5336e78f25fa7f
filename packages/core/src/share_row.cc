#include <algorithm>
#include <nlohmann/json.hpp>

#include "tarragondrift/core/share_cmd.h"

namespace tarragondrift {
namespace {

using nlohmann::json;

json ToJson(const std::vector<incarnation>& list) {
  json array = json::array();
  for (const incarnation who : list) {
    array.push_back(who.value);
  }
  return array;
}

std::vector<incarnation> ToIncarnations(const json& array) {
  std::vector<incarnation> list;
  for (const json& who : array) {
    list.push_back({who.get<uint64_t>()});
  }
  return list;
}

json ToJson(const silence_vote& vote) {
  return {{"voter", vote.voter.value},
          {"silent", vote.silent.value},
          {"number", vote.number},
          {"proven", vote.proven}};
}

silence_vote ToVote(const json& object) {
  return {.voter = {object.at("voter").get<uint64_t>()},
          .silent = {object.at("silent").get<uint64_t>()},
          .number = object.at("number").get<uint64_t>(),
          .proven = object.at("proven").get<bool>()};
}

}  // namespace

std::string FormatShareRow(const share_row& row) {
  json votes = json::array();
  for (const silence_vote& vote : row.votes) {
    votes.push_back(ToJson(vote));
  }
  const json object = {{"plan", row.plan},
                       {"members", ToJson(row.members)},
                       {"next", ToJson(row.next)},
                       {"confirmed", ToJson(row.confirmed)},
                       {"votes", votes}};
  return object.dump();
}

result<share_row> ParseShareRow(const std::string& text) {
  try {
    const json object = json::parse(text);
    share_row row{.plan = object.at("plan").get<uint64_t>(),
                  .members = ToIncarnations(object.at("members")),
                  .next = ToIncarnations(object.at("next")),
                  .confirmed = ToIncarnations(object.at("confirmed"))};
    for (const json& vote : object.at("votes")) {
      row.votes.push_back(ToVote(vote));
    }
    return row;
  } catch (const json::exception&) {
    return result_code::kMalformedRequest;
  }
}

}  // namespace tarragondrift
