#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <vector>

#include "tarragondrift/core/config_sync_cmd.h"
#include "tarragondrift/core/membership_cmd.h"

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

membership MakeMembers() {
  return MakeMembership(membership_options{
      .self = incarnation{5}, .data_centre = 1, .address = "self"});
}

void ReceiveFrom(membership& members, uint64_t who, uint16_t data_centre,
                 uint64_t version, instant now) {
  ReceiveHeartbeat(members,
                   heartbeat{.from = incarnation{who},
                             .data_centre = data_centre,
                             .address = "peer" + std::to_string(who),
                             .number = static_cast<uint64_t>(
                                 now.time_since_epoch().count() + 1),
                             .config_version = version},
                   now);
}

size_t Count(const std::vector<config_request>& requests,
             config_request_kind kind) {
  return static_cast<size_t>(std::count_if(
      requests.begin(), requests.end(),
      [kind](const config_request& request) { return request.kind == kind; }));
}

TEST_CASE(
    "The speaker polls at the short interval, other entries at the long one") {
  membership speaker = MakeMembers();
  membership other = MakeMembers();
  config_sync speaker_state = MakeConfigSync({}, instant{});
  config_sync other_state = MakeConfigSync({}, instant{});
  speaker_state.may_serve = true;
  other_state.may_serve = true;
  size_t speaker_polls = 0;
  size_t other_polls = 0;
  for (instant now{}; now < instant(60s); now += 100ms) {
    ReceiveFrom(other, 1, 1, 0, now);
    speaker_polls += Count(TickConfigSync(speaker_state, speaker, now),
                           config_request_kind::kPollHead);
    other_polls += Count(TickConfigSync(other_state, other, now),
                         config_request_kind::kPollHead);
  }
  CHECK(speaker_polls == 60);
  CHECK(other_polls == 12);
}

TEST_CASE("A stale read and an older document change nothing") {
  config_sync state = MakeConfigSync({}, instant{});
  OnConfigPollResult(state, 7);
  REQUIRE(OnConfigFetchResult(state, 7));
  OnConfigPollResult(state, 5);
  OnConfigPollResult(state, std::nullopt);
  CHECK(state.wanted == 7);
  CHECK_FALSE(OnConfigFetchResult(state, 5));
  CHECK_FALSE(OnConfigFetchResult(state, 7));
  CHECK(state.in_force == 7);
}

TEST_CASE("A fetch without a result is followed by one from the other source") {
  membership members = MakeMembers();
  ReceiveFrom(members, 1, 1, 3, instant{});
  config_sync state = MakeConfigSync({}, instant{});
  std::vector<config_request_kind> kinds;
  for (instant now{}; now < instant(3s); now += 500ms) {
    ReceiveFrom(members, 1, 1, 3, now + 1ms);
    for (const config_request& request : TickConfigSync(state, members, now)) {
      if (request.kind != config_request_kind::kPollHead) {
        kinds.push_back(request.kind);
        CHECK(request.version == 3);
      }
    }
  }
  CHECK(kinds == std::vector{config_request_kind::kFetchFromPlatform,
                             config_request_kind::kFetchFromPeer,
                             config_request_kind::kFetchFromPlatform});
}

TEST_CASE(
    "Local peers are preferred to remote ones, if they have the version") {
  membership members = MakeMembers();
  ReceiveFrom(members, 1, 2, 3, instant{});
  ReceiveFrom(members, 2, 1, 2, instant{});
  config_sync state = MakeConfigSync({}, instant{});
  state.fetches = 1;
  auto requests = TickConfigSync(state, members, instant{});
  CHECK(requests.back().address == "peer1");
  ReceiveFrom(members, 2, 1, 3, instant(1s));
  state.fetches = 1;
  requests = TickConfigSync(state, members, instant(1s));
  CHECK(requests.back().address == "peer2");
}

TEST_CASE(
    "A new entry does not serve with an older version than its peers have") {
  membership members = MakeMembers();
  config_sync state = MakeConfigSync({}, instant{});
  ReceiveFrom(members, 1, 1, 9, instant(1s));
  OnConfigPollResult(state, 8);
  REQUIRE(OnConfigFetchResult(state, 8));
  TickConfigSync(state, members, instant(30s));
  CHECK_FALSE(state.may_serve);
  REQUIRE(OnConfigFetchResult(state, 9));
  TickConfigSync(state, members, instant(30s));
  CHECK(state.may_serve);
}

TEST_CASE("A new entry waits for the table and its peers up to a limit") {
  membership members = MakeMembers();
  LearnPeer(members, incarnation{1}, 1, "peer1", instant{});
  config_sync state = MakeConfigSync({}, instant{});
  REQUIRE(OnConfigFetchResult(state, 4));
  TickConfigSync(state, members, instant(5s));
  CHECK_FALSE(state.may_serve);
  SECTION("until both have answered") {
    OnConfigPollResult(state, 4);
    TickConfigSync(state, members, instant(5s));
    CHECK_FALSE(state.may_serve);
    ReceiveFrom(members, 1, 1, 4, instant(5s));
    TickConfigSync(state, members, instant(5s));
    CHECK(state.may_serve);
  }
  SECTION("until the limit") {
    TickConfigSync(state, members, instant(6s));
    CHECK(state.may_serve);
  }
}

TEST_CASE("An entry without a document does not serve") {
  membership members = MakeMembers();
  config_sync state = MakeConfigSync({}, instant{});
  OnConfigPollResult(state, 0);
  TickConfigSync(state, members, instant(60s));
  CHECK_FALSE(state.may_serve);
}

TEST_CASE("The status shows lagging and unreachable data centres") {
  membership members = MakeMembers();
  ReceiveFrom(members, 1, 2, 4, instant(1s));
  ReceiveFrom(members, 2, 3, 6, instant(60s));
  config_sync state = MakeConfigSync({}, instant{});
  OnConfigPollResult(state, 6);
  OnConfigFetchResult(state, 6);
  constexpr std::array<uint16_t, 4> kAll = {1, 2, 3, 4};
  const config_status status =
      DescribeConfigStatus(state, members, kAll, instant(61s));
  CHECK(status.accepted == 6);
  CHECK(status.data_centres[0].up_to_date);
  CHECK_FALSE(status.data_centres[1].reachable);
  CHECK(status.data_centres[1].version == 4);
  CHECK(status.data_centres[1].entries[0].silent_for == 60s);
  CHECK(status.data_centres[2].up_to_date);
  CHECK_FALSE(status.data_centres[3].reachable);
}

}  // namespace
}  // namespace tarragondrift
